package vetchpost.routes.file;

import java.io.IOException;
import java.io.Reader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import vetchpost.routes.RouteCodec;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.Violation;
import vetchpost.store.FieldCodec;
import vetchpost.store.PackedTree;

/**
 * An index of the operator's file as it was last read: for each route a hash of its lines with its name, and one
 * hash of all other tables. With it {@link #reread} parses only the routes that have changed. Loaders of the node's
 * file use it. Immutable; {@link #read} and {@link #reread} do blocking I/O.
 */
public final class FileIndex {
    private static final byte[] EMPTY_BYTES = new byte[0];
    private static final long SECOND_HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final PackedTree namesByHash;
    private final long otherTablesHash;

    private FileIndex(PackedTree namesByHash, long otherTablesHash) {
        this.namesByHash = namesByHash;
        this.otherTablesHash = otherTablesHash;
    }

    /** Bytes retained by the index. */
    public long retainedBytes() {
        return namesByHash.retainedBytes();
    }

    /**
     * The difference between a file and its index.
     *
     * @param changedRoutes new and changed routes, with their positions in the file
     * @param removedRoutes names of routes whose former lines are no longer there; changed routes are among them
     * @param index of the file as it is now
     * @param violations syntax errors in changed routes
     */
    public record Difference(
            List<Section> changedRoutes, List<String> removedRoutes, FileIndex index, List<Violation> violations) {}

    /** Receives the tables of a file, routes after all others. */
    public interface SectionHandler {
        /** Called once, with all tables that are not routes. */
        void acceptOtherSections(List<Section> sections);

        /** Called for each route. */
        void acceptRoute(Section section);
    }

    /** A hash of 128 bits, so that different routes do not collide; the first 64 are that of {@link HashSet64}. */
    private static byte[] hash(CharSequence text) {
        long secondHash = text.length() * SECOND_HASH_MULTIPLIER;
        for (int i = 0; i < text.length(); i++) {
            secondHash = Long.rotateLeft(secondHash ^ text.charAt(i), 7) * SECOND_HASH_MULTIPLIER;
        }
        return ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(HashSet64.hash(text))
                .putLong(secondHash)
                .array();
    }

    private static void readBlocks(Path file, BlockReader.BlockHandler handler)
            throws IOException, BlockReader.UnsplittableFileException {
        if (Files.size(file) > RouteFile.MAX_FILE_BYTES) {
            throw new IOException(file + " is larger than " + (RouteFile.MAX_FILE_BYTES >> 20) + " MiB");
        }
        try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            RouteFile.blockReader(handler).read(reader);
        } catch (CharacterCodingException e) {
            throw new IOException(file + " is not UTF-8", e);
        }
    }

    /**
     * Reads a file table by table, its routes last, so that only one route at a time is in memory.
     *
     * @param handler receives the tables
     * @param violations receives syntax errors; if there is any, the tables must not be used
     * @return the index; null if the file had to be parsed as a whole, or two routes have the same text, or the
     *     name of one is not a text
     * @throws IOException if the file cannot be read, is too large, or changes while it is read
     */
    public static FileIndex read(Path file, SectionHandler handler, Consumer<Violation> violations) throws IOException {
        try {
            return readByBlocks(file, handler, violations);
        } catch (BlockReader.UnsplittableFileException e) {
            // The handler has received nothing yet: the first pass reads all blocks before it is called.
            RouteFile wholeFile = RouteFile.read(file);
            wholeFile.violations().forEach(violations);
            handler.acceptOtherSections(wholeFile.sections().stream()
                    .filter(s -> s.kind() != Kind.ROUTE)
                    .toList());
            wholeFile.sections().stream().filter(s -> s.kind() == Kind.ROUTE).forEach(handler::acceptRoute);
            return null;
        }
    }

    private static FileIndex readByBlocks(Path file, SectionHandler handler, Consumer<Violation> violations)
            throws IOException, BlockReader.UnsplittableFileException {
        List<Section> otherSections = new ArrayList<>();
        // Routes and other tables of the first pass, then of the second, to detect a change between them.
        long[] hashes = new long[4];
        boolean[] hasErrors = new boolean[1];
        String name = file.toString();
        readBlocks(file, (kind, tableName, line, text) -> {
            if (kind == Kind.ROUTE) {
                hashes[0] += HashSet64.hash(text);
                return;
            }
            hashes[1] = hashes[1] * SECOND_HASH_MULTIPLIER + HashSet64.hash(text);
            RouteFile parsed = RouteFile.parseBlock(name, kind, text.toString(), line);
            hasErrors[0] |= !parsed.violations().isEmpty();
            parsed.violations().forEach(violations);
            otherSections.addAll(parsed.sections());
        });
        if (!hasErrors[0]) {
            handler.acceptOtherSections(otherSections);
        }
        PackedTree[] namesByHash = {PackedTree.EMPTY};
        boolean[] isAmbiguous = new boolean[1];
        readBlocks(file, (kind, tableName, line, text) -> {
            if (kind != Kind.ROUTE) {
                hashes[3] = hashes[3] * SECOND_HASH_MULTIPLIER + HashSet64.hash(text);
                return;
            }
            hashes[2] += HashSet64.hash(text);
            RouteFile parsed = RouteFile.parseBlock(name, kind, text.toString(), line);
            parsed.violations().forEach(violations);
            for (Section section : parsed.sections()) {
                if (!hasErrors[0]) {
                    handler.acceptRoute(section);
                }
                byte[] hash = hash(text);
                String routeName = RouteCodec.nameOf(section);
                isAmbiguous[0] |= routeName == null || namesByHash[0].get(hash) != null;
                namesByHash[0] =
                        namesByHash[0].put(hash, routeName == null ? EMPTY_BYTES : FieldCodec.utf8(routeName), 0);
            }
        });
        if (hashes[0] != hashes[2] || hashes[1] != hashes[3]) {
            throw new IOException(file + " has changed while it was read");
        }
        return isAmbiguous[0] ? null : new FileIndex(namesByHash[0], hashes[1]);
    }

    /**
     * Reads the file again and parses the routes that have changed.
     *
     * @return null if more than routes may have changed, so that the whole file has to be read
     * @throws IOException if the file cannot be read or is too large
     */
    public Difference reread(Path file) throws IOException {
        List<Section> changedRoutes = new ArrayList<>();
        List<Violation> violations = new ArrayList<>();
        HashSet64 seenHashes = new HashSet64();
        Map<String, byte[]> hashesByName = new LinkedHashMap<>();
        long[] otherHash = new long[1];
        long[] unchangedCount = new long[1];
        boolean[] isAmbiguous = new boolean[1];
        try {
            readBlocks(file, (kind, tableName, line, text) -> {
                if (kind != Kind.ROUTE) {
                    otherHash[0] = otherHash[0] * SECOND_HASH_MULTIPLIER + HashSet64.hash(text);
                    return;
                }
                byte[] hash = hash(text);
                isAmbiguous[0] |= !seenHashes.add(ByteBuffer.wrap(hash).getLong());
                if (namesByHash.contains(hash)) {
                    unchangedCount[0]++;
                    return;
                }
                RouteFile parsed = RouteFile.parseBlock(file.toString(), kind, text.toString(), line);
                violations.addAll(parsed.violations());
                for (Section section : parsed.sections()) {
                    changedRoutes.add(section);
                    String name = RouteCodec.nameOf(section);
                    isAmbiguous[0] |= name == null || hashesByName.put(name, hash) != null;
                }
            });
        } catch (BlockReader.UnsplittableFileException e) {
            return null;
        }
        if (isAmbiguous[0] || otherHash[0] != otherTablesHash) {
            return null;
        }
        List<String> removedRoutes = new ArrayList<>();
        PackedTree newNamesByHash = namesByHash;
        if (unchangedCount[0] != namesByHash.size()) {
            for (PackedTree.Item item = namesByHash.ceiling(EMPTY_BYTES);
                    item != null;
                    item = namesByHash.ceiling(PackedTree.successor(item.key()))) {
                if (!seenHashes.contains(ByteBuffer.wrap(item.key()).getLong())) {
                    removedRoutes.add(FieldCodec.text(item.value()));
                    newNamesByHash = newNamesByHash.remove(item.key());
                }
            }
        }
        for (Map.Entry<String, byte[]> route : hashesByName.entrySet()) {
            newNamesByHash = newNamesByHash.put(route.getValue(), FieldCodec.utf8(route.getKey()), 0);
        }
        return new Difference(changedRoutes, removedRoutes, new FileIndex(newNamesByHash, otherTablesHash), violations);
    }
}
