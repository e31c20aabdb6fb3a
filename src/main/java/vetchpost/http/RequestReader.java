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

/** Validates the HTTP requests of clients against the settings and converts them to {@link ClientRequest}. */
public final class RequestReader {
    /** The time left until the deadline, in milliseconds; sent by clients and passed to servers. */
    static final String REMAINING_MS_HEADER = "X-Remaining-Ms";

    private static final String ID_HEADER = "X-Txn";
    private static final int ID_DIGITS = 16;
    private static final String TENANT_HEADER = "X-Org";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String RETRY_HEADER = "X-Resent";
    private static final String WORK_ESTIMATE_HEADER = "X-Estimate";
    /** Headers that apply to one connection only, or are set anew for the server. */
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

    /** Creates a reader for the classes and tenants of the settings. */
    RequestReader(Settings settings) {
        this.settings = settings;
        settings.classes.forEach(c -> classes.put(c.name(), classes.size()));
        settings.tenants.forEach(t -> tenants.put(t.name(), tenants.size()));
    }

    /**
     * Validates and converts a request. Removes hop-by-hop headers from {@code http}, whose headers are then passed on.
     *
     * @throws BadRequest with the response status if the request is invalid
     */
    ClientRequest read(FullHttpRequest http) throws BadRequest {
        HttpHeaders headers = http.headers();
        Integer classIndex = classes.get(className(http.uri()));
        if (classIndex == null) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "unknown class of request");
        }
        RequestClass requestClass = settings.classes.get(classIndex);
        HttpMethod method = requestClass.idempotency() == Idempotency.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!http.method().equals(method)) {
            throw new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + method);
        }
        if (requestClass.idempotency() == Idempotency.KEYED && !headers.contains(IDEMPOTENCY_KEY_HEADER)) {
            throw badRequest(IDEMPOTENCY_KEY_HEADER + " is missing");
        }
        String tenantName = headers.get(TENANT_HEADER);
        Integer tenant = tenantName == null ? Integer.valueOf(-1) : tenants.get(tenantName);
        if (tenant == null) {
            throw badRequest("unknown " + TENANT_HEADER);
        }
        // At most nine digits, which is more than eleven days.
        long remainingMs = parseDigits(headers.get(REMAINING_MS_HEADER), 9);
        if (remainingMs < 0) {
            throw badRequest(REMAINING_MS_HEADER + " is missing or no whole number of milliseconds");
        }
        long workUs = Math.max(0, parseDigits(headers.get(WORK_ESTIMATE_HEADER), 12));
        long id = parseId(headers);
        boolean retry = "1".equals(headers.get(RETRY_HEADER));
        // The request is accepted, so its headers can be changed; the remaining ones are passed on to the server.
        for (String connectionOptions : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : connectionOptions.split(",")) {
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
        // The deadline of the class caps the time that the client claims to wait.
        long remainingUs = Math.min(1_000 * remainingMs, requestClass.deadlineUs());
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

    /** Checks without a regular expression, which would cost as much as the rest of the request. */
    private static boolean isHex(String id) {
        int digits = 0;
        while (digits < id.length() && id.charAt(digits) < 128 && Character.digit(id.charAt(digits), 16) >= 0) {
            digits++;
        }
        return digits == ID_DIGITS && digits == id.length();
    }

    /** Parses a number of 1 to {@code maxDigits} decimal digits; returns -1 for any other text or null. */
    public static long parseDigits(String text, int maxDigits) {
        if (text == null || text.isEmpty() || text.length() > maxDigits) {
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
