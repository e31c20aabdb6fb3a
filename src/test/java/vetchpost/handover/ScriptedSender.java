package vetchpost.handover;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The giver's side of a handover by its description, on a plain socket and the runtime's own cryptography: it
 * shares no code with the program. A script can have it do anything else at any point.
 */
final class ScriptedSender {
    private static final byte[] HELLO = "VPHAND\1".getBytes(StandardCharsets.US_ASCII);

    final DataOutputStream out;
    private final DataInputStream in;
    private final byte[] secret;
    private final byte[] nonce = new byte[32];
    private byte[] receiverNonce;
    private byte[] sessionKey;
    private int nextNumber;

    ScriptedSender(Socket socket, String secret) throws IOException {
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
        out = new DataOutputStream(socket.getOutputStream());
        in = new DataInputStream(socket.getInputStream());
        nonce[5] = 5;
    }

    static byte[] hmac(byte[] key, byte[]... parts) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
            for (byte[] part : parts) {
                mac.update(part);
            }
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    static byte[] framed(byte[]... parts) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            bytes.write(part);
        }
        return ByteBuffer.allocate(4 + bytes.size())
                .putInt(bytes.size())
                .put(bytes.toByteArray())
                .array();
    }

    /** Says hello, and checks the taker's proof. */
    void exchangeHellos() throws IOException {
        out.write(framed(HELLO, nonce));
        byte[] message = in.readNBytes(in.readInt());
        receiverNonce = new byte[32];
        System.arraycopy(message, HELLO.length, receiverNonce, 0, 32);
        byte[] proof = new byte[32];
        System.arraycopy(message, HELLO.length + 32, proof, 0, 32);
        if (!Arrays.equals(proof, hmac(secret, ascii("taker"), nonce, receiverNonce))) {
            throw new IOException("the taker has not proved itself");
        }
    }

    byte[] proof() {
        return hmac(secret, ascii("giver"), nonce, receiverNonce);
    }

    /** Proves itself; tags are of this handover's key from here on (RFC 5869, one block). */
    void sendProof() throws IOException {
        out.write(framed(proof()));
        byte[] salt = new byte[64];
        System.arraycopy(nonce, 0, salt, 0, 32);
        System.arraycopy(receiverNonce, 0, salt, 32, 32);
        sessionKey = hmac(hmac(salt, secret), ascii("vetchpost handover 1"), new byte[] {1});
    }

    /** The next message with its tag. */
    byte[] chunk(byte[] piece) throws IOException {
        byte[] tag =
                hmac(sessionKey, ByteBuffer.allocate(4).putInt(nextNumber++).array(), piece);
        return framed(piece, tag);
    }
}
