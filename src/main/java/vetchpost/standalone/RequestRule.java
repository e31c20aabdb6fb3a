package vetchpost.standalone;

import java.util.List;
import java.util.Set;

/**
 * Which requests belong to a class.
 *
 * @param methods any of these; empty for all
 * @param paths any of these, the longest first; {@code /*} at the end stands for all that begins so; empty
 *     for all
 * @param header only with this field; empty for no such need
 */
public record RequestRule(Set<String> methods, List<String> paths, String header) {
    /** Of every request. */
    public static final RequestRule ANY = new RequestRule(Set.of(), List.of(), "");

    private static final String PREFIX_WILDCARD = "/*";

    boolean matches(String method, String path, boolean hasHeader) {
        return (methods.isEmpty() || methods.contains(method))
                && (header.isEmpty() || hasHeader)
                && (paths.isEmpty() || paths.stream().anyMatch(pattern -> matches(pattern, path)));
    }

    private static boolean matches(String pattern, String path) {
        if (!pattern.endsWith(PREFIX_WILDCARD)) {
            return path.equals(pattern);
        }
        int length = pattern.length() - PREFIX_WILDCARD.length();
        return path.startsWith(pattern.substring(0, length)) && (path.length() == length || path.charAt(length) == '/');
    }

    /**
     * Whether all that the other matches is matched by this too, as far as methods, paths and fields tell.
     */
    boolean covers(RequestRule other) {
        return (methods.isEmpty() || !other.methods.isEmpty() && methods.containsAll(other.methods))
                && (header.isEmpty() || header.equalsIgnoreCase(other.header))
                && (paths.isEmpty()
                        || !other.paths.isEmpty() && other.paths.stream().allMatch(this::coversPath));
    }

    private boolean coversPath(String other) {
        String example = other.endsWith(PREFIX_WILDCARD) ? other.substring(0, other.length() - 1) + "x" : other;
        return paths.stream()
                .anyMatch(pattern -> pattern.equals(other)
                        || matches(pattern, example)
                                && (pattern.endsWith(PREFIX_WILDCARD) || !other.endsWith(PREFIX_WILDCARD)));
    }
}
