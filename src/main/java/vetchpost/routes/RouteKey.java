package vetchpost.routes;

import java.util.ArrayList;
import java.util.List;

/**
 * What a route matches.
 *
 * @param method or empty for any
 * @param segments of the path after the class; {@link #ANY_SEGMENT} for one of any text
 * @param prefix whether more segments may follow
 * @param cls or empty for any, where paths are the application's own
 * @param tenant its name, or empty for every
 */
record RouteKey(String cls, String method, List<String> segments, boolean prefix, String tenant) {
    /** A segment of any text. */
    static final String ANY_SEGMENT = "{}";

    private static final int MAX_SEGMENTS = 32;
    private static final int MAX_PATTERN_CHARS = 1_024;

    /** A path that is not written as it would match. */
    static final class InvalidPatternException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidPatternException(String what) {
            super(what, null, false, false);
        }
    }

    /**
     * Cuts a pattern: a path of plain segments and {@code {name}}, with {@code /*} at its end for a prefix.
     *
     * @return the segments, and as the last one "*" for a prefix
     */
    static List<String> parsePattern(String path) throws InvalidPatternException {
        if (!path.startsWith("/") || path.length() > MAX_PATTERN_CHARS) {
            throw new InvalidPatternException(
                    "a path begins with / and has " + MAX_PATTERN_CHARS + " characters at most");
        }
        List<String> segments = new ArrayList<>();
        String[] parts = path.substring(1).split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            String part = parts[i];
            if (part.matches("\\{[A-Za-z][A-Za-z0-9_-]*\\}")) {
                segments.add(ANY_SEGMENT);
            } else if (part.equals("*") && i == parts.length - 1 && i > 0) {
                segments.add("*");
            } else if (part.matches("[A-Za-z0-9._~!$&'()+,;=:@-]+") && !part.equals(".") && !part.equals("..")) {
                segments.add(part);
            } else {
                throw new InvalidPatternException("'" + part + "' is neither plain text, nor {name}, nor * at the end");
            }
        }
        if (segments.size() > MAX_SEGMENTS) {
            throw new InvalidPatternException("more than " + MAX_SEGMENTS + " segments");
        }
        return segments;
    }

    /**
     * Cuts a request's path as patterns are: without the query, percent-decoded, empty segments left out. Dot
     * segments, encoded slashes and broken escapes are no paths at all: a server that reads them in another
     * way would be a way round a limit.
     *
     * @return null if it can be read in two ways
     */
    static List<String> parsePath(String target) {
        int end = 0;
        while (end < target.length() && target.charAt(end) != '?' && target.charAt(end) != '#') {
            end++;
        }
        List<String> segments = new ArrayList<>();
        int from = 1;
        for (int i = 1; i <= end; i++) {
            if (i == end || target.charAt(i) == '/') {
                if (i > from) {
                    String segment = decode(target.substring(from, i));
                    if (segment == null || segments.size() == MAX_SEGMENTS) {
                        return null;
                    }
                    segments.add(segment);
                }
                from = i + 1;
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
