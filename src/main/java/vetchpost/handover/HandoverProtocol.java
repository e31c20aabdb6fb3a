package vetchpost.handover;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import vetchpost.state.codec.ChunkCodec;

/**
 * The handover's messages. Each is a length of four bytes and as many bytes. The giver begins with a hello
 * and a nonce; the taker answers with its own and a proof that it knows the secret; the giver proves the same
 * and sends pieces, each with a tag, and a last one that is empty.
 */
final class HandoverProtocol {
    static final String SENDER = "giver";
    static final String RECEIVER = "taker";
    private static final byte[] HELLO = "VPHAND".getBytes(StandardCharsets.US_ASCII);
    private static final int VERSION = 1;
    private static final int MAX_FRAME_BYTES = ChunkCodec.MAX_CHUNK_BYTES + SharedSecret.MAC_BYTES;
    private static final int LENGTH_BYTES = 4;
    /** The longest message before both sides have proved themselves. */
    static final int MAX_HELLO_BYTES = HELLO.length + 1 + SharedSecret.NONCE_BYTES + SharedSecret.MAC_BYTES;

    /** What the other side has said can't be used. */
    static final class HandoverRejectedException extends Exception {
        private static final long serialVersionUID = 1L;

        HandoverRejectedException(String why) {
            super(why);
        }
    }

    /** A side's nonce, and its proof if it has one by then. */
    record Hello(byte[] nonce, byte[] proof) {}

    private HandoverProtocol() {}

    /** Messages in place of bytes; too long a one ends in an exception before room is made for it. */
    static void addFrameCodec(ChannelPipeline pipeline, int most) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        Math.min(MAX_FRAME_BYTES, most) + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new LengthFieldPrepender(LENGTH_BYTES));
    }

    static int maxFrameBytes() {
        return MAX_FRAME_BYTES;
    }

    static void hello(Channel to, byte[] nonce, byte[] proof) {
        to.writeAndFlush(Unpooled.wrappedBuffer(HELLO, new byte[] {VERSION}, nonce, proof));
    }

    static void send(Channel to, byte[]... parts) {
        to.writeAndFlush(Unpooled.wrappedBuffer(parts));
    }

    static Hello hello(ByteBuf message, int proofLength) throws HandoverRejectedException {
        byte[] bytes = bytes(message);
        int nonceAt = HELLO.length + 1;
        if (bytes.length < nonceAt || !Arrays.equals(Arrays.copyOf(bytes, HELLO.length), HELLO)) {
            throw new HandoverRejectedException("it is no node of this program's");
        }
        if (bytes[HELLO.length] != VERSION) {
            throw new HandoverRejectedException(
                    "it speaks version " + bytes[HELLO.length] + "; this program knows " + VERSION);
        }
        if (bytes.length != nonceAt + SharedSecret.NONCE_BYTES + proofLength) {
            throw new HandoverRejectedException("its hello has " + bytes.length + " bytes");
        }
        return new Hello(
                Arrays.copyOfRange(bytes, nonceAt, nonceAt + SharedSecret.NONCE_BYTES),
                Arrays.copyOfRange(bytes, nonceAt + SharedSecret.NONCE_BYTES, bytes.length));
    }

    static byte[] bytes(ByteBuf message) {
        return ByteBufUtil.getBytes(message);
    }
}
