package vetchpost.http;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.concurrent.TimeUnit;

import vetchpost.core.ClientReply;
import vetchpost.core.ClientRequest;
import vetchpost.core.RequestLog;
import vetchpost.decision.Balancer.Settings;
import vetchpost.net.Network;
import vetchpost.net.Sockets;
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
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;

/** The client side as a whole: which connections are accepted, kept and closed. */
public final class ClientServer {
    /** Marks requests of the rehearsal; its value is a token. */
    public static final String REHEARSAL = "X-Rehearsal";

    private static final int BACKLOG = 1_024;
    /** Connections accepted in one turn of the loop: with few, slow turns leave them waiting for several of
     * them; but the count of sockets may pass its bound by as many. */
    private static final int MOST_ACCEPTED = 32;
    private static final long ACCEPT_AGAIN_MS = 20;
    /** How long an idle connection is kept once there are many: some clients ask once and never close, and
     * what the others may open is spent by that. */
    private static final long KEPT_NS = TimeUnit.MILLISECONDS.toNanos(2_100);
    /** What has rested for less is not closed to make room. */
    private static final long YOUNG_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** How often connections are looked through for those that keep the node waiting. */
    private static final long SWEEP_MS = 200;
    /** Bytes read at once, at most: what is decoded of them is all kept. */
    private static final int MOST_READ = 16_384;

    /** Where requests go. */
    public interface Taker {
        /** Takes a request whose last byte was read so many microseconds ago, and owes its reply. */
        void take(ClientRequest request, ClientReply reply, long waitedUs);
    }

    private final EventLoop loop;
    private final Network network;
    private final Sockets sockets;
    private final RequestReader reader;
    private final Taker taker;
    private final ClientLine.Opener opener;
    private final RequestLog log = new RequestLog();
    private final InHand inHand = InHand.partOfHeap();
    /** Open connections that have sent a whole request; those heard from most recently last. */
    private final Set<ClientLine> connections = new LinkedHashSet<>();
    /** Those that have sent none so far, oldest first. */
    private final Set<ClientLine> silent = new LinkedHashSet<>();
    private ScheduledFuture<?> sweeper;
    private Channel listening;
    private String rehearsal;
    private Supplier<String> serving;
    private boolean ready;
    private long numbered;
    private boolean draining;
    private boolean closing;

    /** Not listening yet. */
    public ClientServer(EventLoop loop, Network network, Sockets sockets, Settings settings, Taker taker) {
        this(loop, network, sockets, settings, taker, null);
    }

    /** The same, with connections other than the platform's; null for those. */
    public ClientServer(EventLoop loop, Network network, Sockets sockets, Settings settings, Taker taker,
            ClientLine.Opener opener) {
        this.opener = opener;
        this.loop = loop;
        this.network = network;
        this.sockets = sockets;
        reader = new RequestReader(settings);
        this.taker = taker;
        sockets.clientSide(this::closeOldestIdle, this::acceptAgain);
    }

    /** Binds the address; the future tells whether it could be had. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        ChannelFuture binding = new ServerBootstrap().group(group).channelFactory(network::listening)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MOST_ACCEPTED))
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        // A second time, however little came: so the end behind a request is seen at once.
                        new AdaptiveRecvByteBufAllocator(512, 2_048, MOST_READ).respectMaybeMoreData(false)
                                .maxMessagesPerRead(2))
                .handler(new AcceptGuard())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        open(channel.pipeline());
                    }
                }).bind(address);
        listening = binding.channel();
        sweeper = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return binding;
    }

    /**
     * Binds another address and gives up the one before; connections that are open stay.
     *
     * @return tells whether it could be had; if not, the one before stays
     */
    public ChannelFuture moveTo(EventLoopGroup group, SocketAddress address) {
        Channel before = listening;
        ScheduledFuture<?> sweeping = sweeper;
        ChannelFuture binding = listen(group, address);
        binding.addListener(done -> {
            if (done.isSuccess()) {
                sweeping.cancel(false);
                before.close();
            } else {
                sweeper.cancel(false);
                sweeper = sweeping;
                listening = before;
            }
        });
        return binding;
    }

    private void sweep() {
        long now = nanos();
        for (Set<ClientLine> some : List.of(silent, connections)) {
            // A copy: what is closed is taken out at once.
            new ArrayList<>(some).forEach(c -> c.closeIfOverdue(now));
        }
        boolean closed = true;
        while (closed && sockets.areClientsMany()) {
            closed = closeOldestIdle(connections, now - KEPT_NS, "kept long");
        }
    }

    /** Requests with this token are part of the rehearsal and answered here, also those that one cut short
     * has left on the way: no server may be sent them. */
    public void setRehearsal(String token) {
        rehearsal = token;
    }

    /** From now on {@code /ready} says so; the rehearsal is over. */
    public void setReady() {
        ready = true;
    }

    /** Has {@code /ready} say by what the node serves; null for no more than that it is ready. */
    public void serving(Supplier<String> by) {
        serving = by;
    }

    String readyText() {
        return serving == null ? "ready" : "ready: " + serving.get();
    }

    /** Every answer from here on closes its connection; new connections are still taken. */
    public void drain() {
        draining = true;
    }

    /** No new connections, and none is kept that owes no answer. */
    public void stopAccepting() {
        closing = true;
        if (log.isOn()) {
            log.line("no longer listening", sockets);
        }
        if (listening != null) {
            listening.close();
        }
        for (Set<ClientLine> some : List.of(silent, connections)) {
            new ArrayList<>(some).stream().filter(ClientLine::isIdle)
                    .forEach(c -> c.close("stopping"));
        }
    }

    /** Gives up its timers and its address; connections end as they are. */
    public void close() {
        if (listening != null) {
            sweeper.cancel(false);
            listening.close();
        }
    }

    /** What requests take, over all connections. */
    public InHand inHand() {
        return inHand;
    }

    /** Whether connections end with their answers. */
    public boolean endsConnections() {
        return draining || sockets.areClientsCrowded();
    }

    /** Whether no connection is kept that owes no answer. */
    public boolean isClosing() {
        return closing;
    }

    /** Why the node is not to be sent clients, or null. */
    public String notReady() {
        return draining ? "stopping" : ready ? null : "starting";
    }

    /** Whether it is part of the rehearsal, and to be answered on the spot. */
    public boolean isRehearsal(HttpRequest http) {
        return rehearsal != null && rehearsal.equals(http.headers().get(REHEARSAL));
    }

    ClientRequest read(FullHttpRequest http) throws BadRequest {
        return reader.read(http);
    }

    /** Takes a request whose last byte was read then, by the loop's ticker, and owes its reply. */
    public void take(ClientRequest request, ClientReply reply, long arrivedNs) {
        taker.take(request, reply, (nanos() - arrivedNs) / 1_000);
    }

    /** The number of one more connection. */
    public long nextNumber() {
        return ++numbered;
    }

    /** The loop's time, also for a connection that has a loop of its own. */
    public long nanos() {
        return loop.ticker().nanoTime();
    }

    /** Sets up a connection that came another way than through the listening socket. */
    public void open(ChannelPipeline pipeline) {
        if (opener == null) {
            ClientConnection.open(this, pipeline);
        } else {
            opener.open(this, pipeline);
        }
    }

    /** Bytes that requests in hand take; 0 when there are none. */
    public long bytesInHand() {
        return inHand.bytes();
    }

    /** What becomes of connections and requests, where that is wanted. */
    public RequestLog log() {
        return log;
    }

    /** It has been accepted. */
    public void opened(ClientLine connection, long number, Channel channel) {
        sockets.addClient();
        if (log.isOn()) {
            log.line("accept", number, channel.remoteAddress(), "at", channel.localAddress(), sockets);
        }
        if (!sockets.makeClientRoom()) {
            pauseAccepting();
        }
        silent.add(connection);
    }

    /** It has sent a whole request. */
    public void heardFrom(ClientLine connection) {
        if (silent.remove(connection) || connections.remove(connection)) {
            connections.add(connection);
        }
    }

    /** It has closed. */
    public void closed(ClientLine connection) {
        if (silent.remove(connection) || connections.remove(connection)) {
            sockets.removeClient();
        }
    }

    /** Whether all that was taken has been answered and written. */
    public boolean isDone() {
        return connections.isEmpty() && silent.isEmpty();
    }

    /**
     * Those first that never asked: closing another can cross its next request. But none that has only just
     * come or been answered: the system may hold its request already, unread while others are accepted.
     */
    private boolean closeOldestIdle() {
        long beforeNs = nanos() - YOUNG_NS;
        return closeOldestIdle(silent, beforeNs, "room, silent")
                || closeOldestIdle(connections, beforeNs, "room, idle");
    }

    private boolean closeOldestIdle(Set<ClientLine> some, long beforeNs, String why) {
        for (ClientLine connection : some) {
            if (connection.isIdle() && connection.restingSinceNs() - beforeNs < 0) {
                connection.close(why);
                // Counted off here: Netty tells of it only later, and what waits would take it for no room.
                closed(connection);
                return true;
            }
        }
        return false;
    }

    /** Connections then wait in the system's queue. */
    private void pauseAccepting() {
        if (listening != null) {
            if (log.isOn()) {
                log.line("accepting stops", sockets);
            }
            listening.config().setAutoRead(false);
            loop.schedule(this::acceptLater, ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** One that has become idle since makes room too, and tells nobody. */
    private void acceptLater() {
        if (listening.isOpen() && !listening.config().isAutoRead()) {
            if (sockets.makeClientRoom()) {
                acceptAgain();
            } else {
                loop.schedule(this::acceptLater, ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void acceptAgain() {
        if (listening != null && listening.isOpen() && !listening.config().isAutoRead()
                && sockets.isClientRoom()) {
            if (log.isOn()) {
                log.line("accepting again", sockets);
            }
            listening.config().setAutoRead(true);
        }
    }

    /** Stops accepting when the system has no descriptor left, whatever the count says. */
    private final class AcceptGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (log.isOn()) {
                log.line("accepting failed", cause, sockets);
            }
            // Left alone, the selector would report the same connection without end.
            pauseAccepting();
            sockets.closeIdle();
        }
    }
}
