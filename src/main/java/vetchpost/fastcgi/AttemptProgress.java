package vetchpost.fastcgi;

import vetchpost.decision.Balancer.Result;

/**
 * Tracks how far an attempt at a FastCGI application got, and derives its result. By the platform's rules an attempt
 * certainly has not run only if its last byte was not written, or if the application says so. Not thread-safe.
 */
public final class AttemptProgress {
    /** Protocol statuses of an end record, numbered as in the specification. */
    public enum ProtocolStatus {
        REQUEST_COMPLETE,
        CANT_MPX_CONN,
        OVERLOADED,
        UNKNOWN_ROLE;

        /** The status with this number, or null if the specification has none. */
        public static ProtocolStatus of(int number) {
            return number >= 0 && number < values().length ? values()[number] : null;
        }
    }

    private boolean requestWritten;
    private boolean headComplete;
    private int status;
    private long declaredLength = -1;
    private long receivedBytes;
    private boolean outputEnded;

    /** Called when the record that ends the request's body has been written to the connection. */
    public void onRequestWritten() {
        requestWritten = true;
    }

    /**
     * Called when the response head is complete.
     *
     * @param httpStatus status of the response
     * @param contentLength declared bytes of the body; -1 if not declared
     */
    public void onResponseHead(int httpStatus, long contentLength) {
        headComplete = true;
        status = httpStatus;
        declaredLength = contentLength;
    }

    /** Called for each received chunk of the response body, with its size. */
    public void onResponseBody(long bytes) {
        receivedBytes += bytes;
    }

    /** Called when the empty record that ends the output has arrived. */
    public void onOutputEnded() {
        outputEnded = true;
    }

    /** The result if the connection ends without an end record. */
    public Result resultOfDisconnect() {
        return requestWritten ? Result.RESET : Result.CONNECT_FAILED;
    }

    /**
     * The result if the end record arrives.
     *
     * @param protocolStatus null for a number that the specification doesn't define
     * @param appStatus the application's exit status; 0 for success
     */
    public Result resultOfEndRequest(ProtocolStatus protocolStatus, long appStatus) {
        if (protocolStatus == ProtocolStatus.CANT_MPX_CONN
                || protocolStatus == ProtocolStatus.OVERLOADED
                || protocolStatus == ProtocolStatus.UNKNOWN_ROLE) {
            // The application says that the request has not begun, which does not hold if it has sent a response.
            return headComplete || receivedBytes > 0 ? Result.ERROR : Result.FULL;
        }
        if (!requestWritten || protocolStatus == null || appStatus != 0 || !headComplete) {
            return Result.ERROR;
        }
        if (declaredLength >= 0 && declaredLength != receivedBytes) {
            return Result.RESET; // The body is shorter or longer than declared.
        }
        return status == 200 ? Result.OK : Result.ERROR;
    }

    /** Whether the connection can carry another request, because nothing of this attempt is outstanding. */
    public boolean isConnectionReusable() {
        return requestWritten && headComplete && outputEnded;
    }
}
