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
 * What an operator's file said when it was read: of each route a hash of its lines with its name, and one
 * hash of all else. By it the same file is read again for no more than what has changed in its routes.
 */
public final class FileIndex {
    private static final byte[] EMPTY_BYTES = new byte[0];
    private static final long SECOND_HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final PackedTree namesByHash;
    private final long otherTablesHash;

    private FileIndex(PackedTree routes, long others) {
        this.namesByHash = routes;
        this.otherTablesHash = others;
    }

    /** Bytes that it keeps. */
    public long retainedBytes() {
        return namesByHash.retainedBytes();
    }

    /**
     * How a file differs from what it said before.
     *
     * @param fresh routes that are new or say something else, with their places in the file
     * @param gone names of routes whose lines are there no more; some may be among the fresh ones
     * @param index of the file as it is now
     * @param violations what keeps the fresh ones from being TOML
     */
    public record Difference(
            List<Section> changedRoutes, List<String> removedRoutes, FileIndex index, List<Violation> violations) {}

    /** Takes a file's tables; routes come after all others. */
    public interface SectionHandler {
        /** All that are no routes. */
        void acceptOtherSections(List<Section> sections);

        /** A route. */
        void acceptRoute(Section section);
    }

    private static byte[] hash(CharSequence text) {
        long second = text.length() * SECOND_HASH_MULTIPLIER;
        for (int i = 0; i < text.length(); i++) {
            second = Long.rotateLeft(second ^ text.charAt(i), 7) * SECOND_HASH_MULTIPLIER;
        }
        return ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(HashSet64.hash(text))
                .putLong(second)
                .array();
    }

    private static void readBlocks(Path file, BlockReader.BlockHandler sink)
            throws IOException, BlockReader.UnsplittableFileException {
        if (Files.size(file) > RouteFile.MAX_FILE_BYTES) {
            throw new IOException(file + " is over " + (RouteFile.MAX_FILE_BYTES >> 20) + " MiB");
        }
        try (Reader in = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            RouteFile.blockReader(sink).read(in);
        } catch (CharacterCodingException e) {
            throw new IOException(file + " is not UTF-8", e);
        }
    }

    /**
     * Reads a file table by table, its routes last, so that no more of it is in memory than one of them at a
     * time.
     *
     * @param violations is added what keeps it from being TOML; the tables are then not to be used
     * @return its index; null if the file had to be read as a whole, or its index is of no use
     * @throws IOException if it can't be read, or has changed while it was
     */
    public static FileIndex read(Path file, SectionHandler into, Consumer<Violation> violations) throws IOException {
        try {
            return readByBlocks(file, into, violations);
        } catch (BlockReader.UnsplittableFileException e) {
            // Nothing was told so far: routes come last, and all blocks are looked at before.
            RouteFile whole = RouteFile.read(file);
            whole.violations().forEach(violations);
            into.acceptOtherSections(whole.sections().stream()
                    .filter(s -> s.kind() != Kind.ROUTE)
                    .toList());
            whole.sections().stream().filter(s -> s.kind() == Kind.ROUTE).forEach(into::acceptRoute);
            return null;
        }
    }

    private static FileIndex readByBlocks(Path file, SectionHandler into, Consumer<Violation> violations)
            throws IOException, BlockReader.UnsplittableFileException {
        List<Section> others = new ArrayList<>();
        long[] sums = new long[4];
        boolean[] bad = new boolean[1];
        String name = file.toString();
        readBlocks(file, (kind, of, line, text) -> {
            if (kind == Kind.ROUTE) {
                sums[0] += HashSet64.hash(text);
                return;
            }
            sums[1] = sums[1] * SECOND_HASH_MULTIPLIER + HashSet64.hash(text);
            RouteFile one = RouteFile.parseBlock(name, kind, text.toString(), line);
            bad[0] |= !one.violations().isEmpty();
            one.violations().forEach(violations);
            others.addAll(one.sections());
        });
        if (!bad[0]) {
            into.acceptOtherSections(others);
        }
        PackedTree[] index = {PackedTree.EMPTY};
        boolean[] twice = new boolean[1];
        readBlocks(file, (kind, of, line, text) -> {
            if (kind != Kind.ROUTE) {
                sums[3] = sums[3] * SECOND_HASH_MULTIPLIER + HashSet64.hash(text);
                return;
            }
            sums[2] += HashSet64.hash(text);
            RouteFile one = RouteFile.parseBlock(name, kind, text.toString(), line);
            one.violations().forEach(violations);
            for (Section section : one.sections()) {
                if (!bad[0]) {
                    into.acceptRoute(section);
                }
                byte[] hash = hash(text);
                String known = RouteCodec.nameOf(section);
                twice[0] |= known == null || index[0].get(hash) != null;
                index[0] = index[0].put(hash, known == null ? EMPTY_BYTES : FieldCodec.utf8(known), 0);
            }
        });
        if (sums[0] != sums[2] || sums[1] != sums[3]) {
            throw new IOException(file + " has changed while it was read");
        }
        return twice[0] ? null : new FileIndex(index[0], sums[1]);
    }

    /**
     * Reads the file again for what has changed in its routes.
     *
     * @return null if something else may have changed too, so that all of it has to be read
     * @throws IOException if it can't be read
     */
    public Difference reread(Path file) throws IOException {
        List<Section> fresh = new ArrayList<>();
        List<Violation> violations = new ArrayList<>();
        HashSet64 seen = new HashSet64();
        Map<String, byte[]> added = new LinkedHashMap<>();
        long[] other = new long[1];
        long[] known = new long[1];
        boolean[] odd = new boolean[1];
        try {
            readBlocks(file, (kind, of, line, text) -> {
                if (kind != Kind.ROUTE) {
                    other[0] = other[0] * SECOND_HASH_MULTIPLIER + HashSet64.hash(text);
                    return;
                }
                byte[] hash = hash(text);
                odd[0] |= !seen.add(ByteBuffer.wrap(hash).getLong());
                if (namesByHash.contains(hash)) {
                    known[0]++;
                    return;
                }
                RouteFile one = RouteFile.parseBlock(file.toString(), kind, text.toString(), line);
                violations.addAll(one.violations());
                for (Section section : one.sections()) {
                    fresh.add(section);
                    String name = RouteCodec.nameOf(section);
                    odd[0] |= name == null || added.put(name, hash) != null;
                }
            });
        } catch (BlockReader.UnsplittableFileException e) {
            return null;
        }
        if (odd[0] || other[0] != otherTablesHash) {
            return null;
        }
        List<String> gone = new ArrayList<>();
        PackedTree now = namesByHash;
        if (known[0] != namesByHash.size()) {
            for (PackedTree.Item item = namesByHash.ceiling(EMPTY_BYTES);
                    item != null;
                    item = namesByHash.ceiling(PackedTree.successor(item.key()))) {
                if (!seen.contains(ByteBuffer.wrap(item.key()).getLong())) {
                    gone.add(FieldCodec.text(item.value()));
                    now = now.remove(item.key());
                }
            }
        }
        for (Map.Entry<String, byte[]> each : added.entrySet()) {
            now = now.put(each.getValue(), FieldCodec.utf8(each.getKey()), 0);
        }
        return new Difference(fresh, gone, new FileIndex(now, otherTablesHash), violations);
    }
}
