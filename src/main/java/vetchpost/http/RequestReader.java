package vetchpost.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Map;
import vetchpost.core.ClientRequest;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;

/** Reads clients' requests and checks them by the settings. */
public final class RequestReader {
    /** What a server is told of the time left, in milliseconds. */
    static final String REMAINING_MS_HEADER = "X-Remaining-Ms";

    private static final String ID_HEADER = "X-Txn";
    private static final int ID_DIGITS = 16;
    private static final String TENANT_HEADER = "X-Org";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String RETRY_HEADER = "X-Resent";
    private static final String WORK_ESTIMATE_HEADER = "X-Estimate";
    /** Of one connection only, or set anew for the next. */
    private static final CharSequence[] HOP_BY_HOP_HEADERS = {
        HttpHeaderNames.CONNECTION,
        "Keep-Alive",
        HttpHeaderNames.PROXY_AUTHORIZATION,
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.EXPECT,
        HttpHeaderNames.CONTENT_LENGTH,
        REMAINING_MS_HEADER
    };

    private final Settings settings;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();

    /** Knows classes and tenants by the names in the settings. */
    RequestReader(Settings settings) {
        this.settings = settings;
        settings.classes.forEach(c -> classes.put(c.name(), classes.size()));
        settings.tenants.forEach(t -> tenants.put(t.name(), tenants.size()));
    }

    /** Checks a request of HTTP and makes the core's of it. */
    ClientRequest read(FullHttpRequest http) throws BadRequest {
        HttpHeaders headers = http.headers();
        Integer classIndex = classes.get(className(http.uri()));
        if (classIndex == null) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "unknown class of request");
        }
        RequestClass cls = settings.classes.get(classIndex);
        HttpMethod method = cls.idempotency() == Idempotency.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!http.method().equals(method)) {
            throw new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + method);
        }
        if (cls.idempotency() == Idempotency.KEYED && !headers.contains(IDEMPOTENCY_KEY_HEADER)) {
            throw badRequest(IDEMPOTENCY_KEY_HEADER + " is missing");
        }
        String org = headers.get(TENANT_HEADER);
        Integer tenant = org == null ? Integer.valueOf(-1) : tenants.get(org);
        if (tenant == null) {
            throw badRequest("unknown " + TENANT_HEADER);
        }
        // Up to nine digits: more than eleven days is no wait.
        long remainingMs = parseDigits(headers.get(REMAINING_MS_HEADER), 9);
        if (remainingMs < 0) {
            throw badRequest(REMAINING_MS_HEADER + " is missing or no whole number of milliseconds");
        }
        long workUs = Math.max(0, parseDigits(headers.get(WORK_ESTIMATE_HEADER), 12));
        long id = parseId(headers);
        boolean retry = "1".equals(headers.get(RETRY_HEADER));
        // From here on nothing is refused, and nobody else wants the headers: what is left of them goes on.
        for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : named.split(",")) {
                if (!name.isBlank()
                        && !name.trim().equalsIgnoreCase(ID_HEADER)
                        && !name.trim().equalsIgnoreCase(IDEMPOTENCY_KEY_HEADER)) {
                    headers.remove(name.trim());
                }
            }
        }
        for (CharSequence name : HOP_BY_HOP_HEADERS) {
            headers.remove(name);
        }
        // No client waits longer than the settings say, whatever it says itself.
        long remainingUs = Math.min(1_000 * remainingMs, cls.deadlineUs());
        return new ClientRequest(
                id,
                classIndex,
                tenant,
                remainingUs,
                workUs,
                retry,
                method.name(),
                http.uri(),
                new HeaderFields(headers),
                ByteBufUtil.getBytes(http.content()));
    }

    private static String className(String uri) {
        int end = 1;
        while (end < uri.length() && "/?#".indexOf(uri.charAt(end)) < 0) {
            end++;
        }
        return uri.startsWith("/") ? uri.substring(1, end) : "";
    }

    private static long parseId(HttpHeaders headers) throws BadRequest {
        String id = headers.get(ID_HEADER);
        if (id == null || !isHex(id) || headers.getAll(ID_HEADER).size() > 1) {
            throw badRequest(ID_HEADER + " is missing or not 16 hex digits");
        }
        return Long.parseUnsignedLong(id, 16);
    }

    /** By hand: a pattern takes as long as all the rest of the request. */
    private static boolean isHex(String id) {
        int digits = 0;
        while (digits < id.length() && id.charAt(digits) < 128 && Character.digit(id.charAt(digits), 16) >= 0) {
            digits++;
        }
        return digits == ID_DIGITS && digits == id.length();
    }

    /** Plain digits, or -1. */
    public static long parseDigits(String text, int mostDigits) {
        if (text == null || text.isEmpty() || text.length() > mostDigits) {
            return -1;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -1;
            }
        }
        return Long.parseLong(text);
    }

    private static BadRequest badRequest(String reason) {
        return new BadRequest(HttpResponseStatus.BAD_REQUEST, reason);
    }
}
