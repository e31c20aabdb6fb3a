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
    private static final int SILENCE_JITTER_DIVISOR = 6;
    /** So many bytes of a line that is not whole are a sign of life: a list may be long, but not trickle. */
    private static final int MIN_PROGRESS_BYTES = 4_096;
    /** No version is known, so that the whole list is wanted. */
    private static final long UNKNOWN_REVISION = -1;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** A message with an entry for each of 20,000 servers; past it one is malformed. */
    private static final int MAX_MESSAGE_BYTES = 4 << 20;
    /** So many entries are read in one turn of the loop. */
    private static final int MAX_ENTRIES_PER_TURN = 500;

    private static final int NEXT_TURN_DELAY_MS = 1;
    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 8_192;

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
    private final long silenceTimeoutMs;
    private final long firstMessageTimeoutMs;
    private final SplittableRandom random;
    private long revision;
    private Watch watch;
    private boolean hasSubscribed;

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
        this.silenceTimeoutMs = silentMs;
        this.firstMessageTimeoutMs = callMs;
        random = new SplittableRandom(seed);
        this.listener = listener;
    }

    /** Asks for changes from now on; takes the place of a watch that is still open. */
    public void subscribe() {
        hasSubscribed = true;
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
            revision = UNKNOWN_REVISION;
            if (hasSubscribed) {
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
        return watch != null && !watch.hasReceivedLine;
    }

    /** Asks for the whole list, whatever version is known, and for changes from then on. */
    public void requestFullList() {
        revision = UNKNOWN_REVISION;
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
        private final ByteBuf buffer = Unpooled.buffer();
        private Channel channel;
        private ScheduledFuture<?> silenceTimer;
        /** Whether a whole line has come, and how many bytes since. */
        private boolean hasReceivedLine;

        private int bytesSinceProgress;
        private boolean closed;
        private boolean responseEnded;
        /** How much of the text is known to hold no end of a line. */
        private int searchedBytes;
        /** The message that is being read, bit by bit, and its length. */
        private ServerListReader currentReader;

        private int currentLineLength;

        void open() {
            restartSilenceTimer();
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
                            to.pipeline()
                                    .addLast(
                                            new HttpClientCodec(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, 8_192),
                                            Watch.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            sendRequest();
                        } else {
                            fail("can't be connected: " + done.cause());
                        }
                    });
        }

        private void sendRequest() {
            DefaultFullHttpRequest call = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/v1/endpoints?watch=1" + (revision == UNKNOWN_REVISION ? "" : "&after=" + revision));
            call.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(call);
        }

        void close() {
            closed = true;
            silenceTimer.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail(String reason) {
            if (closed) {
                return;
            }
            close();
            watch = null;
            listener.onWatchFailed(reason);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (!closed) {
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
                bytesSinceProgress += content.content().readableBytes();
                if (bytesSinceProgress >= MIN_PROGRESS_BYTES) {
                    onProgress();
                }
                buffer.writeBytes(content.content());
                if (currentReader == null) {
                    readLines();
                }
                responseEnded = message instanceof LastHttpContent;
                if (responseEnded && currentReader == null) {
                    fail("ended");
                }
            }
        }

        private void onProgress() {
            bytesSinceProgress = 0;
            listener.onContact();
            restartSilenceTimer();
        }

        /** Gives it its time from now on. */
        private void restartSilenceTimer() {
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
            }
            long mostMs = hasReceivedLine ? silenceTimeoutMs : firstMessageTimeoutMs;
            silenceTimer = loop.schedule(
                    this::onSilence,
                    mostMs - random.nextLong(mostMs / SILENCE_JITTER_DIVISOR + 1),
                    TimeUnit.MILLISECONDS);
        }

        /** Its time is up; but a loop that was held up, or a list that takes many turns, is no silence. */
        private void onSilence() {
            ScheduledFuture<?> due = silenceTimer;
            if (currentReader != null) {
                restartSilenceTimer();
                return;
            }
            if (channel != null && channel.isActive()) {
                network.readNow(channel);
            }
            if (!closed && silenceTimer == due) {
                fail("silent");
            }
        }

        private void readLines() {
            while (!closed && (currentReader != null || startNextLine())) {
                ServerList list = currentReader.read(MAX_ENTRIES_PER_TURN);
                if (list == null) {
                    // Nothing more is read off the socket meanwhile.
                    channel.config().setAutoRead(false);
                    loop.schedule(this::resume, NEXT_TURN_DELAY_MS, TimeUnit.MILLISECONDS);
                    return;
                }
                currentReader = null;
                buffer.skipBytes(currentLineLength + 1);
                revision = list.revision();
                listener.onList(list);
            }
            buffer.discardSomeReadBytes();
            if (buffer.readableBytes() > MAX_MESSAGE_BYTES) {
                throw new IllegalArgumentException("a line over " + MAX_MESSAGE_BYTES + " bytes");
            }
        }

        /** Begins with the next line that is not blank, if there is a whole one. */
        private boolean startNextLine() {
            while (true) {
                int end = buffer.indexOf(buffer.readerIndex() + searchedBytes, buffer.writerIndex(), (byte) '\n');
                if (end < 0) {
                    searchedBytes = buffer.readableBytes();
                    return false;
                }
                int length = end - buffer.readerIndex();
                searchedBytes = 0;
                hasReceivedLine = true;
                onProgress();
                if (!isBlank(length)) {
                    currentLineLength = length;
                    currentReader = new ServerListReader(new InputStreamReader(
                            new ByteBufInputStream(buffer.slice(buffer.readerIndex(), length)),
                            StandardCharsets.UTF_8));
                    return true;
                }
                buffer.skipBytes(length + 1);
            }
        }

        private boolean isBlank(int length) {
            int from = buffer.readerIndex();
            return buffer.forEachByte(from, length, b -> b == ' ' || b == '\r' || b == '\t') < 0;
        }

        private void resume() {
            if (closed) {
                return;
            }
            try {
                readLines();
                if (currentReader == null && !closed) {
                    channel.config().setAutoRead(true);
                    if (responseEnded) {
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
