package vetchpost.client;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

/** Numbers that no other call has. */
final class IdGenerator {
    private static final int ID_BYTES = 16;

    private final SecureRandom random = new SecureRandom();

    /** 128 bits, of a call or its key. */
    String newId() {
        byte[] some = new byte[ID_BYTES];
        random.nextBytes(some);
        return HexFormat.of().formatHex(some);
    }

    /** 64 bits, of one sending. */
    String newAttemptId() {
        return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    }
}
