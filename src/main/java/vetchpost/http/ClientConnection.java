package vetchpost.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
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

/** One client's connection: its requests one by one, an answer to each, and what it may cost meanwhile. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ManagedConnection {
    private static final Logger LOG = System.getLogger(ClientConnection.class.getName());
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Requests that a client may send ahead of its answers before what else comes is kept unread ... */
    private static final int MAX_PIPELINED_REQUESTS = 16;
    /** ... up to so many bytes, so that its end is noticed. */
    private static final int MAX_READ_AHEAD_BYTES = 256 * 1024;
    /** Requests one after the other that can't be used; a client that sends more doesn't mean to ask. */
    private static final int MAX_BAD_REQUESTS = 4;
    /** How long a client may take to read the reason why its connection is closed. */
    private static final long LINGER_TIMEOUT_MS = 500;
    /** What is read and thrown away meanwhile: closed on unread bytes, the system would take the reason
     * back. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private static final String READY_PATH = "/ready";
    /** Not the request's fault: a refusal, which may come again. */
    private static final BadRequest OVERLOADED =
            new BadRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once");

    /** A request read while an earlier one on its connection still waits for its answer. */
    private record PipelinedRequest(FullHttpRequest http, long arrivedNs, long costBytes) {}

    private final ClientServer server;
    private final Channel channel;
    private final RequestDecoder decoder = new RequestDecoder();
    private final Deque<PipelinedRequest> pipelined = new ArrayDeque<>();
    private final long openedNs;
    private final long connectionId;
    private HttpReply pendingReply;
    private long pendingCostBytes;
    private long partialCostBytes;
    private long requestStartNs;
    private long lastResponseNs;
    private int unwrittenResponses;
    private int consecutiveBadRequests;
    private boolean hasReceivedRequest;
    /** There were more than are served when it came. */
    private boolean overConnectionLimit;
    /** Once it begins: what is held and waits is answered, then the connection closed. */
    private final InputDiscarder inputDiscarder = new InputDiscarder(MAX_DISCARDED_BYTES);

    private final ReadAhead readAhead;
    private boolean closingAfterWrite;
    private boolean encodingFailed;
    /** Why this side closes it; null until it does. */
    private String closeReason;

    private ClientConnection(ClientServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
        readAhead = new ReadAhead(server.requestMemory(), MAX_READ_AHEAD_BYTES);
        openedNs = server.nanos();
        connectionId = server.nextConnectionId();
    }

    /** Sets up a client's connection. */
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

    /** Which of its node's connections it is. */
    long connectionId() {
        return connectionId;
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
        if (closingAfterWrite || unwrittenResponses > 0) {
            if (nowNs - lastResponseNs > server.requestTimeoutNs()) {
                close("answer not read");
            }
            return;
        }
        if (!isOverdue(nowNs)) {
            return;
        }
        // A loop that was held up for a moment has not read what came in time.
        long before = inputDiscarder.receivedBytes();
        readNow();
        if (inputDiscarder.receivedBytes() > before || !isOverdue(nowNs)) {
            return;
        }
        if (decoder.isMidRequest()) {
            rejectAndClose(new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "request not whole in time"));
        } else {
            close("silent");
        }
    }

    /** Whether the client has not left, as far as its system tells by now. */
    boolean isClientConnected() {
        readNow();
        return channel.isActive();
    }

    /** Whether it has waited too long for the rest of a request, or for its first. */
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
        for (PipelinedRequest next : pipelined) {
            next.http.release();
            server.requestMemory().release(next.costBytes);
        }
        pipelined.clear();
        server.requestMemory().release(partialCostBytes + pendingCostBytes);
        partialCostBytes = 0;
        pendingCostBytes = 0;
        if (pendingReply != null) {
            HttpReply left = pendingReply;
            pendingReply = null;
            left.onClientDisconnected();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        long now = server.nanos();
        server.requestMemory().release(partialCostBytes);
        partialCostBytes = 0;
        if (inputDiscarder.isDiscarding() || !(message instanceof FullHttpRequest http)) {
            ReferenceCountUtil.release(message);
            return;
        }
        long cost = RequestMemory.costOf(
                http.decoderResult() instanceof HttpMessageDecoderResult size ? size.totalSize() : 0,
                http.content().readableBytes());
        if (!server.requestMemory().tryReserve(cost)) {
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
            // Not before all is read that has come: behind the request there may be the client's close. A
            // node that is behind would else work mostly for clients that have left, and so stay behind.
            channel.eventLoop().execute(this::startNextPipelined);
        }
        pipelined.add(new PipelinedRequest(http, now - server.acceptDelayNs(), cost));
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
    }

    private void startRequest(FullHttpRequest http, long arrivedNs, long cost) {
        pendingCostBytes = cost;
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
            if (server.isRehearsal(http)) {
                sendResponse(HttpReply.plain(HttpResponseStatus.OK, "rehearsed"), keepAlive);
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
            server.handle(request, pendingReply, arrivedNs);
        } catch (BadRequest e) {
            answerBadRequest(e, http);
        } catch (RuntimeException | Error e) {
            // Errors too: there may be no memory for this one, and some for a short answer.
            LOG.log(Level.ERROR, "a request could not be taken", e);
            failPendingRequest();
        } finally {
            http.release();
        }
    }

    /** A fault of ours: what was taken is still owed its answer. */
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
        boolean head = http.method().equals(HttpMethod.HEAD);
        if (head) {
            // An answer to HEAD has no body, whatever its length says.
            response = response.replace(Unpooled.EMPTY_BUFFER);
        }
        sendResponse(response, HttpUtil.isKeepAlive(http) && !head);
    }

    private FullHttpResponse readinessResponse(FullHttpRequest http) {
        if (!http.method().equals(HttpMethod.GET)) {
            return errorResponse(new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "use GET"));
        }
        String not = server.notReadyReason();
        return not == null
                ? HttpReply.plain(HttpResponseStatus.OK, server.readyText())
                : HttpReply.plain(HttpResponseStatus.SERVICE_UNAVAILABLE, not);
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

    /** Nothing that follows on the connection can be understood; what is held is answered first. */
    private void rejectAndClose(BadRequest e) {
        inputDiscarder.startDiscarding();
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

    /** The answer to the request that is held or has just been read. */
    void sendResponse(FullHttpResponse response, boolean keepAlive) {
        consecutiveBadRequests =
                response.status().codeClass() == HttpStatusClass.CLIENT_ERROR ? consecutiveBadRequests + 1 : 0;
        pendingReply = null;
        server.requestMemory().release(pendingCostBytes);
        pendingCostBytes = 0;
        boolean last = pipelined.isEmpty();
        boolean keep = keepAlive
                && !closingAfterWrite
                && consecutiveBadRequests < MAX_BAD_REQUESTS
                && !(last && (inputDiscarder.isDiscarding() || server.closesAfterResponse()));
        ChannelFuture writing = writeResponse(keep ? response : withConnectionClose(response));
        if (!keep) {
            inputDiscarder.startDiscarding();
            closingAfterWrite = true;
            writing.addListener(written -> {
                if (written.isSuccess()) {
                    close("answered");
                }
            });
        } else if (!last) {
            // Later, not from here: a long line of requests that can't be taken would go as deep; and not
            // before the answer is written: a client that doesn't read must not have them pile up.
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

    /** Nothing of an answer has been written, and its connection is well: it could not be put into bytes. */
    private void onWriteFailed(Throwable cause) {
        LOG.log(Level.ERROR, "an answer could not be written", cause);
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
        // One that has closed is told of only by a later task.
        if (pendingReply != null || closingAfterWrite || pipelined.isEmpty() || !channel.isActive()) {
            return;
        }
        if (pipelined.size() <= MAX_PIPELINED_REQUESTS) {
            // First, while what is taken next still stands in line: what comes may have to be rejected.
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
            // It broke, or ended within a request: nothing is owed any more.
            close("broken");
            return;
        }
        LOG.log(Level.ERROR, "a client's connection failed", cause);
        if (pendingReply != null) {
            failPendingRequest();
        } else if (pipelined.isEmpty()) {
            close("a fault");
        } else {
            // What has been read whole is taken and answered, and nothing behind it.
            inputDiscarder.startDiscarding();
        }
    }

    /** Reads a request whole; one that is too large is told so and its connection closed. */
    private final class RequestAggregator extends HttpObjectAggregator {
        RequestAggregator() {
            super(MAX_BODY_BYTES, true);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            int more =
                    message instanceof HttpContent content ? content.content().readableBytes() : 0;
            if (inputDiscarder.isDiscarding() || !server.requestMemory().tryReserve(more)) {
                ReferenceCountUtil.release(message);
                rejectAndClose(OVERLOADED);
                return;
            }
            partialCostBytes += more;
            super.channelRead(ctx, message);
        }

        @Override
        protected Object newContinueResponse(HttpMessage start, int most, ChannelPipeline pipeline) {
            // It would overtake the answer to an earlier request; and a client may go on without it.
            return pendingReply == null && pipelined.isEmpty() && unwrittenResponses == 0
                    ? super.newContinueResponse(start, most, pipeline)
                    : null;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            rejectAndClose(new BadRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB"));
        }
    }
}
