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
 * Goes to addresses where boxes were once and finds out who is there: by a connection that comes up, and,
 * where boxes tell their ids, by asking for it. No request of a client's is ever sent this way.
 */
final class AddressProber {
    /** Connections at a time: few of the descriptors that are kept back. */
    static final int MAX_CONCURRENT_PROBES = 8;
    /** For a connection and an answer. */
    private static final long PROBE_TIMEOUT_MS = 1_000;
    /** Tries of one box, each twice as long after the last: 4 s in all, then it is left to discovery. */
    static final int MAX_ATTEMPTS = 4;

    private static final long RETRY_DELAY_MS = 500;
    private static final int MAX_RESPONSE_BYTES = 1_024;
    private static final int MAX_LINE_BYTES = 1_024;

    /** Who is there. */
    enum Result {
        /** The box, by its own word, or at least somebody. */
        PRESENT,
        /** Somebody else. */
        OTHER_SERVER,
        /** Nobody, or nobody who says anything. */
        UNREACHABLE
    }

    /** Hears of each box once. */
    interface Listener {
        void onResult(Target target, Result found);
    }

    private final EventLoop loop;
    private final Network network;
    private final String path;
    private final Listener listener;
    private final Deque<Probe> queue = new ArrayDeque<>();
    private final Set<Probe> running = new HashSet<>();
    private int awaitingRetry;
    private boolean isClosed;

    /** @param path at which boxes tell their ids; null if they don't */
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

    /** How many have not been found out about. */
    int remaining() {
        return queue.size() + running.size() + awaitingRetry;
    }

    /** Asks nobody any more, and tells nothing. */
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

    /** One box, in one of its tries. */
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
            Channel fresh = channel;
            new Bootstrap()
                    .group(loop)
                    .channelFactory(() -> fresh)
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
            DefaultFullHttpRequest question = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            question.headers().set(HttpHeaderNames.HOST, "backend.local");
            question.headers().set(HttpHeaderNames.CONNECTION, "close");
            channel.writeAndFlush(question);
        }

        void onResponse(FullHttpResponse answer) {
            boolean is = answer.decoderResult().isSuccess()
                    && answer.status().equals(HttpResponseStatus.OK)
                    && answer.content().toString(StandardCharsets.UTF_8).strip().equals(target.id());
            finish(is ? Result.PRESENT : Result.OTHER_SERVER);
        }

        void finish(Result found) {
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
            if (found == Result.UNREACHABLE && attempts < MAX_ATTEMPTS) {
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
                listener.onResult(target, found);
            }
            startNext();
        }
    }

    /** What comes back. */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Probe probe;

        ResponseHandler(Probe knock) {
            this.probe = knock;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            probe.onResponse(answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            probe.finish(Result.UNREACHABLE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // It speaks, but not as a box does.
            probe.finish(Result.OTHER_SERVER);
        }
    }
}
