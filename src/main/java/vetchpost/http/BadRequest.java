package vetchpost.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/** A client's request that can't be taken; the message is the short reason it is told. */
public final class BadRequest extends Exception {
    private static final long serialVersionUID = 1;

    private final transient HttpResponseStatus status;

    /** Told with this status and reason. */
    public BadRequest(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** The status that it is told. */
    public HttpResponseStatus status() {
        return status;
    }

    /** Why a decoder could not read a request. */
    public static BadRequest malformed(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return new BadRequest(HttpResponseStatus.REQUEST_URI_TOO_LONG, "request line too long");
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return new BadRequest(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers too large");
        }
        return new BadRequest(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
    }
}
