package vetchpost.core;

/**
 * A client's request, read and validated, whatever protocol it came by.
 *
 * @param id unique among the pending requests
 * @param classIndex index into the settings' classes
 * @param tenant index into the settings' tenants, or -1
 * @param remainingUs how long the client waits, counted from when it sent the request, in microseconds
 * @param workUs rough expected work in microseconds; 0 if not known
 * @param retry true if the client says that this is a retry
 * @param target path and query, as the client wrote them
 * @param headers what goes on to a server: all but the fields of the client's connection
 * @param body all of the body, or the buffered start of it
 * @param bodyRemainder what follows the buffered start; null if that is all
 * @param bodyLength length of the whole body in bytes; {@link Long#MAX_VALUE} if the client doesn't say
 */
public record ClientRequest(
        long id,
        int classIndex,
        int tenant,
        long remainingUs,
        long workUs,
        boolean retry,
        String method,
        String target,
        Headers headers,
        byte[] body,
        BodySource bodyRemainder,
        long bodyLength) {

    /** A request whose body is buffered whole. */
    public ClientRequest(
            long id,
            int classIndex,
            int tenant,
            long remainingUs,
            long workUs,
            boolean retry,
            String method,
            String target,
            Headers headers,
            byte[] body) {
        this(id, classIndex, tenant, remainingUs, workUs, retry, method, target, headers, body, null, body.length);
    }
}
