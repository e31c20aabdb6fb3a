package vetchpost.simadapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads the wire line by line: a name, then name=value pairs, parted by single spaces. Keeps no garbage. */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int filled;
    private int start;
    private int end;
    private long lineNumber;

    private int nameEnd;
    private int fieldCount;
    private int[] keyStart = new int[16];
    private int[] valueStart = new int[16];
    private int[] valueEnd = new int[16];

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of input. */
    boolean next() throws IOException {
        start = lineNumber == 0 ? 0 : end + 1;
        lineNumber++;
        int scan = start;
        while (true) {
            while (scan < filled && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < filled) {
                end = scan;
                split();
                return true;
            }
            if (start > 0) {
                System.arraycopy(buffer, start, buffer, 0, filled - start);
                filled -= start;
                scan -= start;
                start = 0;
            }
            if (filled == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int read = in.read(buffer, filled, buffer.length - filled);
            if (read < 0) {
                end = filled;
                if (filled == start) {
                    return false;
                }
                split();
                // The next call must find nothing more.
                buffer[end < buffer.length ? end : end - 1] = '\n';
                filled = Math.min(end + 1, buffer.length);
                return true;
            }
            filled += read;
        }
    }

    private void split() {
        int at = start;
        while (at < end && buffer[at] != ' ') {
            at++;
        }
        nameEnd = at;
        fieldCount = 0;
        while (at < end) {
            int key = at + 1;
            int equals = key;
            while (equals < end && buffer[equals] != '=' && buffer[equals] != ' ') {
                equals++;
            }
            at = equals;
            while (at < end && buffer[at] != ' ') {
                at++;
            }
            if (fieldCount == keyStart.length) {
                keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
                valueStart = Arrays.copyOf(valueStart, 2 * fieldCount);
                valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
            }
            keyStart[fieldCount] = key;
            valueStart[fieldCount] = Math.min(equals + 1, at);
            valueEnd[fieldCount] = at;
            fieldCount++;
        }
    }

    String name() {
        return new String(buffer, start, nameEnd - start, StandardCharsets.UTF_8);
    }

    boolean is(String name) {
        return matches(start, nameEnd, name);
    }

    int fieldCount() {
        return fieldCount;
    }

    String key(int field) {
        int from = keyStart[field];
        return new String(buffer, from, Math.max(0, valueStart[field] - 1 - from), StandardCharsets.UTF_8);
    }

    String value(int field) {
        int from = valueStart[field];
        return new String(buffer, from, valueEnd[field] - from, StandardCharsets.UTF_8);
    }

    private boolean matches(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private int indexOfField(String key) {
        for (int i = 0; i < fieldCount; i++) {
            if (valueStart[i] > keyStart[i] && matches(keyStart[i], valueStart[i] - 1, key)) {
                return i;
            }
        }
        return -1;
    }

    private int requireField(String key) throws WireException {
        int field = indexOfField(key);
        if (field < 0) {
            throw malformed(key, "is missing");
        }
        return field;
    }

    /** A field's text, or null if it is left out. */
    String textOrNull(String key) {
        int field = indexOfField(key);
        return field < 0 ? null : value(field);
    }

    String text(String key) throws WireException {
        return value(requireField(key));
    }

    long wholeNumber(String key) throws WireException {
        return wholeNumber(key, requireField(key));
    }

    long wholeNumber(String key, long otherwise) throws WireException {
        int field = indexOfField(key);
        return field < 0 ? otherwise : wholeNumber(key, field);
    }

    private long wholeNumber(String key, int field) throws WireException {
        int at = valueStart[field];
        int to = valueEnd[field];
        boolean minus = at < to && buffer[at] == '-';
        at += minus ? 1 : 0;
        if (at == to || to - at > 18) {
            throw malformed(key, "is not a whole number");
        }
        long value = 0;
        for (; at < to; at++) {
            int digit = buffer[at] - '0';
            if (digit < 0 || digit > 9) {
                throw malformed(key, "is not a whole number");
            }
            value = 10 * value + digit;
        }
        return minus ? -value : value;
    }

    boolean flag(String key) throws WireException {
        int field = indexOfField(key);
        if (field < 0
                || matches(valueStart[field], valueEnd[field], "0")
                || matches(valueStart[field], valueEnd[field], "false")) {
            return false;
        }
        if (matches(valueStart[field], valueEnd[field], "1") || matches(valueStart[field], valueEnd[field], "true")) {
            return true;
        }
        throw malformed(key, "is neither 1 nor 0: " + value(field));
    }

    double decimal(String key, double otherwise) throws WireException {
        int field = indexOfField(key);
        return field < 0 ? otherwise : decimal(key, value(field));
    }

    private double decimal(String key, String text) throws WireException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw malformed(key, "is not a number");
        }
    }

    /** Numbers parted by commas, or null if the field is left out. */
    double[] decimals(String key) throws WireException {
        int field = indexOfField(key);
        if (field < 0 || valueStart[field] == valueEnd[field]) {
            return null;
        }
        String[] parts = value(field).split(",", -1);
        double[] row = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            row[i] = decimal(key, parts[i]);
        }
        return row;
    }

    /** A request id: 16 hex digits. */
    long requestId(String key) throws WireException {
        int field = requireField(key);
        if (valueEnd[field] - valueStart[field] != 16) {
            throw malformed(key, "is not 16 hex digits");
        }
        long id = 0;
        for (int at = valueStart[field]; at < valueEnd[field]; at++) {
            int b = buffer[at];
            int digit = b >= '0' && b <= '9' ? b - '0' : b >= 'a' && b <= 'f' ? b - 'a' + 10 : -1;
            if (digit < 0) {
                throw malformed(key, "is not 16 hex digits");
            }
            id = id << 4 | digit;
        }
        return id;
    }

    WireException malformed(String field, String reason) {
        return new WireException("line " + lineNumber + ": " + name() + ": field " + field + " " + reason);
    }

    WireException malformed(String reason) {
        return new WireException("line " + lineNumber + ": " + reason);
    }
}
