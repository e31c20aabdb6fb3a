package vetchpost.routes;

import java.util.Arrays;
import vetchpost.store.FieldCodec;

/**
 * Builds the bytes by which a route is found: its segments, whether it is a prefix, and its tenant, method
 * and class. No key begins with another's segments unless its path does, so that what lies below a path is a
 * range of keys.
 */
final class MatchKey {
    private static final byte END = 1;
    private static final byte EXACT = 2;
    private static final byte PREFIX = 3;
    private static final byte ANY = 4;
    private static final byte TEXT = 5;
    /** Bytes under 8 are written as this and a letter: none in a text is taken for one of ours. */
    private static final byte ESCAPE = 7;

    private static final int LEAST = 8;

    private byte[] bytes = new byte[96];
    private int length;

    /** Where it ends now; {@link #cut} goes back there. */
    int mark() {
        return length;
    }

    void cut(int mark) {
        length = mark;
    }

    private void add(byte b) {
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * length);
        }
        bytes[length++] = b;
    }

    private void text(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c >= 0x80) {
                for (byte b : FieldCodec.utf8(text.substring(i))) {
                    escaped(b);
                }
                break;
            }
            escaped((byte) c);
        }
    }

    private void escaped(byte b) {
        if (b >= 0 && b < LEAST) {
            add(ESCAPE);
            add((byte) ('a' + b));
        } else {
            add(b);
        }
    }

    MatchKey segment(String text) {
        add(TEXT);
        text(text);
        add(END);
        return this;
    }

    MatchKey any() {
        add(ANY);
        add(END);
        return this;
    }

    /** The path ends here, or more may follow. */
    MatchKey path(boolean prefix) {
        add(prefix ? PREFIX : EXACT);
        return this;
    }

    /** Each empty for all. */
    MatchKey of(String tenant, String method, String cls) {
        text(tenant);
        add(END);
        text(method);
        add(END);
        text(cls);
        return this;
    }

    byte[] bytes() {
        return Arrays.copyOf(bytes, length);
    }

    /** Whether that key begins with what is here. */
    boolean begins(byte[] key) {
        return key.length >= length && Arrays.equals(key, 0, length, bytes, 0, length);
    }
}
