package vetchpost.state.codec;

import java.util.ArrayList;
import java.util.List;
import vetchpost.state.BoxState;
import vetchpost.state.Snapshot;

/** A snapshot in its pieces, for tests. */
public final class Pieces {
    private Pieces() {}

    public static List<byte[]> of(Snapshot snapshot) {
        int count = PieceCodec.pieces(snapshot.boxes().size());
        List<byte[]> pieces = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<BoxState> part = snapshot.boxes()
                    .subList(i * PieceCodec.BOXES, Math.min(snapshot.boxes().size(), (i + 1) * PieceCodec.BOXES));
            pieces.add(PieceCodec.write(i, count, snapshot.origin(), snapshot.classes(), part));
        }
        return pieces;
    }
}
