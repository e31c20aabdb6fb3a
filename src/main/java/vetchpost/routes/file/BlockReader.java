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
    static final class UnsplittableFileException extends Exception {
        private static final long serialVersionUID = 1;

        UnsplittableFileException(String why) {
            super(why, null, false, false);
        }
    }

    /** Takes blocks as they come. */
    interface BlockHandler {
        /**
         * A block, from its header to before the next one.
         *
         * @param name of the class or tenant, or empty
         * @param line of its header, from 1
         * @param text no longer its own once the call is over
         */
        void acceptBlock(Kind kind, String name, int line, CharSequence text) throws UnsplittableFileException;
    }

    private static final int MAX_BLOCK_CHARS = 1 << 20;
    private static final int BUFFER_CHARS = 1 << 14;

    private final Map<String, Kind> tables;
    private final Map<String, Kind> namedTables;
    private final Map<String, Kind> arrayTables;
    private final BlockHandler sink;
    private final HashSet64 headers = new HashSet64();
    private final StringBuilder block = new StringBuilder();
    private Kind kind;
    private String tableName = "";
    private String name = "";
    private int headerLine;
    private int lineNumber;
    /** Within a value that goes on over lines: its open brackets, or the quote that ends it. */
    private int bracketDepth;

    private char quote;

    BlockReader(Map<String, Kind> tables, Map<String, Kind> named, Map<String, Kind> listed, BlockHandler sink) {
        this.tables = tables;
        this.namedTables = named;
        this.arrayTables = listed;
        this.sink = sink;
    }

    /** Reads to the end. */
    void read(Reader in) throws IOException, UnsplittableFileException {
        char[] buffer = new char[BUFFER_CHARS];
        StringBuilder current = new StringBuilder();
        for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
            int start = 0;
            for (int i = 0; i < read; i++) {
                if (buffer[i] == '\n') {
                    current.append(buffer, start, i + 1 - start);
                    acceptLine(current);
                    current.setLength(0);
                    start = i + 1;
                }
            }
            current.append(buffer, start, read - start);
            if (current.length() > MAX_BLOCK_CHARS) {
                throw new UnsplittableFileException("a line of over " + MAX_BLOCK_CHARS + " characters");
            }
        }
        if (current.length() > 0) {
            acceptLine(current);
        }
        if (bracketDepth != 0 || quote != 0) {
            throw new UnsplittableFileException("a value does not end");
        }
        emitBlock();
    }

    private void acceptLine(StringBuilder text) throws UnsplittableFileException {
        lineNumber++;
        int first = 0;
        while (first < text.length() && (text.charAt(first) == ' ' || text.charAt(first) == '\t')) {
            first++;
        }
        boolean inValue = bracketDepth != 0 || quote != 0;
        if (!inValue && first < text.length() && text.charAt(first) == '[') {
            parseHeader(text, first);
        } else {
            boolean blank = first == text.length() || "#\r\n".indexOf(text.charAt(first)) >= 0;
            if (kind == null && !blank) {
                throw new UnsplittableFileException("line " + lineNumber + " comes before any table");
            }
            if (inValue || !blank) {
                scan(text, first);
            }
        }
        if (kind != null) {
            block.append(text);
            if (block.length() > MAX_BLOCK_CHARS) {
                throw new UnsplittableFileException("a table of over " + MAX_BLOCK_CHARS + " characters");
            }
        }
    }

    /** Follows strings, comments and brackets to the line's end. */
    private void scan(CharSequence text, int first) throws UnsplittableFileException {
        int i = first;
        while (i < text.length()) {
            char c = text.charAt(i);
            if (quote != 0) {
                if (c == '\\' && quote == '"') {
                    i++;
                } else if (isTripleQuote(text, i, quote)) {
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
                if (isTripleQuote(text, i, c)) {
                    quote = c;
                    i += 3;
                    continue;
                }
                i = skipString(text, i, c);
                continue;
            } else if (c == '[' || c == '{') {
                bracketDepth++;
            } else if ((c == ']' || c == '}') && --bracketDepth < 0) {
                throw new UnsplittableFileException("line " + lineNumber + " closes what was not opened");
            }
            i++;
        }
    }

    private static boolean isTripleQuote(CharSequence text, int at, char quote) {
        return at + 2 < text.length()
                && text.charAt(at) == quote
                && text.charAt(at + 1) == quote
                && text.charAt(at + 2) == quote;
    }

    private int skipString(CharSequence text, int at, char quote) throws UnsplittableFileException {
        for (int i = at + 1; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '\\' && quote == '"') {
                i++;
            } else if (c == quote) {
                return i + 1;
            }
        }
        throw new UnsplittableFileException("line " + lineNumber + " has a text that does not end");
    }

    private void parseHeader(CharSequence text, int first) throws UnsplittableFileException {
        boolean list = first + 1 < text.length() && text.charAt(first + 1) == '[';
        String[] parts = new String[2];
        int i = first + (list ? 2 : 1);
        int count = 0;
        while (true) {
            int end = i;
            boolean quoted = end < text.length() && text.charAt(end) == '"';
            end += quoted ? 1 : 0;
            int from = end;
            while (end < text.length() && isHeaderCharacter(text.charAt(end), quoted)) {
                end++;
            }
            if (end == from || count == parts.length) {
                throw new UnsplittableFileException("line " + lineNumber + " has a header that is not plain");
            }
            parts[count++] = text.subSequence(from, end).toString();
            if (quoted) {
                if (end >= text.length() || text.charAt(end) != '"') {
                    throw new UnsplittableFileException("line " + lineNumber + " has a header that is not plain");
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
                throw new UnsplittableFileException("line " + lineNumber + " has a header that is not plain");
            }
        }
        while (i < text.length() && " \t\r\n".indexOf(text.charAt(i)) >= 0) {
            i++;
        }
        if (i < text.length() && text.charAt(i) != '#') {
            throw new UnsplittableFileException("line " + lineNumber + " has more than a header");
        }
        beginBlock(list, parts[0], count == 2 ? parts[1] : null);
    }

    private static boolean isHeaderCharacter(char c, boolean quoted) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '-'
                || c == '_'
                || quoted && c >= ' ' && c != '"' && c != '\\';
    }

    private void beginBlock(boolean list, String first, String second) throws UnsplittableFileException {
        Kind found = list ? arrayTables.get(first) : second == null ? tables.get(first) : namedTables.get(first);
        if (!list && second != null && found == null && tables.containsKey(first) && first.equals(tableName)) {
            // A table within the one before it: the same block goes on.
            if (!headers.add(first + '\0' + second)) {
                throw new UnsplittableFileException("line " + lineNumber + " has a header again");
            }
            return;
        }
        if (found == null || list && second != null) {
            throw new UnsplittableFileException("line " + lineNumber + " has a header that is not known");
        }
        if (!list && !headers.add(second == null ? first : first + '\0' + second)) {
            throw new UnsplittableFileException("line " + lineNumber + " has a header again");
        }
        emitBlock();
        kind = found;
        tableName = first;
        name = second == null ? Set.of(Kind.ROUTE, Kind.SOURCE, Kind.DEFAULTS).contains(found) ? "" : first : second;
        headerLine = lineNumber;
    }

    private void emitBlock() throws UnsplittableFileException {
        if (kind != null) {
            sink.acceptBlock(kind, name, headerLine, block);
        }
        block.setLength(0);
    }
}
