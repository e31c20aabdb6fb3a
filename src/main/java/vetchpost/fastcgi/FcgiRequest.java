package vetchpost.fastcgi;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a request's parameters come to, as HTTP: method, target, header fields and the length that its body
 * is to have. It never believes two names for one thing, nor text that would end a line.
 *
 * @param target path and query, as the web server had them
 * @param fields names in lower case with hyphens, in their order
 * @param length bytes of the body; -1 where nothing was said
 */
public record FcgiRequest(String method, String target, Map<String, String> fields, long length) {
    private static final String HEADER_PREFIX = "HTTP_";
    private static final int MAX_LENGTH_DIGITS = 12;

    /**
     * Reads parameters.
     *
     * @throws FcgiException if one can be read in two ways, or the method or path is missing
     */
    public static FcgiRequest of(Map<String, String> params) throws FcgiException {
        String method = params.getOrDefault("REQUEST_METHOD", "");
        if (!isToken(method)) {
            throw new FcgiException("REQUEST_METHOD is missing or no method");
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (Map.Entry<String, String> param : params.entrySet()) {
            if (param.getKey().startsWith(HEADER_PREFIX)) {
                String name = fieldName(param.getKey().substring(HEADER_PREFIX.length()));
                if (!isPlain(param.getValue())) {
                    throw new FcgiException(param.getKey() + " has a control character");
                }
                fields.put(name, param.getValue());
            }
        }
        // The web server's own names; a client's header field of the same name must not pass for them.
        long length = length(params.get("CONTENT_LENGTH"));
        String said = fields.remove("content-length");
        if (said != null && length(said) != length) {
            throw new FcgiException("HTTP_CONTENT_LENGTH is not CONTENT_LENGTH");
        }
        String type = params.getOrDefault("CONTENT_TYPE", "");
        String saidType = fields.remove("content-type");
        if (saidType != null && !saidType.equals(type)) {
            throw new FcgiException("HTTP_CONTENT_TYPE is not CONTENT_TYPE");
        }
        if (!isPlain(type)) {
            throw new FcgiException("CONTENT_TYPE has a control character");
        }
        if (!type.isEmpty()) {
            fields.put("content-type", type);
        }
        // Of the web server's connection: here the body's records have lengths.
        fields.remove("transfer-encoding");
        fields.remove("connection");
        return new FcgiRequest(method, target(params), fields, length);
    }

    private static String target(Map<String, String> params) throws FcgiException {
        String target = params.get("REQUEST_URI");
        if (target == null) {
            String query = params.getOrDefault("QUERY_STRING", "");
            target = params.getOrDefault("SCRIPT_NAME", "")
                    + params.getOrDefault("PATH_INFO", "")
                    + (query.isEmpty() ? "" : "?" + query);
        }
        if (!target.startsWith("/") || !target.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new FcgiException("REQUEST_URI, or SCRIPT_NAME and PATH_INFO, is no path");
        }
        return target;
    }

    private static long length(String text) throws FcgiException {
        if (text == null || text.isEmpty()) {
            return -1;
        }
        if (text.length() > MAX_LENGTH_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new FcgiException("CONTENT_LENGTH is no length");
        }
        return Long.parseLong(text);
    }

    private static String fieldName(String name) throws FcgiException {
        StringBuilder text = new StringBuilder(name.length());
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c == '_') {
                text.append('-');
            } else if (c >= 'A' && c <= 'Z') {
                text.append((char) (c - 'A' + 'a'));
            } else if (c >= '0' && c <= '9') {
                text.append(c);
            } else {
                // A lower letter or a hyphen would be a second way to write another name.
                throw new FcgiException("a header's name is not of capitals, digits and underscores");
            }
        }
        if (text.length() == 0) {
            throw new FcgiException("a header without a name");
        }
        return text.toString();
    }

    private static boolean isToken(String text) {
        return !text.isEmpty() && text.length() <= 32 && text.chars().allMatch(c -> c >= 'A' && c <= 'Z');
    }

    private static boolean isPlain(String text) {
        return text.chars().allMatch(c -> c >= ' ' && c != 127 || c == '\t');
    }
}
