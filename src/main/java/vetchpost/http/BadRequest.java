package vetchpost.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/** Thrown for a request that cannot be handled; status and message are sent to the client. Has no stack trace. */
public final class BadRequest extends Exception {
    private static final long serialVersionUID = 1;

    private final transient HttpResponseStatus status;

    /** Creates an error with the status and the short reason for the response. */
    public BadRequest(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** The status of the response. */
    public HttpResponseStatus status() {
        return status;
    }

    /** Maps a decoder failure to the matching 4xx error. */
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
