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
 * Connections to servers, one request on each at a time, and the attempts on them. It sends where it is
 * told, once, and reports how that ended; nothing here sends again.
 */
public final class ServerPool implements ServerTransport {
    private static final long SWEEP_INTERVAL_MS = 500;

    /** Who wants an attempt: what to send, and where to report. */
    interface ExchangeSource extends AttemptListener {
        /** The request and its answer, asked for when it goes out. */
        Exchange exchange();
    }

    /** A server as the pool knows it. */
    private static final class Server {
        InetSocketAddress address;
        long bootMs;
        boolean gone;
        /** Counts addresses and processes: a connection of an earlier one is not reused. */
        int generation;

        int pendingConnects;
        /** When it last answered something. */
        long lastResponseNs;
        /** Most recently used first. */
        final Deque<Connection> idleConnections = new ArrayDeque<>();

        final Deque<Attempt> waitingAttempts = new ArrayDeque<>();

        Server(long heardNs) {
            this.lastResponseNs = heardNs;
        }
    }

    /** One request on its way to one server. */
    final class Attempt implements ServerTransport.Attempt {
        private final Server server;
        private final ExchangeSource source;
        private Connection connection;
        private long sentNs;
        private boolean ended;

        private Attempt(Server server, ExchangeSource caller) {
            this.server = server;
            this.source = caller;
        }

        @Override
        public boolean mayHaveReachedServer() {
            return connection != null;
        }

        /**
         * Stops waiting. What never went out is MOOT and stays unsent, but for want of a connection when its
         * time is up: a server that never comes up must not look as if nothing had been tried. What was not
         * handed over whole can't have run; only what was is reported as the caller says.
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
            Connection used = connection;
            if (result == Result.TIMEOUT) {
                // A loop that is behind may run its timers before it reads what came in time: the system may
                // hold the answer already. One that comes just now passes too: it is there to be had.
                used.isOpenAfterRead();
                if (ended) {
                    return;
                }
            }
            used.attempt = null;
            used.exchange.abort();
            // Its answer may still come: the connection can't carry another request.
            used.channel.close();
            if (result == Result.TIMEOUT && server.lastResponseNs - sentNs < 0) {
                // Nothing from it all the while: fallen silent, it would cost a time-out on each of these.
                closeIdle(server);
            }
            end(used.requestWritten ? result : Result.CONNECT_FAILED, null);
        }

        private void end(Result result, ServerResponse answer) {
            if (!ended) {
                ended = true;
                source.onEnded(result, answer);
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
     * No connections so far, and no servers.
     *
     * @param dialTimeoutUs how long a connection may take to come up
     * @param connIdleUs servers close connections that have stood idle for so long
     */
    public ServerPool(EventLoop loop, Network network, SocketBudget sockets, long dialTimeoutUs, long connIdleUs) {
        this(loop, network, sockets, dialTimeoutUs, connIdleUs, null);
    }

    /** The same, with exchanges other than the platform's; null for those. */
    public ServerPool(
            EventLoop loop,
            Network network,
            SocketBudget sockets,
            long dialTimeoutUs,
            long connIdleUs,
            Exchange.Factory exchanges) {
        this.exchangeFactory = exchanges;
        this.loop = loop;
        this.network = network;
        this.sockets = sockets;
        // A request written to a connection that the server is just closing may have run for all we know.
        maxIdleNs = TimeUnit.MICROSECONDS.toNanos(connIdleUs) / 2;
        bootstrap = new Bootstrap()
                .group(loop)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutUs / 1_000))
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
        Set<String> named = new HashSet<>();
        for (ServerList.Target target : list.targets()) {
            named.add(target.id());
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
                // Those that wait were dialling the old address.
                for (int i = server.waitingAttempts.size(); i > 0; i--) {
                    connect(server);
                }
            }
        }
        if (list.isFull()) {
            servers.forEach((id, server) -> server.gone |= !named.contains(id));
            servers.values().stream().filter(s -> s.gone).forEach(ServerPool::release);
            servers.values().removeIf(s -> s.gone && s.waitingAttempts.isEmpty());
        } else {
            named.forEach(this::removeIfGone);
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
    public ServerTransport.Attempt send(String serverId, OutgoingRequest sending) {
        return start(serverId, new ExchangeSource() {
            @Override
            public Exchange exchange() {
                return exchangeFactory != null
                        ? exchangeFactory.create(sending)
                        : new PlainExchange(HeaderFields.message(sending.request(), sending.responseTimeoutUs()));
            }

            @Override
            public void onEnded(Result result, ServerResponse answer) {
                sending.onEnded(result, answer);
            }
        });
    }

    @Override
    public ServerTransport.Attempt probe(String serverId, AttemptListener report) {
        return start(serverId, new ExchangeSource() {
            @Override
            public Exchange exchange() {
                FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/health");
                message.headers().set(HttpHeaderNames.HOST, "backend.local");
                return new PlainExchange(message);
            }

            @Override
            public void onEnded(Result result, ServerResponse answer) {
                report.onEnded(result, answer);
            }
        });
    }

    /** Starts an attempt; it may be reported before this returns. */
    Attempt start(String serverId, ExchangeSource caller) {
        Server server = servers.get(serverId);
        Attempt attempt = new Attempt(server, caller);
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
            // Out of descriptors, most likely: an idle one less lets the next dial through.
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
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline()
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

    /** Each dial answers for one of those that wait: the first in line, if it is not to have another's. */
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

    /** The first byte would leave whenever a connection comes up, maybe past the grace of its drain. */
    private static void failWaitingAttempts(Server server) {
        while (!server.waitingAttempts.isEmpty()) {
            server.waitingAttempts.poll().end(Result.CONNECT_FAILED, null);
        }
    }

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

    /** One connection: idle, or with the one attempt that it carries. */
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

        /** Carries the first attempt in line, or waits for one. */
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
         * Whether nothing has come that was not asked for, nor the end. What the system already holds is
         * read first: sent right behind an answer, it would else be taken for the next one.
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
            // The future tells whether the kernel has taken the last byte; Netty never writes it twice.
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
                // Nothing was asked for, or more came than the answer.
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

        /** The report waits for the end of what came at once, so that its connection can be used again. */
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
            Attempt done = attempt;
            ServerResponse answer = exchange.response();
            Result result = exchange.result();
            server.lastResponseNs = nanos();
            attempt = null;
            exchange = null;
            if (reusable) {
                assignOrMakeIdle();
            } else {
                channel.close();
            }
            done.end(result, answer);
        }

        /** The connection or what came on it is broken: only a request not handed over whole never ran. */
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

        /** Sees bytes before the codec does: part of an answer on an idle connection must not wait there
         * to become the head of the next one. */
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
