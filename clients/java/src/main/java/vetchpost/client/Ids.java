package vetchpost.client;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Numbers that no other call has. */
final class Ids {
    private static final int WIDE = 16;
    private static final int NARROW = 8;

    private final SecureRandom random = new SecureRandom();

    /** 128 bits, of a call or its key. */
    String wide() {
        return hex(WIDE);
    }

    /** 64 bits, of one sending. */
    String narrow() {
        return hex(NARROW);
    }

    private String hex(int bytes) {
        byte[] some = new byte[bytes];
        random.nextBytes(some);
        return HexFormat.of().formatHex(some);
    }
}
