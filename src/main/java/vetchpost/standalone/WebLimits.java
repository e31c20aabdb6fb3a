package vetchpost.standalone;

/**
 * What a client or a server of the open web may cost a node.
 *
 * @param holdBytes so much of a body is held, and can be sent again; the rest is passed on as it comes
 * @param holdUs for so long an answer is held before what there is of it is passed on, in microseconds
 * @param bodyBytes the longest body of a request
 * @param headUs for so long a request's head may take to come
 * @param idleUs for so long a body may make no progress
 * @param keptUs for so long a client's connection is kept without a request
 * @param uploadUs for so long a request may take whose body is longer than what is held
 * @param name of the node in {@code Via}, a token
 * @param forwarded which fields tell servers of the client
 * @param trusted whether what clients say in those fields is passed on
 * @param mark a field that each answer of the servers has, in lower or upper case; without it an answer is
 *     another application's, and no client is given it; empty for none
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

    /** How servers are told of the client. */
    public enum Forwarded {
        /** By {@code Forwarded} (RFC 7239). */
        STANDARD(true, false),
        /** By {@code X-Forwarded-For}, {@code -Host} and {@code -Proto}. */
        CUSTOM(false, true),
        /** By both. */
        BOTH(true, true),
        /** By neither. */
        NONE(false, false);

        private final boolean standard;
        private final boolean custom;

        Forwarded(boolean standard, boolean custom) {
            this.standard = standard;
            this.custom = custom;
        }

        /** Whether the standard's field is used. */
        public boolean isStandard() {
            return standard;
        }

        /** Whether the fields are used that were common before. */
        public boolean isCustom() {
            return custom;
        }
    }
}
