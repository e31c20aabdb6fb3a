package vetchpost.web;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import vetchpost.core.BodySink;
import vetchpost.core.BodySource;
import vetchpost.core.Failure;
import vetchpost.http.BadRequest;
import vetchpost.http.ClientServer;
import vetchpost.http.HttpReply;
import vetchpost.http.InputDiscarder;
import vetchpost.http.ManagedConnection;
import vetchpost.http.RequestDecoder;
import vetchpost.http.RequestMemory;

/**
 * One connection of a client of the open web. It reads one request at a time and holds what comes behind it,
 * up to a bound; of a long body it holds the beginning and passes on the rest as fast as it is taken.
 */
final class WebConnection extends ChannelInboundHandlerAdapter implements ManagedConnection {
    private static final Logger LOG = System.getLogger(WebConnection.class.getName());
    /** Bytes, and parts, that may wait behind what is read; beyond, the socket is no longer read. */
    private static final int MOST_AHEAD = 32 * 1_024;

    private static final int MOST_PARTS = 64;
    /** How long a client may take to read why its connection is closed, and what is thrown away meanwhile. */
    private static final long LINGER_MS = 1_000;

    private static final int MOST_THROWN_AWAY = 1 << 20;
    private static final byte[] NONE = {};

    /** How far the current request is read. */
    private enum Phase {
        /** Its head has not come. */
        HEAD,
        /** What of its body is held. */
        BODY,
        /** What of its body is passed on. */
        REST,
        /** All of it has come. */
        WHOLE
    }

    /** Netty's encoder, which has to be told that an answer to HEAD has no body. */
    private static final class Encoder extends HttpResponseEncoder {
        private boolean head;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            return head || super.isContentAlwaysEmpty(response);
        }
    }

    private final WebFront front;
    private final ClientServer server;
    private final Channel channel;
    private final RequestDecoder decoder = new RequestDecoder();
    private final Encoder encoder = new Encoder();
    private final Deque<HttpObject> ahead = new ArrayDeque<>();
    private final long openedNs;
    private final long number;
    private long aheadBytes;
    private Phase phase = Phase.HEAD;
    private HttpRequest head;
    private int classIndex;
    private byte[] body = NONE;
    private int held;
    private long length;
    private long passed;
    private long cost;
    private Rest rest;
    private WebReply reply;
    private boolean keepAlive;
    private boolean asked;
    private boolean unwelcome;
    private boolean pumping;
    private boolean scheduled;
    private final InputDiscarder deafness = new InputDiscarder(MOST_THROWN_AWAY);
    private boolean ending;
    /** The connection ends with the answer that is being passed on. */
    private boolean closing;

    private boolean answeredWhole;
    private int unwritten;
    private String closedFor;
    private long begunNs;
    private long readNs;
    private long writtenNs;
    private long restedNs;

    private WebConnection(WebFront front, ClientServer server, Channel channel) {
        this.front = front;
        this.server = server;
        this.channel = channel;
        openedNs = server.nanos();
        restedNs = openedNs;
        number = server.nextConnectionId();
    }

    static void open(WebFront front, ClientServer server, ChannelPipeline pipeline) {
        WebConnection connection = new WebConnection(front, server, pipeline.channel());
        pipeline.addLast(connection.deafness, connection.decoder, connection.encoder, connection);
    }

    long number() {
        return number;
    }

    // ---------------------------------------------------------------- as the client side sees it

    @Override
    public boolean isIdle() {
        return phase == Phase.HEAD && reply == null && unwritten == 0 && ahead.isEmpty() && !decoder.isMidRequest();
    }

    @Override
    public long idleSinceNs() {
        return restedNs;
    }

    @Override
    public void readNow() {
        server.readNow(channel);
    }

    @Override
    public void close(String why) {
        if (closedFor == null) {
            closedFor = why;
        }
        channel.close();
    }

    @Override
    public void closeIfOverdue(long nowNs) {
        long idleNs = TimeUnit.MICROSECONDS.toNanos(front.limits().bodyIdleTimeoutUs());
        long headNs = TimeUnit.MICROSECONDS.toNanos(front.limits().headTimeoutUs());
        long keptNs = TimeUnit.MICROSECONDS.toNanos(front.limits().keepAliveTimeoutUs());
        if (unwritten > 0 || ending) {
            if (nowNs - writtenNs > idleNs) {
                breakOff();
            }
        } else if (phase == Phase.HEAD && reply == null) {
            if (decoder.isMidRequest() && nowNs - (asked ? begunNs : openedNs) > headNs) {
                reject(new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "request not whole in time"));
            } else if (!decoder.isMidRequest() && ahead.isEmpty() && nowNs - restedNs > (asked ? keptNs : headNs)) {
                close("idle");
            }
        } else if ((phase == Phase.BODY || phase == Phase.REST && rest.ready)
                && ahead.isEmpty()
                && nowNs - readNs > idleNs) {
            tooSlow();
        }
    }

    /** A body makes no progress: its request gets its answer, if there is none yet, and nothing follows. */
    private void tooSlow() {
        if (reply != null && reply.isAnswered()) {
            close("body too slow");
            return;
        }
        BadRequest late = new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "body makes no progress");
        if (reply == null) {
            reject(late);
        } else {
            leaveWith(late);
        }
    }

    // ---------------------------------------------------------------- what is read

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        unwelcome = server.onOpened(this, number, channel);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (deafness.isDiscarding() || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        readNs = server.nanos() - server.acceptDelayNs();
        ahead.add(part);
        aheadBytes += sizeOf(part);
        if (!scheduled) {
            // Not before all is read that has come: behind the request there may be the client's close.
            scheduled = true;
            channel.eventLoop().execute(() -> {
                scheduled = false;
                pump();
            });
        }
        settleReading();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!decoder.isMidRequest()) {
            begunNs = 0;
        } else if (begunNs == 0) {
            begunNs = server.nanos();
        }
    }

    private static int sizeOf(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    private void settleReading() {
        channel.config()
                .setAutoRead(
                        deafness.isDiscarding()
                                ? deafness.isReading()
                                : aheadBytes < MOST_AHEAD && ahead.size() < MOST_PARTS);
    }

    /** Takes in what waits, as far as it can be taken in now. */
    private void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            while (channel.isActive() && !ahead.isEmpty() && step(ahead.peek())) {
                // Each step takes something in, or changes how far the request is read.
                continue;
            }
        } finally {
            pumping = false;
        }
        settleReading();
    }

    private boolean step(HttpObject part) {
        if (deafness.isDiscarding()) {
            poll();
            return true;
        }
        if (part.decoderResult().isFailure()) {
            if (phase == Phase.WHOLE) {
                return false; // The request before it is in hand, and answered first.
            }
            Throwable cause = part.decoderResult().cause();
            poll();
            spoilt(BadRequest.malformed(cause));
            return true;
        }
        return switch (phase) {
            case HEAD -> reply == null && begin(part);
            case BODY -> hold(part);
            case REST -> rest.pass(part);
            case WHOLE -> false;
        };
    }

    private HttpObject poll() {
        HttpObject part = ahead.poll();
        aheadBytes -= sizeOf(part);
        ReferenceCountUtil.release(part);
        return part;
    }

    private boolean begin(HttpObject part) {
        if (!(part instanceof HttpRequest request)) {
            poll(); // What is left of a request that was not taken.
            return true;
        }
        asked = true;
        server.onRequestReceived(this);
        ahead.poll();
        head = request;
        held = 0;
        passed = 0;
        body = NONE;
        try {
            RequestCheck.check(request);
            classIndex = front.classOf(request);
            length = HttpUtil.isTransferEncodingChunked(request)
                    ? Long.MAX_VALUE
                    : HttpUtil.getContentLength(request, 0L);
            if (length < Long.MAX_VALUE && length > front.limits().maxBodyBytes()) {
                throw tooLarge();
            }
        } catch (BadRequest e) {
            reject(e);
            return true;
        }
        if (unwelcome && server.isOverConnectionLimit()) {
            reject(crowded());
            return true;
        }
        unwelcome = false;
        cost = RequestMemory.costOf(headBytes(request), 0);
        if (!server.requestMemory().tryReserve(cost)) {
            cost = 0;
            reject(crowded());
            return true;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        phase = Phase.BODY;
        if (length > 0 && ahead.isEmpty() && HttpUtil.is100ContinueExpected(request)) {
            // As the origin that it is to its clients (RFC 9110, section 10.1.1).
            encoder.head = false;
            write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        return true;
    }

    private static int headBytes(HttpRequest request) {
        int bytes = request.uri().length();
        for (Map.Entry<String, String> field : request.headers()) {
            bytes += field.getKey().length() + field.getValue().length();
        }
        return bytes;
    }

    private boolean hold(HttpObject part) {
        HttpContent content = (HttpContent) part;
        int more = content.content().readableBytes();
        if (held + more > front.limits().bufferBytes()) {
            rest = new Rest();
            phase = Phase.REST;
            take();
            return true;
        }
        if (!server.requestMemory().tryReserve(more)) {
            reject(crowded());
            return true;
        }
        cost += more;
        if (held + more > body.length) {
            int least = length < Long.MAX_VALUE ? (int) Math.min(front.limits().bufferBytes(), length) : 0;
            body = Arrays.copyOf(
                    body,
                    Math.max(
                            held + more,
                            Math.max(
                                    least,
                                    Math.min(2 * body.length, front.limits().bufferBytes()))));
        }
        // Not read off it: what waits is counted by what is left in it.
        content.content().getBytes(content.content().readerIndex(), body, held, more);
        held += more;
        boolean last = part instanceof LastHttpContent;
        poll();
        if (last) {
            phase = Phase.WHOLE;
            rest = null;
            length = held;
            take();
        }
        return true;
    }

    private void take() {
        encoder.head = head.method().equals(HttpMethod.HEAD);
        reply = new WebReply(this, front, encoder.head, head.protocolVersion().equals(HttpVersion.HTTP_1_0));
        if (server.isRehearsal(head)) {
            reply.say(HttpReply.plain(HttpResponseStatus.OK, "rehearsed"));
            return;
        }
        byte[] whole = held == body.length ? body : Arrays.copyOf(body, held);
        body = NONE;
        server.handle(
                front.request(head, classIndex, channel.remoteAddress(), whole, rest, length), reply, server.nanos());
    }

    /** What is not held of a body, for the server that has begun to be sent it. */
    private final class Rest implements BodySource {
        private BodySink sink;
        private boolean ready;

        @Override
        public void streamTo(BodySink to) {
            sink = to;
            readNs = server.nanos();
            resume();
        }

        @Override
        public void resume() {
            ready = true;
            pump();
        }

        @Override
        public void abandon() {
            sink = null;
            ready = false;
            if (phase == Phase.REST && rest == this) {
                // It is answered before its end: nothing behind it on this connection can be trusted to be
                // a head before all of it is read, and nobody has a use for it.
                becomeDeaf();
            }
        }

        boolean pass(HttpObject part) {
            if (!ready || sink == null) {
                return false;
            }
            HttpContent content = (HttpContent) part;
            byte[] bytes = ByteBufUtil.getBytes(content.content());
            boolean last = part instanceof LastHttpContent;
            poll();
            passed += bytes.length;
            if (held + passed > front.limits().maxBodyBytes()) {
                BodySink to = sink;
                leaveWith(tooLarge());
                to.abort();
                return true;
            }
            BodySink to = sink;
            if (bytes.length > 0) {
                ready = false;
                boolean wants = to.write(bytes);
                ready |= wants;
            }
            if (last) {
                phase = Phase.WHOLE;
                to.complete();
                wholeAndAnswered();
            }
            return true;
        }
    }

    // ---------------------------------------------------------------- what can't be taken

    private BadRequest tooLarge() {
        return new BadRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over what is taken");
    }

    private static BadRequest crowded() {
        return new BadRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once");
    }

    private void spoilt(BadRequest e) {
        if (phase == Phase.REST) {
            leaveWith(e);
        } else {
            reject(e);
        }
    }

    /** A request that is in hand already gets this answer, and its node is told that nobody waits for it. */
    private void leaveWith(BadRequest e) {
        if (reply.isAnswered()) {
            close("spoilt");
            return;
        }
        WebReply left = reply;
        BodySink to = rest == null ? null : rest.sink;
        left.gone();
        if (to != null) {
            to.abort();
        }
        reply = null;
        reject(e);
    }

    /** Nothing that follows on the connection can be understood, or is wanted. */
    private void reject(BadRequest e) {
        if (ending) {
            return;
        }
        becomeDeaf();
        ending = true;
        FullHttpResponse response = e.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                ? HttpReply.serviceUnavailable(e.getMessage(), server.retryAfterUs())
                : HttpReply.plain(e.status(), e.getMessage());
        if (e.status().equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, "GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE");
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        encoder.head = head != null && head.method().equals(HttpMethod.HEAD);
        write(response).addListener(written -> linger());
    }

    /** Closed on unread bytes, the system would take back what the client has not read yet. */
    private void linger() {
        if (channel instanceof DuplexChannel socket) {
            socket.shutdownOutput();
        }
        channel.eventLoop().schedule(() -> close("answered"), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void becomeDeaf() {
        deafness.startDiscarding();
        while (!ahead.isEmpty()) {
            poll();
        }
        settleReading();
    }

    // ---------------------------------------------------------------- what is written

    /** The whole answer to the request that is in hand. */
    void answer(FullHttpResponse response, boolean toHead) {
        if (toHead && response.content().isReadable()) {
            response = response.replace(channel.alloc().buffer(0));
        }
        boolean last = closesAfter();
        connectionField(response, last);
        write(response).addListener(written -> finished(last));
    }

    /** The head of an answer whose body is passed on. */
    void begin(HttpResponse response, boolean byClosing) {
        closing = byClosing || closesAfter();
        connectionField(response, closing);
        write(response);
    }

    /** More of its body; whether the client reads as fast. */
    boolean pass(HttpContent content) {
        write(content);
        return channel.isWritable();
    }

    void endOfAnswer(LastHttpContent last) {
        write(last).addListener(written -> finished(closing));
    }

    /** It can't be ended as it should: the client must not take what it has for the whole. */
    void breakOff() {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private boolean closesAfter() {
        return !keepAlive || deafness.isDiscarding() || phase == Phase.REST || server.closesAfterResponse();
    }

    private static void connectionField(HttpMessage response, boolean last) {
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else {
            // HTTP/1.0 needs to be told so, and to others it means nothing new.
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    private ChannelFuture write(HttpObject object) {
        unwritten++;
        if (unwritten == 1) {
            writtenNs = server.nanos();
        }
        return channel.writeAndFlush(object).addListener(written -> {
            unwritten--;
            writtenNs = server.nanos();
        });
    }

    /** The answer has been written. */
    private void finished(boolean last) {
        if (phase == Phase.REST || last || server.isClosing()) {
            ending = true;
            becomeDeaf();
            linger();
            return;
        }
        answeredWhole = true;
        wholeAndAnswered();
    }

    private void wholeAndAnswered() {
        if (!answeredWhole || phase != Phase.WHOLE) {
            return;
        }
        answeredWhole = false;
        server.requestMemory().release(cost);
        cost = 0;
        reply = null;
        rest = null;
        head = null;
        phase = Phase.HEAD;
        restedNs = server.nanos();
        // Later, not from here: a long line of requests would go as deep.
        if (!ahead.isEmpty()) {
            channel.eventLoop().execute(this::pump);
        }
        settleReading();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable() && reply != null) {
            reply.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (server.log().isEnabled()) {
            server.log().write("closed", number, closedFor == null ? "by the client" : closedFor);
        }
        server.onClosed(this);
        while (!ahead.isEmpty()) {
            poll();
        }
        server.requestMemory().release(cost);
        cost = 0;
        BodySink to = rest == null || phase != Phase.REST ? null : rest.sink;
        if (reply != null) {
            reply.gone();
        }
        if (to != null) {
            to.abort();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!channel.isActive() || cause instanceof IOException) {
            close("broken");
            return;
        }
        LOG.log(Level.ERROR, "a client's connection failed", cause);
        if (reply != null && !reply.isAnswered()) {
            reply.markMayHaveRun();
            reply.failed(Failure.INTERNAL_ERROR);
        } else {
            close("a fault");
        }
    }
}
