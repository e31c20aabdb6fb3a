package vetchpost.state.codec;

import java.util.ArrayList;
import java.util.List;
import vetchpost.state.ServerRecord;
import vetchpost.state.Snapshot;

/** A snapshot in its pieces, for tests. */
public final class TestChunks {
    private TestChunks() {}

    public static List<byte[]> of(Snapshot snapshot) {
        int count = ChunkCodec.chunkCount(snapshot.servers().size());
        List<byte[]> pieces = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<ServerRecord> part = snapshot.servers()
                    .subList(
                            i * ChunkCodec.SERVERS_PER_CHUNK,
                            Math.min(snapshot.servers().size(), (i + 1) * ChunkCodec.SERVERS_PER_CHUNK));
            pieces.add(ChunkCodec.write(i, count, snapshot.origin(), snapshot.classes(), part));
        }
        return pieces;
    }
}
