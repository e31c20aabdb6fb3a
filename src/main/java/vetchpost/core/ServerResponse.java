package vetchpost.core;

/**
 * A server's answer, whatever protocol it came by.
 *
 * @param contentType as the server gave it, or null
 * @param body all of it, or what is held of it
 * @param fields what goes on to the client besides; null where a protocol passes on none
 * @param rest what follows the body that is held; null if that is all
 * @param length of the whole body in bytes; the largest number if the server doesn't say
 */
public record ServerResponse(
        int status, String contentType, byte[] body, Headers headers, BodySource bodyRemainder, long bodyLength) {

    /** Whole, and without further fields. */
    public ServerResponse(int status, String contentType, byte[] body) {
        this(status, contentType, body, null, null, body.length);
    }
}
