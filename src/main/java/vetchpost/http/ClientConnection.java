package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMessageDecoderResult;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import vetchpost.core.ClientRequest;
import vetchpost.core.Failure;

/**
 * Serves one client connection in the platform's protocol. Requests are handled one at a time, pipelined ones wait
 * in order, and each gets exactly one response unless the client leaves first. The connection enforces limits on
 * the size, number and memory of requests and rejects malformed ones. {@link ClientServer} creates it and checks it
 * for timeouts; all calls come on its event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ManagedConnection {
    private static final Logger LOG = System.getLogger(ClientConnection.class.getName());
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Pieces of a body that are kept apart before they are joined; more of them would cost more than their bytes. */
    private static final int MAX_BODY_PIECES = 16;
    /** Further input is kept undecoded by {@link ReadAhead} once this many requests wait. */
    private static final int MAX_PIPELINED_REQUESTS = 16;
    /** Undecoded input is still read up to this limit, so that the client's disconnect is noticed. */
    private static final int MAX_READ_AHEAD_BYTES = 256 * 1024;
    /** Consecutive 4xx responses after which the connection is closed. */
    private static final int MAX_BAD_REQUESTS = 4;
    /** How long a rejected client has to read the error response before its connection is closed. */
    private static final long LINGER_TIMEOUT_MS = 500;
    /** Input discarded meanwhile: closing a socket with unread input resets it and loses the error response. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private static final String READY_PATH = "/ready";
    /** The request itself is fine: the client may retry it. */
    private static final BadRequest OVERLOADED =
            new BadRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once");

    /** A complete request that waits for earlier ones on its connection. */
    private record PipelinedRequest(FullHttpRequest http, long arrivedNs, long costBytes) {}

    private final ClientServer server;
    private final Channel channel;
    private final RequestDecoder decoder = new RequestDecoder();
    private final Deque<PipelinedRequest> pipelined = new ArrayDeque<>();
    private final long openedNs;
    private final long connectionId;
    private HttpReply pendingReply;
    private long pendingCostBytes;
    /** Memory of the request that is being received. */
    private final RequestMemory.Reservation partialMemory;

    private long partialBodyBytes;
    private long requestStartNs;
    private long lastResponseNs;
    private int unwrittenResponses;
    private int consecutiveBadRequests;
    private boolean hasReceivedRequest;
    /** Whether the connection limit was exceeded when this connection was accepted. */
    private boolean overConnectionLimit;
    /** Once it discards input, pending and pipelined requests are answered and the connection is closed. */
    private final InputDiscarder inputDiscarder = new InputDiscarder(MAX_DISCARDED_BYTES);

    private final ReadAhead readAhead;
    private boolean closingAfterWrite;
    private boolean encodingFailed;
    /** Why the node closes the connection; null while it does not. */
    private String closeReason;

    private ClientConnection(ClientServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
        partialMemory = server.requestMemory().newReservation();
        readAhead = new ReadAhead(server.requestMemory(), MAX_READ_AHEAD_BYTES);
        openedNs = server.nanos();
        connectionId = server.nextConnectionId();
    }

    /** Adds the handlers of a client connection to its pipeline. */
    static void open(ClientServer server, ChannelPipeline pipeline) {
        ClientConnection connection = new ClientConnection(server, pipeline.channel());
        pipeline.addLast(
                connection.readAhead,
                connection.inputDiscarder,
                connection.decoder,
                new HttpResponseEncoder(),
                connection.new RequestAggregator(),
                connection);
    }

    @Override
    public boolean isIdle() {
        return pendingReply == null && unwrittenResponses == 0 && pipelined.isEmpty() && !decoder.isMidRequest();
    }

    @Override
    public long idleSinceNs() {
        return hasReceivedRequest ? lastResponseNs : openedNs;
    }

    /** The connection's number, unique within the node. */
    long connectionId() {
        return connectionId;
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
        if (closingAfterWrite || unwrittenResponses > 0) {
            if (nowNs - lastResponseNs > server.requestTimeoutNs()) {
                close("answer not read");
            }
            return;
        }
        if (!isOverdue(nowNs)) {
            return;
        }
        // A delayed event loop may not have read input that arrived in time.
        long bytesBefore = inputDiscarder.receivedBytes();
        readNow();
        if (inputDiscarder.receivedBytes() > bytesBefore || !isOverdue(nowNs)) {
            return;
        }
        if (decoder.isMidRequest()) {
            rejectAndClose(new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "request not whole in time"));
        } else {
            close("silent");
        }
    }

    /** Whether the client is still connected, after reading what the system holds for the connection. */
    boolean isClientConnected() {
        readNow();
        return channel.isActive();
    }

    /** Whether the first request, or the rest of a partly received one, is overdue. */
    private boolean isOverdue(long nowNs) {
        if (pendingReply != null || !pipelined.isEmpty() || !channel.isActive()) {
            return false;
        }
        return decoder.isMidRequest()
                ? nowNs - (hasReceivedRequest ? requestStartNs : openedNs) > server.requestTimeoutNs()
                : !hasReceivedRequest && nowNs - openedNs > server.requestTimeoutNs();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        overConnectionLimit = server.onOpened(this, connectionId, channel);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (server.log().isEnabled()) {
            server.log()
                    .write(
                            "closed",
                            connectionId,
                            closeReason == null ? "by the client" : closeReason,
                            pendingReply == null ? "" : "unanswered",
                            pipelined.isEmpty() ? "" : pipelined.size() + " not taken");
        }
        server.onClosed(this);
        for (PipelinedRequest request : pipelined) {
            request.http.release();
            server.requestMemory().release(request.costBytes);
        }
        pipelined.clear();
        partialMemory.release();
        server.requestMemory().release(pendingCostBytes);
        pendingCostBytes = 0;
        if (pendingReply != null) {
            HttpReply abandonedReply = pendingReply;
            pendingReply = null;
            abandonedReply.onClientDisconnected();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        long now = server.nanos();
        partialMemory.release();
        partialBodyBytes = 0;
        if (inputDiscarder.isDiscarding() || !(message instanceof FullHttpRequest http)) {
            ReferenceCountUtil.release(message);
            return;
        }
        long costBytes = RequestMemory.costOf(
                http.decoderResult() instanceof HttpMessageDecoderResult size ? size.totalSize() : 0,
                http.headers().size(),
                http.content().readableBytes());
        if (!server.requestMemory().tryReserve(costBytes)) {
            http.release();
            rejectAndClose(OVERLOADED);
            return;
        }
        hasReceivedRequest = true;
        server.onRequestReceived(this);
        if (server.log().isEnabled()) {
            server.log()
                    .write(
                            "whole",
                            connectionId,
                            http.uri(),
                            "txn",
                            http.headers().get("X-Txn"));
        }
        if (pendingReply == null && pipelined.isEmpty()) {
            // Started only after all pending input is read, because the client's close may follow the request.
            // Otherwise an overloaded node works mostly for clients that have left, and stays overloaded.
            channel.eventLoop().execute(this::startNextPipelined);
        }
        pipelined.add(new PipelinedRequest(http, now - server.acceptDelayNs(), costBytes));
        if (pipelined.size() >= MAX_PIPELINED_REQUESTS) {
            readAhead.startBuffering();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!decoder.isMidRequest()) {
            requestStartNs = 0;
        } else if (requestStartNs == 0) {
            requestStartNs = server.nanos();
            if (server.log().isEnabled()) {
                server.log().write("begun", connectionId);
            }
        }
        if (!inputDiscarder.isDiscarding() && !tryReservePartialRequest(decoder.undecodedBytes())) {
            rejectAndClose(OVERLOADED);
        }
    }

    /** Reserves the memory that the partly received request takes by now; returns false if there is not enough. */
    private boolean tryReservePartialRequest(long undecodedBytes) {
        return partialMemory.tryResize(decoder.decodedHeadBytes() + partialBodyBytes + undecodedBytes);
    }

    private void startRequest(FullHttpRequest http, long arrivedNs, long costBytes) {
        pendingCostBytes = costBytes;
        if (server.log().isEnabled()) {
            server.log()
                    .write(
                            "take",
                            connectionId,
                            "txn",
                            http.headers().get("X-Txn"),
                            "read before",
                            (server.nanos() - arrivedNs) / 1_000,
                            "us");
        }
        try {
            if (http.decoderResult().isFailure()) {
                rejectAndClose(BadRequest.malformed(http.decoderResult().cause()));
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(http);
            if (http.uri().equals(READY_PATH)) {
                sendResponse(readinessResponse(http), keepAlive);
                return;
            }
            if (overConnectionLimit && server.isOverConnectionLimit()) {
                sendResponse(
                        HttpReply.serviceUnavailable("too many connections, try again", server.retryAfterUs()), false);
                return;
            }
            overConnectionLimit = false;
            ClientRequest request = server.read(http);
            pendingReply = new HttpReply(this, keepAlive);
            server.handle(channel, request, pendingReply, arrivedNs);
        } catch (BadRequest e) {
            answerBadRequest(e, http);
        } catch (RuntimeException | Error e) {
            // Errors too: after an OutOfMemoryError there may still be memory for a short response.
            LOG.log(Level.ERROR, "handling a client request failed; it is answered with status 500", e);
            failPendingRequest();
        } finally {
            http.release();
        }
    }

    /** Answers the current request with an internal error. */
    private void failPendingRequest() {
        if (pendingReply != null) {
            pendingReply.failed(Failure.INTERNAL_ERROR);
        } else {
            sendResponse(internalErrorResponse(), false);
        }
    }

    private static FullHttpResponse internalErrorResponse() {
        return HttpReply.plain(HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal fault");
    }

    private void answerBadRequest(BadRequest e, FullHttpRequest http) {
        FullHttpResponse response = errorResponse(e);
        boolean isHead = http.method().equals(HttpMethod.HEAD);
        if (isHead) {
            // A response to HEAD has no body, whatever its Content-Length says.
            response = response.replace(Unpooled.EMPTY_BUFFER);
        }
        sendResponse(response, HttpUtil.isKeepAlive(http) && !isHead);
    }

    private FullHttpResponse readinessResponse(FullHttpRequest http) {
        if (!http.method().equals(HttpMethod.GET)) {
            return errorResponse(new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "use GET"));
        }
        String reason = server.notReadyReason();
        return reason == null
                ? HttpReply.plain(HttpResponseStatus.OK, server.readyText())
                : HttpReply.plain(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
    }

    private FullHttpResponse errorResponse(BadRequest e) {
        if (e.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            return HttpReply.serviceUnavailable(e.getMessage(), server.retryAfterUs());
        }
        FullHttpResponse response = HttpReply.plain(e.status(), e.getMessage());
        if (e.status().equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, e.getMessage().replace("use ", ""));
        }
        return response;
    }

    /**
     * Discards all further input and closes the connection with this error. Requests that were accepted before it
     * are answered first; then the error itself is not sent.
     */
    private void rejectAndClose(BadRequest e) {
        inputDiscarder.startDiscarding();
        decoder.discardPartialRequest(channel.pipeline());
        partialMemory.tryResize(Math.min(partialMemory.bytes(), partialBodyBytes));
        if (pendingReply != null || !pipelined.isEmpty() || closingAfterWrite) {
            return;
        }
        closingAfterWrite = true;
        writeResponse(withConnectionClose(errorResponse(e))).addListener(written -> {
            if (channel instanceof DuplexChannel socket) {
                socket.shutdownOutput();
            }
            channel.eventLoop().schedule(() -> close("rejected"), LINGER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** Sends the response to the current request, then starts the next one or closes the connection. */
    void sendResponse(FullHttpResponse response, boolean keepAlive) {
        consecutiveBadRequests =
                response.status().codeClass() == HttpStatusClass.CLIENT_ERROR ? consecutiveBadRequests + 1 : 0;
        pendingReply = null;
        server.requestMemory().release(pendingCostBytes);
        pendingCostBytes = 0;
        boolean isLast = pipelined.isEmpty();
        boolean keep = keepAlive
                && !closingAfterWrite
                && consecutiveBadRequests < MAX_BAD_REQUESTS
                && !(isLast && (inputDiscarder.isDiscarding() || server.closesAfterResponse()));
        ChannelFuture writing = writeResponse(keep ? response : withConnectionClose(response));
        if (!keep) {
            inputDiscarder.startDiscarding();
            closingAfterWrite = true;
            writing.addListener(written -> {
                if (written.isSuccess()) {
                    close("answered");
                }
            });
        } else if (!isLast) {
            // In a later task, since a long run of bad requests would otherwise recurse as deep; and only once
            // this response is written, so that responses do not pile up for a client that does not read.
            writing.addListener(written -> channel.eventLoop().execute(this::startNextPipelined));
        } else if (server.isClosing()) {
            close("stopping");
        }
    }

    private ChannelFuture writeResponse(FullHttpResponse response) {
        unwrittenResponses++;
        lastResponseNs = server.nanos();
        if (server.log().isEnabled()) {
            server.log()
                    .write(
                            "answer",
                            connectionId,
                            response.status().code(),
                            response.headers().get(HttpHeaderNames.RETRY_AFTER, ""));
        }
        return channel.writeAndFlush(response).addListener(written -> {
            unwrittenResponses--;
            if (!written.isSuccess() && channel.isActive()) {
                onWriteFailed(written.cause());
            }
        });
    }

    /** Handles a response that could not be encoded: nothing of it was sent, and the connection still works. */
    private void onWriteFailed(Throwable cause) {
        LOG.log(
                Level.ERROR,
                "encoding a response failed; an internal error is sent, or the connection closed if that fails too",
                cause);
        if (encodingFailed) {
            close("a fault");
            return;
        }
        encodingFailed = true;
        inputDiscarder.startDiscarding();
        closingAfterWrite = true;
        writeResponse(withConnectionClose(internalErrorResponse())).addListener(written -> close("a fault"));
    }

    private void startNextPipelined() {
        // After a close, channelInactive comes only in a later task.
        if (pendingReply != null || closingAfterWrite || pipelined.isEmpty() || !channel.isActive()) {
            return;
        }
        if (pipelined.size() <= MAX_PIPELINED_REQUESTS) {
            // Before the next request leaves the queue: the released input may have to be rejected, and a rejection
            // is sent only when nothing is queued.
            readAhead.releaseBuffered();
        }
        PipelinedRequest next = pipelined.poll();
        startRequest(next.http, next.arrivedNs, next.costBytes);
    }

    private static FullHttpResponse withConnectionClose(FullHttpResponse response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!channel.isActive() || cause instanceof IOException) {
            // The connection broke, or ended within a request: nobody waits for a response.
            close("broken");
            return;
        }
        LOG.log(Level.ERROR, "unexpected error in a client connection handler", cause);
        if (pendingReply != null) {
            failPendingRequest();
        } else if (pipelined.isEmpty()) {
            close("a fault");
        } else {
            // Complete requests are still answered; further input is discarded.
            inputDiscarder.startDiscarding();
        }
    }

    /** Aggregates requests with their bodies, reserves memory for them and rejects those that are too large. */
    private final class RequestAggregator extends HttpObjectAggregator {
        RequestAggregator() {
            super(MAX_BODY_BYTES, true);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            int bytes =
                    message instanceof HttpContent content ? content.content().readableBytes() : 0;
            if (inputDiscarder.isDiscarding()) {
                ReferenceCountUtil.release(message);
                return;
            }
            partialBodyBytes += bytes;
            if (!tryReservePartialRequest(0)) {
                ReferenceCountUtil.release(message);
                rejectAndClose(OVERLOADED);
                return;
            }
            super.channelRead(ctx, bytes > 0 ? copyToHeap((HttpContent) message) : message);
        }

        /** Copies a piece of a body: as received, a small one would keep the whole buffer of its socket read. */
        private HttpContent copyToHeap(HttpContent received) {
            try {
                return received.replace(Unpooled.copiedBuffer(received.content()));
            } finally {
                received.release();
            }
        }

        @Override
        protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf emptyBody) throws Exception {
            emptyBody.release();
            return super.beginAggregation(
                    start, new CompositeByteBuf(UnpooledByteBufAllocator.DEFAULT, false, MAX_BODY_PIECES));
        }

        @Override
        protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
            // Left out while an earlier response is due, which it would overtake; clients may proceed without it.
            return pendingReply == null && pipelined.isEmpty() && unwrittenResponses == 0
                    ? super.newContinueResponse(start, maxContentLength, pipeline)
                    : null;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            rejectAndClose(new BadRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB"));
        }
    }
}
