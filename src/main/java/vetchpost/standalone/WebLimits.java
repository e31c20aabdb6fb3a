package vetchpost.standalone;

/**
 * Limits of clients' requests and servers' responses, and what is forwarded about clients. Times are in microseconds.
 *
 * @param bufferBytes bytes of a body that are buffered and can be sent again; the rest is streamed
 * @param bufferTimeoutUs how long a response is buffered before the part received is passed on
 * @param maxBodyBytes longest body of a request, in bytes
 * @param headTimeoutUs how long a request's head may take to arrive
 * @param bodyIdleTimeoutUs how long a body may make no progress
 * @param keepAliveTimeoutUs how long a client's idle connection is kept
 * @param uploadTimeoutUs how long a request may take whose body exceeds the buffer
 * @param viaName the node's name in {@code Via}, a token
 * @param forwarded which headers tell servers about the client
 * @param trustsForwarded whether those headers of a client's request are passed on
 * @param requiredHeader a header that every response of the servers has, case-insensitive; a response without it comes
 *     from another application and is passed to no client; empty for none
 */
public record WebLimits(
        int bufferBytes,
        long bufferTimeoutUs,
        long maxBodyBytes,
        long headTimeoutUs,
        long bodyIdleTimeoutUs,
        long keepAliveTimeoutUs,
        long uploadTimeoutUs,
        String viaName,
        Forwarded forwarded,
        boolean trustsForwarded,
        String requiredHeader) {

    /** Which headers tell servers about the client. The constants are read from settings by name. */
    public enum Forwarded {
        /** {@code Forwarded} (RFC 7239). */
        STANDARD(true, false),
        /** {@code X-Forwarded-For}, {@code -Host} and {@code -Proto}. */
        CUSTOM(false, true),
        /** Both. */
        BOTH(true, true),
        /** Neither. */
        NONE(false, false);

        private final boolean standard;
        private final boolean custom;

        Forwarded(boolean standard, boolean custom) {
            this.standard = standard;
            this.custom = custom;
        }

        /** Whether {@code Forwarded} is sent. */
        public boolean isStandard() {
            return standard;
        }

        /** Whether the {@code X-Forwarded-} headers are sent. */
        public boolean isCustom() {
            return custom;
        }
    }
}
