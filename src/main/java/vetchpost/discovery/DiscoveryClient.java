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

/**
 * Watches discovery's list of servers. One watch is open at a time; it is opened on request, delivers lists to the
 * {@link Listener} and reports its failure once. The node decides when to open it again. All calls come on the event
 * loop; long lists are parsed over several of its turns.
 */
public final class DiscoveryClient {
    /**
     * Time without a line after which a watch has failed. Discovery sends a line every 2 s. Changes that a silent
     * watch misses count as delivered 6 s after its last line; by then the next watch has to be open and answered,
     * even after a lost connection.
     */
    public static final long SILENCE_TIMEOUT_MS = 3_000;
    /**
     * Time limit for a watch's first line where discovery serves watch requests in turn: it gives up itself after
     * about 2 s, and missed changes count as delivered 2 s later.
     */
    public static final long FIRST_MESSAGE_TIMEOUT_MS = 4_000;
    /** Timeouts are shortened by a random time of up to this fraction, so that watches do not reopen all at once. */
    private static final int SILENCE_JITTER_DIVISOR = 6;
    /** Bytes of an incomplete line that count as progress: a list may be long, but not trickle. */
    private static final int MIN_PROGRESS_BYTES = 4_096;
    /** No revision is known, so the full list is requested. */
    private static final long UNKNOWN_REVISION = -1;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** Enough for entries of 20,000 servers; a longer message is malformed. */
    private static final int MAX_MESSAGE_BYTES = 4 << 20;
    /** Entries parsed in one turn of the event loop, which a longer run would delay. */
    private static final int MAX_ENTRIES_PER_TURN = 500;

    private static final int NEXT_TURN_DELAY_MS = 1;
    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 8_192;

    /** Receives lists and failures, on the event loop. */
    public interface Listener {
        /** A complete list or set of changes has arrived. */
        void onList(ServerList list);

        /** The watch could not be opened or has ended; called once per watch. */
        void onWatchFailed(String reason);

        /** Discovery has sent data, possibly only a heartbeat. */
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
     * Creates a client without an open watch.
     *
     * @param revision the revision of the known list
     * @param silenceTimeoutMs time without a line after which a watch has failed, in milliseconds; shortened by up
     *     to a sixth at random
     * @param firstMessageTimeoutMs the same limit for the first line
     * @param seed seed of the random shortening
     */
    public DiscoveryClient(
            EventLoop loop,
            Network network,
            InetSocketAddress address,
            long revision,
            long silenceTimeoutMs,
            long firstMessageTimeoutMs,
            long seed,
            Listener listener) {
        this.loop = loop;
        this.network = network;
        this.address = address;
        this.revision = revision;
        this.silenceTimeoutMs = silenceTimeoutMs;
        this.firstMessageTimeoutMs = firstMessageTimeoutMs;
        random = new SplittableRandom(seed);
        this.listener = listener;
    }

    /** Opens a watch for changes after the known revision; replaces one that is still open. */
    public void subscribe() {
        hasSubscribed = true;
        if (watch != null) {
            watch.close();
        }
        watch = new Watch();
        watch.open();
    }

    /**
     * Moves to another discovery address and, if a watch was opened before, opens one there at once. The full list is
     * requested, since revisions are specific to an address.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            revision = UNKNOWN_REVISION;
            if (hasSubscribed) {
                subscribe();
            }
        }
    }

    /** Whether a watch is open or being opened. */
    public boolean isOpen() {
        return watch != null;
    }

    /** Whether a watch is being opened and no line has arrived yet, so that another request is not needed. */
    public boolean isRequestPending() {
        return watch != null && !watch.hasReceivedLine;
    }

    /** Opens a watch that starts with the full list, whatever revision is known. */
    public void requestFullList() {
        revision = UNKNOWN_REVISION;
        subscribe();
    }

    /** Closes the watch without reporting a failure. */
    public void close() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    /** One watch request and its streamed response. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final ByteBuf buffer = Unpooled.buffer();
        private Channel channel;
        private ScheduledFuture<?> silenceTimer;
        /** Whether a complete line has arrived. */
        private boolean hasReceivedLine;

        private int bytesSinceProgress;
        private boolean closed;
        private boolean responseEnded;
        /** Number of buffered bytes already searched for the end of the line. */
        private int searchedBytes;
        /** Reader of the message being parsed, over several turns; null between messages. */
        private ServerListReader currentReader;

        private int currentLineLength;

        void open() {
            restartSilenceTimer();
            Channel newChannel;
            try {
                newChannel = network.newClientChannel();
            } catch (ChannelException e) {
                // Out of descriptors. Reported in a later task, since the caller is still in its call.
                loop.execute(() -> fail("no socket available: " + e.getCause()));
                return;
            }
            channel = newChannel;
            new Bootstrap()
                    .group(loop)
                    .channelFactory(() -> newChannel)
                    .disableResolver()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel initialized) {
                            initialized
                                    .pipeline()
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
                            fail("cannot connect: " + done.cause());
                        }
                    });
        }

        private void sendRequest() {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/v1/endpoints?watch=1" + (revision == UNKNOWN_REVISION ? "" : "&after=" + revision));
            request.headers()
                    .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
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

        /** Restarts the timeout for the next line. */
        private void restartSilenceTimer() {
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
            }
            long timeoutMs = hasReceivedLine ? silenceTimeoutMs : firstMessageTimeoutMs;
            silenceTimer = loop.schedule(
                    this::onSilence,
                    timeoutMs - random.nextLong(timeoutMs / SILENCE_JITTER_DIVISOR + 1),
                    TimeUnit.MILLISECONDS);
        }

        /** Fails the watch unless a list is still being parsed or a delayed event loop has not read its input. */
        private void onSilence() {
            ScheduledFuture<?> expiredTimer = silenceTimer;
            if (currentReader != null) {
                restartSilenceTimer();
                return;
            }
            if (channel != null && channel.isActive()) {
                network.readNow(channel);
            }
            if (!closed && silenceTimer == expiredTimer) {
                fail("silent");
            }
        }

        private void readLines() {
            while (!closed && (currentReader != null || startNextLine())) {
                ServerList list = currentReader.read(MAX_ENTRIES_PER_TURN);
                if (list == null) {
                    // The socket is not read until the message is parsed.
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
                throw new IllegalArgumentException("line longer than " + MAX_MESSAGE_BYTES + " bytes");
            }
        }

        /** Starts parsing the next non-blank line; returns whether a complete one is buffered. */
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
