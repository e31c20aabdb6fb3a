package vetchpost.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import vetchpost.core.ServerList;
import vetchpost.net.Network;

/** The watch on the list of servers: one at a time, opened when asked for, reported once when it fails. */
public final class DiscoveryClient {
    /**
     * The longest that a watch may say nothing. A line comes every 2 s. What a silent watch misses counts as
     * told 6 s after it fell silent, at the earliest just after a line: by then the next watch has to be open
     * and answered, after a lost connection too.
     */
    public static final long SILENCE_TIMEOUT_MS = 3_000;
    /** The longest that a call may wait for its first line where calls are taken in turn: discovery itself
     * gives up after some 2 s, and what is missed counts as told 2 s later. */
    public static final long FIRST_MESSAGE_TIMEOUT_MS = 4_000;
    /** Watches that fell silent together are found out over this part of the time, not all at once. */
    private static final int SPREAD_PART = 6;
    /** So many bytes of a line that is not whole are a sign of life: a list may be long, but not trickle. */
    private static final int SIGN_OF_LIFE = 4_096;
    /** No version is known, so that the whole list is wanted. */
    private static final long NONE = -1;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** A message with an entry for each of 20,000 servers; past it one is malformed. */
    private static final int MAX_MESSAGE_BYTES = 4 << 20;
    /** So many entries are read in one turn of the loop. */
    private static final int ENTRIES_A_TURN = 500;

    private static final int NEXT_TURN_MS = 1;
    private static final int MAX_LINE = 4_096;
    private static final int MAX_HEADERS = 8_192;

    /** Where the news goes. */
    public interface Listener {
        void onList(ServerList list);

        /** The watch could not be opened or has ended. */
        void onWatchFailed(String reason);

        /** The watch has said something, if only that nothing has changed. */
        default void onContact() {}
    }

    private final EventLoop loop;
    private final Network network;
    private InetSocketAddress address;
    private final Listener listener;
    private final long silentMs;
    private final long callMs;
    private final SplittableRandom random;
    private long revision;
    private Watch watch;
    private boolean begun;

    /**
     * No watch yet.
     *
     * @param revision the version of the list that is known
     * @param silentMs a watch that says nothing for so long has failed, or up to a sixth sooner
     * @param callMs the same of one that has not said anything yet
     * @param seed for the spread of that
     */
    public DiscoveryClient(
            EventLoop loop,
            Network network,
            InetSocketAddress address,
            long revision,
            long silentMs,
            long callMs,
            long seed,
            Listener listener) {
        this.loop = loop;
        this.network = network;
        this.address = address;
        this.revision = revision;
        this.silentMs = silentMs;
        this.callMs = callMs;
        random = new SplittableRandom(seed);
        this.listener = listener;
    }

    /** Asks for changes from now on; takes the place of a watch that is still open. */
    public void subscribe() {
        begun = true;
        if (watch != null) {
            watch.close();
        }
        watch = new Watch();
        watch.open();
    }

    /** Asks there from now on, and at once if it has asked before. The versions of one address say nothing at
     * another. */
    public void moveTo(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            revision = NONE;
            if (begun) {
                subscribe();
            }
        }
    }

    /** Whether a watch is open, or a call on its way to be one. */
    public boolean isOpen() {
        return watch != null;
    }

    /** Whether a call is on its way and has said nothing yet: what is wanted of another is still to come. */
    public boolean isRequestPending() {
        return watch != null && !watch.answered;
    }

    /** Asks for the whole list, whatever version is known, and for changes from then on. */
    public void requestFullList() {
        revision = NONE;
        subscribe();
    }

    public void close() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    /** One call and the answer that stays open. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final ByteBuf text = Unpooled.buffer();
        private Channel channel;
        private ScheduledFuture<?> silence;
        /** Whether a whole line has come, and how many bytes since. */
        private boolean answered;

        private int unfinished;
        private boolean over;
        private boolean ended;
        /** How much of the text is known to hold no end of a line. */
        private int searched;
        /** The message that is being read, bit by bit, and its length. */
        private ServerListReader reading;

        private int readingLength;

        void open() {
            listen();
            Channel fresh;
            try {
                fresh = network.newClientChannel();
            } catch (ChannelException e) {
                // Out of descriptors: as good as no connection. Later, since the caller is mid-call.
                loop.execute(() -> fail("can't be opened: " + e.getCause()));
                return;
            }
            channel = fresh;
            new Bootstrap()
                    .group(loop)
                    .channelFactory(() -> fresh)
                    .disableResolver()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel to) {
                            to.pipeline().addLast(new HttpClientCodec(MAX_LINE, MAX_HEADERS, 8_192), Watch.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            ask();
                        } else {
                            fail("can't be connected: " + done.cause());
                        }
                    });
        }

        private void ask() {
            DefaultFullHttpRequest call = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/v1/endpoints?watch=1" + (revision == NONE ? "" : "&after=" + revision));
            call.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(call);
        }

        void close() {
            over = true;
            silence.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail(String reason) {
            if (over) {
                return;
            }
            close();
            watch = null;
            listener.onWatchFailed(reason);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (!over) {
                    read(message);
                }
            } catch (IllegalArgumentException e) {
                fail("malformed: " + e.getMessage());
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(Object message) {
            if (message instanceof HttpResponse head) {
                if (head.decoderResult().isFailure() || !head.status().equals(HttpResponseStatus.OK)) {
                    fail("answered " + head.status());
                    return;
                }
            }
            if (message instanceof HttpContent content) {
                if (content.decoderResult().isFailure()) {
                    fail("malformed: " + content.decoderResult().cause());
                    return;
                }
                unfinished += content.content().readableBytes();
                if (unfinished >= SIGN_OF_LIFE) {
                    heard();
                }
                text.writeBytes(content.content());
                if (reading == null) {
                    lines();
                }
                ended = message instanceof LastHttpContent;
                if (ended && reading == null) {
                    fail("ended");
                }
            }
        }

        private void heard() {
            unfinished = 0;
            listener.onContact();
            listen();
        }

        /** Gives it its time from now on. */
        private void listen() {
            if (silence != null) {
                silence.cancel(false);
            }
            long mostMs = answered ? silentMs : callMs;
            silence = loop.schedule(
                    this::onSilence, mostMs - random.nextLong(mostMs / SPREAD_PART + 1), TimeUnit.MILLISECONDS);
        }

        /** Its time is up; but a loop that was held up, or a list that takes many turns, is no silence. */
        private void onSilence() {
            ScheduledFuture<?> due = silence;
            if (reading != null) {
                listen();
                return;
            }
            if (channel != null && channel.isActive()) {
                network.readNow(channel);
            }
            if (!over && silence == due) {
                fail("silent");
            }
        }

        private void lines() {
            while (!over && (reading != null || begin())) {
                ServerList list = reading.read(ENTRIES_A_TURN);
                if (list == null) {
                    // Nothing more is read off the socket meanwhile.
                    channel.config().setAutoRead(false);
                    loop.schedule(this::goOn, NEXT_TURN_MS, TimeUnit.MILLISECONDS);
                    return;
                }
                reading = null;
                text.skipBytes(readingLength + 1);
                revision = list.revision();
                listener.onList(list);
            }
            text.discardSomeReadBytes();
            if (text.readableBytes() > MAX_MESSAGE_BYTES) {
                throw new IllegalArgumentException("a line over " + MAX_MESSAGE_BYTES + " bytes");
            }
        }

        /** Begins with the next line that is not blank, if there is a whole one. */
        private boolean begin() {
            while (true) {
                int end = text.indexOf(text.readerIndex() + searched, text.writerIndex(), (byte) '\n');
                if (end < 0) {
                    searched = text.readableBytes();
                    return false;
                }
                int length = end - text.readerIndex();
                searched = 0;
                answered = true;
                heard();
                if (!isBlank(length)) {
                    readingLength = length;
                    reading = new ServerListReader(new InputStreamReader(
                            new ByteBufInputStream(text.slice(text.readerIndex(), length)), StandardCharsets.UTF_8));
                    return true;
                }
                text.skipBytes(length + 1);
            }
        }

        private boolean isBlank(int length) {
            int from = text.readerIndex();
            return text.forEachByte(from, length, b -> b == ' ' || b == '\r' || b == '\t') < 0;
        }

        private void goOn() {
            if (over) {
                return;
            }
            try {
                lines();
                if (reading == null && !over) {
                    channel.config().setAutoRead(true);
                    if (ended) {
                        fail("ended");
                    }
                }
            } catch (IllegalArgumentException e) {
                fail("malformed: " + e.getMessage());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("broken");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail("broken: " + cause);
        }
    }
}
