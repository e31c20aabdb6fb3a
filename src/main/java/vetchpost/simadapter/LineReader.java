package vetchpost.simadapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the simulator's events line by line: a name, then name=value pairs, separated by single spaces. Values are
 * parsed from its buffer on request, so that a line leaves no objects behind. {@link AdapterSession} calls it on its
 * one thread; malformed fields throw {@link WireException}, which names line and field.
 */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream input;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferedBytes;
    private int lineStart;
    private int lineEnd;
    private long lineNumber;

    private int nameEnd;
    private int fieldCount;
    private int[] keyStart = new int[16];
    private int[] valueStart = new int[16];
    private int[] valueEnd = new int[16];

    LineReader(InputStream input) {
        this.input = input;
    }

    /** Moves to the next line; false at the end of input. */
    boolean next() throws IOException {
        lineStart = lineNumber == 0 ? 0 : lineEnd + 1;
        lineNumber++;
        int position = lineStart;
        while (true) {
            while (position < bufferedBytes && buffer[position] != '\n') {
                position++;
            }
            if (position < bufferedBytes) {
                lineEnd = position;
                split();
                return true;
            }
            if (lineStart > 0) {
                System.arraycopy(buffer, lineStart, buffer, 0, bufferedBytes - lineStart);
                bufferedBytes -= lineStart;
                position -= lineStart;
                lineStart = 0;
            }
            if (bufferedBytes == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int readBytes = input.read(buffer, bufferedBytes, buffer.length - bufferedBytes);
            if (readBytes < 0) {
                lineEnd = bufferedBytes;
                if (bufferedBytes == lineStart) {
                    return false;
                }
                split();
                // Terminates the last line, so that the next call finds nothing more.
                buffer[lineEnd < buffer.length ? lineEnd : lineEnd - 1] = '\n';
                bufferedBytes = Math.min(lineEnd + 1, buffer.length);
                return true;
            }
            bufferedBytes += readBytes;
        }
    }

    private void split() {
        int position = lineStart;
        while (position < lineEnd && buffer[position] != ' ') {
            position++;
        }
        nameEnd = position;
        fieldCount = 0;
        while (position < lineEnd) {
            int key = position + 1;
            int equals = key;
            while (equals < lineEnd && buffer[equals] != '=' && buffer[equals] != ' ') {
                equals++;
            }
            position = equals;
            while (position < lineEnd && buffer[position] != ' ') {
                position++;
            }
            if (fieldCount == keyStart.length) {
                keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
                valueStart = Arrays.copyOf(valueStart, 2 * fieldCount);
                valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
            }
            keyStart[fieldCount] = key;
            valueStart[fieldCount] = Math.min(equals + 1, position);
            valueEnd[fieldCount] = position;
            fieldCount++;
        }
    }

    String name() {
        return new String(buffer, lineStart, nameEnd - lineStart, StandardCharsets.UTF_8);
    }

    boolean is(String name) {
        return matches(lineStart, nameEnd, name);
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

    /** Returns a field's text, or null if the field is missing. */
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

    long wholeNumber(String key, long defaultValue) throws WireException {
        int field = indexOfField(key);
        return field < 0 ? defaultValue : wholeNumber(key, field);
    }

    private long wholeNumber(String key, int field) throws WireException {
        int position = valueStart[field];
        int to = valueEnd[field];
        boolean minus = position < to && buffer[position] == '-';
        position += minus ? 1 : 0;
        if (position == to || to - position > 18) {
            throw malformed(key, "is not a whole number");
        }
        long value = 0;
        for (; position < to; position++) {
            int digit = buffer[position] - '0';
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

    double decimal(String key, double defaultValue) throws WireException {
        int field = indexOfField(key);
        return field < 0 ? defaultValue : decimal(key, value(field));
    }

    private double decimal(String key, String text) throws WireException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw malformed(key, "is not a number");
        }
    }

    /** Returns a field's comma-separated numbers, or null if the field is missing or empty. */
    double[] decimals(String key) throws WireException {
        int field = indexOfField(key);
        if (field < 0 || valueStart[field] == valueEnd[field]) {
            return null;
        }
        String[] parts = value(field).split(",", -1);
        double[] numbers = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            numbers[i] = decimal(key, parts[i]);
        }
        return numbers;
    }

    /** Returns a request id, which is 16 hex digits. */
    long requestId(String key) throws WireException {
        int field = requireField(key);
        if (valueEnd[field] - valueStart[field] != 16) {
            throw malformed(key, "is not 16 hex digits");
        }
        long id = 0;
        for (int position = valueStart[field]; position < valueEnd[field]; position++) {
            int character = buffer[position];
            int digit = character >= '0' && character <= '9'
                    ? character - '0'
                    : character >= 'a' && character <= 'f' ? character - 'a' + 10 : -1;
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
