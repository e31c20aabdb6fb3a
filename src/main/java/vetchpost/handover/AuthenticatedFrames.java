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
 * A connection on which both sides prove that they know the shared secret and then exchange frames. Each frame has
 * a tag over its content, sequence number and direction, as in a handover but both ways. Frames are authenticated,
 * not encrypted. Used for replication; all methods and listeners run on the channel's event loop.
 */
public final class AuthenticatedFrames extends SimpleChannelInboundHandler<ByteBuf> {
    /** Labels of the two sides in the proofs; part of the protocol. */
    private static final String PUBLISHER_ROLE = "publisher";

    private static final String REPLICA_ROLE = "replica";
    private static final long AUTHENTICATION_TIMEOUT_MS = 2_000;
    /** Set in the sequence numbers of frames from the connecting side. */
    private static final int FROM_CONNECTING_SIDE = 1 << 31;

    private static final int MAX_FRAME_NUMBER = Integer.MAX_VALUE - 1;

    /** Notified of connection events, on the event loop. */
    public interface Listener {
        /** Both sides have proved that they know the secret; frames can be sent from now on. */
        void onAuthenticated();

        /** A frame has arrived and its tag is valid. */
        void onFrame(byte[] frame);

        /** The channel's writability has changed. */
        default void onWritable() {}

        /** The connection is closed; called once. */
        void onClosed(String reason);
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

    private AuthenticatedFrames(SharedSecret secret, SecureRandom random, boolean isServer, Listener listener) {
        this.secret = secret;
        this.isServer = isServer;
        this.listener = listener;
        random.nextBytes(nonce);
    }

    /**
     * Adds the handlers to a channel that is being opened.
     *
     * @param isServer whether this side has accepted the connection
     * @param maxFrameBytes bound on the length of a frame
     */
    public static AuthenticatedFrames open(
            Channel channel,
            SharedSecret secret,
            SecureRandom random,
            boolean isServer,
            int maxFrameBytes,
            Listener listener) {
        AuthenticatedFrames frames = new AuthenticatedFrames(secret, random, isServer, listener);
        frames.channel = channel;
        HandoverProtocol.addFrameCodec(channel.pipeline(), maxFrameBytes + SharedSecret.MAC_BYTES);
        channel.pipeline().addLast(frames);
        return frames;
    }

    /** Sends a frame; allowed after {@link Listener#onAuthenticated}. */
    public void send(byte[] frame) {
        HandoverProtocol.send(channel, frame, SharedSecret.tag(sessionKey, frameNumber(sentCount++, !isServer), frame));
    }

    /** Whether the channel accepts more without buffering. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Closes the connection and notifies the listener with the reason. */
    public void close(String reason) {
        closeOnce(reason);
    }

    private static int frameNumber(int count, boolean fromConnectingSide) {
        return fromConnectingSide ? count | FROM_CONNECTING_SIDE : count;
    }

    private void closeOnce(String reason) {
        if (isClosed) {
            return;
        }
        isClosed = true;
        if (authenticationTimeout != null) {
            authenticationTimeout.cancel(false);
        }
        channel.close();
        listener.onClosed(reason);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        authenticationTimeout = ctx.executor()
                .schedule(
                        () -> closeOnce("peer did not prove in time that it knows the secret"),
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
                throw new HandoverProtocol.HandoverRejectedException("peer does not know the secret");
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
                throw new HandoverProtocol.HandoverRejectedException("peer does not know the secret");
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
            throw new HandoverProtocol.HandoverRejectedException("frame without a tag");
        }
        byte[] frame = Arrays.copyOf(message, message.length - SharedSecret.MAC_BYTES);
        byte[] tag = Arrays.copyOfRange(message, frame.length, message.length);
        if (!MessageDigest.isEqual(tag, SharedSecret.tag(sessionKey, frameNumber(receivedCount++, isServer), frame))) {
            throw new HandoverProtocol.HandoverRejectedException("frame is forged or out of order");
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
        closeOnce("connection was closed by the peer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        closeOnce("connection failed: " + cause.getMessage());
    }
}
