package vetchpost.routes;

import java.util.Arrays;
import vetchpost.store.FieldCodec;

/**
 * Builds the key of the match index of {@link RouteTable}: the path segments, whether the path is a prefix, then
 * tenant, method and class. A key begins with the segments of another only if its path does, so that all keys below
 * a path are one range. Mutable; used by one thread for one lookup or insertion.
 */
final class MatchKey {
    private static final byte FIELD_END = 1;
    private static final byte EXACT_PATH = 2;
    private static final byte PATH_PREFIX = 3;
    private static final byte ANY_SEGMENT = 4;
    private static final byte TEXT_SEGMENT = 5;
    /** Written before a letter in place of a text byte below 8, so that texts cannot contain the markers above. */
    private static final byte ESCAPE = 7;

    private static final int MIN_PLAIN_BYTE = 8;

    private byte[] bytes = new byte[96];
    private int length;

    /** The current length, for {@link #truncate}. */
    int mark() {
        return length;
    }

    /** Removes all that was added since the mark. */
    void truncate(int mark) {
        length = mark;
    }

    private void addByte(byte value) {
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * length);
        }
        bytes[length++] = value;
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

    private void addEscaped(byte value) {
        if (value >= 0 && value < MIN_PLAIN_BYTE) {
            addByte(ESCAPE);
            addByte((byte) ('a' + value));
        } else {
            addByte(value);
        }
    }

    /** Adds a segment that matches only this text. */
    MatchKey addSegment(String text) {
        addByte(TEXT_SEGMENT);
        addText(text);
        addByte(FIELD_END);
        return this;
    }

    /** Adds a segment that matches any text. */
    MatchKey addAnySegment() {
        addByte(ANY_SEGMENT);
        addByte(FIELD_END);
        return this;
    }

    /** Ends the path; a prefix matches paths with more segments too. */
    MatchKey addPathEnd(boolean isPrefix) {
        addByte(isPrefix ? PATH_PREFIX : EXACT_PATH);
        return this;
    }

    /** Adds the other conditions, each of which is empty if it matches everything. */
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

    /** Whether a key begins with this one. */
    boolean isPrefixOf(byte[] key) {
        return key.length >= length && Arrays.equals(key, 0, length, bytes, 0, length);
    }
}
