package vetchpost.admission;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import vetchpost.core.ClientRequest;

/**
 * Identifies the client of a request as a number: by its cookie {@code key}, else by its connection. A client can use
 * as many identities as it likes; all of them together stay within its tenant's share (docs/admission.md). Used by
 * {@link FairAdmission}.
 */
final class ClientIdentity {
    private static final String KEY = "key=";

    private final int seed;

    /** Creates identities that depend on this seed, so that which clients share a queue differs from node to node. */
    ClientIdentity(long seed) {
        this.seed = (int) (seed ^ seed >>> 32);
    }

    /** A number that is the same for all requests of a client of a tenant. */
    long of(ClientRequest request, long connection) {
        String key = key(request.headers().get("Cookie"));
        byte[] name = ((request.tenant() + (key == null ? "#" : "=")) + (key == null ? Long.toString(connection) : key))
                .getBytes(StandardCharsets.ISO_8859_1);
        return MurmurHash3.hash128x64(name, 0, name.length, seed)[0];
    }

    /** A number that is the same for all requests of a client and class; never 0. */
    static long withClass(long client, int classIndex) {
        long mixed = (client + classIndex + 1) * 0x9E3779B97F4A7C15L;
        return mixed == 0 ? 1 : mixed ^ mixed >>> 29;
    }

    /** The value of the first cookie {@code key}, or null (RFC 6265, section 4.2). */
    private static String key(String cookies) {
        int start = 0;
        while (cookies != null && start < cookies.length()) {
            int end = cookies.indexOf(';', start);
            end = end < 0 ? cookies.length() : end;
            while (start < end && cookies.charAt(start) == ' ') {
                start++;
            }
            if (cookies.startsWith(KEY, start) && end > start + KEY.length()) {
                return cookies.substring(start + KEY.length(), end);
            }
            start = end + 1;
        }
        return null;
    }
}
