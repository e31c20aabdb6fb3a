package vetchpost.web;

import io.netty.buffer.ByteBuf;
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
import java.util.concurrent.TimeUnit;
import vetchpost.core.BodySink;
import vetchpost.core.BodySource;
import vetchpost.core.Failure;
import vetchpost.http.BadRequest;
import vetchpost.http.BodyBuffer;
import vetchpost.http.ClientServer;
import vetchpost.http.HttpReply;
import vetchpost.http.InputDiscarder;
import vetchpost.http.ManagedConnection;
import vetchpost.http.RequestDecoder;
import vetchpost.http.RequestMemory;

/**
 * One HTTP/1.1 connection of a client. It handles one request at a time and queues pipelined input up to a bound. A
 * body up to the configured buffer size is read in full; of a longer one the beginning is buffered and the remainder
 * is streamed as fast as the server reads it. {@link WebProtocolAdapter} opens it, {@link ClientServer} checks its
 * timeouts; everything runs on the channel's event loop.
 */
final class WebConnection extends ChannelInboundHandlerAdapter implements ManagedConnection {
    private static final Logger LOG = System.getLogger(WebConnection.class.getName());
    /** Time for a client to read the last response before the connection is closed; its input is discarded. */
    private static final long CLOSE_LINGER_MS = 1_000;

    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    /** How far the current request has been read. */
    private enum Phase {
        /** Waiting for the request head. */
        HEAD,
        /** Buffering the body. */
        BUFFERING,
        /** Streaming the remainder of the body. */
        STREAMING,
        /** The request has been read completely. */
        COMPLETE
    }

    /** Netty's encoder, which does not know by itself that a response to HEAD has no body. */
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
    private final InputQueue queuedParts;
    private final long openedNs;
    private final long connectionId;
    private Phase phase = Phase.HEAD;
    private HttpRequest head;
    private int classIndex;
    /** The configuration in which {@link #classIndex} was found. */
    private int configurationNumber;

    /** The buffered beginning of the body, or all of it. */
    private BodyBuffer body;

    private int bufferedBytes;
    private long bodyLength;
    private long streamedBytes;
    private long reservedBytes;
    /** Memory of the head that is being received. */
    private final RequestMemory.Reservation partialHeadMemory;

    private BodyRemainder remainder;
    private WebReply reply;
    private boolean keepAlive;
    private boolean hasReceivedRequest;
    private boolean openedOverLimit;
    private boolean processing;
    private boolean processingScheduled;
    private final InputDiscarder discarder = new InputDiscarder(MAX_DISCARDED_BYTES);
    private boolean lingering;
    /** Whether the connection is closed after the response that is being streamed. */
    private boolean closesAfterStream;

    /** Whether further input is discarded, and the connection closed once all queued requests are answered. */
    private boolean inputEnded;

    private boolean responseWritten;
    private int pendingWrites;
    private String closeReason;
    private long headStartedNs;
    private long lastReadNs;
    private long lastWriteNs;
    private long idleSinceNs;

    private WebConnection(WebProtocolAdapter adapter, ClientServer server, Channel channel) {
        this.adapter = adapter;
        this.server = server;
        this.channel = channel;
        openedNs = server.nanos();
        idleSinceNs = openedNs;
        connectionId = server.nextConnectionId();
        queuedParts = new InputQueue(server.requestMemory());
        partialHeadMemory = server.requestMemory().newReservation();
    }

    /** Adds the handlers of a new connection to its pipeline. */
    static void open(WebProtocolAdapter adapter, ClientServer server, ChannelPipeline pipeline) {
        WebConnection connection = new WebConnection(adapter, server, pipeline.channel());
        pipeline.addLast(connection.discarder, connection.decoder, connection.encoder, connection);
    }

    long connectionId() {
        return connectionId;
    }

    // ---------------------------------------------------------------- connection management

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
    public void close(String reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
        channel.close();
    }

    @Override
    public void closeIfOverdue(long nowNs) {
        long bodyIdleTimeoutNs = TimeUnit.MICROSECONDS.toNanos(adapter.limits().bodyIdleTimeoutUs());
        long headTimeoutNs = TimeUnit.MICROSECONDS.toNanos(adapter.limits().headTimeoutUs());
        long keepAliveTimeoutNs = TimeUnit.MICROSECONDS.toNanos(adapter.limits().keepAliveTimeoutUs());
        if (pendingWrites > 0 || lingering) {
            if (nowNs - lastWriteNs > bodyIdleTimeoutNs) {
                resetConnection();
            }
        } else if (phase == Phase.HEAD && reply == null) {
            if (decoder.isMidRequest() && nowNs - (hasReceivedRequest ? headStartedNs : openedNs) > headTimeoutNs) {
                reject(new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "request not whole in time"));
            } else if (!decoder.isMidRequest()
                    && queuedParts.isEmpty()
                    && nowNs - idleSinceNs > (hasReceivedRequest ? keepAliveTimeoutNs : headTimeoutNs)) {
                close("idle");
            }
        } else if ((phase == Phase.BUFFERING || phase == Phase.STREAMING && remainder.ready)
                && queuedParts.isEmpty()
                && nowNs - lastReadNs > bodyIdleTimeoutNs) {
            onBodyTimeout();
        }
    }

    /** The body makes no progress: rejects the request unless its response has begun, and closes the connection. */
    private void onBodyTimeout() {
        if (reply != null && reply.isAnswered()) {
            close("body too slow");
            return;
        }
        BadRequest timeout = new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "body makes no progress");
        if (reply == null) {
            reject(timeout);
        } else {
            abandonRequest(timeout);
        }
    }

    // ---------------------------------------------------------------- reading

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        openedOverLimit = server.onOpened(this, connectionId, channel);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (discarder.isDiscarding() || inputEnded || !(message instanceof HttpObject part)) {
            ReferenceCountUtil.release(message);
            return;
        }
        lastReadNs = server.nanos() - server.acceptDelayNs();
        if (!queuedParts.add(part)) {
            onMemoryExhausted();
            if (inputEnded) {
                queuedParts.removeLast();
            }
        }
        if (!processingScheduled) {
            // Deferred until all available input has been read, because the client may close behind its request.
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
        reservePartialHead();
    }

    /** Reserves the memory of a partly received head; without enough of it no further input is accepted. */
    private void reservePartialHead() {
        if (discarder.isDiscarding() || inputEnded) {
            return;
        }
        long decodedBytes = decoder.isMidHead() ? decoder.decodedHeadBytes() : 0;
        if (!partialHeadMemory.tryResize(decodedBytes + decoder.undecodedBytes())) {
            onMemoryExhausted();
        }
    }

    /**
     * Accepts no further input, because there is no memory to keep it. What is queued is still handled, and the
     * connection is closed after that; a request that has just begun is rejected. A body that is being streamed is only
     * read no further until the server has taken what is queued.
     */
    private void onMemoryExhausted() {
        if (phase == Phase.STREAMING) {
            return;
        }
        if (reply == null && queuedParts.size() <= 1) {
            reject(overloaded());
            return;
        }
        inputEnded = true;
        discardPartialHead();
    }

    private void discardPartialHead() {
        decoder.discardPartialRequest(channel.pipeline());
        partialHeadMemory.release();
    }

    private void updateAutoRead() {
        channel.config().setAutoRead(discarder.isDiscarding() ? discarder.isReading() : !queuedParts.isFull());
    }

    /** Processes queued input until it must wait for the response, the server or more input. */
    private void processQueue() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            while (channel.isActive() && !queuedParts.isEmpty() && processPart(queuedParts.peek())) {
                // Each step consumes input or changes the phase.
                continue;
            }
        } finally {
            processing = false;
        }
        updateAutoRead();
    }

    private boolean processPart(HttpObject part) {
        if (discarder.isDiscarding()) {
            queuedParts.removeFirst();
            return true;
        }
        if (part.decoderResult().isFailure()) {
            if (phase == Phase.COMPLETE) {
                return false; // The pending request before it is answered first.
            }
            Throwable cause = part.decoderResult().cause();
            queuedParts.removeFirst();
            rejectMalformed(BadRequest.malformed(cause));
            return true;
        }
        return switch (phase) {
            case HEAD -> reply == null && startRequest(part);
            case BUFFERING -> bufferBody(part);
            case STREAMING -> remainder.forward(part);
            case COMPLETE -> false;
        };
    }

    private boolean startRequest(HttpObject part) {
        if (!(part instanceof HttpRequest request)) {
            queuedParts.removeFirst(); // The remainder of a rejected request.
            return true;
        }
        hasReceivedRequest = true;
        server.onRequestReceived(this);
        queuedParts.poll();
        head = request;
        streamedBytes = 0;
        body = new BodyBuffer(adapter.limits().bufferBytes());
        try {
            RequestCheck.check(request);
            findClass();
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
        reservedBytes = InputQueue.requestMemoryOf(request);
        if (!server.requestMemory().tryReserve(reservedBytes)) {
            reservedBytes = 0;
            reject(overloaded());
            return true;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        phase = Phase.BUFFERING;
        if (bodyLength > 0 && queuedParts.isEmpty() && HttpUtil.is100ContinueExpected(request)) {
            // To its clients the node is the origin server, which sends 100 itself (RFC 9110, section 10.1.1).
            encoder.respondsToHead = false;
            write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        return true;
    }

    private void findClass() throws BadRequest {
        classIndex = adapter.classOf(head);
        configurationNumber = adapter.configurationNumber();
    }

    private boolean bufferBody(HttpObject part) {
        HttpContent content = (HttpContent) part;
        int addedBytes = content.content().readableBytes();
        if (!body.hasRoomFor(addedBytes)) {
            remainder = new BodyRemainder();
            phase = Phase.STREAMING;
            dispatch();
            return true;
        }
        int grownBytes = body.capacityWith(addedBytes) - body.capacityWith(0);
        if (!server.requestMemory().tryReserve(grownBytes)) {
            reject(overloaded());
            return true;
        }
        reservedBytes += grownBytes;
        body.add(content.content());
        boolean last = part instanceof LastHttpContent;
        queuedParts.removeFirst();
        if (last) {
            phase = Phase.COMPLETE;
            remainder = null;
            bodyLength = body.size();
            dispatch();
        }
        return true;
    }

    private void dispatch() {
        if (configurationNumber != adapter.configurationNumber()) {
            // A reload came while the request was being received: its class may have another index, or be gone.
            try {
                findClass();
            } catch (BadRequest e) {
                reject(e);
                return;
            }
        }
        encoder.respondsToHead = head.method().equals(HttpMethod.HEAD);
        reply = new WebReply(
                this, adapter, encoder.respondsToHead, head.protocolVersion().equals(HttpVersion.HTTP_1_0));
        bufferedBytes = body.size();
        byte[] bufferedBody = body.toByteArray();
        body = null;
        try {
            server.handle(
                    channel,
                    adapter.createRequest(
                            head, classIndex, channel.remoteAddress(), bufferedBody, remainder, bodyLength),
                    reply,
                    server.nanos());
        } catch (RuntimeException | Error e) {
            onInternalError(e);
        }
    }

    /** The part of a body that is not buffered, streamed to the server that has received the buffered part. */
    private final class BodyRemainder implements BodySource {
        private BodySink sink;
        private boolean ready;

        @Override
        public void streamTo(BodySink target) {
            sink = target;
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
                // The response was sent before the end of the body. The next request can't be found without
                // reading the rest of the body, which nobody needs, so the input is discarded.
                discardInput();
            }
        }

        boolean forward(HttpObject part) {
            if (!ready || sink == null) {
                return false;
            }
            HttpContent content = (HttpContent) part;
            ByteBuf piece = content.content();
            // Without a copy, because the queue keeps each piece in an array of its own.
            byte[] bytes = ByteBufUtil.getBytes(piece, piece.readerIndex(), piece.readableBytes(), false);
            boolean last = part instanceof LastHttpContent;
            queuedParts.removeFirst();
            streamedBytes += bytes.length;
            if (bufferedBytes + streamedBytes > adapter.limits().maxBodyBytes()) {
                BodySink target = sink;
                abandonRequest(bodyTooLarge());
                target.abort();
                return true;
            }
            BodySink target = sink;
            if (bytes.length > 0) {
                ready = false;
                boolean writable = target.write(bytes);
                ready |= writable;
            }
            if (last) {
                phase = Phase.COMPLETE;
                target.complete();
                finishRequestIfDone();
            }
            return true;
        }
    }

    // ---------------------------------------------------------------- rejecting

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

    /** Answers a request that the node is already handling with this error, and cancels it at the node. */
    private void abandonRequest(BadRequest e) {
        if (reply.isAnswered()) {
            close("spoilt");
            return;
        }
        WebReply abandonedReply = reply;
        BodySink target = remainder == null ? null : remainder.sink;
        abandonedReply.onClientGone();
        if (target != null) {
            target.abort();
        }
        reply = null;
        reject(e);
    }

    /** Sends an error, discards all further input and closes the connection. */
    private void reject(BadRequest e) {
        if (lingering) {
            return;
        }
        discardInput();
        lingering = true;
        discardPartialHead();
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

    /** Delays the close: closing with unread input resets the connection, and the client could lose the response. */
    private void linger() {
        if (channel instanceof DuplexChannel socket) {
            socket.shutdownOutput();
        }
        channel.eventLoop().schedule(() -> close("answered"), CLOSE_LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void discardInput() {
        discarder.startDiscarding();
        queuedParts.clear();
        updateAutoRead();
    }

    // ---------------------------------------------------------------- writing

    /**
     * Writes a complete response to the pending request.
     *
     * @param toHead whether the request was HEAD, so that the body is left out
     */
    void writeResponse(FullHttpResponse response, boolean toHead) {
        if (toHead && response.content().isReadable()) {
            response = response.replace(channel.alloc().buffer(0));
        }
        boolean last = closesAfterResponse();
        setConnectionHeader(response, last);
        write(response).addListener(written -> onResponseWritten(last));
    }

    /**
     * Writes the head of a response whose body is streamed.
     *
     * @param byClosing whether the end of the connection marks the end of the body
     */
    void startResponse(HttpResponse response, boolean byClosing) {
        closesAfterStream = byClosing || closesAfterResponse();
        setConnectionHeader(response, closesAfterStream);
        write(response);
    }

    /**
     * Writes a chunk of the streamed body.
     *
     * @return whether more can be written now; otherwise {@link WebReply#onWritable} is called later
     */
    boolean writeBody(HttpContent content) {
        write(content);
        return channel.isWritable();
    }

    /** Ends the streamed response. */
    void endResponse(LastHttpContent last) {
        write(last).addListener(written -> onResponseWritten(closesAfterStream));
    }

    /** Resets the connection, so that the client doesn't take a truncated response for a complete one. */
    void resetConnection() {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private boolean closesAfterResponse() {
        return !keepAlive
                || discarder.isDiscarding()
                || inputEnded && queuedParts.isEmpty()
                || phase == Phase.STREAMING
                || server.closesAfterResponse();
    }

    private static void setConnectionHeader(HttpMessage response, boolean last) {
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else {
            // HTTP/1.0 clients need the header; for others it states the default.
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

    /** Called when the response has been written. */
    private void onResponseWritten(boolean last) {
        boolean endsHere = last || inputEnded && queuedParts.isEmpty();
        if (phase == Phase.STREAMING || endsHere || server.isClosing()) {
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
        // Deferred, because a long queue of pipelined requests would recurse too deep.
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
        queuedParts.clear();
        partialHeadMemory.release();
        server.requestMemory().release(reservedBytes);
        reservedBytes = 0;
        BodySink target = remainder == null || phase != Phase.STREAMING ? null : remainder.sink;
        if (reply != null) {
            reply.onClientGone();
        }
        if (target != null) {
            target.abort();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!channel.isActive() || cause instanceof IOException) {
            close("broken");
            return;
        }
        onInternalError(cause);
    }

    /** Answers the pending request with an error; closes the connection if there is none to answer. */
    private void onInternalError(Throwable cause) {
        LOG.log(Level.ERROR, "unexpected error in a client connection handler", cause);
        if (reply != null && !reply.isAnswered()) {
            reply.markMayHaveRun();
            reply.failed(Failure.INTERNAL_ERROR);
        } else {
            close("a fault");
        }
    }
}
