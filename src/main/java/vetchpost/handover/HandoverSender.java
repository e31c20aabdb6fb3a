package vetchpost.handover;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.security.SecureRandom;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import vetchpost.net.Network;

/**
 * Sends a node's snapshot to peers that prove that they know the shared secret. To spend little of the event loop,
 * it sends one chunk at a time with a pause after each, and none while the receiver does not read. Started by
 * {@code Recovery}; runs on the node's event loop.
 */
public final class HandoverSender {
    private static final Logger LOG = System.getLogger(HandoverSender.class.getName());

    /** Concurrent receivers; further connections are closed at once. */
    static final int MAX_RECEIVERS = 4;

    private static final long AUTHENTICATION_TIMEOUT_MS = 1_000;
    /** Limit on a whole handover. */
    private static final long HANDOVER_TIMEOUT_MS = 10_000;
    /** Leaves the event loop to requests; a chunk itself takes a fraction of a millisecond. */
    private static final long PAUSE_AFTER_CHUNK_MS = 2;

    private static final int ACCEPT_BACKLOG = 128;

    private final EventLoop loop;
    private final Network network;
    private final SharedSecret secret;
    private final SecureRandom random;
    private final Supplier<Iterator<byte[]>> chunks;
    private Channel listenChannel;
    private int receiverCount;
    private boolean hasLoggedRejection;
    private long lastRejectionLogNs;

    /**
     * Creates a sender that does not listen yet.
     *
     * @param chunks supplies the encoded chunks of a new snapshot, each created on demand
     */
    public HandoverSender(
            EventLoop loop,
            Network network,
            SharedSecret secret,
            SecureRandom random,
            Supplier<Iterator<byte[]>> chunks) {
        this.loop = loop;
        this.network = network;
        this.secret = secret;
        this.random = random;
        this.chunks = chunks;
    }

    /** Starts listening; if the address can't be bound, the node still serves requests. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channelFactory(network::newServerChannel)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (receiverCount >= MAX_RECEIVERS) {
                            channel.close();
                            return;
                        }
                        receiverCount++;
                        channel.closeFuture().addListener(closed -> receiverCount--);
                        HandoverProtocol.addFrameCodec(channel.pipeline(), HandoverProtocol.MAX_HELLO_BYTES);
                        channel.pipeline().addLast(new Receiver(channel));
                    }
                })
                .bind(address);
        listenChannel = binding.channel();
        binding.addListener(done -> {
            if (!done.isSuccess()) {
                LOG.log(
                        Level.WARNING,
                        "handovers are not served: can''t listen on {0}: {1}",
                        address,
                        done.cause().getMessage());
            }
        });
        return binding;
    }

    /** Stops listening. */
    public void close() {
        if (listenChannel != null) {
            listenChannel.close();
        }
    }

    /** Logs at most once per second: anyone who can reach the address could otherwise fill the log. */
    private void logRejection(Channel receiver, String reason) {
        long now = loop.ticker().nanoTime();
        if (!hasLoggedRejection || now - lastRejectionLogNs >= TimeUnit.SECONDS.toNanos(1)) {
            hasLoggedRejection = true;
            lastRejectionLogNs = now;
            LOG.log(Level.INFO, "rejected a handover request from {0}: {1}", receiver.remoteAddress(), reason);
        }
    }

    /** A connected receiver. */
    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private final byte[] nonce = new byte[SharedSecret.NONCE_BYTES];
        private ScheduledFuture<?> timeout;
        private Iterator<byte[]> remainingChunks;
        private byte[] sessionKey;
        private int nextNumber;
        private boolean isPausing;

        Receiver(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            timeout = loop.schedule((Runnable) channel::close, AUTHENTICATION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            random.nextBytes(nonce);
            HandoverProtocol.hello(channel, nonce, new byte[0]);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
            if (sessionKey != null) {
                // A receiver sends nothing after its proof.
                channel.close();
                return;
            }
            try {
                HandoverProtocol.Hello hello = HandoverProtocol.hello(message, SharedSecret.MAC_BYTES);
                int key = secret.matchingKey(hello.proof(), HandoverProtocol.RECEIVER, nonce, hello.nonce());
                if (key < 0) {
                    throw new HandoverProtocol.HandoverRejectedException("peer does not know the secret");
                }
                timeout.cancel(false);
                timeout = loop.schedule((Runnable) channel::close, HANDOVER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                sessionKey = secret.sessionKey(key, nonce, hello.nonce());
                HandoverProtocol.send(channel, secret.proof(key, HandoverProtocol.SENDER, nonce, hello.nonce()));
                remainingChunks = chunks.get();
                sendNext();
            } catch (HandoverProtocol.HandoverRejectedException e) {
                logRejection(channel, e.getMessage());
                channel.close();
            }
        }

        private void sendNext() {
            if (isPausing || remainingChunks == null || !channel.isActive() || !channel.isWritable()) {
                return;
            }
            byte[] chunk = remainingChunks.hasNext() ? remainingChunks.next() : new byte[0];
            HandoverProtocol.send(channel, chunk, SharedSecret.tag(sessionKey, nextNumber++, chunk));
            if (chunk.length == 0) {
                remainingChunks = null;
                return;
            }
            isPausing = true;
            loop.schedule(
                    () -> {
                        isPausing = false;
                        sendNext();
                    },
                    PAUSE_AFTER_CHUNK_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            sendNext();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            channel.close();
        }
    }
}
