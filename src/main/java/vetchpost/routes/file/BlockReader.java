package vetchpost.routes.file;

import java.io.IOException;
import java.io.Reader;
import java.util.Map;
import java.util.Set;
import vetchpost.routes.Section.Kind;

/**
 * Splits the operator's file into blocks, one for each table, so that a large file need not be in memory as a whole,
 * and unchanged blocks need not be parsed again. It does not parse TOML: it follows strings, comments and brackets
 * only as far as needed to tell a header from a value. Where the blocks of a file might not mean the same when
 * parsed one by one, it throws {@link UnsplittableFileException}, and the caller parses the whole file.
 * {@link FileIndex} uses an instance for each pass over a file. Not thread-safe.
 */
final class BlockReader {
    /** Thrown for a file that must be parsed as a whole; the message gives the reason. */
    static final class UnsplittableFileException extends Exception {
        private static final long serialVersionUID = 1;

        UnsplittableFileException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Receives the blocks in the order of the file. */
    interface BlockHandler {
        /**
         * Called for each block, which ends before the next block's header.
         *
         * @param kind of the table
         * @param name of the class or tenant, or the key of the table; empty for defaults, routes and sources
         * @param line number of the header, from 1
         * @param text of the block; valid only during the call
         */
        void acceptBlock(Kind kind, String name, int line, CharSequence text) throws UnsplittableFileException;
    }

    private static final int MAX_BLOCK_CHARS = 1 << 20;
    private static final int BUFFER_CHARS = 1 << 14;

    private final Map<String, Kind> tables;
    private final Map<String, Kind> namedTables;
    private final Map<String, Kind> arrayTables;
    private final BlockHandler handler;
    private final HashSet64 headers = new HashSet64();
    private final StringBuilder block = new StringBuilder();
    private Kind kind;
    private String tableName = "";
    private String name = "";
    private int headerLine;
    private int lineNumber;
    /** Open brackets of a value that spans lines. */
    private int bracketDepth;

    /** The quote that ends a text that spans lines; 0 outside such a text. */
    private char quote;

    BlockReader(
            Map<String, Kind> tables,
            Map<String, Kind> namedTables,
            Map<String, Kind> arrayTables,
            BlockHandler handler) {
        this.tables = tables;
        this.namedTables = namedTables;
        this.arrayTables = arrayTables;
        this.handler = handler;
    }

    /** Reads to the end, and passes on all blocks. */
    void read(Reader in) throws IOException, UnsplittableFileException {
        char[] buffer = new char[BUFFER_CHARS];
        StringBuilder currentLine = new StringBuilder();
        for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
            int start = 0;
            for (int i = 0; i < length; i++) {
                if (buffer[i] == '\n') {
                    currentLine.append(buffer, start, i + 1 - start);
                    acceptLine(currentLine);
                    currentLine.setLength(0);
                    start = i + 1;
                }
            }
            currentLine.append(buffer, start, length - start);
            if (currentLine.length() > MAX_BLOCK_CHARS) {
                throw new UnsplittableFileException("a line of more than " + MAX_BLOCK_CHARS + " characters");
            }
        }
        if (currentLine.length() > 0) {
            acceptLine(currentLine);
        }
        if (bracketDepth != 0 || quote != 0) {
            throw new UnsplittableFileException("the last value does not end");
        }
        emitBlock();
    }

    private void acceptLine(StringBuilder line) throws UnsplittableFileException {
        lineNumber++;
        int indent = 0;
        while (indent < line.length() && (line.charAt(indent) == ' ' || line.charAt(indent) == '\t')) {
            indent++;
        }
        boolean isInValue = bracketDepth != 0 || quote != 0;
        if (!isInValue && indent < line.length() && line.charAt(indent) == '[') {
            parseHeader(line, indent);
        } else {
            boolean isBlank = indent == line.length() || "#\r\n".indexOf(line.charAt(indent)) >= 0;
            if (kind == null && !isBlank) {
                throw new UnsplittableFileException("line " + lineNumber + " comes before any table");
            }
            if (isInValue || !isBlank) {
                scan(line, indent);
            }
        }
        if (kind != null) {
            block.append(line);
            if (block.length() > MAX_BLOCK_CHARS) {
                throw new UnsplittableFileException("a table of more than " + MAX_BLOCK_CHARS + " characters");
            }
        }
    }

    /** Follows strings, comments and brackets to the end of the line. */
    private void scan(CharSequence text, int start) throws UnsplittableFileException {
        int i = start;
        while (i < text.length()) {
            char character = text.charAt(i);
            if (quote != 0) {
                if (character == '\\' && quote == '"') {
                    i++;
                } else if (isTripleQuote(text, i, quote)) {
                    // The text may end with up to two quotes of its own before the closing three.
                    i += 3;
                    while (i < text.length() && text.charAt(i) == quote) {
                        i++;
                    }
                    quote = 0;
                    continue;
                }
            } else if (character == '#') {
                return;
            } else if (character == '"' || character == '\'') {
                if (isTripleQuote(text, i, character)) {
                    quote = character;
                    i += 3;
                    continue;
                }
                i = skipString(text, i, character);
                continue;
            } else if (character == '[' || character == '{') {
                bracketDepth++;
            } else if ((character == ']' || character == '}') && --bracketDepth < 0) {
                throw new UnsplittableFileException("line " + lineNumber + " closes a bracket that was not opened");
            }
            i++;
        }
    }

    private static boolean isTripleQuote(CharSequence text, int index, char quote) {
        return index + 2 < text.length()
                && text.charAt(index) == quote
                && text.charAt(index + 1) == quote
                && text.charAt(index + 2) == quote;
    }

    private int skipString(CharSequence text, int start, char quote) throws UnsplittableFileException {
        for (int i = start + 1; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character == '\\' && quote == '"') {
                i++;
            } else if (character == quote) {
                return i + 1;
            }
        }
        throw new UnsplittableFileException("line " + lineNumber + " has a text that does not end");
    }

    private void parseHeader(CharSequence text, int start) throws UnsplittableFileException {
        boolean isArrayTable = start + 1 < text.length() && text.charAt(start + 1) == '[';
        String[] parts = new String[2];
        int i = start + (isArrayTable ? 2 : 1);
        int count = 0;
        while (true) {
            int end = i;
            boolean isQuoted = end < text.length() && text.charAt(end) == '"';
            end += isQuoted ? 1 : 0;
            int partStart = end;
            while (end < text.length() && isHeaderCharacter(text.charAt(end), isQuoted)) {
                end++;
            }
            if (end == partStart || count == parts.length) {
                throw new UnsplittableFileException("line " + lineNumber + " has an unsupported header");
            }
            parts[count++] = text.subSequence(partStart, end).toString();
            if (isQuoted) {
                if (end >= text.length() || text.charAt(end) != '"') {
                    throw new UnsplittableFileException("line " + lineNumber + " has an unsupported header");
                }
                end++;
            }
            if (end >= text.length() || text.charAt(end) != '.') {
                i = end;
                break;
            }
            i = end + 1;
        }
        for (int closing = isArrayTable ? 2 : 1; closing > 0; closing--) {
            if (i >= text.length() || text.charAt(i++) != ']') {
                throw new UnsplittableFileException("line " + lineNumber + " has an unsupported header");
            }
        }
        while (i < text.length() && " \t\r\n".indexOf(text.charAt(i)) >= 0) {
            i++;
        }
        if (i < text.length() && text.charAt(i) != '#') {
            throw new UnsplittableFileException("line " + lineNumber + " has text after a header");
        }
        beginBlock(isArrayTable, parts[0], count == 2 ? parts[1] : null);
    }

    private static boolean isHeaderCharacter(char character, boolean isQuoted) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || character == '-'
                || character == '_'
                || isQuoted && character >= ' ' && character != '"' && character != '\\';
    }

    private void beginBlock(boolean isArrayTable, String first, String second) throws UnsplittableFileException {
        Kind foundKind =
                isArrayTable ? arrayTables.get(first) : second == null ? tables.get(first) : namedTables.get(first);
        if (!isArrayTable
                && second != null
                && foundKind == null
                && tables.containsKey(first)
                && first.equals(tableName)) {
            // A nested table of the current one belongs to the same block.
            if (!headers.add(first + '\0' + second)) {
                throw new UnsplittableFileException("line " + lineNumber + " repeats a header");
            }
            return;
        }
        if (foundKind == null || isArrayTable && second != null) {
            throw new UnsplittableFileException("line " + lineNumber + " has an unknown header");
        }
        if (!isArrayTable && !headers.add(second == null ? first : first + '\0' + second)) {
            throw new UnsplittableFileException("line " + lineNumber + " repeats a header");
        }
        emitBlock();
        kind = foundKind;
        tableName = first;
        name = second == null
                ? Set.of(Kind.ROUTE, Kind.SOURCE, Kind.DEFAULTS).contains(foundKind) ? "" : first
                : second;
        headerLine = lineNumber;
    }

    private void emitBlock() throws UnsplittableFileException {
        if (kind != null) {
            handler.acceptBlock(kind, name, headerLine, block);
        }
        block.setLength(0);
    }
}
