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
    private static final byte[] NOTHING = new byte[0];
    private static final long SECOND = 0x9E3779B97F4A7C15L;

    private final PackedTree routes;
    private final long others;

    private FileIndex(PackedTree routes, long others) {
        this.routes = routes;
        this.others = others;
    }

    /** Bytes that it keeps. */
    public long retainedBytes() {
        return routes.retainedBytes();
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
    public interface Tables {
        /** All that are no routes. */
        void otherSections(List<Section> sections);

        /** A route. */
        void route(Section section);
    }

    private static byte[] hash(CharSequence text) {
        long second = text.length() * SECOND;
        for (int i = 0; i < text.length(); i++) {
            second = Long.rotateLeft(second ^ text.charAt(i), 7) * SECOND;
        }
        return ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(HashSet64.hash(text))
                .putLong(second)
                .array();
    }

    private static void cut(Path file, BlockReader.Sink sink) throws IOException, BlockReader.Whole {
        if (Files.size(file) > RouteFile.MAX_BYTES) {
            throw new IOException(file + " is over " + (RouteFile.MAX_BYTES >> 20) + " MiB");
        }
        try (Reader in = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            RouteFile.blocks(sink).read(in);
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
    public static FileIndex read(Path file, Tables into, Consumer<Violation> violations) throws IOException {
        try {
            return byBlocks(file, into, violations);
        } catch (BlockReader.Whole e) {
            // Nothing was told so far: routes come last, and all blocks are looked at before.
            RouteFile whole = RouteFile.read(file);
            whole.violations().forEach(violations);
            into.otherSections(whole.sections().stream()
                    .filter(s -> s.kind() != Kind.ROUTE)
                    .toList());
            whole.sections().stream().filter(s -> s.kind() == Kind.ROUTE).forEach(into::route);
            return null;
        }
    }

    private static FileIndex byBlocks(Path file, Tables into, Consumer<Violation> violations)
            throws IOException, BlockReader.Whole {
        List<Section> others = new ArrayList<>();
        long[] sums = new long[4];
        boolean[] bad = new boolean[1];
        String name = file.toString();
        cut(file, (kind, of, line, text) -> {
            if (kind == Kind.ROUTE) {
                sums[0] += HashSet64.hash(text);
                return;
            }
            sums[1] = sums[1] * SECOND + HashSet64.hash(text);
            RouteFile one = RouteFile.block(name, kind, text.toString(), line);
            bad[0] |= !one.violations().isEmpty();
            one.violations().forEach(violations);
            others.addAll(one.sections());
        });
        if (!bad[0]) {
            into.otherSections(others);
        }
        PackedTree[] index = {PackedTree.EMPTY};
        boolean[] twice = new boolean[1];
        cut(file, (kind, of, line, text) -> {
            if (kind != Kind.ROUTE) {
                sums[3] = sums[3] * SECOND + HashSet64.hash(text);
                return;
            }
            sums[2] += HashSet64.hash(text);
            RouteFile one = RouteFile.block(name, kind, text.toString(), line);
            one.violations().forEach(violations);
            for (Section section : one.sections()) {
                if (!bad[0]) {
                    into.route(section);
                }
                byte[] hash = hash(text);
                String known = RouteCodec.nameOf(section);
                twice[0] |= known == null || index[0].get(hash) != null;
                index[0] = index[0].put(hash, known == null ? NOTHING : FieldCodec.utf8(known), 0);
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
            cut(file, (kind, of, line, text) -> {
                if (kind != Kind.ROUTE) {
                    other[0] = other[0] * SECOND + HashSet64.hash(text);
                    return;
                }
                byte[] hash = hash(text);
                odd[0] |= !seen.add(ByteBuffer.wrap(hash).getLong());
                if (routes.contains(hash)) {
                    known[0]++;
                    return;
                }
                RouteFile one = RouteFile.block(file.toString(), kind, text.toString(), line);
                violations.addAll(one.violations());
                for (Section section : one.sections()) {
                    fresh.add(section);
                    String name = RouteCodec.nameOf(section);
                    odd[0] |= name == null || added.put(name, hash) != null;
                }
            });
        } catch (BlockReader.Whole e) {
            return null;
        }
        if (odd[0] || other[0] != others) {
            return null;
        }
        List<String> gone = new ArrayList<>();
        PackedTree now = routes;
        if (known[0] != routes.size()) {
            for (PackedTree.Item item = routes.ceiling(NOTHING);
                    item != null;
                    item = routes.ceiling(PackedTree.successor(item.key()))) {
                if (!seen.contains(ByteBuffer.wrap(item.key()).getLong())) {
                    gone.add(FieldCodec.text(item.value()));
                    now = now.remove(item.key());
                }
            }
        }
        for (Map.Entry<String, byte[]> each : added.entrySet()) {
            now = now.put(each.getValue(), FieldCodec.utf8(each.getKey()), 0);
        }
        return new Difference(fresh, gone, new FileIndex(now, others), violations);
    }
}
