package vetchpost.core;

/**
 * A client's request, read and checked, whatever protocol it came by.
 *
 * @param id unique among the requests in hand
 * @param classIndex index into the settings' classes
 * @param tenant index into the settings' tenants, or -1
 * @param remainingUs how long the client waits, counted from when it sent the request
 * @param workUs rough expected work; 0 if not known
 * @param retry true if the client is known to repeat itself
 * @param target path and query, as the client wrote them
 * @param fields what goes on to a server: all but what belongs to the client's connection
 * @param body all of it, or what is held of it
 * @param rest what follows the body that is held; null if that is all
 * @param length of the whole body in bytes; the largest number if the client doesn't say
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

    /** With all of its body. */
    public ClientRequest(
            long id,
            int classIndex,
            int tenant,
            long remainingUs,
            long workUs,
            boolean retry,
            String method,
            String target,
            Headers fields,
            byte[] body) {
        this(id, classIndex, tenant, remainingUs, workUs, retry, method, target, fields, body, null, body.length);
    }
}
