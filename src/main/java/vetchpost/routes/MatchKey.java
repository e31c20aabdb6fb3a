package vetchpost.routes;

import java.util.Arrays;
import vetchpost.store.FieldCodec;

/**
 * Builds the bytes by which a route is found: its segments, whether it is a prefix, and its tenant, method
 * and class. No key begins with another's segments unless its path does, so that what lies below a path is a
 * range of keys.
 */
final class MatchKey {
    private static final byte FIELD_END = 1;
    private static final byte EXACT_PATH = 2;
    private static final byte PATH_PREFIX = 3;
    private static final byte ANY_SEGMENT = 4;
    private static final byte TEXT_SEGMENT = 5;
    /** Bytes under 8 are written as this and a letter: none in a text is taken for one of ours. */
    private static final byte ESCAPE = 7;

    private static final int MIN_PLAIN_BYTE = 8;

    private byte[] bytes = new byte[96];
    private int length;

    /** Where it ends now; {@link #truncate} goes back there. */
    int mark() {
        return length;
    }

    void truncate(int mark) {
        length = mark;
    }

    private void addByte(byte b) {
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * length);
        }
        bytes[length++] = b;
    }

    private void addText(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c >= 0x80) {
                for (byte b : FieldCodec.utf8(text.substring(i))) {
                    addEscaped(b);
                }
                break;
            }
            addEscaped((byte) c);
        }
    }

    private void addEscaped(byte b) {
        if (b >= 0 && b < MIN_PLAIN_BYTE) {
            addByte(ESCAPE);
            addByte((byte) ('a' + b));
        } else {
            addByte(b);
        }
    }

    MatchKey addSegment(String text) {
        addByte(TEXT_SEGMENT);
        addText(text);
        addByte(FIELD_END);
        return this;
    }

    MatchKey addAnySegment() {
        addByte(ANY_SEGMENT);
        addByte(FIELD_END);
        return this;
    }

    /** The path ends here, or more may follow. */
    MatchKey addPathEnd(boolean prefix) {
        addByte(prefix ? PATH_PREFIX : EXACT_PATH);
        return this;
    }

    /** Each empty for all. */
    MatchKey addConditions(String tenant, String method, String cls) {
        addText(tenant);
        addByte(FIELD_END);
        addText(method);
        addByte(FIELD_END);
        addText(cls);
        return this;
    }

    byte[] bytes() {
        return Arrays.copyOf(bytes, length);
    }

    /** Whether that key begins with what is here. */
    boolean isPrefixOf(byte[] key) {
        return key.length >= length && Arrays.equals(key, 0, length, bytes, 0, length);
    }
}
