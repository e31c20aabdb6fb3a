package vetchpost.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import vetchpost.replication.Frame.Entry;
import vetchpost.replication.Frame.Span;
import vetchpost.replication.Frame.Type;
import vetchpost.store.PackedTree;
import vetchpost.store.PackedTree.Item;
import vetchpost.store.PackedTree.Sum;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/**
 * The publisher's side of replication, run by control machines. It sends each replica the entries that changed
 * since the replica's version, selected by entry version: of many changes of one key only the newest is sent,
 * and no queue grows for a slow or absent replica. Each replica and all of them together have a budget in bytes
 * per second; the replica that has waited longest is served first.
 *
 * <p>A transfer is completed against one store version, which stays pinned meanwhile and shares its unchanged
 * parts with newer ones. Confined to one thread. It has no clock or socket: its owner passes in frames and
 * times.
 */
public final class Publisher {
    /** Item bytes of a part before compression, small enough for a node to process in one turn. */
    private static final int PART_TARGET_BYTES = 4 << 10;

    /** Ranges into which a differing range is split. */
    private static final int SPLIT_FACTOR = 16;
    /** Larger ranges are split; smaller ones are sent as the hashes of their items. */
    private static final int MAX_LISTED_ITEMS_PER_SPAN = 64;

    private static final int MAX_CACHED_PARTS = 256;
    private static final int MAX_QUEUED_REPLIES = 64;
    private static final byte[] FIRST_KEY = new byte[0];

    /** A connection to a replica. */
    public interface Peer {
        /** Sends an encoded frame. */
        void send(byte[] frame);

        /** Whether the connection accepts more without buffering. */
        boolean isWritable();
    }

    /**
     * Limits on what is sent.
     *
     * @param bytesPerSPerReplica bytes per second to one replica
     * @param burstBytesPerReplica bytes that one replica's unused budget may accumulate
     * @param totalBytesPerS bytes per second to all replicas together
     * @param entriesPerSPerReplica entries per second to one replica; entries are what cost it processor time
     */
    public record Budget(
            double bytesPerSPerReplica,
            double burstBytesPerReplica,
            double totalBytesPerS,
            double entriesPerSPerReplica) {}

    private final FrameCodec codec;
    private Budget budget;
    private TokenBucket totalBucket;
    private final long heartbeatUs;
    private final Map<Peer, Session> sessions = new LinkedHashMap<>();
    /** Sessions with something to send, in the order in which they began to wait. */
    private final Set<Session> readySessions = new java.util.LinkedHashSet<>();

    private VersionedStore store;
    private long sentBytes;

    /** Encoded delta parts, shared by all replicas that go from one version to the same other one. */
    private final Map<PartKey, Part> partCache = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PartKey, Part> eldest) {
            return size() > MAX_CACHED_PARTS;
        }
    };

    private record PartKey(long from, long to, int part) {}

    /**
     * An encoded part of a delta.
     *
     * @param items number of entries in the frame
     * @param nextKey key at which the next part begins; null for the last part
     * @param isNextInRemoved whether {@code nextKey} refers to removed keys, which follow the live entries
     */
    private record Part(byte[] frame, int items, byte[] nextKey, boolean isNextInRemoved) {}

    private record Reply(byte[] frame, int items) {}

    private final class Session {
        private final Peer peer;
        private TokenBucket byteBucket;
        private TokenBucket entryBucket;
        private final Deque<Reply> replies = new ArrayDeque<>();
        private String name = "";
        private long version = -1;
        private long lastSentUs;
        /** The store that is being sent or compared; null between transfers. */
        private VersionedStore pinnedStore;

        private byte[] nextKey;
        private boolean isNextInRemoved;
        private int nextPart;
        private boolean isComparing;

        Session(Peer peer, long nowUs) {
            this.peer = peer;
            resetBuckets(nowUs);
            lastSentUs = nowUs;
        }

        void resetBuckets(long nowUs) {
            byteBucket = new TokenBucket(budget.bytesPerSPerReplica, budget.burstBytesPerReplica, nowUs);
            entryBucket = new TokenBucket(budget.entriesPerSPerReplica, budget.entriesPerSPerReplica / 8, nowUs);
        }

        boolean hasMore() {
            return !replies.isEmpty() || nextKey != null || !isComparing && version >= 0 && version < store.version();
        }

        void send(byte[] frame, long nowUs) {
            peer.send(frame);
            byteBucket.spend(frame.length);
            totalBucket.spend(frame.length);
            sentBytes += frame.length;
            lastSentUs = nowUs;
        }

        void enqueueReply(Frame frame) throws MalformedFrameException {
            if (replies.size() >= MAX_QUEUED_REPLIES) {
                throw new MalformedFrameException("replica sends requests without reading the replies");
            }
            replies.add(new Reply(codec.write(frame), frame.items().size()));
        }

        void sendNext(long nowUs) {
            if (!replies.isEmpty()) {
                Reply reply = replies.poll();
                send(reply.frame, nowUs);
                entryBucket.spend(reply.items);
                return;
            }
            if (nextKey == null) {
                if (version != Version.NONE && version < store.horizon()) {
                    // Removals since that version are no longer known: compare, starting with the whole range.
                    pinnedStore = store;
                    isComparing = true;
                    send(
                            codec.write(Frame.spans(
                                    Type.DIFFER,
                                    pinnedStore.version(),
                                    pinnedStore.live().sum(),
                                    List.of(new Span(
                                            FIRST_KEY, null, pinnedStore.live().sum(), null)))),
                            nowUs);
                    return;
                }
                pinnedStore = store;
                nextKey = FIRST_KEY;
                isNextInRemoved = false;
                nextPart = 0;
            }
            Part partToSend = encodePart(version, pinnedStore, nextPart, nextKey, isNextInRemoved);
            send(partToSend.frame, nowUs);
            entryBucket.spend(partToSend.items);
            nextPart++;
            nextKey = partToSend.nextKey;
            isNextInRemoved = partToSend.isNextInRemoved;
            if (nextKey == null) {
                version = pinnedStore.version();
                pinnedStore = null;
            }
        }
    }

    /**
     * Creates a publisher without connections.
     *
     * @param heartbeatUs interval at which an up-to-date replica is sent a CURRENT frame, in microseconds
     * @param nowUs time on the owner's clock, in microseconds
     */
    public Publisher(VersionedStore store, FrameCodec codec, Budget budget, long heartbeatUs, long nowUs) {
        this.store = store;
        this.codec = codec;
        this.budget = budget;
        this.heartbeatUs = heartbeatUs;
        totalBucket = new TokenBucket(budget.totalBytesPerS, budget.totalBytesPerS / 4, nowUs);
    }

    /** Replaces the budgets; all of them start full. */
    public void setBudget(Budget other, long nowUs) {
        budget = other;
        totalBucket = new TokenBucket(budget.totalBytesPerS, budget.totalBytesPerS / 4, nowUs);
        sessions.values().forEach(s -> s.resetBuckets(nowUs));
    }

    /** Returns the store being published. */
    public VersionedStore store() {
        return store;
    }

    /** Returns the number of bytes sent so far. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Returns how many replicas are connected. */
    public int replicaCount() {
        return sessions.size();
    }

    /** Returns the names of replicas at an older version and of those that have not sent theirs yet. */
    public List<String> laggingReplicas() {
        return sessions.values().stream()
                .filter(s -> s.version < store.version())
                .map(s -> s.name)
                .toList();
    }

    /** Publishes another version; one that is not newer is ignored. */
    public void publish(VersionedStore newStore) {
        if (newStore.version() <= store.version()) {
            return;
        }
        store = newStore;
        for (Session session : sessions.values()) {
            markReady(session);
        }
    }

    private void markReady(Session session) {
        if (session.hasMore()) {
            readySessions.add(session);
        }
    }

    /** Starts a session with a replica that has connected. */
    public void connected(Peer peer, long nowUs) {
        sessions.put(peer, new Session(peer, nowUs));
    }

    /** Ends the session of a replica. */
    public void disconnected(Peer peer) {
        readySessions.remove(sessions.remove(peer));
    }

    /**
     * Processes a frame from a replica.
     *
     * @param length encoded size of the frame in bytes, charged to the replica's budget like sent bytes
     * @throws MalformedFrameException if the frame violates the protocol; the replica should be disconnected
     */
    public void receive(Peer peer, Frame frame, int length, long nowUs) throws MalformedFrameException {
        Session session = sessions.get(peer);
        if (session == null) {
            return;
        }
        session.byteBucket.spend(length);
        switch (frame.type()) {
            case HELLO -> onHello(session, frame);
            case COMPARE -> onCompare(session, frame);
            case WANT -> onWant(session, frame);
            default -> throw new MalformedFrameException("unexpected frame from a replica: " + frame.type());
        }
        markReady(session);
    }

    private void onHello(Session session, Frame frame) throws MalformedFrameException {
        session.name = frame.name();
        if (frame.from() > store.version()) {
            session.version = -1;
            session.enqueueReply(Frame.behind(store.version()));
            return;
        }
        if (session.isComparing || !frame.last() || session.version < frame.from()) {
            // The replica starts anew or has lost a part, so the current transfer is abandoned.
            session.isComparing = false;
            session.pinnedStore = null;
            session.nextKey = null;
            session.version = frame.from();
        }
        if (frame.from() == store.version()) {
            session.enqueueReply(Frame.current(store.version(), store.live().sum()));
        }
    }

    // ---------------------------------------------------------------- deltas

    private Part encodePart(long from, VersionedStore to, int number, byte[] firstKey, boolean removed) {
        PartKey partKey = new PartKey(from, to.version(), number);
        Part cached = partCache.get(partKey);
        if (cached != null) {
            return cached;
        }
        List<Entry> items = new ArrayList<>();
        int bytes = 0;
        byte[] key = firstKey;
        boolean inRemoved = removed;
        while (key != null && bytes < PART_TARGET_BYTES) {
            Item item = (inRemoved ? to.removed() : to.live()).nextNewer(key, from);
            if (item != null) {
                items.add(new Entry(item.key(), inRemoved ? null : item.value(), item.stamp()));
                bytes += item.key().length + item.value().length + 2 * Long.BYTES;
                key = PackedTree.successor(item.key());
            } else if (inRemoved) {
                key = null;
            } else {
                inRemoved = true;
                key = FIRST_KEY;
            }
        }
        Part newPart = new Part(
                codec.write(Frame.delta(
                        from,
                        to.version(),
                        number,
                        key == null,
                        key == null ? to.live().sum() : new Sum(0, 0),
                        items)),
                items.size(),
                key,
                inRemoved);
        partCache.put(partKey, newPart);
        return newPart;
    }

    // ---------------------------------------------------------------- comparing ranges of keys

    private void onCompare(Session session, Frame frame) throws MalformedFrameException {
        if (frame.to() == 0 || session.pinnedStore == null || !session.isComparing) {
            session.pinnedStore = store;
            session.isComparing = true;
            session.nextKey = null;
        }
        if (frame.to() != 0 && frame.to() != session.pinnedStore.version()) {
            throw new MalformedFrameException("comparison with a version that was not announced");
        }
        if (frame.spans().size() > SPLIT_FACTOR) {
            throw new MalformedFrameException(frame.spans().size() + " ranges in one frame");
        }
        PackedTree tree = session.pinnedStore.live();
        List<Span> answer = new ArrayList<>();
        for (Span span : frame.spans()) {
            Sum ownSum = tree.sum(span.from(), span.to());
            if (ownSum.equals(span.sum())) {
                continue;
            }
            if (ownSum.count() <= MAX_LISTED_ITEMS_PER_SPAN) {
                long[] hashes = tree.range(span.from(), span.to(), MAX_LISTED_ITEMS_PER_SPAN).stream()
                        .mapToLong(Span::hash)
                        .toArray();
                answer.add(new Span(span.from(), span.to(), ownSum, hashes));
            } else {
                splitSpan(tree, span, ownSum.count(), answer);
            }
        }
        session.enqueueReply(Frame.spans(Type.DIFFER, session.pinnedStore.version(), tree.sum(), answer));
    }

    private static void splitSpan(PackedTree tree, Span span, long count, List<Span> into) {
        long before = tree.sum(null, span.from()).count();
        byte[] from = span.from();
        for (int i = 1; i <= SPLIT_FACTOR; i++) {
            byte[] to = i == SPLIT_FACTOR
                    ? span.to()
                    : tree.at(before + count * i / SPLIT_FACTOR).key();
            into.add(new Span(from, to, tree.sum(from, to), null));
            from = to;
        }
    }

    private void onWant(Session session, Frame frame) throws MalformedFrameException {
        if (!session.isComparing || session.pinnedStore == null || frame.to() != session.pinnedStore.version()) {
            throw new MalformedFrameException("items requested of a version that was not announced");
        }
        if (frame.spans().size() > SPLIT_FACTOR * SPLIT_FACTOR) {
            throw new MalformedFrameException(frame.spans().size() + " ranges in one frame");
        }
        List<Entry> items = new ArrayList<>();
        int bytes = 0;
        for (Span span : frame.spans()) {
            Set<Long> requestedHashes = new HashSet<>();
            for (long hash : span.hashes() == null ? new long[0] : span.hashes()) {
                requestedHashes.add(hash);
            }
            for (Item item : session.pinnedStore.live().range(span.from(), span.to(), MAX_LISTED_ITEMS_PER_SPAN)) {
                if (requestedHashes.contains(Span.hash(item))) {
                    items.add(new Entry(item.key(), item.value(), item.stamp()));
                    bytes += item.key().length + item.value().length + 2 * Long.BYTES;
                }
                if (bytes >= PART_TARGET_BYTES) {
                    session.enqueueReply(Frame.items(session.pinnedStore.version(), items));
                    items = new ArrayList<>();
                    bytes = 0;
                }
            }
        }
        if (!items.isEmpty()) {
            session.enqueueReply(Frame.items(session.pinnedStore.version(), items));
        }
    }

    // ---------------------------------------------------------------- sending

    /**
     * Sends what the budgets allow now.
     *
     * @return time of the next call in microseconds, {@link Long#MAX_VALUE} if none is needed before another
     *     method is called
     */
    public long sendPending(long nowUs) {
        long nextCallUs = Long.MAX_VALUE;
        Map<Session, Boolean> blocked = new HashMap<>();
        while (!readySessions.isEmpty() && totalBucket.hasAny(nowUs)) {
            Session session = null;
            for (Session each : readySessions) {
                if (!blocked.containsKey(each)) {
                    session = each;
                    break;
                }
            }
            if (session == null) {
                break;
            }
            if (!session.hasMore()) {
                readySessions.remove(session);
            } else if (!session.peer.isWritable()) {
                blocked.put(session, true);
            } else if (!session.byteBucket.hasAny(nowUs) || !session.entryBucket.hasAny(nowUs)) {
                nextCallUs = Math.min(
                        nextCallUs,
                        Math.max(session.byteBucket.availableAtUs(nowUs), session.entryBucket.availableAtUs(nowUs)));
                blocked.put(session, true);
            } else {
                readySessions.remove(session);
                session.sendNext(nowUs);
                markReady(session);
            }
        }
        if (!readySessions.isEmpty() && !totalBucket.hasAny(nowUs)) {
            nextCallUs = Math.min(nextCallUs, totalBucket.availableAtUs(nowUs));
        }
        return Math.min(nextCallUs, sendHeartbeats(nowUs));
    }

    private long sendHeartbeats(long nowUs) {
        long nextUs = Long.MAX_VALUE;
        for (Session session : sessions.values()) {
            if (session.version == store.version() && !session.hasMore()) {
                if (nowUs - session.lastSentUs >= heartbeatUs) {
                    session.send(
                            codec.write(
                                    Frame.current(store.version(), store.live().sum())),
                            nowUs);
                }
                nextUs = Math.min(nextUs, session.lastSentUs + heartbeatUs);
            }
        }
        return nextUs;
    }
}
