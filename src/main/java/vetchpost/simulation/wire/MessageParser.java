package vetchpost.simulation.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a connection's bytes into messages whose body length is in Content-Length, or 0 without that field. It
 * ignores all input after the first invalid message.
 */
public final class MessageParser {
    private static final int MAX_HEAD_BYTES = 256 * 1024;

    private final Consumer<Message> messages;
    private byte[] data = new byte[512];
    private int size;
    /** End of the bytes already searched for the end of the head, then the head once it is complete. */
    private int searchedTo;

    private String[] head;
    private int headLength;
    private int bodyLength;
    private long offset;
    private boolean broken;

    public MessageParser(Consumer<Message> messages) {
        this.messages = messages;
    }

    /** Whether the input was invalid, so that nothing after it can be parsed. */
    public boolean isBroken() {
        return broken;
    }

    /** Whether part of a message has arrived. */
    public boolean isMidMessage() {
        return size > 0;
    }

    /** Offset in the connection's bytes of the message that has begun or comes next. */
    public long offset() {
        return offset;
    }

    public void feed(byte[] bytes) {
        if (broken) {
            return;
        }
        if (size + bytes.length > data.length) {
            data = Arrays.copyOf(data, Math.max(2 * data.length, size + bytes.length));
        }
        System.arraycopy(bytes, 0, data, size, bytes.length);
        size += bytes.length;
        while (!broken && parseNext()) {
            continue;
        }
    }

    private boolean parseNext() {
        if (head == null && !findHead()) {
            broken |= size > MAX_HEAD_BYTES;
            return false;
        }
        int messageLength = headLength + bodyLength;
        if (size < messageLength) {
            return false;
        }
        Message message = new Message(
                head[0],
                Message.fields(head),
                Arrays.copyOfRange(data, headLength, messageLength),
                offset,
                offset + messageLength);
        System.arraycopy(data, messageLength, data, 0, size - messageLength);
        size -= messageLength;
        offset += messageLength;
        head = null;
        searchedTo = 0;
        messages.accept(message);
        return size > 0;
    }

    private boolean findHead() {
        for (int i = Math.max(0, searchedTo - 3); i + 3 < size; i++) {
            if (data[i] == '\r' && data[i + 1] == '\n' && data[i + 2] == '\r' && data[i + 3] == '\n') {
                headLength = i + 4;
                head = new String(data, 0, i, StandardCharsets.ISO_8859_1).split("\r\n");
                bodyLength = bodyLength();
                return !broken;
            }
        }
        searchedTo = size;
        return false;
    }

    private int bodyLength() {
        String length = Message.fields(head).get("content-length");
        if (length == null) {
            return 0;
        }
        if (!length.matches("\\d{1,6}")) {
            broken = true;
            return 0;
        }
        return Integer.parseInt(length);
    }
}
