package vetchpost.state.codec;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import vetchpost.state.ClassState;
import vetchpost.state.ServerRecord;
import vetchpost.state.Snapshot;
import vetchpost.state.SnapshotOrigin;
import vetchpost.state.codec.ChunkCodec.Chunk;

/** Assembles the chunks of one snapshot, in any order. Used for files and handovers; not thread-safe. */
public final class ChunkAssembler {
    private final List<ServerRecord> servers = new ArrayList<>();
    private final Set<String> ids = new HashSet<>();
    private final BitSet receivedNumbers = new BitSet();
    private SnapshotOrigin origin;
    private List<ClassState> classes = List.of();
    private int chunkCount;

    /**
     * Adds a chunk.
     *
     * @throws MalformedSnapshotException if it belongs to another snapshot, is a duplicate, or repeats a server; then
     *     nothing of it is added
     */
    public void add(Chunk chunk) throws MalformedSnapshotException {
        if (origin != null
                && (!origin.equals(chunk.content().origin())
                        || chunkCount != chunk.chunkCount()
                        || !classes.equals(chunk.content().classes()))) {
            throw new MalformedSnapshotException("chunks of two snapshots");
        }
        if (receivedNumbers.get(chunk.number())) {
            throw new MalformedSnapshotException("duplicate chunk " + chunk.number() + " of the snapshot");
        }
        if (servers.size() + chunk.content().servers().size() > Snapshot.MAX_SERVERS) {
            throw new MalformedSnapshotException("more than " + Snapshot.MAX_SERVERS + " servers");
        }
        Set<String> newIds = new HashSet<>();
        for (ServerRecord server : chunk.content().servers()) {
            if (ids.contains(server.target().id())
                    || !newIds.add(server.target().id())) {
                throw new MalformedSnapshotException(
                        "duplicate server " + server.target().id() + " in the snapshot");
            }
        }
        origin = chunk.content().origin();
        classes = chunk.content().classes();
        chunkCount = chunk.chunkCount();
        receivedNumbers.set(chunk.number());
        ids.addAll(newIds);
        servers.addAll(chunk.content().servers());
    }

    /** Whether all chunks have been added. */
    public boolean isComplete() {
        return origin != null && receivedNumbers.cardinality() == chunkCount;
    }

    /** Returns the content of all chunks added so far; null if there are none. */
    public Snapshot snapshot() {
        return origin == null ? null : new Snapshot(origin, classes, servers);
    }
}
