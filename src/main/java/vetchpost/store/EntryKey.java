package vetchpost.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * What an entry is found by.
 *
 * @param name up to 2 KiB of UTF-8
 */
public record EntryKey(EntryKind kind, String name) {
    private static final int MAX_NAME_CHARS = 2_048;

    /** @throws IllegalArgumentException if the name is too long */
    public EntryKey {
        if (name.length() > MAX_NAME_CHARS) {
            throw new IllegalArgumentException("a name of " + name.length() + " characters");
        }
    }

    /** As trees have it: a byte for the kind, and the name. */
    public byte[] bytes() {
        byte[] text = name.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = new byte[1 + text.length];
        bytes[0] = (byte) (kind.ordinal() + 1);
        System.arraycopy(text, 0, bytes, 1, text.length);
        return bytes;
    }

    /** @throws IllegalArgumentException if these bytes are no key's */
    public static EntryKey of(byte[] bytes) {
        EntryKind kind = bytes.length == 0 ? null : EntryKind.ofOrdinal(bytes[0] - 1);
        if (kind == null) {
            throw new IllegalArgumentException("no key: " + Arrays.toString(Arrays.copyOf(bytes, 1)));
        }
        return new EntryKey(kind, new String(bytes, 1, bytes.length - 1, StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name;
    }
}
