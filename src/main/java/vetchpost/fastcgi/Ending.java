package vetchpost.fastcgi;

import vetchpost.decision.Balancer.Result;

/**
 * How far an attempt at an application got, and what its end therefore means: by the platform's table, an
 * attempt has surely not run only where its last byte was not written, or the application said so.
 */
public final class Ending {
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

    private boolean written;
    private boolean headWhole;
    private int status;
    private long length = -1;
    private long body;
    private boolean outputEnded;

    /** The record that ends the request's body has been written to the connection. */
    public void written() {
        written = true;
    }

    /**
     * The head of the answer is whole.
     *
     * @param said bytes that its body is to have; -1 if it does not say
     */
    public void head(int itsStatus, long said) {
        headWhole = true;
        status = itsStatus;
        length = said;
    }

    /** More of the body has come. */
    public void body(long bytes) {
        body += bytes;
    }

    /** The empty record that ends its output has come. */
    public void outputEnded() {
        outputEnded = true;
    }

    /** The connection broke, or ended, with no end record. */
    public Result broken() {
        return written ? Result.RESET : Result.CONNECT_FAILED;
    }

    /**
     * The end record has come.
     *
     * @param protocolStatus null for a number that the specification doesn't know
     */
    public Result ended(ProtocolStatus protocolStatus, long appStatus) {
        if (protocolStatus == ProtocolStatus.CANT_MPX_CONN
                || protocolStatus == ProtocolStatus.OVERLOADED
                || protocolStatus == ProtocolStatus.UNKNOWN_ROLE) {
            // Its word that it has not begun; not if it has answered all the same.
            return headWhole || body > 0 ? Result.ERROR : Result.FULL;
        }
        if (!written || protocolStatus == null || appStatus != 0 || !headWhole) {
            return Result.ERROR;
        }
        if (length >= 0 && length != body) {
            return Result.RESET; // It tells of a body that has not come.
        }
        return status == 200 ? Result.OK : Result.ERROR;
    }

    /** Whether its connection can carry another request: nothing of this one is left to come. */
    public boolean isClean() {
        return written && headWhole && outputEnded;
    }
}
