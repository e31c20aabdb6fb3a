package vetchpost.client;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

/** Numbers that no other call has. */
final class Ids {
    private static final int WIDE = 16;

    private final SecureRandom random = new SecureRandom();

    /** 128 bits, of a call or its key. */
    String wide() {
        byte[] some = new byte[WIDE];
        random.nextBytes(some);
        return HexFormat.of().formatHex(some);
    }

    /** 64 bits, of one sending. */
    String narrow() {
        return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    }
}
