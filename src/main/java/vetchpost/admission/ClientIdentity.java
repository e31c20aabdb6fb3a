package vetchpost.admission;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import vetchpost.core.ClientRequest;

/**
 * Whose a request is, as a number: its cookie {@code key}'s, else its connection's. A client can give
 * itself as many names as it likes; it stays within its tenant's share with all of them (docs/admission.md).
 */
final class ClientIdentity {
    private static final String KEY = "key=";

    private final int seed;

    /** Numbers are of this seed, so that which clients share a line differs from node to node. */
    ClientIdentity(long seed) {
        this.seed = (int) (seed ^ seed >>> 32);
    }

    /** The same for the same client of a tenant. */
    long of(ClientRequest request, long connection) {
        String key = key(request.headers().get("Cookie"));
        byte[] name = ((request.tenant() + (key == null ? "#" : "=")) + (key == null ? Long.toString(connection) : key))
                .getBytes(StandardCharsets.ISO_8859_1);
        return MurmurHash3.hash128x64(name, 0, name.length, seed)[0];
    }

    /** The same for the same client and class; never 0. */
    static long withClass(long client, int cls) {
        long mixed = (client + cls + 1) * 0x9E3779B97F4A7C15L;
        return mixed == 0 ? 1 : mixed ^ mixed >>> 29;
    }

    /** The first cookie of this name, or null (RFC 6265, section 4.2). */
    private static String key(String cookies) {
        int at = 0;
        while (cookies != null && at < cookies.length()) {
            int end = cookies.indexOf(';', at);
            end = end < 0 ? cookies.length() : end;
            while (at < end && cookies.charAt(at) == ' ') {
                at++;
            }
            if (cookies.startsWith(KEY, at) && end > at + KEY.length()) {
                return cookies.substring(at + KEY.length(), end);
            }
            at = end + 1;
        }
        return null;
    }
}
