package vetchpost.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.function.BiConsumer;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;

/** The headers of HTTP as the core's fields, and the way back. */
public record HeaderFields(HttpHeaders headers) implements Headers {
    @Override
    public String get(String name) {
        return headers.get(name);
    }

    @Override
    public void forEach(BiConsumer<String, String> action) {
        for (Map.Entry<String, String> field : headers) {
            action.accept(field.getKey(), field.getValue());
        }
    }

    /**
     * The message for a server that is waited for so long. It is to be encoded before the next is made of the
     * same request: they share their headers, and what differs is set anew for each.
     */
    static FullHttpRequest message(ClientRequest request, long waitUs) {
        HttpMethod method = HttpMethod.valueOf(request.method());
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                request.target(),
                Unpooled.wrappedBuffer(request.body()),
                headers(request.headers()),
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
        message.headers().set(RequestReader.REMAINING_MS_HEADER, Math.max(1, waitUs / 1_000));
        if (request.body().length > 0 || method.equals(HttpMethod.POST)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    private static HttpHeaders headers(Headers fields) {
        if (fields instanceof HeaderFields http) {
            return http.headers;
        }
        HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        fields.forEach(copy::add);
        return copy;
    }
}
