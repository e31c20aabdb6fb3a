package vetchpost.handover;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchpost.state.Snapshot;

/**
 * One handover without sockets, so that ten thousand take seconds: a right giver's bytes, with one place
 * damaged, cut into packets by chance.
 */
final class CorruptedStream {
    private final byte[] secret;
    private final List<byte[]> chunks;
    private final SplittableRandom random;
    private final EmbeddedChannel channel = new EmbeddedChannel();
    int outcomes;
    Snapshot snapshot;

    CorruptedStream(String secret, List<byte[]> pieces, SplittableRandom random) {
        this.secret = secret.getBytes();
        this.chunks = pieces;
        this.random = random;
    }

    void run() throws IOException {
        HandoverReceiver taker =
                new HandoverReceiver(null, null, SharedSecret.of(new String(secret)), new SecureRandom());
        taker.attach(channel, (snapshot, whole, why) -> {
            outcomes++;
            snapshot = snapshot;
        });
        byte[] giverNonce = new byte[32];
        random.nextBytes(giverNonce);
        boolean early = random.nextInt(8) == 0;
        byte[] hello = ScriptedSender.framed("VPHAND\1".getBytes(), giverNonce);
        feed(early ? corrupt(hello) : hello);
        ByteBuf said = Unpooled.buffer();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            said.writeBytes(part);
            ReferenceCountUtil.release(part);
        }
        if (said.readableBytes() >= 4 + 7 + 64) {
            byte[] takerNonce = new byte[32];
            said.getBytes(4 + 7, takerNonce);
            feed(corrupt(messagesAfterHello(giverNonce, takerNonce)));
        }
        said.release();
        channel.close();
        channel.finishAndReleaseAll();
    }

    private byte[] messagesAfterHello(byte[] giverNonce, byte[] takerNonce) throws IOException {
        byte[] salt = Arrays.copyOf(giverNonce, 64);
        System.arraycopy(takerNonce, 0, salt, 32, 32);
        byte[] session = ScriptedSender.hmac(
                ScriptedSender.hmac(salt, secret), "vetchpost handover 1".getBytes(), new byte[] {1});
        List<byte[]> messages = new ArrayList<>();
        messages.add(ScriptedSender.framed(ScriptedSender.hmac(secret, "giver".getBytes(), giverNonce, takerNonce)));
        int number = 0;
        List<byte[]> all = new ArrayList<>(chunks);
        all.add(new byte[0]);
        for (byte[] piece : all) {
            messages.add(ScriptedSender.framed(
                    piece,
                    ScriptedSender.hmac(
                            session, ByteBuffer.allocate(4).putInt(number++).array(), piece)));
        }
        int length = messages.stream().mapToInt(m -> m.length).sum();
        ByteBuffer joined = ByteBuffer.allocate(length);
        messages.forEach(joined::put);
        return joined.array();
    }

    private byte[] corrupt(byte[] bytes) {
        int at = random.nextInt(bytes.length);
        return switch (random.nextInt(4)) {
            case 0 -> Arrays.copyOf(bytes, at);
            case 1 -> {
                byte[] more = Arrays.copyOf(bytes, bytes.length + 1);
                System.arraycopy(bytes, at, more, at + 1, bytes.length - at);
                yield more;
            }
            default -> {
                byte[] turned = bytes.clone();
                turned[at] ^= (byte) (1 << random.nextInt(8));
                yield turned;
            }
        };
    }

    private void feed(byte[] bytes) {
        for (int at = 0; at < bytes.length && channel.isActive(); ) {
            int end = Math.min(bytes.length, at + 1 + random.nextInt(40_000));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, end - at));
            at = end;
        }
    }
}
