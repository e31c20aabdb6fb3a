package vetchpost.fastcgi;

import vetchpost.decision.Balancer.Result;

/**
 * How far an attempt at an application got, and what its end therefore means: by the platform's table, an
 * attempt has surely not run only where its last byte was not written, or the application said so.
 */
public final class AttemptProgress {
    /** The specification's protocol statuses of an end record. */
    public enum ProtocolStatus {
        REQUEST_COMPLETE,
        CANT_MPX_CONN,
        OVERLOADED,
        UNKNOWN_ROLE;

        /** The status of this number, or null. */
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

    /** The record that ends the request's body has been written to the connection. */
    public void onRequestWritten() {
        requestWritten = true;
    }

    /**
     * The head of the answer is whole.
     *
     * @param said bytes that its body is to have; -1 if it does not say
     */
    public void onResponseHead(int itsStatus, long said) {
        headComplete = true;
        status = itsStatus;
        declaredLength = said;
    }

    /** More of the body has come. */
    public void onResponseBody(long bytes) {
        receivedBytes += bytes;
    }

    /** The empty record that ends its output has come. */
    public void onOutputEnded() {
        outputEnded = true;
    }

    /** The connection broke, or ended, with no end record. */
    public Result resultOfDisconnect() {
        return requestWritten ? Result.RESET : Result.CONNECT_FAILED;
    }

    /**
     * The end record has come.
     *
     * @param protocolStatus null for a number that the specification doesn't know
     */
    public Result resultOfEndRequest(ProtocolStatus protocolStatus, long appStatus) {
        if (protocolStatus == ProtocolStatus.CANT_MPX_CONN
                || protocolStatus == ProtocolStatus.OVERLOADED
                || protocolStatus == ProtocolStatus.UNKNOWN_ROLE) {
            // Its word that it has not begun; not if it has answered all the same.
            return headComplete || receivedBytes > 0 ? Result.ERROR : Result.FULL;
        }
        if (!requestWritten || protocolStatus == null || appStatus != 0 || !headComplete) {
            return Result.ERROR;
        }
        if (declaredLength >= 0 && declaredLength != receivedBytes) {
            return Result.RESET; // It tells of a body that has not come.
        }
        return status == 200 ? Result.OK : Result.ERROR;
    }

    /** Whether its connection can carry another request: nothing of this one is left to come. */
    public boolean isConnectionReusable() {
        return requestWritten && headComplete && outputEnded;
    }
}
