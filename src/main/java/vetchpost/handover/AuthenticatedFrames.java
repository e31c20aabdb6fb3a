package vetchpost.handover;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * A connection on which both sides have shown that they know the secret, with frames both ways, each with a
 * tag that holds its place and its direction: as the handover's, for longer conversations. Frames are
 * authenticated, not encrypted.
 */
public final class AuthenticatedFrames extends SimpleChannelInboundHandler<ByteBuf> {
    private static final String LISTENS = "publisher";
    private static final String CONNECTS = "replica";
    private static final long PROOF_MS = 2_000;
    /** Numbers of frames from the side that connects; those from the other are without. */
    private static final int UP = 1 << 31;

    private static final int MOST_NUMBER = Integer.MAX_VALUE - 1;

    /** Hears what becomes of the connection, on its loop. */
    public interface Listener {
        /** Both sides know the secret. */
        void up();

        /** A frame of the other side's. */
        void frame(byte[] frame);

        /** What was sent before has left, or something waits to again. */
        default void writable() {}

        /** It is over, once. */
        void down(String why);
    }

    private final SharedSecret secret;
    private final boolean listens;
    private final Listener listener;
    private final byte[] nonce = new byte[SharedSecret.NONCE_BYTES];
    private Channel channel;
    private ScheduledFuture<?> limit;
    private byte[] other;
    private byte[] session;
    private int sent;
    private int received;
    private boolean over;

    private AuthenticatedFrames(SharedSecret secret, SecureRandom random, boolean listens, Listener listener) {
        this.secret = secret;
        this.listens = listens;
        this.listener = listener;
        random.nextBytes(nonce);
    }

    /**
     * Puts it on a channel that is being opened.
     *
     * @param listens whether the other side has connected
     * @param mostFrame bytes of a frame
     */
    public static AuthenticatedFrames open(
            Channel channel,
            SharedSecret secret,
            SecureRandom random,
            boolean listens,
            int mostFrame,
            Listener listener) {
        AuthenticatedFrames frames = new AuthenticatedFrames(secret, random, listens, listener);
        frames.channel = channel;
        HandoverProtocol.frames(channel.pipeline(), mostFrame + SharedSecret.MAC_BYTES);
        channel.pipeline().addLast(frames);
        return frames;
    }

    /** Sends a frame; only once it is up. */
    public void send(byte[] frame) {
        HandoverProtocol.send(channel, frame, SharedSecret.tag(session, number(sent++, !listens), frame));
    }

    /** Whether what was sent before has left. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Ends it. */
    public void close(String why) {
        end(why);
    }

    private static int number(int count, boolean up) {
        return up ? count | UP : count;
    }

    private void end(String why) {
        if (over) {
            return;
        }
        over = true;
        if (limit != null) {
            limit.cancel(false);
        }
        channel.close();
        listener.down(why);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        limit = ctx.executor()
                .schedule(() -> end("it has not shown that it knows the secret"), PROOF_MS, TimeUnit.MILLISECONDS);
        if (listens) {
            HandoverProtocol.hello(channel, nonce, new byte[0]);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
        if (over) {
            return;
        }
        try {
            if (session == null) {
                greet(message);
            } else {
                take(HandoverProtocol.bytes(message));
            }
        } catch (HandoverProtocol.Refused e) {
            end(e.getMessage());
        }
    }

    private void greet(ByteBuf message) throws HandoverProtocol.Refused {
        if (listens) {
            HandoverProtocol.Hello hello = HandoverProtocol.hello(message, SharedSecret.MAC_BYTES);
            int key = secret.keyOf(hello.proof(), CONNECTS, nonce, hello.nonce());
            if (key < 0) {
                throw new HandoverProtocol.Refused("it doesn't know the secret");
            }
            session = secret.session(key, nonce, hello.nonce());
            HandoverProtocol.send(channel, secret.proof(key, LISTENS, nonce, hello.nonce()));
            up();
        } else if (other == null) {
            other = HandoverProtocol.hello(message, 0).nonce();
            HandoverProtocol.hello(channel, nonce, secret.proof(0, CONNECTS, other, nonce));
        } else {
            if (!MessageDigest.isEqual(HandoverProtocol.bytes(message), secret.proof(0, LISTENS, other, nonce))) {
                throw new HandoverProtocol.Refused("it doesn't know the secret");
            }
            session = secret.session(0, other, nonce);
            up();
        }
    }

    private void up() {
        limit.cancel(false);
        listener.up();
    }

    private void take(byte[] message) throws HandoverProtocol.Refused {
        if (message.length < SharedSecret.MAC_BYTES || received == MOST_NUMBER) {
            throw new HandoverProtocol.Refused("a frame without a tag");
        }
        byte[] frame = Arrays.copyOf(message, message.length - SharedSecret.MAC_BYTES);
        byte[] tag = Arrays.copyOfRange(message, frame.length, message.length);
        if (!MessageDigest.isEqual(tag, SharedSecret.tag(session, number(received++, listens), frame))) {
            throw new HandoverProtocol.Refused("a frame that is not the other side's, or not in its place");
        }
        listener.frame(frame);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (!over && session != null) {
            listener.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end("it was cut off");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        end("it broke: " + cause.getMessage());
    }
}
