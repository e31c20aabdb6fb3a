package vetchpost.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import vetchpost.core.ClientReply;
import vetchpost.core.ClientRequest;
import vetchpost.core.RequestLog;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;

/** The client side as a whole: which connections are accepted, kept and closed. */
public final class ClientServer {
    /** Marks requests of the rehearsal; its value is a token. */
    public static final String REHEARSAL_HEADER = "X-Rehearsal";

    /** How long a connection may be without a whole request at its start, and how long one may take from its
     * first byte to its last, or an answer to be read: the longest that a client waits for an answer, by the
     * settings, but no less than this ... */
    private static final long MIN_REQUEST_TIMEOUT_US = 2_000_000;
    /** ... and no more than the longest deadline of the protocol: half a request is not worth waiting for. */
    private static final long MAX_REQUEST_TIMEOUT_US = 3_000_000;
    /** How long an idle connection is kept once there are many: some clients ask once and never close, and
     * what the others may open is spent by that. */
    private static final long MAX_IDLE_NS = TimeUnit.MILLISECONDS.toNanos(2_100);
    /** What has rested for less is not closed to make room. */
    private static final long MIN_IDLE_BEFORE_CLOSE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** How often connections are looked through for those that keep the node waiting. */
    private static final long SWEEP_INTERVAL_MS = 200;
    /** How long a new connection may stay without a request after the word to stop. */
    private static final long DRAIN_SILENCE_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Where requests go. */
    public interface RequestHandler {
        /** Takes a request whose last byte was read so many microseconds ago, and owes its reply. */
        void handle(ClientRequest request, ClientReply reply, long waitedUs);
    }

    private final EventLoop loop;
    private final Network network;
    private final SocketBudget sockets;
    private final RequestReader reader;
    private final RequestHandler requestHandler;
    private final ManagedConnection.ConnectionInitializer connectionInitializer;
    private final RequestLog log = new RequestLog();
    private final RequestMemory requestMemory = RequestMemory.fractionOfHeap();
    /** Open connections that have sent a whole request; those heard from most recently last. */
    private final Set<ManagedConnection> connections = new LinkedHashSet<>();
    /** Those that have sent none so far, oldest first. */
    private final Set<ManagedConnection> connectionsWithoutRequest = new LinkedHashSet<>();

    private ScheduledFuture<?> sweeper;
    private Acceptor acceptor;
    private LongSupplier eventLoopDelayUs = () -> 0;
    private final long retryAfterUs;
    private final long requestTimeoutNs;
    private long acceptDelayNs;
    private long lastSweepNs;
    private boolean skippedLateSweep;
    private String rehearsalToken;
    private Supplier<String> readinessDetail;
    private Supplier<String> readinessNote;
    private boolean ready;
    private long lastConnectionId;
    private boolean draining;
    private boolean closing;

    /** Not listening yet. */
    public ClientServer(
            EventLoop loop, Network network, SocketBudget sockets, Settings settings, RequestHandler taker) {
        this(loop, network, sockets, settings, taker, null);
    }

    /** The same, with connections other than the platform's; null for those. */
    public ClientServer(
            EventLoop loop,
            Network network,
            SocketBudget sockets,
            Settings settings,
            RequestHandler taker,
            ManagedConnection.ConnectionInitializer opener) {
        this.connectionInitializer = opener;
        this.loop = loop;
        this.network = network;
        this.sockets = sockets;
        reader = new RequestReader(settings);
        retryAfterUs = settings.maxRetryAfterUs;
        long longestUs = settings.classes.stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        requestTimeoutNs = TimeUnit.MICROSECONDS.toNanos(
                Math.min(MAX_REQUEST_TIMEOUT_US, Math.max(MIN_REQUEST_TIMEOUT_US, longestUs)));
        this.requestHandler = taker;
        sockets.setClientSide(this::closeOldestIdle, this::onCapacityAvailable);
    }

    /** Binds the address; the future tells whether it could be had. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        acceptor = new Acceptor(loop, network, sockets, log, eventLoopDelayUs);
        ChannelFuture binding = acceptor.listen(group, address, this::open);
        lastSweepNs = nanos();
        sweeper = loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return binding;
    }

    /**
     * Binds another address and gives up the one before; connections that are open stay.
     *
     * @return tells whether it could be had; if not, the one before stays
     */
    public ChannelFuture rebind(EventLoopGroup group, SocketAddress address) {
        Acceptor before = acceptor;
        ScheduledFuture<?> sweeping = sweeper;
        ChannelFuture binding = listen(group, address);
        binding.addListener(done -> {
            if (done.isSuccess()) {
                sweeping.cancel(false);
                before.drainAndClose();
            } else {
                sweeper.cancel(false);
                sweeper = sweeping;
                acceptor = before;
            }
        });
        return binding;
    }

    /** How far the loop may be behind its sockets, in microseconds; to be told before it listens. */
    public void setEventLoopDelay(LongSupplier us) {
        eventLoopDelayUs = us;
    }

    private void sweep() {
        long now = nanos();
        boolean late = now - lastSweepNs > TimeUnit.MILLISECONDS.toNanos(2 * SWEEP_INTERVAL_MS);
        lastSweepNs = now;
        if (late && !skippedLateSweep) {
            // The loop was held up: what came in time lies unread, and what was written waits. By the next
            // time it has been read.
            skippedLateSweep = true;
            return;
        }
        skippedLateSweep = false;
        for (Set<ManagedConnection> some : List.of(connectionsWithoutRequest, connections)) {
            // A copy: what is closed is taken out at once.
            new ArrayList<>(some).forEach(c -> c.closeIfOverdue(now));
        }
        boolean closed = true;
        while (closed && sockets.hasManyClients()) {
            closed = closeOldestIdle(connections, now - MAX_IDLE_NS, "kept long");
        }
        if (closing) {
            closeIdleConnections();
        }
    }

    /** Requests with this token are part of the rehearsal and answered here, also those that one cut short
     * has left on the way: no server may be sent them. */
    public void setRehearsal(String token) {
        rehearsalToken = token;
    }

    /** From now on {@code /ready} says so; the rehearsal is over. */
    public void setReady() {
        ready = true;
    }

    /** Has {@code /ready} say by what the node serves; null for no more than that it is ready. */
    public void setReadinessDetail(Supplier<String> by) {
        readinessDetail = by;
    }

    /** Has {@code /ready} say this besides; what is null says nothing. */
    public void setReadinessNote(Supplier<String> line) {
        readinessNote = line;
    }

    String readyText() {
        String text = readinessDetail == null ? "ready" : "ready: " + readinessDetail.get();
        String more = readinessNote == null ? null : readinessNote.get();
        return more == null ? text : text + "; " + more;
    }

    /** Every answer from here on closes its connection; new connections are still taken. */
    public void drain() {
        draining = true;
    }

    /** No new connections, and none is kept that owes no answer. */
    public void stopAccepting() {
        closing = true;
        if (log.isEnabled()) {
            log.write("no longer listening", sockets);
        }
        if (acceptor != null) {
            acceptor.drainAndClose();
        }
        closeIdleConnections();
    }

    /** Ends what owes no answer, but for what has only just come: its request may be on its way. */
    private void closeIdleConnections() {
        long beforeNs = nanos() - DRAIN_SILENCE_TIMEOUT_NS;
        for (ManagedConnection connection : new ArrayList<>(connections)) {
            closeIfIdle(connection, "stopping");
        }
        for (ManagedConnection connection : new ArrayList<>(connectionsWithoutRequest)) {
            if (connection.idleSinceNs() - beforeNs < 0) {
                closeIfIdle(connection, "stopping");
            }
        }
    }

    /** Closes it if it is idle, also after a last look at what the system holds of it. */
    private boolean closeIfIdle(ManagedConnection connection, String why) {
        if (!connection.isIdle()) {
            return false;
        }
        connection.readNow();
        if (!connection.isIdle()) {
            return false;
        }
        connection.close(why);
        return true;
    }

    /** Gives up its timers and its address; connections end as they are. */
    public void close() {
        if (acceptor != null) {
            sweeper.cancel(false);
            acceptor.close();
        }
    }

    /** What requests take, over all connections. */
    public RequestMemory requestMemory() {
        return requestMemory;
    }

    /** Whether connections end with their answers. */
    public boolean closesAfterResponse() {
        return draining || sockets.shouldCloseAfterResponse();
    }

    /** Whether no connection is kept that owes no answer. */
    public boolean isClosing() {
        return closing;
    }

    /** Why the node is not to be sent clients, or null. */
    public String notReadyReason() {
        return draining ? "stopping" : ready ? null : "starting";
    }

    /** Whether it is part of the rehearsal, and to be answered on the spot. */
    public boolean isRehearsal(HttpRequest http) {
        return rehearsalToken != null && rehearsalToken.equals(http.headers().get(REHEARSAL_HEADER));
    }

    ClientRequest read(FullHttpRequest http) throws BadRequest {
        return reader.read(http);
    }

    /** Takes a request whose last byte was read then, by the loop's ticker, and owes its reply. */
    public void handle(ClientRequest request, ClientReply reply, long arrivedNs) {
        requestHandler.handle(request, reply, (nanos() - arrivedNs) / 1_000);
    }

    /** The number of one more connection. */
    public long nextConnectionId() {
        return ++lastConnectionId;
    }

    /** The loop's time, also for a connection that has a loop of its own. */
    public long nanos() {
        return loop.ticker().nanoTime();
    }

    /** Sets up a connection that came another way than through the listening socket. */
    public void open(ChannelPipeline pipeline) {
        if (connectionInitializer == null) {
            ClientConnection.open(this, pipeline);
        } else {
            connectionInitializer.open(this, pipeline);
        }
    }

    /** Bytes that requests in hand take; 0 when there are none. */
    public long pendingRequestBytes() {
        return requestMemory.bytes();
    }

    /** What becomes of connections and requests, where that is wanted. */
    public RequestLog log() {
        return log;
    }

    /**
     * It has been accepted.
     *
     * @return whether it is one more than are served: if that is still so when its request comes, that is
     * refused
     */
    public boolean onOpened(ManagedConnection connection, long number, Channel channel) {
        sockets.addClient();
        if (log.isEnabled()) {
            log.write("accept", number, channel.remoteAddress(), "at", channel.localAddress(), sockets);
        }
        sockets.freeCapacityForClient();
        if (acceptor != null) {
            acceptor.onAccepted();
        }
        connectionsWithoutRequest.add(connection);
        boolean unwelcome = isOverConnectionLimit();
        acceptDelayNs = acceptor == null ? 0 : acceptor.queuedTimeNs();
        if (acceptDelayNs > 0) {
            // Now, so that what has lain there with it is known from what comes later.
            connection.readNow();
            acceptDelayNs = 0;
        }
        return unwelcome;
    }

    /** Reads what the system holds for a connection, without waiting for the loop. */
    public void readNow(Channel channel) {
        network.readNow(channel);
    }

    /** For how long what is read just now may have lain with its connection before that was accepted. */
    public long acceptDelayNs() {
        return acceptDelayNs;
    }

    /** Whether there are more connections than are served: what comes on new ones is refused. */
    public boolean isOverConnectionLimit() {
        return sockets.isOverClientLimit();
    }

    /** How long a client may keep the node waiting, in nanoseconds. */
    long requestTimeoutNs() {
        return requestTimeoutNs;
    }

    /** What those are told. */
    public long retryAfterUs() {
        return retryAfterUs;
    }

    /** It has sent a whole request. */
    public void onRequestReceived(ManagedConnection connection) {
        if (connectionsWithoutRequest.remove(connection) || connections.remove(connection)) {
            connections.add(connection);
        }
    }

    /** It has closed. */
    public void onClosed(ManagedConnection connection) {
        if (connectionsWithoutRequest.remove(connection) || connections.remove(connection)) {
            sockets.removeClient();
        }
    }

    /** Whether all that was taken has been answered and written. */
    public boolean isDone() {
        return connections.isEmpty() && connectionsWithoutRequest.isEmpty();
    }

    /**
     * Those first that never asked: closing another can cross its next request. But none that has only just
     * come or been answered: the system may hold its request already, unread while others are accepted.
     */
    private boolean closeOldestIdle() {
        long beforeNs = nanos() - MIN_IDLE_BEFORE_CLOSE_NS;
        return closeOldestIdle(connectionsWithoutRequest, beforeNs, "room, silent")
                || closeOldestIdle(connections, beforeNs, "room, idle");
    }

    private boolean closeOldestIdle(Set<ManagedConnection> some, long beforeNs, String why) {
        // Looked for anew each time: what the last look brings puts a connection behind the others.
        for (ManagedConnection connection = oldestIdle(some, beforeNs);
                connection != null;
                connection = oldestIdle(some, beforeNs)) {
            if (closeIfIdle(connection, why)) {
                // Counted off here: Netty tells of it only later, and what waits would take it for no room.
                onClosed(connection);
                return true;
            }
        }
        return false;
    }

    private static ManagedConnection oldestIdle(Set<ManagedConnection> some, long beforeNs) {
        for (ManagedConnection connection : some) {
            if (connection.isIdle() && connection.idleSinceNs() - beforeNs < 0) {
                return connection;
            }
        }
        return null;
    }

    private void onCapacityAvailable() {
        if (acceptor != null) {
            acceptor.resume();
        }
    }
}
