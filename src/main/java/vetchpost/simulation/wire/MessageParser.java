package vetchpost.simulation.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/** Cuts a connection's bytes into messages that tell their length, and gives up on any others. */
public final class MessageParser {
    private static final int MAX_HEAD_BYTES = 256 * 1024;

    private final Consumer<Message> messages;
    private byte[] data = new byte[512];
    private int size;
    /** Where the head's end was looked for last, and the head once it has come. */
    private int searchedTo;

    private String[] head;
    private int headLength;
    private int bodyLength;
    private long offset;
    private boolean broken;

    public MessageParser(Consumer<Message> messages) {
        this.messages = messages;
    }

    /** Whether what came is no message, so that nothing after it can be told. */
    public boolean isBroken() {
        return broken;
    }

    /** Whether part of a message has come. */
    public boolean isMidMessage() {
        return size > 0;
    }

    /** Where the message that has begun, or comes next, begins in the connection's bytes. */
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
        int whole = headLength + bodyLength;
        if (size < whole) {
            return false;
        }
        Message message = new Message(
                head[0], Message.fields(head), Arrays.copyOfRange(data, headLength, whole), offset, offset + whole);
        System.arraycopy(data, whole, data, 0, size - whole);
        size -= whole;
        offset += whole;
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
