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
 * A control machine's side: tells replicas what has changed since the version that they are at, by entries'
 * versions, so that of many changes of one key the newest alone is told, and no queue grows for a replica
 * that is slow or away. Each replica and the whole have a budget of bytes a second; the one that waited
 * longest goes first.
 *
 * <p>What is told one replica is told in terms of one version to its end, which is kept for it meanwhile and
 * shares all that stays the same. On one thread; it has no clock and no socket: whoever owns it tells it
 * both.
 */
public final class Publisher {
    /** Bytes of items in a part before they are deflated: what a node takes in at one go. */
    private static final int PART_TARGET_BYTES = 4 << 10;

    private static final int SPLIT_FACTOR = 16;
    /** Ranges of so many items are told item by item. */
    private static final int MAX_LISTED_ITEMS_PER_SPAN = 64;

    private static final int MAX_CACHED_PARTS = 256;
    private static final int MAX_QUEUED_REPLIES = 64;
    private static final byte[] FIRST_KEY = new byte[0];

    /** A connection to a replica. */
    public interface Peer {
        /** Sends bytes of a frame. */
        void send(byte[] frame);

        /** Whether what was sent before has left. */
        boolean isWritable();
    }

    /**
     * Bytes a second, and entries.
     *
     * @param peerPerS to each replica
     * @param peerBurst saved up for each
     * @param allPerS to all of them
     * @param itemsPerS entries to each replica, which is what costs it processor time
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
    /** Sessions with something to tell, in the order in which they began to wait. */
    private final Set<Session> readySessions = new java.util.LinkedHashSet<>();

    private VersionedStore store;
    private long sentBytes;

    /** Parts of what came after a version up to another one, as every replica in between is told them. */
    private final Map<PartKey, Part> partCache = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PartKey, Part> eldest) {
            return size() > MAX_CACHED_PARTS;
        }
    };

    private record PartKey(long from, long to, int part) {}

    /**
     * @param next where the next part begins: first among the entries, then among what went away; null for no
     * more
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
        /** What it is being told, or compared with. */
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
                throw new MalformedFrameException("it asks on without reading");
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
                    // It is not known any more what went away since: compared, from the whole down.
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
            Part told = encodePart(version, pinnedStore, nextPart, nextKey, isNextInRemoved);
            send(told.frame, nowUs);
            entryBucket.spend(told.items);
            nextPart++;
            nextKey = told.nextKey;
            isNextInRemoved = told.isNextInRemoved;
            if (nextKey == null) {
                version = pinnedStore.version();
                pinnedStore = null;
            }
        }
    }

    /**
     * Has nobody connected yet.
     *
     * @param heartbeatUs a replica that there is nothing to tell hears that so often, in microseconds
     */
    public Publisher(VersionedStore store, FrameCodec codec, Budget budget, long heartbeatUs, long nowUs) {
        this.store = store;
        this.codec = codec;
        this.budget = budget;
        this.heartbeatUs = heartbeatUs;
        totalBucket = new TokenBucket(budget.totalBytesPerS, budget.totalBytesPerS / 4, nowUs);
    }

    /** Has other budgets hold from now on, full. */
    public void setBudget(Budget other, long nowUs) {
        budget = other;
        totalBucket = new TokenBucket(budget.totalBytesPerS, budget.totalBytesPerS / 4, nowUs);
        sessions.values().forEach(s -> s.resetBuckets(nowUs));
    }

    /** What it tells. */
    public VersionedStore store() {
        return store;
    }

    /** Bytes sent so far. */
    public long sentBytes() {
        return sentBytes;
    }

    /** How many replicas are connected. */
    public int replicaCount() {
        return sessions.size();
    }

    /** Names of replicas that are at an older version, and of those that have not said theirs. */
    public List<String> laggingReplicas() {
        return sessions.values().stream()
                .filter(s -> s.version < store.version())
                .map(s -> s.name)
                .toList();
    }

    /** Has another version to tell; one that is not newer changes nothing. */
    public void publish(VersionedStore fresh) {
        if (fresh.version() <= store.version()) {
            return;
        }
        store = fresh;
        for (Session session : sessions.values()) {
            markReady(session);
        }
    }

    private void markReady(Session session) {
        if (session.hasMore()) {
            readySessions.add(session);
        }
    }

    /** A replica is connected. */
    public void connected(Peer peer, long nowUs) {
        sessions.put(peer, new Session(peer, nowUs));
    }

    /** It is not any more. */
    public void disconnected(Peer peer) {
        readySessions.remove(sessions.remove(peer));
    }

    /**
     * Takes a replica's frame.
     *
     * @param length its bytes, which count towards the replica's budget as those that it is sent
     * @throws Malformed if it said what no replica says: it is to be disconnected
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
            default -> throw new MalformedFrameException("a replica sends no " + frame.type());
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
            // What it was being told is of no use: it begins, or has lost a part.
            session.isComparing = false;
            session.pinnedStore = null;
            session.nextKey = null;
            session.version = frame.from();
        }
        if (frame.from() == store.version()) {
            session.enqueueReply(Frame.current(store.version(), store.live().sum()));
        }
    }

    // ---------------------------------------------------------------- what has changed

    private Part encodePart(long from, VersionedStore to, int number, byte[] begin, boolean removed) {
        PartKey place = new PartKey(from, to.version(), number);
        Part known = partCache.get(place);
        if (known != null) {
            return known;
        }
        List<Entry> items = new ArrayList<>();
        int bytes = 0;
        byte[] at = begin;
        boolean gone = removed;
        while (at != null && bytes < PART_TARGET_BYTES) {
            Item item = (gone ? to.removed() : to.live()).nextNewer(at, from);
            if (item != null) {
                items.add(new Entry(item.key(), gone ? null : item.value(), item.stamp()));
                bytes += item.key().length + item.value().length + 2 * Long.BYTES;
                at = PackedTree.successor(item.key());
            } else if (gone) {
                at = null;
            } else {
                gone = true;
                at = FIRST_KEY;
            }
        }
        Part made = new Part(
                codec.write(Frame.delta(
                        from,
                        to.version(),
                        number,
                        at == null,
                        at == null ? to.live().sum() : new Sum(0, 0),
                        items)),
                items.size(),
                at,
                gone);
        partCache.put(place, made);
        return made;
    }

    // ---------------------------------------------------------------- what differs

    private void onCompare(Session session, Frame frame) throws MalformedFrameException {
        if (frame.to() == 0 || session.pinnedStore == null || !session.isComparing) {
            session.pinnedStore = store;
            session.isComparing = true;
            session.nextKey = null;
        }
        if (frame.to() != 0 && frame.to() != session.pinnedStore.version()) {
            throw new MalformedFrameException("it compares what it was not told");
        }
        if (frame.spans().size() > SPLIT_FACTOR) {
            throw new MalformedFrameException(frame.spans().size() + " ranges at once");
        }
        PackedTree tree = session.pinnedStore.live();
        List<Span> answer = new ArrayList<>();
        for (Span span : frame.spans()) {
            Sum own = tree.sum(span.from(), span.to());
            if (own.equals(span.sum())) {
                continue;
            }
            if (own.count() <= MAX_LISTED_ITEMS_PER_SPAN) {
                long[] hashes = tree.range(span.from(), span.to(), MAX_LISTED_ITEMS_PER_SPAN).stream()
                        .mapToLong(Span::hash)
                        .toArray();
                answer.add(new Span(span.from(), span.to(), own, hashes));
            } else {
                splitSpan(tree, span, own.count(), answer);
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
            throw new MalformedFrameException("it wants items of a version that it was not told");
        }
        if (frame.spans().size() > SPLIT_FACTOR * SPLIT_FACTOR) {
            throw new MalformedFrameException(frame.spans().size() + " ranges at once");
        }
        List<Entry> items = new ArrayList<>();
        int bytes = 0;
        for (Span span : frame.spans()) {
            Set<Long> wanted = new HashSet<>();
            for (long hash : span.hashes() == null ? new long[0] : span.hashes()) {
                wanted.add(hash);
            }
            for (Item item : session.pinnedStore.live().range(span.from(), span.to(), MAX_LISTED_ITEMS_PER_SPAN)) {
                if (wanted.contains(Span.hash(item))) {
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
     * @return when there may be more to send, in microseconds; the largest number if only a call of another
     * kind can tell
     */
    public long sendPending(long nowUs) {
        long againUs = Long.MAX_VALUE;
        Map<Session, Boolean> waiting = new HashMap<>();
        while (!readySessions.isEmpty() && totalBucket.hasAny(nowUs)) {
            Session session = null;
            for (Session each : readySessions) {
                if (!waiting.containsKey(each)) {
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
                waiting.put(session, true);
            } else if (!session.byteBucket.hasAny(nowUs) || !session.entryBucket.hasAny(nowUs)) {
                againUs = Math.min(
                        againUs,
                        Math.max(session.byteBucket.availableAtUs(nowUs), session.entryBucket.availableAtUs(nowUs)));
                waiting.put(session, true);
            } else {
                readySessions.remove(session);
                session.sendNext(nowUs);
                markReady(session);
            }
        }
        if (!readySessions.isEmpty() && !totalBucket.hasAny(nowUs)) {
            againUs = Math.min(againUs, totalBucket.availableAtUs(nowUs));
        }
        return Math.min(againUs, sendHeartbeats(nowUs));
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
