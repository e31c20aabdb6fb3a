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
 * What both sides of a handover know and nobody else: they prove it to each other over fresh nonces
 * (HMAC-SHA-256, RFC 2104), and the giver's pieces carry tags by a key of this one handover (HKDF, RFC 5869).
 * While a secret is replaced there are two; the first is used to ask, either is answered.
 */
public final class SharedSecret {
    /** Bytes of a proof or a tag. */
    static final int MAC_BYTES = 32;
    /** Bytes of a nonce. */
    static final int NONCE_BYTES = 32;
    /** A shorter one can be guessed. */
    static final int MIN_SECRET_BYTES = 32;

    private static final int MAX_SECRET_BYTES = 1_024;
    private static final int MAX_KEYS = 4;
    private static final long MAX_FILE_BYTES = 8 * 1_024;

    private final List<byte[]> keys;

    private SharedSecret(List<byte[]> keys) {
        this.keys = keys;
    }

    /** Of these texts, the one to ask with first. */
    static SharedSecret of(String... texts) {
        List<byte[]> keys = new ArrayList<>();
        for (String text : texts) {
            keys.add(text.getBytes(StandardCharsets.UTF_8));
        }
        return new SharedSecret(keys);
    }

    /**
     * One secret, for where there is no file.
     *
     * @throws IllegalArgumentException if it is too short or too long
     */
    public static SharedSecret parse(String text) {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        if (length < MIN_SECRET_BYTES || length > MAX_SECRET_BYTES) {
            throw new IllegalArgumentException("a secret of " + length + " bytes");
        }
        return of(text);
    }

    /**
     * Reads a file with a secret a line; blank lines and those that begin with # are passed over.
     *
     * @throws IOException if it can't be read or holds none, with one line for an operator
     */
    public static SharedSecret read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + " is over " + MAX_FILE_BYTES + " bytes");
        }
        List<byte[]> keys = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            String text = line.strip();
            if (text.isEmpty() || text.startsWith("#")) {
                continue;
            }
            byte[] key = text.getBytes(StandardCharsets.UTF_8);
            if (key.length < MIN_SECRET_BYTES || key.length > MAX_SECRET_BYTES) {
                throw new IOException(file + " holds a secret of " + key.length + " bytes; from " + MIN_SECRET_BYTES
                        + " to " + MAX_SECRET_BYTES + " are wanted");
            }
            keys.add(key);
        }
        if (keys.isEmpty() || keys.size() > MAX_KEYS) {
            throw new IOException(file + " holds " + keys.size() + " secrets; from 1 to " + MAX_KEYS + " are wanted");
        }
        return new SharedSecret(keys);
    }

    int keyCount() {
        return keys.size();
    }

    /** What shows that a side knows a key, for this pair of nonces. */
    byte[] proof(int key, String side, byte[] giverNonce, byte[] takerNonce) {
        HmacUtils hmac = new HmacUtils(HmacAlgorithms.HMAC_SHA_256, keys.get(key));
        return hmac.hmac(join(side.getBytes(StandardCharsets.US_ASCII), giverNonce, takerNonce));
    }

    /** Which key such a proof was made with, or -1. Takes as long whichever it is. */
    int matchingKey(byte[] proof, String side, byte[] giverNonce, byte[] takerNonce) {
        int found = -1;
        for (int key = 0; key < keys.size(); key++) {
            if (MessageDigest.isEqual(proof, proof(key, side, giverNonce, takerNonce))) {
                found = key;
            }
        }
        return found;
    }

    /** What the tags of one handover are made with. */
    byte[] sessionKey(int key, byte[] giverNonce, byte[] takerNonce) {
        return HKDF.fromHmacSha256()
                .extractAndExpand(
                        join(giverNonce, takerNonce),
                        keys.get(key),
                        "vetchpost handover 1".getBytes(StandardCharsets.US_ASCII),
                        MAC_BYTES);
    }

    /** The tag of a message: it holds its place, so that none can be left out, moved or played again. */
    static byte[] tag(byte[] session, int number, byte[] message) {
        byte[] place = {(byte) (number >>> 24), (byte) (number >>> 16), (byte) (number >>> 8), (byte) number};
        return new HmacUtils(HmacAlgorithms.HMAC_SHA_256, session).hmac(join(place, message));
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
