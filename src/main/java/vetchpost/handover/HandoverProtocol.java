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
 * The messages of a handover, each with a length prefix of four bytes. The sender begins with a hello and a nonce;
 * the receiver answers with its own and a proof that it knows the secret; the sender proves the same and sends
 * chunks, each with a tag, and an empty one as the last. Stateless; used by both sides on their event loops.
 */
final class HandoverProtocol {
    /** Labels of the two sides in the proofs; part of the protocol. */
    static final String SENDER = "giver";

    static final String RECEIVER = "taker";
    private static final byte[] HELLO = "VPHAND".getBytes(StandardCharsets.US_ASCII);
    private static final int VERSION = 1;
    private static final int MAX_FRAME_BYTES = ChunkCodec.MAX_CHUNK_BYTES + SharedSecret.MAC_BYTES;
    private static final int LENGTH_BYTES = 4;
    /** Bound on a message before both sides are authenticated. */
    static final int MAX_HELLO_BYTES = HELLO.length + 1 + SharedSecret.NONCE_BYTES + SharedSecret.MAC_BYTES;

    /** The peer's message can't be accepted. */
    static final class HandoverRejectedException extends Exception {
        private static final long serialVersionUID = 1L;

        HandoverRejectedException(String reason) {
            super(reason);
        }
    }

    /** A hello message: the nonce, and the proof if the message has one, else empty. */
    record Hello(byte[] nonce, byte[] proof) {}

    private HandoverProtocol() {}

    /** Adds framing to a pipeline; a longer message raises an exception before memory is allocated for it. */
    static void addFrameCodec(ChannelPipeline pipeline, int maxBytes) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        Math.min(MAX_FRAME_BYTES, maxBytes) + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
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
            throw new HandoverRejectedException("peer does not speak this protocol");
        }
        if (bytes[HELLO.length] != VERSION) {
            throw new HandoverRejectedException(
                    "peer uses protocol version " + bytes[HELLO.length] + "; this program uses version " + VERSION);
        }
        if (bytes.length != nonceAt + SharedSecret.NONCE_BYTES + proofLength) {
            throw new HandoverRejectedException("unexpected hello length of " + bytes.length + " bytes");
        }
        return new Hello(
                Arrays.copyOfRange(bytes, nonceAt, nonceAt + SharedSecret.NONCE_BYTES),
                Arrays.copyOfRange(bytes, nonceAt + SharedSecret.NONCE_BYTES, bytes.length));
    }

    static byte[] bytes(ByteBuf message) {
        return ByteBufUtil.getBytes(message);
    }
}
