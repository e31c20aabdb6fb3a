package vetchpost.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The key of an entry of the configuration.
 *
 * @param kind of the entry
 * @param name up to 2,048 characters; empty for the defaults
 */
public record EntryKey(EntryKind kind, String name) {
    private static final int MAX_NAME_CHARS = 2_048;

    /**
     * Checks the length of the name.
     *
     * @throws IllegalArgumentException if the name is too long
     */
    public EntryKey {
        if (name.length() > MAX_NAME_CHARS) {
            throw new IllegalArgumentException("a name of " + name.length() + " characters is too long");
        }
    }

    /** The key in a {@link PackedTree}: one byte for the kind, then the name in UTF-8. */
    public byte[] bytes() {
        byte[] text = name.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = new byte[1 + text.length];
        bytes[0] = (byte) (kind.ordinal() + 1);
        System.arraycopy(text, 0, bytes, 1, text.length);
        return bytes;
    }

    /**
     * Decodes a key.
     *
     * @throws IllegalArgumentException if the bytes are not a key
     */
    public static EntryKey of(byte[] bytes) {
        EntryKind kind = bytes.length == 0 ? null : EntryKind.ofOrdinal(bytes[0] - 1);
        if (kind == null) {
            throw new IllegalArgumentException("not a key, begins with " + Arrays.toString(Arrays.copyOf(bytes, 1)));
        }
        return new EntryKey(kind, new String(bytes, 1, bytes.length - 1, StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name;
    }
}
