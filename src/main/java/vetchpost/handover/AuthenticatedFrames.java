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
    private static final String PUBLISHER_ROLE = "publisher";
    private static final String REPLICA_ROLE = "replica";
    private static final long AUTHENTICATION_TIMEOUT_MS = 2_000;
    /** Numbers of frames from the side that connects; those from the other are without. */
    private static final int FROM_CONNECTING_SIDE = 1 << 31;

    private static final int MAX_FRAME_NUMBER = Integer.MAX_VALUE - 1;

    /** Hears what becomes of the connection, on its loop. */
    public interface Listener {
        /** Both sides know the secret. */
        void onAuthenticated();

        /** A frame of the other side's. */
        void onFrame(byte[] frame);

        /** What was sent before has left, or something waits to again. */
        default void onWritable() {}

        /** It is over, once. */
        void onClosed(String why);
    }

    private final SharedSecret secret;
    private final boolean isServer;
    private final Listener listener;
    private final byte[] nonce = new byte[SharedSecret.NONCE_BYTES];
    private Channel channel;
    private ScheduledFuture<?> authenticationTimeout;
    private byte[] peerNonce;
    private byte[] sessionKey;
    private int sentCount;
    private int receivedCount;
    private boolean isClosed;

    private AuthenticatedFrames(SharedSecret secret, SecureRandom random, boolean listens, Listener listener) {
        this.secret = secret;
        this.isServer = listens;
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
        HandoverProtocol.addFrameCodec(channel.pipeline(), mostFrame + SharedSecret.MAC_BYTES);
        channel.pipeline().addLast(frames);
        return frames;
    }

    /** Sends a frame; only once it is up. */
    public void send(byte[] frame) {
        HandoverProtocol.send(channel, frame, SharedSecret.tag(sessionKey, frameNumber(sentCount++, !isServer), frame));
    }

    /** Whether what was sent before has left. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Ends it. */
    public void close(String why) {
        closeOnce(why);
    }

    private static int frameNumber(int count, boolean up) {
        return up ? count | FROM_CONNECTING_SIDE : count;
    }

    private void closeOnce(String why) {
        if (isClosed) {
            return;
        }
        isClosed = true;
        if (authenticationTimeout != null) {
            authenticationTimeout.cancel(false);
        }
        channel.close();
        listener.onClosed(why);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        authenticationTimeout = ctx.executor()
                .schedule(
                        () -> closeOnce("it has not shown that it knows the secret"),
                        AUTHENTICATION_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
        if (isServer) {
            HandoverProtocol.hello(channel, nonce, new byte[0]);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
        if (isClosed) {
            return;
        }
        try {
            if (sessionKey == null) {
                authenticate(message);
            } else {
                receiveFrame(HandoverProtocol.bytes(message));
            }
        } catch (HandoverProtocol.HandoverRejectedException e) {
            closeOnce(e.getMessage());
        }
    }

    private void authenticate(ByteBuf message) throws HandoverProtocol.HandoverRejectedException {
        if (isServer) {
            HandoverProtocol.Hello hello = HandoverProtocol.hello(message, SharedSecret.MAC_BYTES);
            int key = secret.matchingKey(hello.proof(), REPLICA_ROLE, nonce, hello.nonce());
            if (key < 0) {
                throw new HandoverProtocol.HandoverRejectedException("it doesn't know the secret");
            }
            sessionKey = secret.sessionKey(key, nonce, hello.nonce());
            HandoverProtocol.send(channel, secret.proof(key, PUBLISHER_ROLE, nonce, hello.nonce()));
            authenticated();
        } else if (peerNonce == null) {
            peerNonce = HandoverProtocol.hello(message, 0).nonce();
            HandoverProtocol.hello(channel, nonce, secret.proof(0, REPLICA_ROLE, peerNonce, nonce));
        } else {
            if (!MessageDigest.isEqual(
                    HandoverProtocol.bytes(message), secret.proof(0, PUBLISHER_ROLE, peerNonce, nonce))) {
                throw new HandoverProtocol.HandoverRejectedException("it doesn't know the secret");
            }
            sessionKey = secret.sessionKey(0, peerNonce, nonce);
            authenticated();
        }
    }

    private void authenticated() {
        authenticationTimeout.cancel(false);
        listener.onAuthenticated();
    }

    private void receiveFrame(byte[] message) throws HandoverProtocol.HandoverRejectedException {
        if (message.length < SharedSecret.MAC_BYTES || receivedCount == MAX_FRAME_NUMBER) {
            throw new HandoverProtocol.HandoverRejectedException("a frame without a tag");
        }
        byte[] frame = Arrays.copyOf(message, message.length - SharedSecret.MAC_BYTES);
        byte[] tag = Arrays.copyOfRange(message, frame.length, message.length);
        if (!MessageDigest.isEqual(tag, SharedSecret.tag(sessionKey, frameNumber(receivedCount++, isServer), frame))) {
            throw new HandoverProtocol.HandoverRejectedException(
                    "a frame that is not the other side's, or not in its place");
        }
        listener.onFrame(frame);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (!isClosed && sessionKey != null) {
            listener.onWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closeOnce("it was cut off");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        closeOnce("it broke: " + cause.getMessage());
    }
}
