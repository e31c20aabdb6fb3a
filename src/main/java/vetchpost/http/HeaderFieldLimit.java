package vetchpost.http;

import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Limits the number of header fields of one message, trailers included. A decoded field takes some 150 bytes besides
 * its text, so a limit on the size of the text alone does not limit the memory of a head of many short lines.
 */
final class HeaderFieldLimit {
    /** Clients and servers send a few dozen fields. */
    static final int MAX_FIELDS = 128;

    private int fields;

    /** Starts counting for the next message. */
    void reset() {
        fields = 0;
    }

    /** The number of fields of the message so far. */
    int fields() {
        return fields;
    }

    /**
     * Counts one more field.
     *
     * @throws TooLongHttpHeaderException if the message has too many
     */
    void add() {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
    }
}
