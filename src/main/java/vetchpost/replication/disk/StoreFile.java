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
 * Keeps a store on the disk: a frame with its version and sum, then the frames that would bring an empty replica
 * up to date. Methods block and are not called on an event loop.
 */
public final class StoreFile {
    private static final byte[] MAGIC = "VPSTORE1".getBytes(StandardCharsets.US_ASCII);
    private static final long MAX_FILE_BYTES = 256L << 20;
    private static final int MAX_ITEMS_PER_CHUNK = 400;
    private static final int CHUNK_TARGET_BYTES = 32 << 10;

    private final ChunkFile file;

    /** Creates access to a file; the previous and the unfinished one are siblings with a suffix. */
    public StoreFile(Path path) {
        file = new ChunkFile(path, MAGIC, MAX_FILE_BYTES);
    }

    /**
     * Writes a store; blocks until it is on the disk.
     *
     * @return the file's length in bytes
     */
    public long write(VersionedStore store) throws IOException {
        try (FrameCodec codec = new FrameCodec()) {
            List<byte[]> chunks = new ArrayList<>();
            chunks.add(codec.write(Frame.delta(
                    store.horizon(), store.version(), 0, true, store.live().sum(), List.of())));
            appendChunks(codec, store.live(), false, chunks);
            appendChunks(codec, store.removed(), true, chunks);
            return file.write(chunks);
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
     * Reads the newest intact store of the two generations.
     *
     * @param onRejected receives one line for each file that exists and can't be used
     * @return the store, or null if there is none
     */
    public VersionedStore read(Consumer<String> onRejected) {
        return file.read(StoreFile::parse, onRejected);
    }

    private static VersionedStore parse(List<byte[]> chunks) throws MalformedSnapshotException {
        if (chunks.isEmpty()) {
            throw new MalformedSnapshotException("no frame with its version and sum");
        }
        try (FrameCodec codec = new FrameCodec()) {
            Frame head = codec.read(chunks.get(0));
            PackedTree live = PackedTree.EMPTY;
            PackedTree removed = PackedTree.EMPTY;
            for (byte[] chunk : chunks.subList(1, chunks.size())) {
                for (Entry item : codec.read(chunk).items()) {
                    if (item.value() == null) {
                        removed = removed.put(item.key(), new byte[0], item.stamp());
                    } else {
                        live = live.put(item.key(), item.value(), item.stamp());
                    }
                }
            }
            if (!live.sum().equals(head.sum()) || live.newestStamp() > head.to()) {
                throw new MalformedSnapshotException("its entries don't match its sum");
            }
            return VersionedStore.restored(live, removed, head.to(), head.from());
        } catch (MalformedFrameException e) {
            throw new MalformedSnapshotException(e.getMessage());
        }
    }
}
