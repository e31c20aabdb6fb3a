package vetchpost.recovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import vetchpost.core.ServerList.Target;
import vetchpost.net.Network;

/**
 * Checks whether servers of a snapshot are still at their addresses: by connecting, and, where servers report their
 * ids, by requesting the id. Client requests are never sent this way. Used by {@link Recovery}; confined to the
 * node's event loop.
 */
final class AddressProber {
    /** A small part of the file descriptors that are reserved. */
    static final int MAX_CONCURRENT_PROBES = 8;
    /** Limit on connecting and receiving the response. */
    private static final long PROBE_TIMEOUT_MS = 1_000;
    /** With doubled delays, attempts on one server end after about 4 s; then it is left to discovery. */
    static final int MAX_ATTEMPTS = 4;

    private static final long RETRY_DELAY_MS = 500;
    private static final int MAX_RESPONSE_BYTES = 1_024;
    private static final int MAX_LINE_BYTES = 1_024;

    /** The result of probing a server. */
    enum Result {
        /** The server reported its id, or, without identification, something accepts connections there. */
        PRESENT,
        /** Something else responded. */
        OTHER_SERVER,
        /** No connection or no response. */
        UNREACHABLE
    }

    /** Notified once of each probed server. */
    interface Listener {
        void onResult(Target target, Result result);
    }

    private final EventLoop loop;
    private final Network network;
    private final String path;
    private final Listener listener;
    private final Deque<Probe> queue = new ArrayDeque<>();
    private final Set<Probe> running = new HashSet<>();
    private int awaitingRetry;
    private boolean isClosed;

    /** @param path path at which servers report their ids; null if they do not */
    AddressProber(EventLoop loop, Network network, String path, Listener listener) {
        this.loop = loop;
        this.network = network;
        this.path = path;
        this.listener = listener;
    }

    void probe(Target target) {
        queue.add(new Probe(target));
        startNext();
    }

    /** Returns how many servers have no result yet. */
    int remaining() {
        return queue.size() + running.size() + awaitingRetry;
    }

    /** Cancels all probes without notifying the listener. */
    void close() {
        isClosed = true;
        queue.clear();
        Set.copyOf(running).forEach(k -> k.finish(null));
    }

    private void startNext() {
        while (!isClosed && running.size() < MAX_CONCURRENT_PROBES && !queue.isEmpty()) {
            Probe next = queue.poll();
            running.add(next);
            next.start();
        }
    }

    /** The probe of one server, across its attempts. */
    private final class Probe {
        private final Target target;
        private int attempts;
        private Channel channel;
        private ScheduledFuture<?> timeout;
        private boolean isFinished;

        Probe(Target target) {
            this.target = target;
        }

        void start() {
            attempts++;
            isFinished = false;
            timeout = loop.schedule(() -> finish(Result.UNREACHABLE), PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            try {
                channel = network.newClientChannel();
            } catch (ChannelException e) {
                loop.execute(() -> finish(Result.UNREACHABLE));
                return;
            }
            Channel newChannel = channel;
            new Bootstrap()
                    .group(loop)
                    .channelFactory(() -> newChannel)
                    .disableResolver()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PROBE_TIMEOUT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel to) {
                            to.pipeline()
                                    .addLast(
                                            new HttpClientCodec(MAX_LINE_BYTES, 4 * MAX_LINE_BYTES, MAX_RESPONSE_BYTES),
                                            new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                            new ResponseHandler(Probe.this));
                        }
                    })
                    .connect(target.address())
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            finish(Result.UNREACHABLE);
                        } else if (path == null) {
                            finish(Result.PRESENT);
                        } else {
                            sendRequest();
                        }
                    });
        }

        private void sendRequest() {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set(HttpHeaderNames.HOST, "backend.local");
            request.headers().set(HttpHeaderNames.CONNECTION, "close");
            channel.writeAndFlush(request);
        }

        void onResponse(FullHttpResponse response) {
            boolean isExpected = response.decoderResult().isSuccess()
                    && response.status().equals(HttpResponseStatus.OK)
                    && response.content()
                            .toString(StandardCharsets.UTF_8)
                            .strip()
                            .equals(target.id());
            finish(isExpected ? Result.PRESENT : Result.OTHER_SERVER);
        }

        void finish(Result result) {
            if (isFinished) {
                return;
            }
            isFinished = true;
            timeout.cancel(false);
            running.remove(this);
            if (channel != null) {
                channel.close();
            }
            if (isClosed) {
                return;
            }
            if (result == Result.UNREACHABLE && attempts < MAX_ATTEMPTS) {
                awaitingRetry++;
                loop.schedule(
                        () -> {
                            awaitingRetry--;
                            if (!isClosed) {
                                queue.add(this);
                                startNext();
                            }
                        },
                        RETRY_DELAY_MS << attempts - 1,
                        TimeUnit.MILLISECONDS);
            } else {
                listener.onResult(target, result);
            }
            startNext();
        }
    }

    /** Passes the response to its probe. */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Probe probe;

        ResponseHandler(Probe probe) {
            this.probe = probe;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            probe.onResponse(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            probe.finish(Result.UNREACHABLE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Something responds there, but not with a valid HTTP response.
            probe.finish(Result.OTHER_SERVER);
        }
    }
}
