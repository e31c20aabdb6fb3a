package vetchpost.client;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

/** Generates random ids, as hexadecimal digits. Safe for use by several threads. */
final class IdGenerator {
    private static final int ID_BYTES = 16;

    private final SecureRandom random = new SecureRandom();

    /** Returns 128 random bits, for a call's id or its key. */
    String newId() {
        byte[] bytes = new byte[ID_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns 64 random bits, for the id of one attempt. */
    String newAttemptId() {
        return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    }
}
