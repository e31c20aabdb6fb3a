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
 * What is asked of the nodes. Immutable; each method gives another with one thing changed.
 * <pre>{@code
 * Request.unsafe("POST", "/place-order").json("{\"photo\": 7}").within(Duration.ofSeconds(2))
 * }</pre>
 */
public final class Request {
    /** Fields that the client sets itself, or that belong to a connection. */
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
            throw new IllegalArgumentException("'" + method + "' is no method");
        }
        if (!isTarget(target)) {
            throw new IllegalArgumentException(
                    "'" + target + "' is no path that begins with /, with what is" + " special in it escaped");
        }
        return new Request(method, target, repeat, window, null, Map.of(), new byte[0], null);
    }

    /** Whether it goes out as it stands: a client's slip must not look like a node's failure. */
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

    /** GET of a path, which has no effect: it may be repeated, and sent to two nodes. */
    public static Request get(String target) {
        return safe("GET", target);
    }

    /** A request without an effect. */
    public static Request safe(String method, String target) {
        return of(method, target, Repeat.SAFE, Duration.ZERO);
    }

    /**
     * A request whose repeats the servers drop by its key.
     *
     * @param window for how long they do; more than 0
     */
    public static Request keyed(String method, String target, Duration window) {
        if (window.isNegative() || window.isZero()) {
            throw new IllegalArgumentException("a key's window is longer than 0");
        }
        return of(method, target, Repeat.KEYED, window);
    }

    /** A request that is never sent again once it may have run. */
    public static Request unsafe(String method, String target) {
        return of(method, target, Repeat.UNSAFE, Duration.ZERO);
    }

    /** With this deadline for the whole call, in place of the client's. At least a millisecond. */
    public Request within(Duration time) {
        if (time.toMillis() < 1) {
            throw new IllegalArgumentException("a deadline is at least a millisecond");
        }
        return new Request(method, target, repeat, window, time, headers, body, key);
    }

    /**
     * With this field; a second one of a name takes the place of the first.
     *
     * @throws IllegalArgumentException if it is no field, or one that the client sets
     */
    public Request header(String name, String value) {
        String lower = name.toLowerCase(Locale.ROOT);
        if (!name.matches(TOKEN) || !value.matches(HEADER_VALUE)) {
            throw new IllegalArgumentException("'" + name + ": " + value + "' is no header field");
        }
        if (RESERVED_HEADERS.contains(lower)) {
            throw new IllegalArgumentException("the client sets '" + name + "' itself");
        }
        Map<String, String> more = new LinkedHashMap<>(headers);
        more.put(lower, value);
        return new Request(method, target, repeat, window, within, more, body, key);
    }

    /** With this body. It is held until the call is over, so that it can be sent again. */
    public Request body(String contentType, byte[] bytes) {
        Request typed = header("Content-Type", contentType);
        return new Request(method, target, repeat, window, within, typed.headers, bytes.clone(), key);
    }

    /** With a body of JSON. */
    public Request json(String text) {
        return body("application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * With this key in place of a fresh one: for a keyed call that goes on with one whose end is unknown.
     *
     * @throws IllegalArgumentException if the request is not keyed, or this is no key
     */
    public Request key(String key) {
        if (repeat != Repeat.KEYED) {
            throw new IllegalArgumentException("only a keyed request has a key");
        }
        if (!key.matches("[0-9A-Za-z_-]{1,128}")) {
            throw new IllegalArgumentException("a key has 1 to 128 letters, digits, - and _");
        }
        return new Request(method, target, repeat, window, within, headers, body, key);
    }

    /** As given. */
    public String method() {
        return method;
    }

    /** Path and query. */
    public String target() {
        return target;
    }

    /** What may be sent again. */
    public Repeat repeat() {
        return repeat;
    }

    /** Its own deadline, if it has one. */
    public Optional<Duration> within() {
        return Optional.ofNullable(within);
    }

    /** Its own key, if it has one. */
    public Optional<String> key() {
        return Optional.ofNullable(key);
    }

    /** Its fields, by names in lower case. */
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
