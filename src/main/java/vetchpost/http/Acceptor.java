package vetchpost.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import vetchpost.core.RequestLog;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;

/**
 * One listening socket. A client's connection counts as accepted, and what it sends as taken, once the system
 * has it in the socket's queue; so this tells for how long what it accepts may have lain there, and never
 * closes the socket on a queue that it has not emptied.
 */
final class Acceptor extends ChannelInboundHandlerAdapter {
    private static final int BACKLOG = 1_024;
    /** Bytes read at once, at most: what is decoded of them is all kept. */
    private static final int MAX_READ_BYTES = 16_384;

    private static final long ACCEPT_AGAIN_MS = 20;
    /** How long connections are left in the queue for want of room; from then on they are accepted to be told
     * to come again. Long enough for one that has just been answered to count as idle. */
    private static final long WAIT_NS = TimeUnit.MILLISECONDS.toNanos(120);

    /** Sets up a connection that has been accepted. */
    interface Opener {
        void open(ChannelPipeline pipeline);
    }

    private final EventLoop loop;
    private final Network network;
    private final SocketBudget sockets;
    private final RequestLog log;
    private final LongSupplier behindUs;
    private final int atOnce;
    private Channel channel;
    private int batch;
    private long accepted;
    private boolean paused;
    private long pausedNs;
    private boolean turningAway;
    /** Whether connections were left in the queue, and since when some may lie there. */
    private boolean behind;

    private long behindSinceNs;
    /** When the last so many were accepted that no queue holds more. */
    private long markNs;

    private long markAt;

    /**
     * Not listening yet.
     *
     * @param behindUs for how long the loop may not have looked at its sockets, in microseconds
     */
    Acceptor(EventLoop loop, Network network, SocketBudget sockets, RequestLog log, LongSupplier behindUs) {
        this.loop = loop;
        this.network = network;
        this.sockets = sockets;
        atOnce = sockets.maxAcceptsPerTurn();
        this.log = log;
        this.behindUs = behindUs;
    }

    /** Binds the address; the future tells whether it could be had. */
    ChannelFuture listen(EventLoopGroup group, SocketAddress address, Opener opener) {
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channelFactory(network::newServerChannel)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(atOnce))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        // A second time, however little came: so the end behind a request is seen at once.
                        new AdaptiveRecvByteBufAllocator(512, 2_048, MAX_READ_BYTES)
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(2))
                .handler(this)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        opener.open(accepted.pipeline());
                    }
                })
                .bind(address);
        channel = binding.channel();
        return binding;
    }

    /**
     * For how long a connection accepted just now may have lain in the queue, in nanoseconds; 0 where the
     * queue was empty a turn ago and the loop is on time. What a loop that was held up accepts in one turn
     * it reads in the next, when it may be on time again.
     */
    long layNs() {
        long heldUpNs = TimeUnit.MICROSECONDS.toNanos(behindUs.getAsLong());
        return behind ? Math.max(heldUpNs, nanos() - behindSinceNs) : heldUpNs;
    }

    /** To be called after each connection that has been accepted: goes on, or pauses. */
    void settle() {
        if (sockets.hasRoomForClient()) {
            turningAway = false;
        } else if (!turningAway || !sockets.mayAccept()) {
            pause();
        }
    }

    /** Leaves connections in the system's queue until there is room again, or they have waited enough. */
    private void pause() {
        if (paused || !channel.isOpen()) {
            return;
        }
        paused = true;
        pausedNs = nanos();
        fallBehind();
        if (log.isEnabled()) {
            log.write("accepting stops", sockets);
        }
        channel.config().setAutoRead(false);
        loop.schedule(this::later, ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    /** Goes on if there is room, be it only to turn away. */
    void resume() {
        if (!paused || !channel.isOpen()) {
            return;
        }
        boolean room = sockets.hasRoomForClient();
        turningAway = !room && (turningAway || nanos() - pausedNs >= WAIT_NS);
        if (room || turningAway && sockets.mayAccept()) {
            paused = false;
            if (log.isEnabled()) {
                log.write("accepting again", sockets);
            }
            channel.config().setAutoRead(true);
        }
    }

    /** One that has become idle since makes room too, and tells nobody. */
    private void later() {
        if (paused && channel.isOpen()) {
            sockets.makeRoomForClient();
            resume();
            if (paused) {
                loop.schedule(this::later, ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Accepts all that the system has accepted, whether there is room or not, and gives the address up. */
    void finish() {
        if (channel.isActive()) {
            long before;
            do {
                before = accepted;
                network.readNow(channel);
            } while (accepted > before);
        }
        close();
    }

    /** Gives the address up; what waits there is reset. */
    void close() {
        channel.close();
    }

    private void fallBehind() {
        if (!behind) {
            behind = true;
            behindSinceNs = nanos() - TimeUnit.MICROSECONDS.toNanos(behindUs.getAsLong());
            markNs = behindSinceNs;
            markAt = accepted;
        }
    }

    private long nanos() {
        return loop.ticker().nanoTime();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        accepted++;
        if (++batch >= atOnce) {
            fallBehind(); // What comes in the batches after this one has lain there since now.
        }
        if (behind && accepted - markAt >= BACKLOG) {
            behindSinceNs = markNs; // Whatever lay there then has been accepted by now.
            markNs = nanos();
            markAt = accepted;
        }
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (batch < atOnce && !paused) {
            behind = false;
        }
        batch = 0;
        ctx.fireChannelReadComplete();
    }

    /** Stops accepting when the system has no descriptor left, whatever the count says. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (log.isEnabled()) {
            log.write("accepting failed", cause, sockets);
        }
        // Left alone, the selector would report the same connection without end.
        pause();
        sockets.closeIdle();
    }
}
