package vetchpost.web;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import vetchpost.http.BadRequest;

/**
 * Takes a request's head only where it can be read in one way (RFC 9112, sections 3 and 6; RFC 9110, section
 * 7.2): what two readers may cut or address in different ways is a way to smuggle a second request.
 */
final class RequestCheck {
    private static final String HTTP_SCHEME = "http://";
    private static final String WEBSOCKET = "websocket";

    private RequestCheck() {}

    /**
     * Checks a head, and gives it the form in which it is passed on: a target without the host, and a host.
     *
     * @throws BadRequest if it can't be taken; the connection is not to be used after it
     */
    static void check(HttpRequest head) throws BadRequest {
        if (head.protocolVersion().majorVersion() != 1) {
            throw new BadRequest(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "use HTTP/1.1");
        }
        if (head.method().equals(HttpMethod.CONNECT)) {
            throw new BadRequest(HttpResponseStatus.NOT_IMPLEMENTED, "no tunnels here");
        }
        if (head.method().equals(HttpMethod.TRACE)) {
            // It would show a client's page what others have added on the way, cookies among it.
            throw new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "TRACE is not answered here");
        }
        checkFraming(head);
        String host = checkHost(head);
        normalizeTarget(head, host);
        String upgrade = head.headers().get(HttpHeaderNames.UPGRADE);
        if (upgrade != null && upgrade.trim().equalsIgnoreCase(WEBSOCKET)) {
            throw new BadRequest(HttpResponseStatus.NOT_IMPLEMENTED, "no upgrade to websocket here");
        }
        String expect = head.headers().get(HttpHeaderNames.EXPECT);
        if (expect != null && !expect.equalsIgnoreCase("100-continue")) {
            throw new BadRequest(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        }
    }

    /** How the end of its body is found (RFC 9112, section 6.1 to 6.3). */
    private static void checkFraming(HttpRequest head) throws BadRequest {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return;
        }
        if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw badRequest("Transfer-Encoding in HTTP/1.0");
        }
        if (codings.size() > 1 || !codings.get(0).trim().equalsIgnoreCase("chunked")) {
            throw new BadRequest(HttpResponseStatus.NOT_IMPLEMENTED, "unknown Transfer-Encoding");
        }
        if (HttpUtil.isContentLengthSet(head)) {
            throw badRequest("two lengths");
        }
    }

    private static String checkHost(HttpRequest head) throws BadRequest {
        List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
        if (hosts.size() > 1) {
            throw badRequest("more than one Host");
        }
        if (hosts.isEmpty()) {
            if (head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                throw badRequest("Host is missing");
            }
            return "";
        }
        String host = hosts.get(0).trim();
        if (!isHost(host)) {
            throw badRequest("bad Host");
        }
        return host;
    }

    private static void normalizeTarget(HttpRequest head, String host) throws BadRequest {
        String uri = head.uri();
        for (int i = 0; i < uri.length(); i++) {
            if (uri.charAt(i) <= ' ' || uri.charAt(i) >= 127 || uri.charAt(i) == '#') {
                throw badRequest("bad target");
            }
        }
        if (uri.regionMatches(true, 0, HTTP_SCHEME, 0, HTTP_SCHEME.length())) {
            int end = HTTP_SCHEME.length();
            while (end < uri.length() && "/?".indexOf(uri.charAt(end)) < 0) {
                end++;
            }
            String named = uri.substring(HTTP_SCHEME.length(), end);
            if (named.isEmpty() || !isHost(named)) {
                throw badRequest("bad target");
            }
            // A target that names a host counts before the field (RFC 9112, section 3.2.2).
            head.headers().set(HttpHeaderNames.HOST, named);
            String rest = uri.substring(end);
            head.setUri(rest.startsWith("/") ? rest : "/" + rest);
        } else if (!uri.startsWith("/") && !(uri.equals("*") && head.method().equals(HttpMethod.OPTIONS))) {
            throw badRequest("bad target");
        } else if (host.isEmpty()) {
            head.headers().remove(HttpHeaderNames.HOST);
        }
    }

    /** A name, an address or an address in brackets, with a port or without (RFC 3986, section 3.2.2). */
    private static boolean isHost(String host) {
        int from = 0;
        if (host.startsWith("[")) {
            from = host.indexOf(']');
            for (int i = 1; i < from; i++) {
                char c = host.charAt(i);
                if (c != ':' && c != '.' && Character.digit(c, 16) < 0) {
                    return false;
                }
            }
            if (from < 0) {
                return false;
            }
            from++;
        } else {
            while (from < host.length() && isNameChar(host.charAt(from))) {
                from++;
            }
        }
        if (from == host.length()) {
            return true;
        }
        if (host.charAt(from) != ':') {
            return false;
        }
        for (int i = from + 1; i < host.length(); i++) {
            if (host.charAt(i) < '0' || host.charAt(i) > '9') {
                return false;
            }
        }
        return host.length() - from <= 6;
    }

    private static boolean isNameChar(char c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || "-._~%!$&'()*+,;=".indexOf(c) >= 0;
    }

    /** What belongs to one connection and is not passed on (RFC 9110, section 7.6.1). */
    static void dropHopByHop(HttpHeaders headers) {
        for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : named.split(",")) {
                String field = name.trim();
                // A client could else have the node drop what the node itself, or a server, goes by.
                if (!field.isEmpty()
                        && !field.equalsIgnoreCase("host")
                        && !field.equalsIgnoreCase("cookie")
                        && !field.equalsIgnoreCase("content-length")
                        && !field.equalsIgnoreCase("idempotency-key")) {
                    headers.remove(field);
                }
            }
        }
        headers.remove(HttpHeaderNames.CONNECTION)
                .remove("Keep-Alive")
                .remove("Proxy-Connection")
                .remove(HttpHeaderNames.TE)
                .remove(HttpHeaderNames.TRAILER)
                .remove(HttpHeaderNames.TRANSFER_ENCODING)
                .remove(HttpHeaderNames.UPGRADE);
    }

    private static BadRequest badRequest(String reason) {
        return new BadRequest(HttpResponseStatus.BAD_REQUEST, reason);
    }
}
