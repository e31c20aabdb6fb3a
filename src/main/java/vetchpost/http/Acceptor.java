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
 * Accepts client connections from one listening socket and pauses while there is no capacity. Connections in the
 * system's accept queue, and their requests, already count as accepted; therefore it reports how long they may have
 * waited there, and drains the queue before it closes the socket. {@link ClientServer} owns it and calls it on the
 * event loop.
 */
final class Acceptor extends ChannelInboundHandlerAdapter {
    private static final int MAX_BACKLOG_CONNECTIONS = 1_024;
    /** Maximum bytes read at once; everything decoded from one read is kept in memory. */
    private static final int MAX_READ_BYTES = 16_384;

    private static final long ACCEPT_RETRY_INTERVAL_MS = 20;
    /**
     * How long connections stay in the accept queue for lack of capacity; after that they are accepted to be rejected
     * with a retry-after. Longer than a connection just answered takes to count as idle.
     */
    private static final long MAX_QUEUE_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(120);

    /** Sets up an accepted connection. */
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
    /** Whether connections may be left in the accept queue. */
    private boolean hasBacklog;

    private long backlogSinceNs;
    /**
     * When the current count of accepted connections began; once it reaches the size of the queue, all that waited
     * then has been accepted.
     */
    private long backlogMarkNs;

    private long backlogMarkAccepted;

    /**
     * Creates an acceptor that does not listen yet.
     *
     * @param eventLoopDelayUs supplies the event-loop delay in microseconds: how long sockets may not have been read
     */
    Acceptor(EventLoop loop, Network network, SocketBudget sockets, RequestLog log, LongSupplier eventLoopDelayUs) {
        this.loop = loop;
        this.network = network;
        this.sockets = sockets;
        maxAcceptsPerTurn = sockets.maxAcceptsPerTurn();
        this.log = log;
        this.eventLoopDelayUs = eventLoopDelayUs;
    }

    /** Binds the address and starts accepting; the future fails if the address cannot be bound. */
    ChannelFuture listen(EventLoopGroup group, SocketAddress address, ConnectionOpener connectionOpener) {
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
                        // Always read twice, so that a close behind a request is noticed at once.
                        new AdaptiveRecvByteBufAllocator(512, 2_048, MAX_READ_BYTES)
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(2))
                .handler(this)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        connectionOpener.open(connection.pipeline());
                    }
                })
                .bind(address);
        channel = binding.channel();
        return binding;
    }

    /**
     * Returns how long a connection accepted now may have waited in the accept queue, in nanoseconds; 0 if the queue
     * was empty a turn ago and the event loop is not delayed. Callers ask at accept time, because input is read in the
     * next turn, when the event loop may no longer be delayed.
     */
    long queuedTimeNs() {
        long delayNs = TimeUnit.MICROSECONDS.toNanos(eventLoopDelayUs.getAsLong());
        return hasBacklog ? Math.max(delayNs, nanos() - backlogSinceNs) : delayNs;
    }

    /** Pauses accepting if there is no capacity left; to be called after each accepted connection. */
    void onAccepted() {
        if (sockets.hasCapacityForClient()) {
            acceptingToReject = false;
        } else if (!acceptingToReject || !sockets.mayAccept()) {
            pause();
        }
    }

    /** Leaves connections in the accept queue until there is capacity or they have waited long enough. */
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

    /** Resumes accepting if there is capacity, if only to reject connections that have waited long enough. */
    void resume() {
        if (!paused || !channel.isOpen()) {
            return;
        }
        boolean hasCapacity = sockets.hasCapacityForClient();
        acceptingToReject = !hasCapacity && (acceptingToReject || nanos() - pausedNs >= MAX_QUEUE_WAIT_NS);
        if (hasCapacity || acceptingToReject && sockets.mayAccept()) {
            paused = false;
            if (log.isEnabled()) {
                log.write("accepting again", sockets);
            }
            channel.config().setAutoRead(true);
        }
    }

    /** Polls for capacity while paused, because connections becoming idle are not reported. */
    private void retryAccepting() {
        if (paused && channel.isOpen()) {
            sockets.freeCapacityForClient();
            resume();
            if (paused) {
                loop.schedule(this::retryAccepting, ACCEPT_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Accepts all queued connections, regardless of capacity, and closes the socket. */
    void drainAndClose() {
        if (channel.isActive()) {
            long acceptedBefore;
            do {
                acceptedBefore = acceptedTotal;
                network.readNow(channel);
            } while (acceptedTotal > acceptedBefore);
        }
        close();
    }

    /** Closes the socket; connections in the accept queue are reset. */
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
            markBacklog(); // Connections accepted in later turns may have waited since now.
        }
        if (hasBacklog && acceptedTotal - backlogMarkAccepted >= MAX_BACKLOG_CONNECTIONS) {
            backlogSinceNs = backlogMarkNs; // Whatever was queued then has been accepted by now.
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

    /** Pauses accepting when the system has no descriptor left, whatever the budget counts. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (log.isEnabled()) {
            log.write("accepting failed", cause, sockets);
        }
        // Otherwise the selector would report the same connection again and again.
        pause();
        sockets.closeIdle();
    }
}
