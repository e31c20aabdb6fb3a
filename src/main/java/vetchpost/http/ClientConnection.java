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
    private static final int MAX_BODY = 64 * 1024;
    /** Requests that a client may send ahead of its answers before what else comes is kept unread ... */
    private static final int MAX_PIPELINED_REQUESTS = 16;
    /** ... up to so many bytes, so that its end is noticed. */
    private static final int MAX_READ_AHEAD_BYTES = 256 * 1024;
    /** Requests one after the other that can't be used; a client that sends more doesn't mean to ask. */
    private static final int MAX_BAD_REQUESTS = 4;
    /** How long a client may take to read the reason why its connection is closed. */
    private static final long LINGER_MS = 500;
    /** What is read and thrown away meanwhile: closed on unread bytes, the system would take the reason
     * back. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private static final String READY = "/ready";
    /** Not the request's fault: a refusal, which may come again. */
    private static final BadRequest TOO_MUCH =
            new BadRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much at once");

    /** A request read while an earlier one on its connection still waits for its answer. */
    private record Ahead(FullHttpRequest http, long arrivedNs, long cost) {}

    private final ClientServer server;
    private final Channel channel;
    private final RequestDecoder decoder = new RequestDecoder();
    private final Deque<Ahead> ahead = new ArrayDeque<>();
    private final long openedNs;
    private final long number;
    private HttpReply held;
    private long heldCost;
    private long partCost;
    private long begunNs;
    private long answeredNs;
    private int unwritten;
    private int bad;
    private boolean asked;
    /** There were more than are served when it came. */
    private boolean unwelcome;
    /** Once it begins: what is held and waits is answered, then the connection closed. */
    private final InputDiscarder deafness = new InputDiscarder(MAX_DISCARDED_BYTES);

    private final ReadAhead readAhead;
    private boolean ending;
    private boolean answerSpoilt;
    /** Why this side closes it; null until it does. */
    private String closedFor;

    private ClientConnection(ClientServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
        readAhead = new ReadAhead(server.requestMemory(), MAX_READ_AHEAD_BYTES);
        openedNs = server.nanos();
        number = server.nextConnectionId();
    }

    /** Sets up a client's connection. */
    static void open(ClientServer server, ChannelPipeline pipeline) {
        ClientConnection connection = new ClientConnection(server, pipeline.channel());
        pipeline.addLast(
                connection.readAhead,
                connection.deafness,
                connection.decoder,
                new HttpResponseEncoder(),
                connection.new BodyReader(),
                connection);
    }

    @Override
    public boolean isIdle() {
        return held == null && unwritten == 0 && ahead.isEmpty() && !decoder.isMidRequest();
    }

    @Override
    public long idleSinceNs() {
        return asked ? answeredNs : openedNs;
    }

    /** Which of its node's connections it is. */
    long number() {
        return number;
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
        if (ending || unwritten > 0) {
            if (nowNs - answeredNs > server.patienceNs()) {
                close("answer not read");
            }
            return;
        }
        if (!isOverdue(nowNs)) {
            return;
        }
        // A loop that was held up for a moment has not read what came in time.
        long before = deafness.receivedBytes();
        readNow();
        if (deafness.receivedBytes() > before || !isOverdue(nowNs)) {
            return;
        }
        if (decoder.isMidRequest()) {
            reject(new BadRequest(HttpResponseStatus.REQUEST_TIMEOUT, "request not whole in time"));
        } else {
            close("silent");
        }
    }

    /** Whether the client has not left, as far as its system tells by now. */
    boolean isThere() {
        readNow();
        return channel.isActive();
    }

    /** Whether it has waited too long for the rest of a request, or for its first. */
    private boolean isOverdue(long nowNs) {
        if (held != null || !ahead.isEmpty() || !channel.isActive()) {
            return false;
        }
        return decoder.isMidRequest()
                ? nowNs - (asked ? begunNs : openedNs) > server.patienceNs()
                : !asked && nowNs - openedNs > server.patienceNs();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        unwelcome = server.onOpened(this, number, channel);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (server.log().isEnabled()) {
            server.log()
                    .write(
                            "closed",
                            number,
                            closedFor == null ? "by the client" : closedFor,
                            held == null ? "" : "unanswered",
                            ahead.isEmpty() ? "" : ahead.size() + " not taken");
        }
        server.onClosed(this);
        for (Ahead next : ahead) {
            next.http.release();
            server.requestMemory().release(next.cost);
        }
        ahead.clear();
        server.requestMemory().release(partCost + heldCost);
        partCost = 0;
        heldCost = 0;
        if (held != null) {
            HttpReply left = held;
            held = null;
            left.gone();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        long now = server.nanos();
        server.requestMemory().release(partCost);
        partCost = 0;
        if (deafness.isDiscarding() || !(message instanceof FullHttpRequest http)) {
            ReferenceCountUtil.release(message);
            return;
        }
        long cost = RequestMemory.costOf(
                http.decoderResult() instanceof HttpMessageDecoderResult size ? size.totalSize() : 0,
                http.content().readableBytes());
        if (!server.requestMemory().tryReserve(cost)) {
            http.release();
            reject(TOO_MUCH);
            return;
        }
        asked = true;
        server.onRequestReceived(this);
        if (server.log().isEnabled()) {
            server.log()
                    .write("whole", number, http.uri(), "txn", http.headers().get("X-Txn"));
        }
        if (held == null && ahead.isEmpty()) {
            // Not before all is read that has come: behind the request there may be the client's close. A
            // node that is behind would else work mostly for clients that have left, and so stay behind.
            channel.eventLoop().execute(this::takeAhead);
        }
        ahead.add(new Ahead(http, now - server.acceptDelayNs(), cost));
        if (ahead.size() >= MAX_PIPELINED_REQUESTS) {
            readAhead.keep();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!decoder.isMidRequest()) {
            begunNs = 0;
        } else if (begunNs == 0) {
            begunNs = server.nanos();
            if (server.log().isEnabled()) {
                server.log().write("begun", number);
            }
        }
    }

    private void take(FullHttpRequest http, long arrivedNs, long cost) {
        heldCost = cost;
        if (server.log().isEnabled()) {
            server.log()
                    .write(
                            "take",
                            number,
                            "txn",
                            http.headers().get("X-Txn"),
                            "read before",
                            (server.nanos() - arrivedNs) / 1_000,
                            "us");
        }
        try {
            if (http.decoderResult().isFailure()) {
                reject(BadRequest.malformed(http.decoderResult().cause()));
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(http);
            if (http.uri().equals(READY)) {
                answer(ready(http), keepAlive);
                return;
            }
            if (server.isRehearsal(http)) {
                answer(HttpReply.plain(HttpResponseStatus.OK, "rehearsed"), keepAlive);
                return;
            }
            if (unwelcome && server.isOverConnectionLimit()) {
                answer(HttpReply.serviceUnavailable("too many connections, try again", server.retryAfterUs()), false);
                return;
            }
            unwelcome = false;
            ClientRequest request = server.read(http);
            held = new HttpReply(this, keepAlive);
            server.handle(request, held, arrivedNs);
        } catch (BadRequest e) {
            turnAway(e, http);
        } catch (RuntimeException | Error e) {
            // Errors too: there may be no memory for this one, and some for a short answer.
            LOG.log(Level.ERROR, "a request could not be taken", e);
            fault();
        } finally {
            http.release();
        }
    }

    /** A fault of ours: what was taken is still owed its answer. */
    private void fault() {
        if (held != null) {
            held.failed(Failure.INTERNAL_ERROR);
        } else {
            answer(faulty(), false);
        }
    }

    private static FullHttpResponse faulty() {
        return HttpReply.plain(HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal fault");
    }

    private void turnAway(BadRequest e, FullHttpRequest http) {
        FullHttpResponse response = bad(e);
        boolean head = http.method().equals(HttpMethod.HEAD);
        if (head) {
            // An answer to HEAD has no body, whatever its length says.
            response = response.replace(Unpooled.EMPTY_BUFFER);
        }
        answer(response, HttpUtil.isKeepAlive(http) && !head);
    }

    private FullHttpResponse ready(FullHttpRequest http) {
        if (!http.method().equals(HttpMethod.GET)) {
            return bad(new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "use GET"));
        }
        String not = server.notReadyReason();
        return not == null
                ? HttpReply.plain(HttpResponseStatus.OK, server.readyText())
                : HttpReply.plain(HttpResponseStatus.SERVICE_UNAVAILABLE, not);
    }

    private FullHttpResponse bad(BadRequest e) {
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
    private void reject(BadRequest e) {
        deafness.startDiscarding();
        if (held != null || !ahead.isEmpty() || ending) {
            return;
        }
        ending = true;
        write(closing(bad(e))).addListener(written -> {
            if (channel instanceof DuplexChannel socket) {
                socket.shutdownOutput();
            }
            channel.eventLoop().schedule(() -> close("rejected"), LINGER_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** The answer to the request that is held or has just been read. */
    void answer(FullHttpResponse response, boolean keepAlive) {
        bad = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR ? bad + 1 : 0;
        held = null;
        server.requestMemory().release(heldCost);
        heldCost = 0;
        boolean last = ahead.isEmpty();
        boolean keep = keepAlive
                && !ending
                && bad < MAX_BAD_REQUESTS
                && !(last && (deafness.isDiscarding() || server.closesAfterResponse()));
        ChannelFuture writing = write(keep ? response : closing(response));
        if (!keep) {
            deafness.startDiscarding();
            ending = true;
            writing.addListener(written -> {
                if (written.isSuccess()) {
                    close("answered");
                }
            });
        } else if (!last) {
            // Later, not from here: a long line of requests that can't be taken would go as deep; and not
            // before the answer is written: a client that doesn't read must not have them pile up.
            writing.addListener(written -> channel.eventLoop().execute(this::takeAhead));
        } else if (server.isClosing()) {
            close("stopping");
        }
    }

    private ChannelFuture write(FullHttpResponse response) {
        unwritten++;
        answeredNs = server.nanos();
        if (server.log().isEnabled()) {
            server.log()
                    .write(
                            "answer",
                            number,
                            response.status().code(),
                            response.headers().get(HttpHeaderNames.RETRY_AFTER, ""));
        }
        return channel.writeAndFlush(response).addListener(written -> {
            unwritten--;
            if (!written.isSuccess() && channel.isActive()) {
                notWritten(written.cause());
            }
        });
    }

    /** Nothing of an answer has been written, and its connection is well: it could not be put into bytes. */
    private void notWritten(Throwable cause) {
        LOG.log(Level.ERROR, "an answer could not be written", cause);
        if (answerSpoilt) {
            close("a fault");
            return;
        }
        answerSpoilt = true;
        deafness.startDiscarding();
        ending = true;
        write(closing(faulty())).addListener(written -> close("a fault"));
    }

    private void takeAhead() {
        // One that has closed is told of only by a later task.
        if (held != null || ending || ahead.isEmpty() || !channel.isActive()) {
            return;
        }
        if (ahead.size() <= MAX_PIPELINED_REQUESTS) {
            // First, while what is taken next still stands in line: what comes may have to be rejected.
            readAhead.letGo();
        }
        Ahead next = ahead.poll();
        take(next.http, next.arrivedNs, next.cost);
    }

    private static FullHttpResponse closing(FullHttpResponse response) {
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
        if (held != null) {
            fault();
        } else if (ahead.isEmpty()) {
            close("a fault");
        } else {
            // What has been read whole is taken and answered, and nothing behind it.
            deafness.startDiscarding();
        }
    }

    /** Reads a request whole; one that is too large is told so and its connection closed. */
    private final class BodyReader extends HttpObjectAggregator {
        BodyReader() {
            super(MAX_BODY, true);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            int more =
                    message instanceof HttpContent content ? content.content().readableBytes() : 0;
            if (deafness.isDiscarding() || !server.requestMemory().tryReserve(more)) {
                ReferenceCountUtil.release(message);
                reject(TOO_MUCH);
                return;
            }
            partCost += more;
            super.channelRead(ctx, message);
        }

        @Override
        protected Object newContinueResponse(HttpMessage start, int most, ChannelPipeline pipeline) {
            // It would overtake the answer to an earlier request; and a client may go on without it.
            return held == null && ahead.isEmpty() && unwritten == 0
                    ? super.newContinueResponse(start, most, pipeline)
                    : null;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            reject(new BadRequest(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB"));
        }
    }
}
