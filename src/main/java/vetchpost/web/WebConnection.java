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
    private static final int MAX_QUEUED_BYTES = 32 * 1_024;

    private static final int MAX_QUEUED_PARTS = 64;
    /** How long a client may take to read why its connection is closed, and what is thrown away meanwhile. */
    private static final long CLOSE_LINGER_MS = 1_000;

    private static final int MAX_DISCARDED_BYTES = 1 << 20;
    private static final byte[] NO_BYTES = {};

    /** How far the current request is read. */
    private enum Phase {
        /** Its head has not come. */
        HEAD,
        /** What of its body is held. */
        BUFFERING,
        /** What of its body is passed on. */
        STREAMING,
        /** All of it has come. */
        COMPLETE
    }

    /** Netty's encoder, which has to be told that an answer to HEAD has no body. */
    private static final class Encoder extends HttpResponseEncoder {
        private boolean respondsToHead;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            return respondsToHead || super.isContentAlwaysEmpty(response);
        }
    }

    private final WebProtocolAdapter adapter;
    private final ClientServer server;
    private final Channel channel;
    private final RequestDecoder decoder = new RequestDecoder();
    private final Encoder encoder = new Encoder();
    private final Deque<HttpObject> queuedParts = new ArrayDeque<>();
    private final long openedNs;
    private final long connectionId;
    private long queuedBytes;
    private Phase phase = Phase.HEAD;
    private HttpRequest head;
    private int classIndex;
    private byte[] body = NO_BYTES;
    private int bufferedBytes;
    private long bodyLength;
    private long streamedBytes;
    private long reservedBytes;
    private BodyRemainder remainder;
    private WebReply reply;
    private boolean keepAlive;
    private boolean hasReceivedRequest;
    private boolean openedOverLimit;
    private boolean processing;
    private boolean processingScheduled;
    private final InputDiscarder discarder = new InputDiscarder(MAX_DISCARDED_BYTES);
    private boolean lingering;
    /** The connection ends with the answer that is being passed on. */
    private boolean closesAfterStream;

    private boolean responseWritten;
    private int pendingWrites;
    private String closeReason;
    private long headStartedNs;
    private long lastReadNs;
    private long lastWriteNs;
    private long idleSinceNs;

    private WebConnection(WebProtocolAdapter front, ClientServer server, Channel channel) {
        this.adapter = front;
        this.server = server;
        this.channel = channel;
        openedNs = server.nanos();
        idleSinceNs = openedNs;
        connectionId = server.nextConnectionId();
    }

    static void open(WebProtocolAdapter front, ClientServer server, ChannelPipeline pipeline) {
        WebConnection connection = new WebConnection(front, server, pipeline.channel());
        pipeline.addLast(connection.discarder, connection.decoder, connection.encoder, connection);
    }

    long connectionId() {
        return connectionId;
    }

    // ---------------------------------------------------------------- as the client side sees it

    @Override
    public boolean isIdle() {
        return phase == Phase.HEAD
                && reply == null
                && pendingWrites == 0
                && queuedParts.isEmpty()
                && !decoder.isMidRequest();
    }

    @Override
    public long idleSinceNs() {
        return idleSinceNs;
    }

    @Override
    public void readNow() {
        server.readNow(channel);
    }

    @Override
    public void close(String why) {
        if (closeReason == null) {
            closeReason = why;
        }
        channel.close();
    }

    @Override
    public void closeIfOverdue(long nowNs) {
        long idleNs = TimeUnit.MICROSECONDS.toNanos(adapter.limits().bodyIdleTimeoutUs());
        long headNs = TimeUnit.MICROSECONDS.toNanos(adapter.limits().headTimeoutUs());
        long keptNs = TimeUnit.MICROSECONDS.toNanos(adapter.limits().keepAliveTimeoutUs());
        if (pendingWrites > 0 || lingering) {
            if (nowNs - lastWriteNs > idleNs) {
                resetConnection();
            }
        } else if (phase == Phase.HEAD && reply == null) {
            if (decoder.isMidRequest() && nowNs - (hasReceivedRequest ? headStartedNs : openedNs) > headNs) {
                reject(new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "request not whole in time"));
            } else if (!decoder.isMidRequest()
                    && queuedParts.isEmpty()
                    && nowNs - idleSinceNs > (hasReceivedRequest ? keptNs : headNs)) {
                close("idle");
            }
        } else if ((phase == Phase.BUFFERING || phase == Phase.STREAMING && remainder.ready)
                && queuedParts.isEmpty()
                && nowNs - lastReadNs > idleNs) {
            onBodyTimeout();
        }
    }

    /** A body makes no progress: its request gets its answer, if there is none yet, and nothing follows. */
    private void onBodyTimeout() {
        if (reply != null && reply.isAnswered()) {
            close("body too slow");
            return;
        }
        BadRequest late = new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "body makes no progress");
        if (reply == null) {
            reject(late);
        } else {
            abandonRequest(late);
        }
    }

    // ---------------------------------------------------------------- what is read

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        openedOverLimit = server.onOpened(this, connectionId, channel);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (discarder.isDiscarding() || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        lastReadNs = server.nanos() - server.acceptDelayNs();
        queuedParts.add(part);
        queuedBytes += sizeOf(part);
        if (!processingScheduled) {
            // Not before all is read that has come: behind the request there may be the client's close.
            processingScheduled = true;
            channel.eventLoop().execute(() -> {
                processingScheduled = false;
                processQueue();
            });
        }
        updateAutoRead();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!decoder.isMidRequest()) {
            headStartedNs = 0;
        } else if (headStartedNs == 0) {
            headStartedNs = server.nanos();
        }
    }

    private static int sizeOf(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    private void updateAutoRead() {
        channel.config()
                .setAutoRead(
                        discarder.isDiscarding()
                                ? discarder.isReading()
                                : queuedBytes < MAX_QUEUED_BYTES && queuedParts.size() < MAX_QUEUED_PARTS);
    }

    /** Takes in what waits, as far as it can be taken in now. */
    private void processQueue() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            while (channel.isActive() && !queuedParts.isEmpty() && processPart(queuedParts.peek())) {
                // Each step takes something in, or changes how far the request is read.
                continue;
            }
        } finally {
            processing = false;
        }
        updateAutoRead();
    }

    private boolean processPart(HttpObject part) {
        if (discarder.isDiscarding()) {
            removeFirstPart();
            return true;
        }
        if (part.decoderResult().isFailure()) {
            if (phase == Phase.COMPLETE) {
                return false; // The request before it is in hand, and answered first.
            }
            Throwable cause = part.decoderResult().cause();
            removeFirstPart();
            rejectMalformed(BadRequest.malformed(cause));
            return true;
        }
        return switch (phase) {
            case HEAD -> reply == null && startResponse(part);
            case BUFFERING -> bufferBody(part);
            case STREAMING -> remainder.forward(part);
            case COMPLETE -> false;
        };
    }

    private HttpObject removeFirstPart() {
        HttpObject part = queuedParts.poll();
        queuedBytes -= sizeOf(part);
        ReferenceCountUtil.release(part);
        return part;
    }

    private boolean startResponse(HttpObject part) {
        if (!(part instanceof HttpRequest request)) {
            removeFirstPart(); // What is left of a request that was not taken.
            return true;
        }
        hasReceivedRequest = true;
        server.onRequestReceived(this);
        queuedParts.poll();
        head = request;
        bufferedBytes = 0;
        streamedBytes = 0;
        body = NO_BYTES;
        try {
            RequestCheck.check(request);
            classIndex = adapter.classOf(request);
            bodyLength = HttpUtil.isTransferEncodingChunked(request)
                    ? Long.MAX_VALUE
                    : HttpUtil.getContentLength(request, 0L);
            if (bodyLength < Long.MAX_VALUE && bodyLength > adapter.limits().maxBodyBytes()) {
                throw bodyTooLarge();
            }
        } catch (BadRequest e) {
            reject(e);
            return true;
        }
        if (openedOverLimit && server.isOverConnectionLimit()) {
            reject(overloaded());
            return true;
        }
        openedOverLimit = false;
        reservedBytes = RequestMemory.costOf(headBytes(request), 0);
        if (!server.requestMemory().tryReserve(reservedBytes)) {
            reservedBytes = 0;
            reject(overloaded());
            return true;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        phase = Phase.BUFFERING;
        if (bodyLength > 0 && queuedParts.isEmpty() && HttpUtil.is100ContinueExpected(request)) {
            // As the origin that it is to its clients (RFC 9110, section 10.1.1).
            encoder.respondsToHead = false;
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

    private boolean bufferBody(HttpObject part) {
        HttpContent content = (HttpContent) part;
        int more = content.content().readableBytes();
        if (bufferedBytes + more > adapter.limits().bufferBytes()) {
            remainder = new BodyRemainder();
            phase = Phase.STREAMING;
            dispatch();
            return true;
        }
        if (!server.requestMemory().tryReserve(more)) {
            reject(overloaded());
            return true;
        }
        reservedBytes += more;
        if (bufferedBytes + more > body.length) {
            int least = bodyLength < Long.MAX_VALUE
                    ? (int) Math.min(adapter.limits().bufferBytes(), bodyLength)
                    : 0;
            body = Arrays.copyOf(
                    body,
                    Math.max(
                            bufferedBytes + more,
                            Math.max(
                                    least,
                                    Math.min(2 * body.length, adapter.limits().bufferBytes()))));
        }
        // Not read off it: what waits is counted by what is left in it.
        content.content().getBytes(content.content().readerIndex(), body, bufferedBytes, more);
        bufferedBytes += more;
        boolean last = part instanceof LastHttpContent;
        removeFirstPart();
        if (last) {
            phase = Phase.COMPLETE;
            remainder = null;
            bodyLength = bufferedBytes;
            dispatch();
        }
        return true;
    }

    private void dispatch() {
        encoder.respondsToHead = head.method().equals(HttpMethod.HEAD);
        reply = new WebReply(
                this, adapter, encoder.respondsToHead, head.protocolVersion().equals(HttpVersion.HTTP_1_0));
        if (server.isRehearsal(head)) {
            reply.sendLocalResponse(HttpReply.plain(HttpResponseStatus.OK, "rehearsed"));
            return;
        }
        byte[] whole = bufferedBytes == body.length ? body : Arrays.copyOf(body, bufferedBytes);
        body = NO_BYTES;
        server.handle(
                adapter.createRequest(head, classIndex, channel.remoteAddress(), whole, remainder, bodyLength),
                reply,
                server.nanos());
    }

    /** What is not held of a body, for the server that has begun to be sent it. */
    private final class BodyRemainder implements BodySource {
        private BodySink sink;
        private boolean ready;

        @Override
        public void streamTo(BodySink to) {
            sink = to;
            lastReadNs = server.nanos();
            resume();
        }

        @Override
        public void resume() {
            ready = true;
            processQueue();
        }

        @Override
        public void abandon() {
            sink = null;
            ready = false;
            if (phase == Phase.STREAMING && remainder == this) {
                // It is answered before its end: nothing behind it on this connection can be trusted to be
                // a head before all of it is read, and nobody has a use for it.
                discardInput();
            }
        }

        boolean forward(HttpObject part) {
            if (!ready || sink == null) {
                return false;
            }
            HttpContent content = (HttpContent) part;
            byte[] bytes = ByteBufUtil.getBytes(content.content());
            boolean last = part instanceof LastHttpContent;
            removeFirstPart();
            streamedBytes += bytes.length;
            if (bufferedBytes + streamedBytes > adapter.limits().maxBodyBytes()) {
                BodySink to = sink;
                abandonRequest(bodyTooLarge());
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
                phase = Phase.COMPLETE;
                to.complete();
                finishRequestIfDone();
            }
            return true;
        }
    }

    // ---------------------------------------------------------------- what can't be taken

    private BadRequest bodyTooLarge() {
        return new BadRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over what is taken");
    }

    private static BadRequest overloaded() {
        return new BadRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once");
    }

    private void rejectMalformed(BadRequest e) {
        if (phase == Phase.STREAMING) {
            abandonRequest(e);
        } else {
            reject(e);
        }
    }

    /** A request that is in hand already gets this answer, and its node is told that nobody waits for it. */
    private void abandonRequest(BadRequest e) {
        if (reply.isAnswered()) {
            close("spoilt");
            return;
        }
        WebReply left = reply;
        BodySink to = remainder == null ? null : remainder.sink;
        left.onClientGone();
        if (to != null) {
            to.abort();
        }
        reply = null;
        reject(e);
    }

    /** Nothing that follows on the connection can be understood, or is wanted. */
    private void reject(BadRequest e) {
        if (lingering) {
            return;
        }
        discardInput();
        lingering = true;
        FullHttpResponse response = e.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                ? HttpReply.serviceUnavailable(e.getMessage(), server.retryAfterUs())
                : HttpReply.plain(e.status(), e.getMessage());
        if (e.status().equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, "GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE");
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        encoder.respondsToHead = head != null && head.method().equals(HttpMethod.HEAD);
        write(response).addListener(written -> linger());
    }

    /** Closed on unread bytes, the system would take back what the client has not read yet. */
    private void linger() {
        if (channel instanceof DuplexChannel socket) {
            socket.shutdownOutput();
        }
        channel.eventLoop().schedule(() -> close("answered"), CLOSE_LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void discardInput() {
        discarder.startDiscarding();
        while (!queuedParts.isEmpty()) {
            removeFirstPart();
        }
        updateAutoRead();
    }

    // ---------------------------------------------------------------- what is written

    /** The whole answer to the request that is in hand. */
    void writeResponse(FullHttpResponse response, boolean toHead) {
        if (toHead && response.content().isReadable()) {
            response = response.replace(channel.alloc().buffer(0));
        }
        boolean last = closesAfterResponse();
        setConnectionHeader(response, last);
        write(response).addListener(written -> onResponseWritten(last));
    }

    /** The head of an answer whose body is passed on. */
    void startResponse(HttpResponse response, boolean byClosing) {
        closesAfterStream = byClosing || closesAfterResponse();
        setConnectionHeader(response, closesAfterStream);
        write(response);
    }

    /** More of its body; whether the client reads as fast. */
    boolean writeBody(HttpContent content) {
        write(content);
        return channel.isWritable();
    }

    void endResponse(LastHttpContent last) {
        write(last).addListener(written -> onResponseWritten(closesAfterStream));
    }

    /** It can't be ended as it should: the client must not take what it has for the whole. */
    void resetConnection() {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private boolean closesAfterResponse() {
        return !keepAlive || discarder.isDiscarding() || phase == Phase.STREAMING || server.closesAfterResponse();
    }

    private static void setConnectionHeader(HttpMessage response, boolean last) {
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else {
            // HTTP/1.0 needs to be told so, and to others it means nothing new.
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    private ChannelFuture write(HttpObject object) {
        pendingWrites++;
        if (pendingWrites == 1) {
            lastWriteNs = server.nanos();
        }
        return channel.writeAndFlush(object).addListener(written -> {
            pendingWrites--;
            lastWriteNs = server.nanos();
        });
    }

    /** The answer has been written. */
    private void onResponseWritten(boolean last) {
        if (phase == Phase.STREAMING || last || server.isClosing()) {
            lingering = true;
            discardInput();
            linger();
            return;
        }
        responseWritten = true;
        finishRequestIfDone();
    }

    private void finishRequestIfDone() {
        if (!responseWritten || phase != Phase.COMPLETE) {
            return;
        }
        responseWritten = false;
        server.requestMemory().release(reservedBytes);
        reservedBytes = 0;
        reply = null;
        remainder = null;
        head = null;
        phase = Phase.HEAD;
        idleSinceNs = server.nanos();
        // Later, not from here: a long line of requests would go as deep.
        if (!queuedParts.isEmpty()) {
            channel.eventLoop().execute(this::processQueue);
        }
        updateAutoRead();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable() && reply != null) {
            reply.onWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (server.log().isEnabled()) {
            server.log().write("closed", connectionId, closeReason == null ? "by the client" : closeReason);
        }
        server.onClosed(this);
        while (!queuedParts.isEmpty()) {
            removeFirstPart();
        }
        server.requestMemory().release(reservedBytes);
        reservedBytes = 0;
        BodySink to = remainder == null || phase != Phase.STREAMING ? null : remainder.sink;
        if (reply != null) {
            reply.onClientGone();
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
