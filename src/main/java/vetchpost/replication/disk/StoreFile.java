package vetchpost.replication.disk;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import vetchpost.replication.Frame;
import vetchpost.replication.Frame.Entry;
import vetchpost.replication.FrameCodec;
import vetchpost.replication.MalformedFrameException;
import vetchpost.state.codec.MalformedSnapshotException;
import vetchpost.state.disk.ChunkFile;
import vetchpost.store.PackedTree;
import vetchpost.store.PackedTree.Item;
import vetchpost.store.VersionedStore;

/**
 * A store on the disk: the frames by which a replica with nothing is told all, behind one with its version
 * and sum.
 */
public final class StoreFile {
    private static final byte[] MAGIC = "VPSTORE1".getBytes(StandardCharsets.US_ASCII);
    private static final long MAX_FILE_BYTES = 256L << 20;
    private static final int MAX_ITEMS_PER_CHUNK = 400;
    private static final int CHUNK_TARGET_BYTES = 32 << 10;

    private final ChunkFile file;

    /** In this file, and two more whose names begin with its. */
    public StoreFile(Path path) {
        file = new ChunkFile(path, MAGIC, MAX_FILE_BYTES);
    }

    /**
     * Writes it; blocks until it is on the disk.
     *
     * @return the file's length in bytes
     */
    public long write(VersionedStore store) throws IOException {
        try (FrameCodec codec = new FrameCodec()) {
            List<byte[]> pieces = new ArrayList<>();
            pieces.add(codec.write(Frame.delta(
                    store.horizon(), store.version(), 0, true, store.live().sum(), List.of())));
            appendChunks(codec, store.live(), false, pieces);
            appendChunks(codec, store.removed(), true, pieces);
            return file.write(pieces);
        }
    }

    private static void appendChunks(FrameCodec codec, PackedTree tree, boolean removed, List<byte[]> into) {
        List<Entry> items = new ArrayList<>();
        int bytes = 0;
        for (Item item = tree.ceiling(new byte[0]);
                item != null;
                item = tree.ceiling(PackedTree.successor(item.key()))) {
            items.add(new Entry(item.key(), removed ? null : item.value(), item.stamp()));
            bytes += item.key().length + item.value().length;
            if (items.size() == MAX_ITEMS_PER_CHUNK || bytes > CHUNK_TARGET_BYTES) {
                into.add(codec.write(Frame.items(0, items)));
                items = new ArrayList<>();
                bytes = 0;
            }
        }
        if (!items.isEmpty()) {
            into.add(codec.write(Frame.items(0, items)));
        }
    }

    /**
     * The newest whole store of the two files, or null if there is none.
     *
     * @param refused hears in one line of each file that is there and can't be used
     */
    public VersionedStore read(Consumer<String> refused) {
        return file.read(StoreFile::parse, refused);
    }

    private static VersionedStore parse(List<byte[]> pieces) throws MalformedSnapshotException {
        if (pieces.isEmpty()) {
            throw new MalformedSnapshotException("it has no beginning");
        }
        try (FrameCodec codec = new FrameCodec()) {
            Frame head = codec.read(pieces.get(0));
            PackedTree live = PackedTree.EMPTY;
            PackedTree removed = PackedTree.EMPTY;
            for (byte[] piece : pieces.subList(1, pieces.size())) {
                for (Entry item : codec.read(piece).items()) {
                    if (item.value() == null) {
                        removed = removed.put(item.key(), new byte[0], item.stamp());
                    } else {
                        live = live.put(item.key(), item.value(), item.stamp());
                    }
                }
            }
            if (!live.sum().equals(head.sum()) || live.newestStamp() > head.to()) {
                throw new MalformedSnapshotException("its entries don't come to its sum");
            }
            return VersionedStore.restored(live, removed, head.to(), head.from());
        } catch (MalformedFrameException e) {
            throw new MalformedSnapshotException(e.getMessage());
        }
    }
}
