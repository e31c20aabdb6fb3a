package vetchpost.client;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import vetchpost.client.core.Repeat;

/**
 * A request to the nodes. Immutable; each modifying method returns a copy with one change.
 * <pre>{@code
 * Request.unsafe("POST", "/place-order").json("{\"photo\": 7}").within(Duration.ofSeconds(2))
 * }</pre>
 */
public final class Request {
    /** Headers that the client sets itself, or that belong to a connection. */
    private static final Set<String> RESERVED_HEADERS = Set.of(
            "x-txn",
            "x-request-id",
            "x-remaining-ms",
            "x-resent",
            "x-org",
            "idempotency-key",
            "connection",
            "content-length",
            "expect",
            "host",
            "transfer-encoding",
            "upgrade");

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String HEADER_VALUE = "[\\x21-\\x7e]([\\x20-\\x7e\\t]*[\\x21-\\x7e])?";

    private final String method;
    private final String target;
    private final Repeat repeat;
    private final Duration window;
    private final Duration within;
    private final Map<String, String> headers;
    private final byte[] body;
    private final String key;

    private Request(
            String method,
            String target,
            Repeat repeat,
            Duration window,
            Duration within,
            Map<String, String> headers,
            byte[] body,
            String key) {
        this.method = method;
        this.target = target;
        this.repeat = repeat;
        this.window = window;
        this.within = within;
        this.headers = headers;
        this.body = body;
        this.key = key;
    }

    private static Request of(String method, String target, Repeat repeat, Duration window) {
        if (!method.matches(TOKEN)) {
            throw new IllegalArgumentException("'" + method + "' is not an HTTP method");
        }
        if (!isTarget(target)) {
            throw new IllegalArgumentException("'" + target + "' is not a path that begins with / and has its"
                    + " special characters percent-encoded");
        }
        return new Request(method, target, repeat, window, null, Map.of(), new byte[0], null);
    }

    /** Whether a target is sent unchanged: a caller's mistake must not look like a node's failure. */
    private static boolean isTarget(String target) {
        if (!target.startsWith("/") || target.startsWith("//") || target.indexOf('#') >= 0) {
            return false;
        }
        try {
            URI uri = new URI("http://node" + target);
            return uri.normalize().equals(uri) && uri.toASCIIString().equals("http://node" + target);
        } catch (URISyntaxException e) {
            return false;
        }
    }

    /**
     * Returns a GET request, which has no side effect: it may be retried, and sent to two nodes at once.
     *
     * @param target path and query, beginning with {@code /}, special characters percent-encoded
     * @throws IllegalArgumentException if the target is invalid
     */
    public static Request get(String target) {
        return safe("GET", target);
    }

    /**
     * Returns a request without side effects, which may be retried after any failure.
     *
     * @throws IllegalArgumentException if the method or the target is invalid
     */
    public static Request safe(String method, String target) {
        return of(method, target, Repeat.SAFE, Duration.ZERO);
    }

    /**
     * Returns a request whose repeats the servers drop by its key.
     *
     * @param window for how long they do; more than 0
     * @throws IllegalArgumentException if the method, the target or the window is invalid
     */
    public static Request keyed(String method, String target, Duration window) {
        if (window.isNegative() || window.isZero()) {
            throw new IllegalArgumentException("the window of a key must be longer than 0");
        }
        return of(method, target, Repeat.KEYED, window);
    }

    /**
     * Returns a request that is never sent again once it may have run.
     *
     * @throws IllegalArgumentException if the method or the target is invalid
     */
    public static Request unsafe(String method, String target) {
        return of(method, target, Repeat.UNSAFE, Duration.ZERO);
    }

    /**
     * Returns a copy with this deadline for the whole call, in place of the client's.
     *
     * @throws IllegalArgumentException if it is less than a millisecond
     */
    public Request within(Duration time) {
        if (time.toMillis() < 1) {
            throw new IllegalArgumentException("a deadline must be at least 1 ms");
        }
        return new Request(method, target, repeat, window, time, headers, body, key);
    }

    /**
     * Returns a copy with this header; it replaces an earlier one of the same name.
     *
     * @throws IllegalArgumentException if it is no valid header, or one that the client sets itself
     */
    public Request header(String name, String value) {
        String lower = name.toLowerCase(Locale.ROOT);
        if (!name.matches(TOKEN) || !value.matches(HEADER_VALUE)) {
            throw new IllegalArgumentException("'" + name + ": " + value + "' is not a valid header");
        }
        if (RESERVED_HEADERS.contains(lower)) {
            throw new IllegalArgumentException("the client sets '" + name + "' itself");
        }
        Map<String, String> extended = new LinkedHashMap<>(headers);
        extended.put(lower, value);
        return new Request(method, target, repeat, window, within, extended, body, key);
    }

    /** Returns a copy with this body. It is kept in memory until the call is over, so that it can be sent again. */
    public Request body(String contentType, byte[] bytes) {
        Request typed = header("Content-Type", contentType);
        return new Request(method, target, repeat, window, within, typed.headers, bytes.clone(), key);
    }

    /** Returns a copy with a JSON body. */
    public Request json(String text) {
        return body("application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a copy with this key in place of a generated one, to continue a keyed call whose outcome is unknown.
     *
     * @throws IllegalArgumentException if the request is not keyed, or the key is invalid
     */
    public Request key(String key) {
        if (repeat != Repeat.KEYED) {
            throw new IllegalArgumentException("only a keyed request can have a key");
        }
        if (!key.matches("[0-9A-Za-z_-]{1,128}")) {
            throw new IllegalArgumentException("a key must have 1 to 128 characters: letters, digits, - and _");
        }
        return new Request(method, target, repeat, window, within, headers, body, key);
    }

    /** Returns the HTTP method. */
    public String method() {
        return method;
    }

    /** Returns path and query. */
    public String target() {
        return target;
    }

    /** Returns whether the request may be sent again. */
    public Repeat repeat() {
        return repeat;
    }

    /** Returns its own deadline, if it has one. */
    public Optional<Duration> within() {
        return Optional.ofNullable(within);
    }

    /** Returns its own key, if it has one. */
    public Optional<String> key() {
        return Optional.ofNullable(key);
    }

    /** Returns its headers, by names in lower case. */
    public Map<String, String> headers() {
        return Map.copyOf(headers);
    }

    Duration window() {
        return window;
    }

    byte[] bytes() {
        return body;
    }
}
