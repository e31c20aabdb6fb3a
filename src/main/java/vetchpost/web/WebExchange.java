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
    private static final int MOST_INFORMATIONAL = 16;

    private static final byte[] NONE = {};
    private static final String EVENTS = "text/event-stream";

    private final WebFront front;
    private final WebLimits limits;
    private final OutgoingRequest sending;
    private final ClientRequest request;
    private Channel channel;
    private HttpResponse head;
    private byte[] held = NONE;
    private int size;
    private int informational;
    private BodySink sink;
    private boolean begun;
    private boolean whole;
    private boolean over;
    /** Of a body that comes bit by bit: whether all of it has been handed over. */
    private boolean sent;

    private Upload upload;
    /** The rest of the body has been begun, and can't be had again. */
    private boolean taken;

    private ScheduledFuture<?> timer;
    private long progressNs;
    private boolean paused;
    /** What the head says of the connection, asked before its fields are passed on without that. */
    private boolean reusable;

    WebExchange(WebFront front, OutgoingRequest sending) {
        this.front = front;
        this.sending = sending;
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
            sent = true;
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
            if (done.isSuccess() && !over && !whole) {
                taken = true;
                request.bodyRemainder().streamTo(upload);
            }
        });
        return writing;
    }

    /** Passes the rest of a body on to the server, a piece at a time. */
    private final class Upload implements BodySink {
        private int unwritten;

        @Override
        public boolean write(byte[] bytes) {
            if (over || whole) {
                return false;
            }
            unwritten++;
            progress();
            watch();
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                    .addListener(done -> {
                        unwritten--;
                        progress();
                        if (done.isSuccess() && unwritten == 0 && !over && !whole) {
                            request.bodyRemainder().resume();
                        }
                    });
            return false;
        }

        @Override
        public void complete() {
            if (!over && !whole) {
                sent = true;
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                progress();
                watch();
            }
        }

        @Override
        public void abort() {
            if (!over && !whole) {
                // The server must not take what it has for the whole.
                channel.close();
            }
        }
    }

    private void progress() {
        progressNs = channel.eventLoop().ticker().nanoTime();
    }

    /** Bodies take as long as they take, but they have to go on. */
    private void watch() {
        if (timer != null || over) {
            return;
        }
        long everyNs = TimeUnit.MICROSECONDS.toNanos(limits.bodyIdleTimeoutUs()) / 4;
        timer = channel.eventLoop()
                .schedule(
                        () -> {
                            timer = null;
                            if (over || whole) {
                                return;
                            }
                            // Once all is sent, and nothing has come back, it is the server's work that is waited for.
                            long mostNs = TimeUnit.MICROSECONDS.toNanos(
                                    sent && head == null
                                            ? Math.max(
                                                    limits.bodyIdleTimeoutUs(), front.deadlineUs(request.classIndex()))
                                            : limits.bodyIdleTimeoutUs());
                            boolean waits = upload != null && !sent && upload.unwritten == 0 || paused;
                            if (!waits && channel.eventLoop().ticker().nanoTime() - progressNs > mostNs) {
                                channel.close();
                            } else {
                                watch();
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
        if (whole || part.decoderResult().isFailure()) {
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
                if (last && ++informational > MOST_INFORMATIONAL) {
                    throw new MalformedResponse();
                }
                head = last ? null : head;
                return false;
            }
            body(content, last);
        }
        return whole;
    }

    private static boolean hasNoBody(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.NO_CONTENT) || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    private boolean isInformational() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void body(HttpContent content, boolean last) {
        int more = content.content().readableBytes();
        if (!begun && size + more <= limits.bufferBytes()) {
            if (size + more > held.length) {
                held = Arrays.copyOf(held, Math.max(size + more, Math.min(limits.bufferBytes(), 2 * held.length)));
            }
            content.content().readBytes(held, size, more);
            size += more;
            if (!last) {
                soon();
            }
        } else {
            begin();
            if (sink != null && more > 0) {
                progress();
                if (!sink.write(ByteBufUtil.getBytes(content.content()))) {
                    paused = true;
                    channel.config().setAutoRead(false);
                }
            }
        }
        if (last) {
            whole = true;
            end();
            if (sink != null) {
                sink.complete();
            }
            if (upload != null && !sent) {
                // Answered before all was asked: what is left of the question is not wanted any more.
                request.bodyRemainder().abandon();
            }
        }
    }

    /** What is not whole by then is passed on as it comes; a stream of events at once. */
    private void soon() {
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null && type.startsWith(EVENTS)) {
            begin();
        } else if (timer == null) {
            timer = channel.eventLoop()
                    .schedule(
                            () -> {
                                timer = null;
                                if (!whole && !over) {
                                    begin();
                                }
                            },
                            limits.bufferTimeoutUs(),
                            TimeUnit.MICROSECONDS);
        }
    }

    private void begin() {
        if (begun || over) {
            return;
        }
        begun = true;
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        progress();
        if (sending.onResponseStarted(answerWith(Arrays.copyOf(held, size), this))) {
            watch();
        } else {
            channel.close();
        }
    }

    private ServerResponse answerWith(byte[] body, BodySource rest) {
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
        sink = to;
    }

    @Override
    public void resume() {
        if (paused && !over) {
            paused = false;
            progress();
            channel.config().setAutoRead(true);
        }
    }

    @Override
    public void abandon() {
        sink = null;
        if (!over && !whole) {
            channel.close();
        }
    }

    @Override
    public boolean isComplete() {
        return whole;
    }

    @Override
    public boolean isReusable() {
        return sent && reusable;
    }

    private void end() {
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
        return begun ? null : answerWith(size == held.length ? held : Arrays.copyOf(held, size), null);
    }

    @Override
    public void abort() {
        if (over) {
            return;
        }
        over = true;
        end();
        if (taken && !sent) {
            request.bodyRemainder().abandon();
        }
        if (sink != null) {
            sink.abort();
        }
    }
}
