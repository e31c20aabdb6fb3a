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
import java.util.concurrent.TimeUnit;
import vetchpost.core.BodySink;
import vetchpost.core.BodySource;
import vetchpost.core.ClientRequest;
import vetchpost.core.ServerResponse;
import vetchpost.core.ServerTransport.OutgoingRequest;
import vetchpost.decision.Balancer.Result;
import vetchpost.http.BodyBuffer;
import vetchpost.http.Exchange;
import vetchpost.http.HeaderFields;
import vetchpost.standalone.WebLimits;

/**
 * One request and its response on a connection to a server. A response is buffered while it is short and arrives
 * quickly, so that the request can be retried at another server if the response is truncated; after that it is
 * streamed to the client. Created by {@link WebProtocolAdapter}; everything runs on the channel's event loop.
 */
final class WebExchange implements Exchange, BodySource {
    /** Informational responses before the final one; servers send one or two. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 16;

    private static final String EVENT_STREAM = "text/event-stream";

    private final WebProtocolAdapter adapter;
    private final WebLimits limits;
    private final OutgoingRequest outgoing;
    private final ClientRequest request;
    private Channel channel;
    private HttpResponse head;
    private final BodyBuffer buffer;
    private int informationalCount;
    private BodySink clientSink;
    private boolean streaming;
    private boolean complete;
    private boolean aborted;
    /** Whether all of the request has been handed to the channel. */
    private boolean requestSent;

    private Upload upload;
    /** Whether streaming the remainder of the body has begun, which rules out a retry. */
    private boolean remainderStarted;

    private ScheduledFuture<?> timer;
    private long lastProgressNs;
    private boolean readingPaused;
    /** Whether the response head lets the connection be reused; read before its hop-by-hop fields are removed. */
    private boolean reusable;

    WebExchange(WebProtocolAdapter adapter, OutgoingRequest outgoing) {
        this.adapter = adapter;
        this.outgoing = outgoing;
        limits = adapter.limits();
        buffer = new BodyBuffer(limits.bufferBytes());
        request = outgoing.request();
    }

    // ---------------------------------------------------------------- writing the request

    @Override
    public ChannelFuture write(Channel target) {
        channel = target;
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
        ChannelFuture written = channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(request.body())));
        written.addListener(done -> {
            if (done.isSuccess() && !aborted && !complete) {
                remainderStarted = true;
                request.bodyRemainder().streamTo(upload);
            }
        });
        return written;
    }

    /** Streams the remainder of a body to the server, one chunk at a time. */
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
                // The server must not take a truncated body for a complete one.
                channel.close();
            }
        }
    }

    private void recordProgress() {
        lastProgressNs = channel.eventLoop().ticker().nanoTime();
    }

    /** Bodies may take any time in total, but the connection is closed if they make no progress. */
    private void scheduleProgressCheck() {
        if (timer != null || aborted) {
            return;
        }
        long checkIntervalNs = TimeUnit.MICROSECONDS.toNanos(limits.bodyIdleTimeoutUs()) / 4;
        timer = channel.eventLoop()
                .schedule(
                        () -> {
                            timer = null;
                            if (aborted || complete) {
                                return;
                            }
                            // Between the end of the request and the response head the server gets the class's
                            // deadline.
                            long timeoutNs = TimeUnit.MICROSECONDS.toNanos(
                                    requestSent && head == null
                                            ? Math.max(
                                                    limits.bodyIdleTimeoutUs(),
                                                    adapter.deadlineUs(request.classIndex()))
                                            : limits.bodyIdleTimeoutUs());
                            boolean waitsForClient =
                                    upload != null && !requestSent && upload.pendingWrites == 0 || readingPaused;
                            if (!waitsForClient
                                    && channel.eventLoop().ticker().nanoTime() - lastProgressNs > timeoutNs) {
                                channel.close();
                            } else {
                                scheduleProgressCheck();
                            }
                        },
                        checkIntervalNs,
                        TimeUnit.NANOSECONDS);
    }

    // ---------------------------------------------------------------- reading the response

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
            // The node never asks for a protocol upgrade.
            if (response.protocolVersion().majorVersion() != 1
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                throw new MalformedResponse();
            }
            if (!limits.requiredHeader().isEmpty()
                    && !response.headers().contains(limits.requiredHeader())
                    && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                throw new MalformedResponse(); // Another application answers at this address.
            }
            head = response;
            boolean delimited = isBodyless()
                    || HttpUtil.isContentLengthSet(response)
                    || HttpUtil.isTransferEncodingChunked(response)
                    || hasNoBody(response.status());
            reusable = delimited && HttpUtil.isKeepAlive(response);
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
        int addedBytes = content.content().readableBytes();
        if (!streaming && buffer.hasRoomFor(addedBytes)) {
            buffer.add(content.content());
            if (!last) {
                startStreamingSoon();
            }
        } else {
            startStreaming();
            if (clientSink != null && addedBytes > 0) {
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
                // The response is complete before the request: the rest of the request is not needed.
                request.bodyRemainder().abandon();
            }
        }
    }

    /** Starts streaming after the buffer timeout, or at once for a stream of events. */
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
        if (outgoing.onResponseStarted(createResponse(buffer.toByteArray(), this))) {
            scheduleProgressCheck();
        } else {
            channel.close();
        }
    }

    private ServerResponse createResponse(byte[] body, BodySource remainder) {
        RequestCheck.dropHopByHop(head.headers());
        long length = remainder == null ? body.length : HttpUtil.getContentLength(head, Long.MAX_VALUE);
        return new ServerResponse(
                head.status().code(),
                head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                body,
                new HeaderFields(head.headers()),
                remainder,
                length);
    }

    @Override
    public void streamTo(BodySink target) {
        clientSink = target;
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
        return streaming ? null : createResponse(buffer.toByteArray(), null);
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
