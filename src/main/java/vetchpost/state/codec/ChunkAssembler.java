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

/** Puts the pieces of one snapshot together, as far as they have come. */
public final class ChunkAssembler {
    private final List<ServerRecord> servers = new ArrayList<>();
    private final Set<String> ids = new HashSet<>();
    private final BitSet receivedNumbers = new BitSet();
    private SnapshotOrigin origin;
    private List<ClassState> classes = List.of();
    private int chunkCount;

    /**
     * Takes a piece in.
     *
     * @throws MalformedState if it is of another snapshot, has come before, or names a box again; then
     *     nothing of it is taken
     */
    public void add(Chunk piece) throws MalformedSnapshotException {
        if (origin != null
                && (!origin.equals(piece.content().origin())
                        || chunkCount != piece.chunkCount()
                        || !classes.equals(piece.content().classes()))) {
            throw new MalformedSnapshotException("pieces of two snapshots");
        }
        if (receivedNumbers.get(piece.number())) {
            throw new MalformedSnapshotException("piece " + piece.number() + " twice");
        }
        if (servers.size() + piece.content().servers().size() > Snapshot.MAX_SERVERS) {
            throw new MalformedSnapshotException("over " + Snapshot.MAX_SERVERS + " boxes");
        }
        Set<String> fresh = new HashSet<>();
        for (ServerRecord box : piece.content().servers()) {
            if (ids.contains(box.target().id()) || !fresh.add(box.target().id())) {
                throw new MalformedSnapshotException("box " + box.target().id() + " twice");
            }
        }
        origin = piece.content().origin();
        classes = piece.content().classes();
        chunkCount = piece.chunkCount();
        receivedNumbers.set(piece.number());
        ids.addAll(fresh);
        servers.addAll(piece.content().servers());
    }

    /** Whether all pieces are there. */
    public boolean isComplete() {
        return origin != null && receivedNumbers.cardinality() == chunkCount;
    }

    /** What has come so far; null if nothing has. */
    public Snapshot snapshot() {
        return origin == null ? null : new Snapshot(origin, classes, servers);
    }
}
