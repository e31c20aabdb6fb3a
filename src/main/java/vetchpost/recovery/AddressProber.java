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
    static final int AT_ONCE = 8;
    /** For a connection and an answer. */
    private static final long WAIT_MS = 1_000;
    /** Tries of one box, each twice as long after the last: 4 s in all, then it is left to discovery. */
    static final int TRIES = 4;

    private static final long AGAIN_MS = 500;
    private static final int MOST_ANSWER = 1_024;
    private static final int MOST_LINE = 1_024;

    /** Who is there. */
    enum Found {
        /** The box, by its own word, or at least somebody. */
        HERE,
        /** Somebody else. */
        STRANGER,
        /** Nobody, or nobody who says anything. */
        NOBODY
    }

    /** Hears of each box once. */
    interface Listener {
        void found(Target target, Found found);
    }

    private final EventLoop loop;
    private final Network network;
    private final String path;
    private final Listener listener;
    private final Deque<Knock> due = new ArrayDeque<>();
    private final Set<Knock> out = new HashSet<>();
    private int waiting;
    private boolean over;

    /** @param path at which boxes tell their ids; null if they don't */
    AddressProber(EventLoop loop, Network network, String path, Listener listener) {
        this.loop = loop;
        this.network = network;
        this.path = path;
        this.listener = listener;
    }

    void knock(Target target) {
        due.add(new Knock(target));
        goOn();
    }

    /** How many have not been found out about. */
    int left() {
        return due.size() + out.size() + waiting;
    }

    /** Asks nobody any more, and tells nothing. */
    void close() {
        over = true;
        due.clear();
        Set.copyOf(out).forEach(k -> k.end(null));
    }

    private void goOn() {
        while (!over && out.size() < AT_ONCE && !due.isEmpty()) {
            Knock next = due.poll();
            out.add(next);
            next.go();
        }
    }

    /** One box, in one of its tries. */
    private final class Knock {
        private final Target target;
        private int tries;
        private Channel channel;
        private ScheduledFuture<?> limit;
        private boolean ended;

        Knock(Target target) {
            this.target = target;
        }

        void go() {
            tries++;
            ended = false;
            limit = loop.schedule(() -> end(Found.NOBODY), WAIT_MS, TimeUnit.MILLISECONDS);
            try {
                channel = network.newClientChannel();
            } catch (ChannelException e) {
                loop.execute(() -> end(Found.NOBODY));
                return;
            }
            Channel fresh = channel;
            new Bootstrap()
                    .group(loop)
                    .channelFactory(() -> fresh)
                    .disableResolver()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) WAIT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel to) {
                            to.pipeline()
                                    .addLast(
                                            new HttpClientCodec(MOST_LINE, 4 * MOST_LINE, MOST_ANSWER),
                                            new HttpObjectAggregator(MOST_ANSWER),
                                            new Hearing(Knock.this));
                        }
                    })
                    .connect(target.address())
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            end(Found.NOBODY);
                        } else if (path == null) {
                            end(Found.HERE);
                        } else {
                            ask();
                        }
                    });
        }

        private void ask() {
            DefaultFullHttpRequest question = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            question.headers().set(HttpHeaderNames.HOST, "backend.local");
            question.headers().set(HttpHeaderNames.CONNECTION, "close");
            channel.writeAndFlush(question);
        }

        void heard(FullHttpResponse answer) {
            boolean is = answer.decoderResult().isSuccess()
                    && answer.status().equals(HttpResponseStatus.OK)
                    && answer.content().toString(StandardCharsets.UTF_8).strip().equals(target.id());
            end(is ? Found.HERE : Found.STRANGER);
        }

        void end(Found found) {
            if (ended) {
                return;
            }
            ended = true;
            limit.cancel(false);
            out.remove(this);
            if (channel != null) {
                channel.close();
            }
            if (over) {
                return;
            }
            if (found == Found.NOBODY && tries < TRIES) {
                waiting++;
                loop.schedule(
                        () -> {
                            waiting--;
                            if (!over) {
                                due.add(this);
                                goOn();
                            }
                        },
                        AGAIN_MS << tries - 1,
                        TimeUnit.MILLISECONDS);
            } else {
                listener.found(target, found);
            }
            goOn();
        }
    }

    /** What comes back. */
    private static final class Hearing extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Knock knock;

        Hearing(Knock knock) {
            this.knock = knock;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            knock.heard(answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            knock.end(Found.NOBODY);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // It speaks, but not as a box does.
            knock.end(Found.STRANGER);
        }
    }
}
