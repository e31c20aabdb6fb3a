package vetchpost.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import vetchpost.core.ServerList;
import vetchpost.core.ServerResponse;
import vetchpost.core.ServerTransport;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;

/**
 * Keeps the connections to servers and sends attempts on them, one request per connection at a time. The
 * dispatcher chooses the server and calls {@link #send}; each attempt is sent at most once and reported exactly
 * once, and nothing here retries. Idle connections are reused most recent first. All calls come on the pool's
 * event loop.
 */
public final class ServerPool implements ServerTransport {
    private static final long SWEEP_INTERVAL_MS = 500;

    /** Supplies the request of an attempt and receives its result. */
    interface ExchangeSource extends AttemptListener {
        /** Creates the exchange; called once, when a connection is available for it. */
        Exchange exchange();
    }

    /** Address, connections and waiting attempts of one server. */
    private static final class Server {
        InetSocketAddress address;
        long bootMs;
        boolean gone;
        /** Incremented on each change of address or process; connections of an earlier generation are not reused. */
        int generation;

        int pendingConnects;
        /** When the server last completed a response, by the loop's ticker. */
        long lastResponseNs;
        /** Most recently used first. */
        final Deque<Connection> idleConnections = new ArrayDeque<>();

        final Deque<Attempt> waitingAttempts = new ArrayDeque<>();

        Server(long createdNs) {
            this.lastResponseNs = createdNs;
        }
    }

    /** One request to one server, waiting for a connection or sent. */
    final class Attempt implements ServerTransport.Attempt {
        private final Server server;
        private final ExchangeSource source;
        private Connection connection;
        private long sentNs;
        private boolean ended;

        private Attempt(Server server, ExchangeSource source) {
            this.server = server;
            this.source = source;
        }

        @Override
        public boolean mayHaveReachedServer() {
            return connection != null;
        }

        /**
         * Ends the attempt. If it was never sent it is reported as MOOT, or as CONNECT_FAILED on a timeout, so that
         * an unreachable server does not look untried. A request that was not written whole cannot have run
         * and is reported as CONNECT_FAILED. Otherwise {@code result} is reported.
         */
        @Override
        public void abandon(Result result) {
            if (ended) {
                return;
            }
            if (connection == null) {
                server.waitingAttempts.remove(this);
                end(result == Result.TIMEOUT ? Result.CONNECT_FAILED : Result.MOOT, null);
                return;
            }
            Connection usedConnection = connection;
            if (result == Result.TIMEOUT) {
                // A delayed event loop may run this timer before it reads a response that arrived in time, so
                // read the socket first. A response that arrived just after the deadline is accepted too.
                usedConnection.isOpenAfterRead();
                if (ended) {
                    return;
                }
            }
            usedConnection.attempt = null;
            usedConnection.exchange.abort();
            // The response may still arrive, so the connection cannot carry another request.
            usedConnection.channel.close();
            if (result == Result.TIMEOUT && server.lastResponseNs - sentNs < 0) {
                // No response at all since this request was sent: the server is probably unresponsive, and each
                // idle connection would cost another timeout.
                closeIdle(server);
            }
            end(usedConnection.requestWritten ? result : Result.CONNECT_FAILED, null);
        }

        private void end(Result result, ServerResponse response) {
            if (!ended) {
                ended = true;
                source.onEnded(result, response);
            }
        }
    }

    private final EventLoop loop;
    private final Network network;
    private final SocketBudget sockets;
    private final Exchange.Factory exchangeFactory;
    private final Bootstrap bootstrap;
    private final long maxIdleNs;
    private final ScheduledFuture<?> sweeper;
    private final BooleanSupplier idleCloser = this::closeOldestIdle;
    private final Map<String, Server> servers = new HashMap<>();

    /**
     * Creates an empty pool that exchanges requests in the platform's protocol.
     *
     * @param connectTimeoutUs time limit for establishing a connection, in microseconds
     * @param serverIdleTimeoutUs time after which servers close idle connections, in microseconds
     */
    public ServerPool(
            EventLoop loop, Network network, SocketBudget sockets, long connectTimeoutUs, long serverIdleTimeoutUs) {
        this(loop, network, sockets, connectTimeoutUs, serverIdleTimeoutUs, null);
    }

    /**
     * Creates an empty pool.
     *
     * @param connectTimeoutUs time limit for establishing a connection, in microseconds
     * @param serverIdleTimeoutUs time after which servers close idle connections, in microseconds
     * @param exchangeFactory creates the exchanges of attempts; null for the platform's protocol
     */
    public ServerPool(
            EventLoop loop,
            Network network,
            SocketBudget sockets,
            long connectTimeoutUs,
            long serverIdleTimeoutUs,
            Exchange.Factory exchangeFactory) {
        this.exchangeFactory = exchangeFactory;
        this.loop = loop;
        this.network = network;
        this.sockets = sockets;
        // Half the server's timeout, because a request written while the server closes the connection may have run.
        maxIdleNs = TimeUnit.MICROSECONDS.toNanos(serverIdleTimeoutUs) / 2;
        bootstrap = new Bootstrap()
                .group(loop)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000))
                .option(ChannelOption.TCP_NODELAY, true);
        sockets.addServerSide(idleCloser);
        sweeper = loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        sweeper.cancel(false);
        sockets.removeServerSide(idleCloser);
        for (Server server : servers.values()) {
            server.gone = true;
            closeIdle(server);
        }
    }

    @Override
    public void update(ServerList list) {
        Set<String> listedIds = new HashSet<>();
        for (ServerList.Target target : list.targets()) {
            listedIds.add(target.id());
            Server server = servers.computeIfAbsent(target.id(), id -> new Server(nanos()));
            boolean moved = server.address != null && !server.address.equals(target.address());
            boolean restarted = target.bootMs() > server.bootMs;
            server.address = target.address();
            server.bootMs = target.bootMs();
            server.gone = target.state() == ServerState.GONE;
            if (target.state() != ServerState.READY) {
                failWaitingAttempts(server);
            }
            if (moved || restarted) {
                server.generation++;
                server.pendingConnects = 0;
                closeIdle(server);
                // The connects in progress went to the old address: start one for each waiting attempt.
                for (int i = server.waitingAttempts.size(); i > 0; i--) {
                    connect(server);
                }
            }
        }
        if (list.isFull()) {
            servers.forEach((id, server) -> server.gone |= !listedIds.contains(id));
            servers.values().stream().filter(s -> s.gone).forEach(ServerPool::release);
            servers.values().removeIf(s -> s.gone && s.waitingAttempts.isEmpty());
        } else {
            listedIds.forEach(this::removeIfGone);
        }
    }

    private void removeIfGone(String id) {
        Server server = servers.get(id);
        if (server.gone) {
            release(server);
            if (server.waitingAttempts.isEmpty()) {
                servers.remove(id);
            }
        }
    }

    private long nanos() {
        return loop.ticker().nanoTime();
    }

    @Override
    public ServerTransport.Attempt send(String serverId, OutgoingRequest request) {
        return start(serverId, new ExchangeSource() {
            @Override
            public Exchange exchange() {
                return exchangeFactory != null
                        ? exchangeFactory.create(request)
                        : new PlainExchange(HeaderFields.message(request.request(), request.responseTimeoutUs()));
            }

            @Override
            public void onEnded(Result result, ServerResponse response) {
                request.onEnded(result, response);
            }
        });
    }

    @Override
    public ServerTransport.Attempt probe(String serverId, AttemptListener listener) {
        return start(serverId, new ExchangeSource() {
            @Override
            public Exchange exchange() {
                FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/health");
                message.headers().set(HttpHeaderNames.HOST, "backend.local");
                return new PlainExchange(message);
            }

            @Override
            public void onEnded(Result result, ServerResponse response) {
                listener.onEnded(result, response);
            }
        });
    }

    /** Starts an attempt; {@code source} may be notified of its end before this returns. */
    Attempt start(String serverId, ExchangeSource source) {
        Server server = servers.get(serverId);
        Attempt attempt = new Attempt(server, source);
        if (server == null) {
            attempt.end(Result.CONNECT_FAILED, null);
            return attempt;
        }
        Connection connection = pollIdleConnection(server);
        if (connection != null) {
            connection.send(attempt);
        } else {
            server.waitingAttempts.add(attempt);
            connect(server);
        }
        return attempt;
    }

    private Connection pollIdleConnection(Server server) {
        Connection connection = server.idleConnections.poll();
        while (connection != null && (nanos() - connection.idleSinceNs > maxIdleNs || !connection.isOpenAfterRead())) {
            connection.channel.close();
            connection = server.idleConnections.poll();
        }
        return connection;
    }

    private void connect(Server server) {
        int generation = server.generation;
        server.pendingConnects++;
        if (!sockets.addServer()) {
            onConnectFailed(server, generation);
            return;
        }
        Channel channel;
        try {
            channel = network.newClientChannel();
        } catch (ChannelException e) {
            // Most likely out of file descriptors: closing an idle connection lets the next connect succeed.
            sockets.removeServer();
            sockets.closeIdle();
            onConnectFailed(server, generation);
            return;
        }
        channel.closeFuture().addListener(closed -> sockets.removeServer());
        ResponseReader.Decoder decoder = new ResponseReader.Decoder();
        Connection connection = new Connection(server, generation, channel, decoder);
        bootstrap
                .clone()
                .channelFactory(() -> channel)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        newChannel
                                .pipeline()
                                .addLast(connection.new IdleGuard(), decoder, new HttpRequestEncoder(), connection);
                    }
                })
                .connect(server.address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        onConnectFailed(server, generation);
                    } else {
                        server.pendingConnects -= generation == server.generation ? 1 : 0;
                        connection.assignOrMakeIdle();
                    }
                });
    }

    /** Fails the first waiting attempt if fewer connects than waiting attempts are left. */
    private void onConnectFailed(Server server, int generation) {
        if (generation != server.generation) {
            return;
        }
        server.pendingConnects--;
        if (server.waitingAttempts.size() > server.pendingConnects) {
            server.waitingAttempts.poll().end(Result.CONNECT_FAILED, null);
        }
    }

    private void sweep() {
        long now = nanos();
        for (Server server : servers.values()) {
            while (!server.idleConnections.isEmpty()
                    && now - server.idleConnections.peekLast().idleSinceNs > maxIdleNs) {
                server.idleConnections.pollLast().channel.close();
            }
        }
        servers.values().removeIf(s -> s.gone && s.waitingAttempts.isEmpty());
    }

    /**
     * Fails all attempts that wait for a connection: sent once a connection is up, they could reach the server
     * after its drain grace period.
     */
    private static void failWaitingAttempts(Server server) {
        while (!server.waitingAttempts.isEmpty()) {
            server.waitingAttempts.poll().end(Result.CONNECT_FAILED, null);
        }
    }

    /** Closes the idle connections of a server that is gone and fails its waiting attempts. */
    private static void release(Server server) {
        closeIdle(server);
        failWaitingAttempts(server);
    }

    private static void closeIdle(Server server) {
        Collection<Connection> idle = new ArrayList<>(server.idleConnections);
        server.idleConnections.clear();
        idle.forEach(c -> c.channel.close());
    }

    private boolean closeOldestIdle() {
        Server oldest = null;
        for (Server server : servers.values()) {
            if (!server.idleConnections.isEmpty()
                    && (oldest == null
                            || server.idleConnections.peekLast().idleSinceNs
                                            - oldest.idleConnections.peekLast().idleSinceNs
                                    < 0)) {
                oldest = server;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.idleConnections.pollLast().channel.close();
        return true;
    }

    /** One connection to a server, idle or carrying one attempt. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final Server server;
        private final int generation;
        private final Channel channel;
        private Attempt attempt;
        private boolean requestWritten;
        private long idleSinceNs;
        private final ResponseReader.Decoder decoder;
        private Exchange exchange;
        private boolean reusable;

        Connection(Server server, int generation, Channel channel, ResponseReader.Decoder decoder) {
            this.decoder = decoder;
            this.server = server;
            this.generation = generation;
            this.channel = channel;
        }

        /** Sends the first waiting attempt on this connection, or adds it to the idle ones. */
        void assignOrMakeIdle() {
            if (generation != server.generation || !server.waitingAttempts.isEmpty() && !isOpenAfterRead()) {
                channel.close();
                return;
            }
            Attempt next = server.waitingAttempts.poll();
            if (next != null) {
                send(next);
            } else if (server.gone) {
                channel.close();
            } else {
                idleSinceNs = nanos();
                server.idleConnections.push(this);
            }
        }

        /**
         * Returns whether the connection is still open once pending input has been read. Reading any unsolicited
         * input closes an idle connection; left in the socket, it would be taken for the next response.
         */
        boolean isOpenAfterRead() {
            if (channel.isActive()) {
                network.readNow(channel);
            }
            return channel.isActive();
        }

        void send(Attempt next) {
            attempt = next;
            next.connection = this;
            next.sentNs = nanos();
            requestWritten = false;
            exchange = next.source.exchange();
            decoder.expectResponse(exchange.isBodyless());
            // The future succeeds once the kernel has accepted the last byte; Netty never writes it twice.
            exchange.write(channel).addListener(done -> {
                if (attempt != next) {
                    return;
                }
                if (done.isSuccess()) {
                    requestWritten = true;
                } else {
                    attempt = null;
                    exchange.abort();
                    channel.close();
                    next.end(Result.CONNECT_FAILED, null);
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                read(message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(Object message) {
            if (attempt == null || exchange.isComplete()) {
                // Unsolicited data, or more data than the response.
                reusable = false;
                closeIfUnused();
                return;
            }
            try {
                if (message instanceof HttpObject part && exchange.read(part)) {
                    reusable = requestWritten && exchange.isReusable();
                }
            } catch (Exchange.MalformedResponse e) {
                failAttempt();
            }
        }

        /** Reports a complete response only after the whole read, so that excess data is seen before reuse. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (isResponseComplete()) {
                finishAttempt();
            }
        }

        private boolean isResponseComplete() {
            return attempt != null && exchange.isComplete();
        }

        private void finishAttempt() {
            Attempt completed = attempt;
            ServerResponse response = exchange.response();
            Result result = exchange.result();
            server.lastResponseNs = nanos();
            attempt = null;
            exchange = null;
            if (reusable) {
                assignOrMakeIdle();
            } else {
                channel.close();
            }
            completed.end(result, response);
        }

        /**
         * Ends the attempt after a connection failure or malformed response: RESET if the request was written
         * whole and may have run, else CONNECT_FAILED.
         */
        private void failAttempt() {
            Attempt failed = attempt;
            attempt = null;
            closeIfUnused();
            if (failed != null) {
                exchange.abort();
                failed.end(requestWritten ? Result.RESET : Result.CONNECT_FAILED, null);
            }
        }

        private void closeIfUnused() {
            server.idleConnections.remove(this);
            if (attempt == null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onConnectionEnded();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            onConnectionEnded();
        }

        private void onConnectionEnded() {
            if (isResponseComplete()) {
                reusable = false;
                finishAttempt();
            } else {
                failAttempt();
            }
        }

        /**
         * Closes an idle connection on any input before the decoder sees it: a partial response kept there would
         * become the head of the next one.
         */
        private final class IdleGuard extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (attempt == null) {
                    ReferenceCountUtil.release(message);
                    closeIfUnused();
                } else {
                    ctx.fireChannelRead(message);
                }
            }
        }
    }
}
