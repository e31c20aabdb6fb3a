package vetchpost.replication;

import java.util.ArrayList;
import java.util.List;
import vetchpost.store.VersionedStore;

/** A replica and a publisher with frames between them that a test passes on as it likes. */
final class Wire implements Publisher.Peer {
    static final Publisher.Budget BUDGET = new Publisher.Budget(18_000, 4_000, 4_000_000, 400);

    final FrameCodec codec = new FrameCodec();
    /** Frames on their way to the replica, and to the publisher. */
    final List<Frame> down = new ArrayList<>();

    final List<Frame> up = new ArrayList<>();
    final Replica replica;
    Publisher publisher;
    long nowUs;
    long downBytes;
    long upBytes;

    Wire(VersionedStore at, VersionedStore replicas) {
        this(at, new Replica("node", replicas, Index.NONE, false, (store, index) -> {}));
    }

    Wire(VersionedStore at, Replica replica) {
        this.replica = replica;
        publishes(at);
    }

    /** Another publisher, at this, takes the place of the one before. */
    void publishes(VersionedStore at) {
        publisher = new Publisher(at, codec, BUDGET, 5_000_000, nowUs);
        connect();
    }

    /** The connection is opened anew; what was on its way is lost. */
    void connect() {
        down.clear();
        up.clear();
        publisher.disconnected(this);
        publisher.connected(this, nowUs);
        replica.connected(up::add, nowUs);
    }

    @Override
    public void send(byte[] frame) {
        downBytes += frame.length;
        try {
            down.add(codec.read(frame));
        } catch (MalformedFrameException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    /**
     * Passes on what the replica has said, and has the publisher answer with all that its budget allows now.
     */
    void ask() throws MalformedFrameException {
        for (Frame frame : List.copyOf(up)) {
            up.remove(0);
            byte[] bytes = codec.write(frame);
            upBytes += bytes.length;
            publisher.receive(this, codec.read(bytes), bytes.length, nowUs);
        }
        publisher.sendPending(nowUs);
    }

    /** Time passes, until the publisher has nothing more to say; frames stay on their way. */
    void fill() throws MalformedFrameException {
        ask();
        for (int i = 0; i < 1_000; i++) {
            nowUs += 50_000;
            publisher.sendPending(nowUs);
        }
    }

    /** Passes all on, both ways, for so long. */
    void run(long us) throws MalformedFrameException, Replica.FrameRejectedException {
        long endUs = nowUs + us;
        while (nowUs < endUs) {
            ask();
            while (!down.isEmpty()) {
                replica.receive(down.remove(0), nowUs);
                ask();
            }
            nowUs += 5_000;
        }
    }
}
