package vetchpost.handover;

import at.favre.lib.hkdf.HKDF;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * The secret shared by nodes for handovers and replication. Each side proves its knowledge over fresh nonces
 * (HMAC-SHA-256, RFC 2104), and messages carry tags with a key derived for the session (HKDF, RFC 5869). During
 * rotation there are several: the first is used to connect, any of them is accepted. Immutable.
 */
public final class SharedSecret {
    /** Length of a proof or a tag. */
    static final int MAC_BYTES = 32;
    /** Length of a nonce. */
    static final int NONCE_BYTES = 32;
    /** Shorter secrets can be guessed. */
    static final int MIN_SECRET_BYTES = 32;

    private static final int MAX_SECRET_BYTES = 1_024;
    private static final int MAX_KEYS = 4;
    private static final long MAX_FILE_BYTES = 8 * 1_024;

    private final List<byte[]> keys;

    private SharedSecret(List<byte[]> keys) {
        this.keys = keys;
    }

    /** Creates secrets from texts; the first is used to connect. */
    static SharedSecret of(String... texts) {
        List<byte[]> keys = new ArrayList<>();
        for (String text : texts) {
            keys.add(text.getBytes(StandardCharsets.UTF_8));
        }
        return new SharedSecret(keys);
    }

    /**
     * Creates a single secret from a text.
     *
     * @throws IllegalArgumentException if it has fewer than 32 or more than 1,024 bytes in UTF-8
     */
    public static SharedSecret parse(String text) {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        if (length < MIN_SECRET_BYTES || length > MAX_SECRET_BYTES) {
            throw new IllegalArgumentException("secret has an invalid length of " + length + " bytes");
        }
        return of(text);
    }

    /**
     * Reads a file with one secret per line; blank lines and lines that begin with # are skipped.
     *
     * @throws IOException if it can't be read, contains no or more than four secrets, or one of an invalid length; the
     *     message is one line for an operator
     */
    public static SharedSecret read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + " is longer than " + MAX_FILE_BYTES + " bytes");
        }
        List<byte[]> keys = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            String text = line.strip();
            if (text.isEmpty() || text.startsWith("#")) {
                continue;
            }
            byte[] key = text.getBytes(StandardCharsets.UTF_8);
            if (key.length < MIN_SECRET_BYTES || key.length > MAX_SECRET_BYTES) {
                throw new IOException(file + " contains a secret of " + key.length + " bytes; use " + MIN_SECRET_BYTES
                        + " to " + MAX_SECRET_BYTES + " bytes");
            }
            keys.add(key);
        }
        if (keys.isEmpty() || keys.size() > MAX_KEYS) {
            throw new IOException(file + " contains " + keys.size() + " secrets; use 1 to " + MAX_KEYS + " secrets");
        }
        return new SharedSecret(keys);
    }

    int keyCount() {
        return keys.size();
    }

    /** Returns the proof that a side knows a key, for a pair of nonces. */
    byte[] proof(int key, String side, byte[] senderNonce, byte[] receiverNonce) {
        HmacUtils hmac = new HmacUtils(HmacAlgorithms.HMAC_SHA_256, keys.get(key));
        return hmac.hmac(join(side.getBytes(StandardCharsets.US_ASCII), senderNonce, receiverNonce));
    }

    /** Returns the index of the key that a proof was made with, or -1, in time that does not depend on the key. */
    int matchingKey(byte[] proof, String side, byte[] senderNonce, byte[] receiverNonce) {
        int found = -1;
        for (int key = 0; key < keys.size(); key++) {
            if (MessageDigest.isEqual(proof, proof(key, side, senderNonce, receiverNonce))) {
                found = key;
            }
        }
        return found;
    }

    /** Returns the key for the tags of one session. */
    byte[] sessionKey(int key, byte[] senderNonce, byte[] receiverNonce) {
        return HKDF.fromHmacSha256()
                .extractAndExpand(
                        join(senderNonce, receiverNonce),
                        keys.get(key),
                        "vetchpost handover 1".getBytes(StandardCharsets.US_ASCII),
                        MAC_BYTES);
    }

    /** Returns the tag of a message; it covers the sequence number, so none can be dropped, reordered or replayed. */
    static byte[] tag(byte[] sessionKey, int number, byte[] message) {
        byte[] sequenceNumber = {(byte) (number >>> 24), (byte) (number >>> 16), (byte) (number >>> 8), (byte) number};
        return new HmacUtils(HmacAlgorithms.HMAC_SHA_256, sessionKey).hmac(join(sequenceNumber, message));
    }

    private static byte[] join(byte[]... parts) {
        int length = 0;
        for (byte[] part : parts) {
            length += part.length;
        }
        byte[] joined = new byte[length];
        int at = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, joined, at, part.length);
            at += part.length;
        }
        return joined;
    }
}
