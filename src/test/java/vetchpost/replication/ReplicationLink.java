package vetchpost.replication;

import java.util.ArrayList;
import java.util.List;
import vetchpost.store.VersionedStore;

/** A replica and a publisher whose frames a test delivers explicitly. */
final class ReplicationLink implements Publisher.Peer {
    static final Publisher.Budget BUDGET = new Publisher.Budget(18_000, 4_000, 4_000_000, 400);

    final FrameCodec codec = new FrameCodec();
    /** Undelivered frames. */
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

    /** Replaces the publisher by one at this version. */
    void connectNewPublisher(VersionedStore at) {
        publisher = new Publisher(at, codec, BUDGET, 5_000_000, nowUs);
        connect();
    }

    /** Reopens the connection; undelivered frames are lost. */
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
     * Delivers the replica's frames and lets the publisher send what its budget allows now.
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

    /** Advances the time until the publisher has sent everything; frames to the replica stay undelivered. */
    void drainPublisher() throws MalformedFrameException {
        deliverToPublisher();
        for (int i = 0; i < 1_000; i++) {
            nowUs += 50_000;
            publisher.sendPending(nowUs);
        }
    }

    /** Delivers all frames both ways for a duration. */
    void run(long durationUs) throws MalformedFrameException, Replica.FrameRejectedException {
        long endUs = nowUs + durationUs;
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
