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
    private static final int MAX_BACKLOG_CONNECTIONS = 1_024;
    /** Bytes read at once, at most: what is decoded of them is all kept. */
    private static final int MAX_READ_BYTES = 16_384;

    private static final long ACCEPT_RETRY_INTERVAL_MS = 20;
    /** How long connections are left in the queue for want of room; from then on they are accepted to be told
     * to come again. Long enough for one that has just been answered to count as idle. */
    private static final long MAX_QUEUE_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(120);

    /** Sets up a connection that has been accepted. */
    interface ConnectionOpener {
        void open(ChannelPipeline pipeline);
    }

    private final EventLoop loop;
    private final Network network;
    private final SocketBudget sockets;
    private final RequestLog log;
    private final LongSupplier eventLoopDelayUs;
    private final int maxAcceptsPerTurn;
    private Channel channel;
    private int acceptedThisTurn;
    private long acceptedTotal;
    private boolean paused;
    private long pausedNs;
    private boolean acceptingToReject;
    /** Whether connections were left in the queue, and since when some may lie there. */
    private boolean hasBacklog;

    private long backlogSinceNs;
    /** When the last so many were accepted that no queue holds more. */
    private long backlogMarkNs;

    private long backlogMarkAccepted;

    /**
     * Not listening yet.
     *
     * @param behindUs for how long the loop may not have looked at its sockets, in microseconds
     */
    Acceptor(EventLoop loop, Network network, SocketBudget sockets, RequestLog log, LongSupplier behindUs) {
        this.loop = loop;
        this.network = network;
        this.sockets = sockets;
        maxAcceptsPerTurn = sockets.maxAcceptsPerTurn();
        this.log = log;
        this.eventLoopDelayUs = behindUs;
    }

    /** Binds the address; the future tells whether it could be had. */
    ChannelFuture listen(EventLoopGroup group, SocketAddress address, ConnectionOpener opener) {
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channelFactory(network::newServerChannel)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(maxAcceptsPerTurn))
                .option(ChannelOption.SO_BACKLOG, MAX_BACKLOG_CONNECTIONS)
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
    long queuedTimeNs() {
        long heldUpNs = TimeUnit.MICROSECONDS.toNanos(eventLoopDelayUs.getAsLong());
        return hasBacklog ? Math.max(heldUpNs, nanos() - backlogSinceNs) : heldUpNs;
    }

    /** To be called after each connection that has been accepted: goes on, or pauses. */
    void onAccepted() {
        if (sockets.hasCapacityForClient()) {
            acceptingToReject = false;
        } else if (!acceptingToReject || !sockets.mayAccept()) {
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
        markBacklog();
        if (log.isEnabled()) {
            log.write("accepting stops", sockets);
        }
        channel.config().setAutoRead(false);
        loop.schedule(this::retryAccepting, ACCEPT_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Goes on if there is room, be it only to turn away. */
    void resume() {
        if (!paused || !channel.isOpen()) {
            return;
        }
        boolean room = sockets.hasCapacityForClient();
        acceptingToReject = !room && (acceptingToReject || nanos() - pausedNs >= MAX_QUEUE_WAIT_NS);
        if (room || acceptingToReject && sockets.mayAccept()) {
            paused = false;
            if (log.isEnabled()) {
                log.write("accepting again", sockets);
            }
            channel.config().setAutoRead(true);
        }
    }

    /** One that has become idle since makes room too, and tells nobody. */
    private void retryAccepting() {
        if (paused && channel.isOpen()) {
            sockets.freeCapacityForClient();
            resume();
            if (paused) {
                loop.schedule(this::retryAccepting, ACCEPT_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Accepts all that the system has accepted, whether there is room or not, and gives the address up. */
    void drainAndClose() {
        if (channel.isActive()) {
            long before;
            do {
                before = acceptedTotal;
                network.readNow(channel);
            } while (acceptedTotal > before);
        }
        close();
    }

    /** Gives the address up; what waits there is reset. */
    void close() {
        channel.close();
    }

    private void markBacklog() {
        if (!hasBacklog) {
            hasBacklog = true;
            backlogSinceNs = nanos() - TimeUnit.MICROSECONDS.toNanos(eventLoopDelayUs.getAsLong());
            backlogMarkNs = backlogSinceNs;
            backlogMarkAccepted = acceptedTotal;
        }
    }

    private long nanos() {
        return loop.ticker().nanoTime();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        acceptedTotal++;
        if (++acceptedThisTurn >= maxAcceptsPerTurn) {
            markBacklog(); // What comes in the batches after this one has lain there since now.
        }
        if (hasBacklog && acceptedTotal - backlogMarkAccepted >= MAX_BACKLOG_CONNECTIONS) {
            backlogSinceNs = backlogMarkNs; // Whatever lay there then has been accepted by now.
            backlogMarkNs = nanos();
            backlogMarkAccepted = acceptedTotal;
        }
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (acceptedThisTurn < maxAcceptsPerTurn && !paused) {
            hasBacklog = false;
        }
        acceptedThisTurn = 0;
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
