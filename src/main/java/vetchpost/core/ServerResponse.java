package vetchpost.core;

/**
 * A server's response, whatever protocol it came by.
 *
 * @param contentType as the server gave it, or null
 * @param body all of the body, or the buffered start of it
 * @param headers further fields that go on to the client; null where a protocol passes on none
 * @param bodyRemainder what follows the buffered start; null if that is all
 * @param bodyLength length of the whole body in bytes; {@link Long#MAX_VALUE} if the server doesn't say
 */
public record ServerResponse(
        int status, String contentType, byte[] body, Headers headers, BodySource bodyRemainder, long bodyLength) {

    /** A response whose body is buffered whole, without further fields. */
    public ServerResponse(int status, String contentType, byte[] body) {
        this(status, contentType, body, null, null, body.length);
    }
}
