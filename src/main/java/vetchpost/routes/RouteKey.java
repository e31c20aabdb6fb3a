package vetchpost.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * The requests that a route matches, and the parser of path patterns and request paths.
 *
 * @param cls class; empty for any, on a node without a platform
 * @param method empty for any
 * @param segments of the path, without the class where the path begins with it; {@link #ANY_SEGMENT} matches any text
 * @param prefix whether more segments may follow
 * @param tenant name of the tenant; empty for any
 */
record RouteKey(String cls, String method, List<String> segments, boolean prefix, String tenant) {
    /** A segment that matches any text. */
    static final String ANY_SEGMENT = "{}";

    private static final int MAX_SEGMENTS = 32;
    private static final int MAX_PATTERN_CHARS = 1_024;

    /** Thrown for a path pattern that is not valid; the message gives the reason. */
    static final class InvalidPatternException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidPatternException(String problem) {
            super(problem, null, false, false);
        }
    }

    /**
     * Splits a pattern into segments: a path of plain segments and {@code {name}}, with {@code /*} at the end for a
     * prefix.
     *
     * @return the segments, the last of which is "*" for a prefix
     */
    static List<String> parsePattern(String path) throws InvalidPatternException {
        if (!path.startsWith("/") || path.length() > MAX_PATTERN_CHARS) {
            throw new InvalidPatternException(
                    "a path begins with / and has " + MAX_PATTERN_CHARS + " characters at most");
        }
        List<String> segments = new ArrayList<>();
        String[] parts = path.substring(1).split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            String segment = parts[i];
            if (segment.matches("\\{[A-Za-z][A-Za-z0-9_-]*\\}")) {
                segments.add(ANY_SEGMENT);
            } else if (segment.equals("*") && i == parts.length - 1 && i > 0) {
                segments.add("*");
            } else if (segment.matches("[A-Za-z0-9._~!$&'()+,;=:@-]+")
                    && !segment.equals(".")
                    && !segment.equals("..")) {
                segments.add(segment);
            } else {
                throw new InvalidPatternException(
                        "'" + segment + "' is neither plain text, nor {name}, nor * at the end");
            }
        }
        if (segments.size() > MAX_SEGMENTS) {
            throw new InvalidPatternException("more than " + MAX_SEGMENTS + " segments");
        }
        return segments;
    }

    /**
     * Splits the path of a request into segments, without the query, percent-decoded and without empty segments.
     * Dot segments, encoded slashes and broken escapes are rejected: a server that reads them in another way would
     * allow a client to evade a limit.
     *
     * @param target path and query as received
     * @return null if the path is ambiguous or has more than 32 segments
     */
    static List<String> parsePath(String target) {
        int end = 0;
        while (end < target.length() && target.charAt(end) != '?' && target.charAt(end) != '#') {
            end++;
        }
        List<String> segments = new ArrayList<>();
        int start = 1;
        for (int i = 1; i <= end; i++) {
            if (i == end || target.charAt(i) == '/') {
                if (i > start) {
                    String segment = decode(target.substring(start, i));
                    if (segment == null || segments.size() == MAX_SEGMENTS) {
                        return null;
                    }
                    segments.add(segment);
                }
                start = i + 1;
            }
        }
        return segments;
    }

    private static String decode(String raw) {
        String text = raw;
        if (raw.indexOf('%') >= 0) {
            StringBuilder decoded = new StringBuilder(raw.length());
            for (int i = 0; i < raw.length(); i++) {
                char c = raw.charAt(i);
                if (c == '%') {
                    int high = i + 2 < raw.length() ? Character.digit(raw.charAt(i + 1), 16) : -1;
                    int low = i + 2 < raw.length() ? Character.digit(raw.charAt(i + 2), 16) : -1;
                    if (high < 0 || low < 0) {
                        return null;
                    }
                    c = (char) (16 * high + low);
                    i += 2;
                }
                decoded.append(c);
            }
            text = decoded.toString();
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '/' || c == '\\' || c == '%' || c < ' ') {
                return null;
            }
        }
        return text.equals(".") || text.equals("..") ? null : text;
    }
}
