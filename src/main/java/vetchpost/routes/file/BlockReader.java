package vetchpost.routes.file;

import java.io.IOException;
import java.io.Reader;
import java.util.Map;
import java.util.Set;
import vetchpost.routes.Section.Kind;

/**
 * Cuts an operator's file at the headers of its tables, one block after the other, so that a large file need
 * not be read as a whole, nor read anew where it says the same. It is no reader of TOML: it knows strings,
 * comments and brackets, as far as is needed to tell a header from a value. Where a file is written so that
 * its blocks might not mean the same one by one, it says so, and the file has to be read as a whole.
 */
final class BlockReader {
    /** A file that has to be read as a whole. */
    static final class Whole extends Exception {
        private static final long serialVersionUID = 1;

        Whole(String why) {
            super(why, null, false, false);
        }
    }

    /** Takes blocks as they come. */
    interface Sink {
        /**
         * A block, from its header to before the next one.
         *
         * @param name of the class or tenant, or empty
         * @param line of its header, from 1
         * @param text no longer its own once the call is over
         */
        void block(Kind kind, String name, int line, CharSequence text) throws Whole;
    }

    private static final int MOST_BLOCK = 1 << 20;
    private static final int BUFFER = 1 << 14;

    private final Map<String, Kind> tables;
    private final Map<String, Kind> named;
    private final Map<String, Kind> listed;
    private final Sink sink;
    private final HashSet64 headers = new HashSet64();
    private final StringBuilder block = new StringBuilder();
    private Kind kind;
    private String root = "";
    private String name = "";
    private int from;
    private int line;
    /** Within a value that goes on over lines: its open brackets, or the quote that ends it. */
    private int depth;

    private char quote;

    BlockReader(Map<String, Kind> tables, Map<String, Kind> named, Map<String, Kind> listed, Sink sink) {
        this.tables = tables;
        this.named = named;
        this.listed = listed;
        this.sink = sink;
    }

    /** Reads to the end. */
    void read(Reader in) throws IOException, Whole {
        char[] buffer = new char[BUFFER];
        StringBuilder current = new StringBuilder();
        for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
            int start = 0;
            for (int i = 0; i < read; i++) {
                if (buffer[i] == '\n') {
                    current.append(buffer, start, i + 1 - start);
                    take(current);
                    current.setLength(0);
                    start = i + 1;
                }
            }
            current.append(buffer, start, read - start);
            if (current.length() > MOST_BLOCK) {
                throw new Whole("a line of over " + MOST_BLOCK + " characters");
            }
        }
        if (current.length() > 0) {
            take(current);
        }
        if (depth != 0 || quote != 0) {
            throw new Whole("a value does not end");
        }
        flush();
    }

    private void take(StringBuilder text) throws Whole {
        line++;
        int first = 0;
        while (first < text.length() && (text.charAt(first) == ' ' || text.charAt(first) == '\t')) {
            first++;
        }
        boolean inValue = depth != 0 || quote != 0;
        if (!inValue && first < text.length() && text.charAt(first) == '[') {
            header(text, first);
        } else {
            boolean blank = first == text.length() || "#\r\n".indexOf(text.charAt(first)) >= 0;
            if (kind == null && !blank) {
                throw new Whole("line " + line + " comes before any table");
            }
            if (inValue || !blank) {
                scan(text, first);
            }
        }
        if (kind != null) {
            block.append(text);
            if (block.length() > MOST_BLOCK) {
                throw new Whole("a table of over " + MOST_BLOCK + " characters");
            }
        }
    }

    /** Follows strings, comments and brackets to the line's end. */
    private void scan(CharSequence text, int first) throws Whole {
        int i = first;
        while (i < text.length()) {
            char c = text.charAt(i);
            if (quote != 0) {
                if (c == '\\' && quote == '"') {
                    i++;
                } else if (isThree(text, i, quote)) {
                    // Up to two quotes more may stand before the three that end it.
                    i += 3;
                    while (i < text.length() && text.charAt(i) == quote) {
                        i++;
                    }
                    quote = 0;
                    continue;
                }
            } else if (c == '#') {
                return;
            } else if (c == '"' || c == '\'') {
                if (isThree(text, i, c)) {
                    quote = c;
                    i += 3;
                    continue;
                }
                i = afterString(text, i, c);
                continue;
            } else if (c == '[' || c == '{') {
                depth++;
            } else if ((c == ']' || c == '}') && --depth < 0) {
                throw new Whole("line " + line + " closes what was not opened");
            }
            i++;
        }
    }

    private static boolean isThree(CharSequence text, int at, char quote) {
        return at + 2 < text.length()
                && text.charAt(at) == quote
                && text.charAt(at + 1) == quote
                && text.charAt(at + 2) == quote;
    }

    private int afterString(CharSequence text, int at, char quote) throws Whole {
        for (int i = at + 1; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '\\' && quote == '"') {
                i++;
            } else if (c == quote) {
                return i + 1;
            }
        }
        throw new Whole("line " + line + " has a text that does not end");
    }

    private void header(CharSequence text, int first) throws Whole {
        boolean list = first + 1 < text.length() && text.charAt(first + 1) == '[';
        String[] parts = new String[2];
        int i = first + (list ? 2 : 1);
        int count = 0;
        while (true) {
            int end = i;
            boolean quoted = end < text.length() && text.charAt(end) == '"';
            end += quoted ? 1 : 0;
            int from = end;
            while (end < text.length() && isPlain(text.charAt(end), quoted)) {
                end++;
            }
            if (end == from || count == parts.length) {
                throw new Whole("line " + line + " has a header that is not plain");
            }
            parts[count++] = text.subSequence(from, end).toString();
            if (quoted) {
                if (end >= text.length() || text.charAt(end) != '"') {
                    throw new Whole("line " + line + " has a header that is not plain");
                }
                end++;
            }
            if (end >= text.length() || text.charAt(end) != '.') {
                i = end;
                break;
            }
            i = end + 1;
        }
        for (int closing = list ? 2 : 1; closing > 0; closing--) {
            if (i >= text.length() || text.charAt(i++) != ']') {
                throw new Whole("line " + line + " has a header that is not plain");
            }
        }
        while (i < text.length() && " \t\r\n".indexOf(text.charAt(i)) >= 0) {
            i++;
        }
        if (i < text.length() && text.charAt(i) != '#') {
            throw new Whole("line " + line + " has more than a header");
        }
        begin(list, parts[0], count == 2 ? parts[1] : null);
    }

    private static boolean isPlain(char c, boolean quoted) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '-'
                || c == '_'
                || quoted && c >= ' ' && c != '"' && c != '\\';
    }

    private void begin(boolean list, String first, String second) throws Whole {
        Kind found = list ? listed.get(first) : second == null ? tables.get(first) : named.get(first);
        if (!list && second != null && found == null && tables.containsKey(first) && first.equals(root)) {
            // A table within the one before it: the same block goes on.
            if (!headers.add(first + '\0' + second)) {
                throw new Whole("line " + line + " has a header again");
            }
            return;
        }
        if (found == null || list && second != null) {
            throw new Whole("line " + line + " has a header that is not known");
        }
        if (!list && !headers.add(second == null ? first : first + '\0' + second)) {
            throw new Whole("line " + line + " has a header again");
        }
        flush();
        kind = found;
        root = first;
        name = second == null ? Set.of(Kind.ROUTE, Kind.SOURCE, Kind.DEFAULTS).contains(found) ? "" : first : second;
        from = line;
    }

    private void flush() throws Whole {
        if (kind != null) {
            sink.block(kind, name, from, block);
        }
        block.setLength(0);
    }
}
