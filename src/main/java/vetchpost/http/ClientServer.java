package vetchpost.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
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
import vetchpost.core.ServerResponse;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;

/**
 * Accepts client connections and decides which are kept and which are closed. It listens on one address, closes
 * idle and overdue connections, answers readiness and rehearsal requests, and passes all other requests to a
 * {@link RequestHandler}. The node starts, drains and closes it. All calls come on its event loop.
 */
public final class ClientServer {
    /**
     * Lower bound of the request timeout. The timeout is the longest deadline of the request classes, within these
     * bounds; it limits the wait for a connection's first request, the reception of a request from first byte to
     * last, and the reading of a response by the client.
     */
    private static final long MIN_REQUEST_TIMEOUT_US = 2_000_000;
    /** The protocol's longest deadline: nobody waits longer for the response to a partial request. */
    private static final long MAX_REQUEST_TIMEOUT_US = 3_000_000;
    /**
     * How long idle connections are kept while there are many: clients that send one request and never close would
     * otherwise use up the connections of the others.
     */
    private static final long MAX_IDLE_NS = TimeUnit.MILLISECONDS.toNanos(2_100);
    /** Connections idle for less are not closed to free capacity: their next request may be on its way. */
    private static final long MIN_IDLE_BEFORE_CLOSE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** How often connections are checked for timeouts. */
    private static final long SWEEP_INTERVAL_MS = 200;
    /** How long a new connection may stay without a request once the node no longer accepts connections. */
    private static final long DRAIN_SILENCE_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final String PLAIN_TEXT = "text/plain; charset=utf-8";
    private static final byte[] REHEARSED = "rehearsed\n".getBytes(StandardCharsets.US_ASCII);

    /** Receives the requests of all connections. */
    public interface RequestHandler {
        /**
         * Handles a request and sends its reply, now or later.
         *
         * @param waitedUs time since the request's last byte arrived, in microseconds
         */
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
    /** Open connections that have sent a complete request, the one with the most recent request last. */
    private final Set<ManagedConnection> connections = new LinkedHashSet<>();
    /** Open connections without a complete request so far, oldest first. */
    private final Set<ManagedConnection> connectionsWithoutRequest = new LinkedHashSet<>();

    private ScheduledFuture<?> sweeper;
    private Acceptor acceptor;
    private LongSupplier eventLoopDelayUs = () -> 0;
    private final long retryAfterUs;
    private final long requestTimeoutNs;
    private long acceptDelayNs;
    private long lastSweepNs;
    private boolean skippedLateSweep;
    private final RehearsalConnections rehearsalConnections = new RehearsalConnections();
    private Supplier<String> readinessDetail;
    private Supplier<String> readinessNote;
    private boolean ready;
    private long lastConnectionId;
    private boolean draining;
    private boolean closing;

    /** Creates a server for the platform's protocol that does not listen yet. */
    public ClientServer(
            EventLoop loop, Network network, SocketBudget sockets, Settings settings, RequestHandler requestHandler) {
        this(loop, network, sockets, settings, requestHandler, null);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param connectionInitializer sets up accepted connections; null for the platform's protocol
     */
    public ClientServer(
            EventLoop loop,
            Network network,
            SocketBudget sockets,
            Settings settings,
            RequestHandler requestHandler,
            ManagedConnection.ConnectionInitializer connectionInitializer) {
        this.connectionInitializer = connectionInitializer;
        this.loop = loop;
        this.network = network;
        this.sockets = sockets;
        reader = new RequestReader(settings);
        retryAfterUs = settings.maxRetryAfterUs;
        long longestDeadlineUs = settings.classes.stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        requestTimeoutNs = TimeUnit.MICROSECONDS.toNanos(
                Math.min(MAX_REQUEST_TIMEOUT_US, Math.max(MIN_REQUEST_TIMEOUT_US, longestDeadlineUs)));
        this.requestHandler = requestHandler;
        sockets.setClientSide(this::closeOldestIdle, this::onCapacityAvailable);
    }

    /** Binds the address and starts accepting; the future fails if the address cannot be bound. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        acceptor = new Acceptor(loop, network, sockets, log, eventLoopDelayUs);
        ChannelFuture binding = acceptor.listen(group, address, this::open);
        lastSweepNs = nanos();
        sweeper = loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return binding;
    }

    /**
     * Binds another address and then releases the previous one; open connections stay.
     *
     * @return fails if the address cannot be bound; the previous one is kept then
     */
    public ChannelFuture rebind(EventLoopGroup group, SocketAddress address) {
        Acceptor previousAcceptor = acceptor;
        ScheduledFuture<?> previousSweeper = sweeper;
        ChannelFuture binding = listen(group, address);
        binding.addListener(done -> {
            if (done.isSuccess()) {
                previousSweeper.cancel(false);
                previousAcceptor.drainAndClose();
            } else {
                sweeper.cancel(false);
                sweeper = previousSweeper;
                acceptor = previousAcceptor;
            }
        });
        return binding;
    }

    /** Sets the source of the event-loop delay in microseconds; to be called before {@link #listen}. */
    public void setEventLoopDelay(LongSupplier delayUs) {
        eventLoopDelayUs = delayUs;
    }

    private void sweep() {
        long now = nanos();
        boolean isLate = now - lastSweepNs > TimeUnit.MILLISECONDS.toNanos(2 * SWEEP_INTERVAL_MS);
        lastSweepNs = now;
        if (isLate && !skippedLateSweep) {
            // The event loop was delayed: input that arrived in time is still unread and output still unwritten.
            // Both are handled by the next sweep.
            skippedLateSweep = true;
            return;
        }
        skippedLateSweep = false;
        for (Set<ManagedConnection> candidates : List.of(connectionsWithoutRequest, connections)) {
            // Iterate over a copy: closing removes a connection from the set.
            new ArrayList<>(candidates).forEach(c -> c.closeIfOverdue(now));
        }
        boolean closed = true;
        while (closed && sockets.hasManyClients()) {
            closed = closeOldestIdle(connections, now - MAX_IDLE_NS, "kept long");
        }
        if (closing) {
            closeIdleConnections();
        }
    }

    /** The connections of the node's rehearsal, whose requests are answered here and never passed on. */
    public RehearsalConnections rehearsalConnections() {
        return rehearsalConnections;
    }

    /** Sets up a connection of the rehearsal that does not come through a socket. */
    public void openForRehearsal(ChannelPipeline pipeline) {
        rehearsalConnections.addAccepted(pipeline.channel());
        open(pipeline);
    }

    /** Has {@code /ready} report the node as ready from now on. */
    public void setReady() {
        ready = true;
    }

    /** Sets the text that {@code /ready} adds on what state the node serves from; null for none. */
    public void setReadinessDetail(Supplier<String> detail) {
        readinessDetail = detail;
    }

    /** Sets an additional note for {@code /ready}; none is added while the supplier returns null. */
    public void setReadinessNote(Supplier<String> note) {
        readinessNote = note;
    }

    String readyText() {
        String text = readinessDetail == null ? "ready" : "ready: " + readinessDetail.get();
        String note = readinessNote == null ? null : readinessNote.get();
        return note == null ? text : text + "; " + note;
    }

    /** Closes each connection with its next response from now on; new connections are still accepted. */
    public void drain() {
        draining = true;
    }

    /** Stops accepting connections and closes idle ones from now on; pending requests are still answered. */
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

    /** Closes idle connections, except for those just accepted, whose first request may be on its way. */
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

    /** Closes the connection if it is idle, even after pending input has been read; returns whether it closed it. */
    private boolean closeIfIdle(ManagedConnection connection, String reason) {
        if (!connection.isIdle()) {
            return false;
        }
        connection.readNow();
        if (!connection.isIdle()) {
            return false;
        }
        connection.close(reason);
        return true;
    }

    /** Cancels the timer and releases the address; open connections are left as they are. */
    public void close() {
        if (acceptor != null) {
            sweeper.cancel(false);
            acceptor.close();
        }
    }

    /** The memory budget of requests, shared by all connections. */
    public RequestMemory requestMemory() {
        return requestMemory;
    }

    /** Whether connections are closed after their responses. */
    public boolean closesAfterResponse() {
        return draining || sockets.shouldCloseAfterResponse();
    }

    /** Whether idle connections are closed because the node stops. */
    public boolean isClosing() {
        return closing;
    }

    /** Why the node is not ready for clients, or null if it is. */
    public String notReadyReason() {
        return draining ? "stopping" : ready ? null : "starting";
    }

    ClientRequest read(FullHttpRequest http) throws BadRequest {
        return reader.read(http);
    }

    /**
     * Passes a request to the request handler. Requests of the rehearsal end here, whatever protocol they came by: no
     * server may receive a request that no client has sent.
     *
     * @param channel the connection that the request came on
     * @param arrivedNs when its last byte arrived, in nanoseconds by the loop's ticker
     */
    public void handle(Channel channel, ClientRequest request, ClientReply reply, long arrivedNs) {
        if (rehearsalConnections.contains(channel)) {
            reply.served(new ServerResponse(HttpResponseStatus.OK.code(), PLAIN_TEXT, REHEARSED));
            return;
        }
        requestHandler.handle(request, reply, (nanos() - arrivedNs) / 1_000);
    }

    /** Returns the number for a new connection, starting with 1. */
    public long nextConnectionId() {
        return ++lastConnectionId;
    }

    /** The loop's ticker in nanoseconds; connections on another loop use it too. */
    public long nanos() {
        return loop.ticker().nanoTime();
    }

    /** Sets up an accepted connection, or one that did not come through the listening socket. */
    public void open(ChannelPipeline pipeline) {
        if (connectionInitializer == null) {
            ClientConnection.open(this, pipeline);
        } else {
            connectionInitializer.open(this, pipeline);
        }
    }

    /** Memory reserved for requests, in bytes; 0 when there are none. */
    public long pendingRequestBytes() {
        return requestMemory.bytes();
    }

    /** The log of connections and requests; off unless enabled. */
    public RequestLog log() {
        return log;
    }

    /**
     * Registers an accepted connection and frees capacity if needed.
     *
     * @return whether the connection limit is exceeded; if it still is when the first request arrives, that request
     *     is rejected
     */
    public boolean onOpened(ManagedConnection connection, long number, Channel channel) {
        sockets.addClient();
        rehearsalConnections.onAccepted(channel);
        if (log.isEnabled()) {
            log.write("accept", number, channel.remoteAddress(), "at", channel.localAddress(), sockets);
        }
        sockets.freeCapacityForClient();
        if (acceptor != null) {
            acceptor.onAccepted();
        }
        connectionsWithoutRequest.add(connection);
        boolean overLimit = isOverConnectionLimit();
        acceptDelayNs = acceptor == null ? 0 : acceptor.queuedTimeNs();
        if (acceptDelayNs > 0) {
            // Read now, so that input which waited in the accept queue is told from input that arrives later.
            connection.readNow();
            acceptDelayNs = 0;
        }
        return overLimit;
    }

    /** Reads what the system holds for a connection, without waiting for the event loop. */
    public void readNow(Channel channel) {
        network.readNow(channel);
    }

    /** How long input read at this moment may have waited in the accept queue, in nanoseconds. */
    public long acceptDelayNs() {
        return acceptDelayNs;
    }

    /** Whether the connection limit is exceeded, so that requests on new connections are rejected. */
    public boolean isOverConnectionLimit() {
        return sockets.isOverClientLimit();
    }

    /** Time limit for receiving a request and for the client to read a response, in nanoseconds. */
    long requestTimeoutNs() {
        return requestTimeoutNs;
    }

    /** The retry-after of requests rejected here, in microseconds; 0 for none. */
    public long retryAfterUs() {
        return retryAfterUs;
    }

    /** Records that a connection has sent a complete request. */
    public void onRequestReceived(ManagedConnection connection) {
        if (connectionsWithoutRequest.remove(connection) || connections.remove(connection)) {
            connections.add(connection);
        }
    }

    /** Records that a connection has closed; repeated calls have no effect. */
    public void onClosed(ManagedConnection connection) {
        if (connectionsWithoutRequest.remove(connection) || connections.remove(connection)) {
            sockets.removeClient();
        }
    }

    /** Whether no connection is open any more. */
    public boolean isDone() {
        return connections.isEmpty() && connectionsWithoutRequest.isEmpty();
    }

    /**
     * Closes the oldest idle connection. Connections without a request go first, since closing another one can race
     * with its next request. Connections just accepted or answered are kept: their request may already be in
     * the socket, unread while others are accepted.
     */
    private boolean closeOldestIdle() {
        long beforeNs = nanos() - MIN_IDLE_BEFORE_CLOSE_NS;
        return closeOldestIdle(connectionsWithoutRequest, beforeNs, "room, silent")
                || closeOldestIdle(connections, beforeNs, "room, idle");
    }

    private boolean closeOldestIdle(Set<ManagedConnection> candidates, long beforeNs, String reason) {
        // Searched anew each time: reading a request moves its connection to the end of the set.
        for (ManagedConnection connection = oldestIdle(candidates, beforeNs);
                connection != null;
                connection = oldestIdle(candidates, beforeNs)) {
            if (closeIfIdle(connection, reason)) {
                // Counted here because Netty reports the close only in a later task.
                onClosed(connection);
                return true;
            }
        }
        return false;
    }

    private static ManagedConnection oldestIdle(Set<ManagedConnection> candidates, long beforeNs) {
        for (ManagedConnection connection : candidates) {
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
