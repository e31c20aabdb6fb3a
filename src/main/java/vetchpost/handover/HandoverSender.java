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
    private static final long PROOF_MS = 1_000;

    private static final long WHOLE_MS = 10_000;
    /** After a piece, which takes a fraction of a millisecond, so much time is the requests'. */
    private static final long PAUSE_MS = 2;

    private static final int BACKLOG = 128;

    private final EventLoop loop;
    private final Network network;
    private final SharedSecret secret;
    private final SecureRandom random;
    private final Supplier<Iterator<byte[]>> pieces;
    private Channel listening;
    private int takers;
    private boolean hasRefused;
    private long refusedNs;

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
        this.pieces = pieces;
    }

    /** Listens; a node whose address for this is taken serves all the same. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channelFactory(network::newServerChannel)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (takers >= MAX_RECEIVERS) {
                            channel.close();
                            return;
                        }
                        takers++;
                        channel.closeFuture().addListener(closed -> takers--);
                        HandoverProtocol.frames(channel.pipeline(), HandoverProtocol.MAX_HELLO_BYTES);
                        channel.pipeline().addLast(new Taker(channel));
                    }
                })
                .bind(address);
        listening = binding.channel();
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
        if (listening != null) {
            listening.close();
        }
    }

    /** A line at most every second: whoever can reach the address must not fill the log. */
    private void refused(Channel taker, String why) {
        long now = loop.ticker().nanoTime();
        if (!hasRefused || now - refusedNs >= TimeUnit.SECONDS.toNanos(1)) {
            hasRefused = true;
            refusedNs = now;
            LOG.log(Level.INFO, "nothing is handed over to {0}: {1}", taker.remoteAddress(), why);
        }
    }

    /** One that has asked. */
    private final class Taker extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private final byte[] nonce = new byte[SharedSecret.NONCE_BYTES];
        private ScheduledFuture<?> limit;
        private Iterator<byte[]> left;
        private byte[] session;
        private int number;
        private boolean pausing;

        Taker(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            limit = loop.schedule((Runnable) channel::close, PROOF_MS, TimeUnit.MILLISECONDS);
            random.nextBytes(nonce);
            HandoverProtocol.hello(channel, nonce, new byte[0]);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
            if (session != null) {
                // It has nothing more to say.
                channel.close();
                return;
            }
            try {
                HandoverProtocol.Hello hello = HandoverProtocol.hello(message, SharedSecret.MAC_BYTES);
                int key = secret.keyOf(hello.proof(), HandoverProtocol.RECEIVER, nonce, hello.nonce());
                if (key < 0) {
                    throw new HandoverProtocol.Refused("it doesn't know the secret");
                }
                limit.cancel(false);
                limit = loop.schedule((Runnable) channel::close, WHOLE_MS, TimeUnit.MILLISECONDS);
                session = secret.session(key, nonce, hello.nonce());
                HandoverProtocol.send(channel, secret.proof(key, HandoverProtocol.SENDER, nonce, hello.nonce()));
                left = pieces.get();
                go();
            } catch (HandoverProtocol.Refused e) {
                refused(channel, e.getMessage());
                channel.close();
            }
        }

        private void go() {
            if (pausing || left == null || !channel.isActive() || !channel.isWritable()) {
                return;
            }
            byte[] piece = left.hasNext() ? left.next() : new byte[0];
            HandoverProtocol.send(channel, piece, SharedSecret.tag(session, number++, piece));
            if (piece.length == 0) {
                left = null;
                return;
            }
            pausing = true;
            loop.schedule(
                    () -> {
                        pausing = false;
                        go();
                    },
                    PAUSE_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            go();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (limit != null) {
                limit.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            channel.close();
        }
    }
}
