package vetchpost.web;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import vetchpost.core.BodySink;
import vetchpost.core.BodySource;
import vetchpost.core.ClientRequest;
import vetchpost.core.ServerResponse;
import vetchpost.core.ServerTransport.OutgoingRequest;
import vetchpost.decision.Balancer.Result;
import vetchpost.http.Exchange;
import vetchpost.http.HeaderFields;
import vetchpost.standalone.WebLimits;

/**
 * A request and its answer on a connection to any web server. An answer is held while it is short and comes
 * soon, so that one that breaks off can be had from another server; beyond, it is passed on as it comes.
 */
final class WebExchange implements Exchange, BodySource {
    /** Informational answers ahead of the final one; servers send one or two. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 16;

    private static final byte[] NO_BYTES = {};
    private static final String EVENT_STREAM = "text/event-stream";

    private final WebProtocolAdapter adapter;
    private final WebLimits limits;
    private final OutgoingRequest outgoing;
    private final ClientRequest request;
    private Channel channel;
    private HttpResponse head;
    private byte[] buffer = NO_BYTES;
    private int bufferedBytes;
    private int informationalCount;
    private BodySink clientSink;
    private boolean streaming;
    private boolean complete;
    private boolean aborted;
    /** Of a body that comes bit by bit: whether all of it has been handed over. */
    private boolean requestSent;

    private Upload upload;
    /** The rest of the body has been begun, and can't be had again. */
    private boolean remainderStarted;

    private ScheduledFuture<?> timer;
    private long lastProgressNs;
    private boolean readingPaused;
    /** What the head says of the connection, asked before its fields are passed on without that. */
    private boolean reusable;

    WebExchange(WebProtocolAdapter front, OutgoingRequest sending) {
        this.adapter = front;
        this.outgoing = sending;
        limits = front.limits();
        request = sending.request();
    }

    // ---------------------------------------------------------------- the request

    @Override
    public ChannelFuture write(Channel to) {
        channel = to;
        HttpMethod method = HttpMethod.valueOf(request.method());
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        request.headers().forEach(headers::add);
        if (request.bodyRemainder() == null) {
            requestSent = true;
            return channel.writeAndFlush(new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    method,
                    request.target(),
                    Unpooled.wrappedBuffer(request.body()),
                    headers,
                    DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders()));
        }
        if (request.bodyLength() == Long.MAX_VALUE) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.bodyLength());
        }
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, request.target(), headers));
        upload = new Upload();
        ChannelFuture writing = channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(request.body())));
        writing.addListener(done -> {
            if (done.isSuccess() && !aborted && !complete) {
                remainderStarted = true;
                request.bodyRemainder().streamTo(upload);
            }
        });
        return writing;
    }

    /** Passes the rest of a body on to the server, a piece at a time. */
    private final class Upload implements BodySink {
        private int pendingWrites;

        @Override
        public boolean write(byte[] bytes) {
            if (aborted || complete) {
                return false;
            }
            pendingWrites++;
            recordProgress();
            scheduleProgressCheck();
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                    .addListener(done -> {
                        pendingWrites--;
                        recordProgress();
                        if (done.isSuccess() && pendingWrites == 0 && !aborted && !complete) {
                            request.bodyRemainder().resume();
                        }
                    });
            return false;
        }

        @Override
        public void complete() {
            if (!aborted && !complete) {
                requestSent = true;
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                recordProgress();
                scheduleProgressCheck();
            }
        }

        @Override
        public void abort() {
            if (!aborted && !complete) {
                // The server must not take what it has for the whole.
                channel.close();
            }
        }
    }

    private void recordProgress() {
        lastProgressNs = channel.eventLoop().ticker().nanoTime();
    }

    /** Bodies take as long as they take, but they have to go on. */
    private void scheduleProgressCheck() {
        if (timer != null || aborted) {
            return;
        }
        long everyNs = TimeUnit.MICROSECONDS.toNanos(limits.bodyIdleTimeoutUs()) / 4;
        timer = channel.eventLoop()
                .schedule(
                        () -> {
                            timer = null;
                            if (aborted || complete) {
                                return;
                            }
                            // Once all is sent, and nothing has come back, it is the server's work that is waited for.
                            long mostNs = TimeUnit.MICROSECONDS.toNanos(
                                    requestSent && head == null
                                            ? Math.max(
                                                    limits.bodyIdleTimeoutUs(),
                                                    adapter.deadlineUs(request.classIndex()))
                                            : limits.bodyIdleTimeoutUs());
                            boolean waits =
                                    upload != null && !requestSent && upload.pendingWrites == 0 || readingPaused;
                            if (!waits && channel.eventLoop().ticker().nanoTime() - lastProgressNs > mostNs) {
                                channel.close();
                            } else {
                                scheduleProgressCheck();
                            }
                        },
                        everyNs,
                        TimeUnit.NANOSECONDS);
    }

    // ---------------------------------------------------------------- the answer

    @Override
    public boolean isBodyless() {
        return request.method().equals("HEAD");
    }

    @Override
    public boolean read(HttpObject part) throws MalformedResponse {
        if (complete || part.decoderResult().isFailure()) {
            throw new MalformedResponse();
        }
        if (part instanceof HttpResponse response) {
            // Nobody has asked for another protocol.
            if (response.protocolVersion().majorVersion() != 1
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                throw new MalformedResponse();
            }
            if (!limits.requiredHeader().isEmpty()
                    && !response.headers().contains(limits.requiredHeader())
                    && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                throw new MalformedResponse(); // Another application lives at that address now.
            }
            head = response;
            boolean framed = isBodyless()
                    || HttpUtil.isContentLengthSet(response)
                    || HttpUtil.isTransferEncodingChunked(response)
                    || hasNoBody(response.status());
            reusable = framed && HttpUtil.isKeepAlive(response);
        }
        if (part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            if (isInformational()) {
                if (last && ++informationalCount > MAX_INFORMATIONAL_RESPONSES) {
                    throw new MalformedResponse();
                }
                head = last ? null : head;
                return false;
            }
            readBody(content, last);
        }
        return complete;
    }

    private static boolean hasNoBody(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.NO_CONTENT) || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    private boolean isInformational() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void readBody(HttpContent content, boolean last) {
        int more = content.content().readableBytes();
        if (!streaming && bufferedBytes + more <= limits.bufferBytes()) {
            if (bufferedBytes + more > buffer.length) {
                buffer = Arrays.copyOf(
                        buffer, Math.max(bufferedBytes + more, Math.min(limits.bufferBytes(), 2 * buffer.length)));
            }
            content.content().readBytes(buffer, bufferedBytes, more);
            bufferedBytes += more;
            if (!last) {
                startStreamingSoon();
            }
        } else {
            startStreaming();
            if (clientSink != null && more > 0) {
                recordProgress();
                if (!clientSink.write(ByteBufUtil.getBytes(content.content()))) {
                    readingPaused = true;
                    channel.config().setAutoRead(false);
                }
            }
        }
        if (last) {
            complete = true;
            cancelTimer();
            if (clientSink != null) {
                clientSink.complete();
            }
            if (upload != null && !requestSent) {
                // Answered before all was asked: what is left of the question is not wanted any more.
                request.bodyRemainder().abandon();
            }
        }
    }

    /** What is not whole by then is passed on as it comes; a stream of events at once. */
    private void startStreamingSoon() {
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null && type.startsWith(EVENT_STREAM)) {
            startStreaming();
        } else if (timer == null) {
            timer = channel.eventLoop()
                    .schedule(
                            () -> {
                                timer = null;
                                if (!complete && !aborted) {
                                    startStreaming();
                                }
                            },
                            limits.bufferTimeoutUs(),
                            TimeUnit.MICROSECONDS);
        }
    }

    private void startStreaming() {
        if (streaming || aborted) {
            return;
        }
        streaming = true;
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        recordProgress();
        if (outgoing.onResponseStarted(createResponse(Arrays.copyOf(buffer, bufferedBytes), this))) {
            scheduleProgressCheck();
        } else {
            channel.close();
        }
    }

    private ServerResponse createResponse(byte[] body, BodySource rest) {
        RequestCheck.dropHopByHop(head.headers());
        long length = rest == null ? body.length : HttpUtil.getContentLength(head, Long.MAX_VALUE);
        return new ServerResponse(
                head.status().code(),
                head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                body,
                new HeaderFields(head.headers()),
                rest,
                length);
    }

    @Override
    public void streamTo(BodySink to) {
        clientSink = to;
    }

    @Override
    public void resume() {
        if (readingPaused && !aborted) {
            readingPaused = false;
            recordProgress();
            channel.config().setAutoRead(true);
        }
    }

    @Override
    public void abandon() {
        clientSink = null;
        if (!aborted && !complete) {
            channel.close();
        }
    }

    @Override
    public boolean isComplete() {
        return complete;
    }

    @Override
    public boolean isReusable() {
        return requestSent && reusable;
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    @Override
    public Result result() {
        return head.status().code() < 500 ? Result.OK : Result.ERROR;
    }

    @Override
    public ServerResponse response() {
        return streaming
                ? null
                : createResponse(bufferedBytes == buffer.length ? buffer : Arrays.copyOf(buffer, bufferedBytes), null);
    }

    @Override
    public void abort() {
        if (aborted) {
            return;
        }
        aborted = true;
        cancelTimer();
        if (remainderStarted && !requestSent) {
            request.bodyRemainder().abandon();
        }
        if (clientSink != null) {
            clientSink.abort();
        }
    }
}
