package vetchpost.state.codec;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import vetchpost.state.BoxState;
import vetchpost.state.ClassState;
import vetchpost.state.Origin;
import vetchpost.state.Snapshot;
import vetchpost.state.codec.PieceCodec.Piece;

/** Puts the pieces of one snapshot together, as far as they have come. */
public final class Assembly {
    private final List<BoxState> boxes = new ArrayList<>();
    private final Set<String> ids = new HashSet<>();
    private final BitSet numbers = new BitSet();
    private Origin origin;
    private List<ClassState> classes = List.of();
    private int pieces;

    /**
     * Takes a piece in.
     *
     * @throws MalformedState if it is of another snapshot, has come before, or names a box again; then
     *     nothing of it is taken
     */
    public void add(Piece piece) throws MalformedState {
        if (origin != null
                && (!origin.equals(piece.part().origin())
                        || pieces != piece.pieces()
                        || !classes.equals(piece.part().classes()))) {
            throw new MalformedState("pieces of two snapshots");
        }
        if (numbers.get(piece.number())) {
            throw new MalformedState("piece " + piece.number() + " twice");
        }
        if (boxes.size() + piece.part().boxes().size() > Snapshot.MOST_BOXES) {
            throw new MalformedState("over " + Snapshot.MOST_BOXES + " boxes");
        }
        Set<String> fresh = new HashSet<>();
        for (BoxState box : piece.part().boxes()) {
            if (ids.contains(box.target().id()) || !fresh.add(box.target().id())) {
                throw new MalformedState("box " + box.target().id() + " twice");
            }
        }
        origin = piece.part().origin();
        classes = piece.part().classes();
        pieces = piece.pieces();
        numbers.set(piece.number());
        ids.addAll(fresh);
        boxes.addAll(piece.part().boxes());
    }

    /** Whether all pieces are there. */
    public boolean isWhole() {
        return origin != null && numbers.cardinality() == pieces;
    }

    /** What has come so far; null if nothing has. */
    public Snapshot snapshot() {
        return origin == null ? null : new Snapshot(origin, classes, boxes);
    }
}
