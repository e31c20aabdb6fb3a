package vetchpost.replication;

import java.util.ArrayList;
import java.util.List;
import vetchpost.store.VersionedStore;

/** A replica and a publisher with frames between them that a test passes on as it likes. */
final class ReplicationLink implements Publisher.Peer {
    static final Publisher.Budget BUDGET = new Publisher.Budget(18_000, 4_000, 4_000_000, 400);

    final FrameCodec codec = new FrameCodec();
    /** Frames on their way to the replica, and to the publisher. */
    final List<Frame> toReplica = new ArrayList<>();

    final List<Frame> toPublisher = new ArrayList<>();
    final Replica replica;
    Publisher publisher;
    long nowUs;
    long bytesToReplica;
    long bytesToPublisher;

    ReplicationLink(VersionedStore at, VersionedStore replicas) {
        this(at, new Replica("node", replicas, Index.NONE, false, (store, index) -> {}));
    }

    ReplicationLink(VersionedStore at, Replica replica) {
        this.replica = replica;
        connectNewPublisher(at);
    }

    /** Another publisher, at this, takes the place of the one before. */
    void connectNewPublisher(VersionedStore at) {
        publisher = new Publisher(at, codec, BUDGET, 5_000_000, nowUs);
        connect();
    }

    /** The connection is opened anew; what was on its way is lost. */
    void connect() {
        toReplica.clear();
        toPublisher.clear();
        publisher.disconnected(this);
        publisher.connected(this, nowUs);
        replica.connected(toPublisher::add, nowUs);
    }

    @Override
    public void send(byte[] frame) {
        bytesToReplica += frame.length;
        try {
            toReplica.add(codec.read(frame));
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
    void deliverToPublisher() throws MalformedFrameException {
        for (Frame frame : List.copyOf(toPublisher)) {
            toPublisher.remove(0);
            byte[] bytes = codec.write(frame);
            bytesToPublisher += bytes.length;
            publisher.receive(this, codec.read(bytes), bytes.length, nowUs);
        }
        publisher.sendPending(nowUs);
    }

    /** Time passes, until the publisher has nothing more to say; frames stay on their way. */
    void drainPublisher() throws MalformedFrameException {
        deliverToPublisher();
        for (int i = 0; i < 1_000; i++) {
            nowUs += 50_000;
            publisher.sendPending(nowUs);
        }
    }

    /** Passes all on, both ways, for so long. */
    void run(long us) throws MalformedFrameException, Replica.FrameRejectedException {
        long endUs = nowUs + us;
        while (nowUs < endUs) {
            deliverToPublisher();
            while (!toReplica.isEmpty()) {
                replica.receive(toReplica.remove(0), nowUs);
                deliverToPublisher();
            }
            nowUs += 5_000;
        }
    }
}
