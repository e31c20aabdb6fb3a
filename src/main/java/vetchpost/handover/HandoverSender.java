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
 * Gives what a node knows to others that prove that they know the secret. It spends little of its loop on it:
 * one piece at a time with a pause after each, and none while the taker doesn't read.
 */
public final class HandoverSender {
    private static final Logger LOG = System.getLogger(HandoverSender.class.getName());

    /** Takers at a time; more are closed at once. */
    static final int MAX_RECEIVERS = 4;
    /** For a taker's proof, and for all of it. */
    private static final long AUTHENTICATION_TIMEOUT_MS = 1_000;

    private static final long HANDOVER_TIMEOUT_MS = 10_000;
    /** After a piece, which takes a fraction of a millisecond, so much time is the requests'. */
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
     * Not listening yet.
     *
     * @param pieces makes the pieces of what is known as they are asked for
     */
    public HandoverSender(
            EventLoop loop,
            Network network,
            SharedSecret secret,
            SecureRandom random,
            Supplier<Iterator<byte[]>> pieces) {
        this.loop = loop;
        this.network = network;
        this.secret = secret;
        this.random = random;
        this.chunks = pieces;
    }

    /** Listens; a node whose address for this is taken serves all the same. */
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
                        "nothing is handed over: can''t listen at {0}: {1}",
                        address,
                        done.cause().getMessage());
            }
        });
        return binding;
    }

    /** Ends all. */
    public void close() {
        if (listenChannel != null) {
            listenChannel.close();
        }
    }

    /** A line at most every second: whoever can reach the address must not fill the log. */
    private void logRejection(Channel taker, String why) {
        long now = loop.ticker().nanoTime();
        if (!hasLoggedRejection || now - lastRejectionLogNs >= TimeUnit.SECONDS.toNanos(1)) {
            hasLoggedRejection = true;
            lastRejectionLogNs = now;
            LOG.log(Level.INFO, "nothing is handed over to {0}: {1}", taker.remoteAddress(), why);
        }
    }

    /** One that has asked. */
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
                // It has nothing more to say.
                channel.close();
                return;
            }
            try {
                HandoverProtocol.Hello hello = HandoverProtocol.hello(message, SharedSecret.MAC_BYTES);
                int key = secret.matchingKey(hello.proof(), HandoverProtocol.RECEIVER, nonce, hello.nonce());
                if (key < 0) {
                    throw new HandoverProtocol.HandoverRejectedException("it doesn't know the secret");
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
            byte[] piece = remainingChunks.hasNext() ? remainingChunks.next() : new byte[0];
            HandoverProtocol.send(channel, piece, SharedSecret.tag(sessionKey, nextNumber++, piece));
            if (piece.length == 0) {
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
