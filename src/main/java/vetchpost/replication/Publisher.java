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
    private static final int PART = 4 << 10;

    private static final int SPLIT = 16;
    /** Ranges of so many items are told item by item. */
    private static final int LISTED = 64;

    private static final int MOST_CACHED = 256;
    private static final int MOST_REPLIES = 64;
    private static final byte[] FIRST = new byte[0];

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
    private TokenBucket all;
    private final long heartbeatUs;
    private final Map<Peer, Session> sessions = new LinkedHashMap<>();
    /** Sessions with something to tell, in the order in which they began to wait. */
    private final Set<Session> ready = new java.util.LinkedHashSet<>();

    private VersionedStore store;
    private long sentBytes;

    /** Parts of what came after a version up to another one, as every replica in between is told them. */
    private final Map<Place, Part> parts = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Place, Part> eldest) {
            return size() > MOST_CACHED;
        }
    };

    private record Place(long from, long to, int part) {}

    /**
     * @param next where the next part begins: first among the entries, then among what went away; null for no
     * more
     */
    private record Part(byte[] frame, int items, byte[] next, boolean removed) {}

    private record Reply(byte[] frame, int items) {}

    private final class Session {
        private final Peer peer;
        private TokenBucket bucket;
        private TokenBucket items;
        private final Deque<Reply> replies = new ArrayDeque<>();
        private String name = "";
        private long at = -1;
        private long saidUs;
        /** What it is being told, or compared with. */
        private VersionedStore pinned;

        private byte[] next;
        private boolean removed;
        private int part;
        private boolean comparing;

        Session(Peer peer, long nowUs) {
            this.peer = peer;
            fill(nowUs);
            saidUs = nowUs;
        }

        void fill(long nowUs) {
            bucket = new TokenBucket(budget.bytesPerSPerReplica, budget.burstBytesPerReplica, nowUs);
            items = new TokenBucket(budget.entriesPerSPerReplica, budget.entriesPerSPerReplica / 8, nowUs);
        }

        boolean hasMore() {
            return !replies.isEmpty() || next != null || !comparing && at >= 0 && at < store.version();
        }

        void send(byte[] frame, long nowUs) {
            peer.send(frame);
            bucket.spend(frame.length);
            all.spend(frame.length);
            sentBytes += frame.length;
            saidUs = nowUs;
        }

        void reply(Frame frame) throws MalformedFrameException {
            if (replies.size() >= MOST_REPLIES) {
                throw new MalformedFrameException("it asks on without reading");
            }
            replies.add(new Reply(codec.write(frame), frame.items().size()));
        }

        void step(long nowUs) {
            if (!replies.isEmpty()) {
                Reply reply = replies.poll();
                send(reply.frame, nowUs);
                items.spend(reply.items);
                return;
            }
            if (next == null) {
                if (at != Version.NONE && at < store.horizon()) {
                    // It is not known any more what went away since: compared, from the whole down.
                    pinned = store;
                    comparing = true;
                    send(
                            codec.write(Frame.spans(
                                    Type.DIFFER,
                                    pinned.version(),
                                    pinned.live().sum(),
                                    List.of(new Span(FIRST, null, pinned.live().sum(), null)))),
                            nowUs);
                    return;
                }
                pinned = store;
                next = FIRST;
                removed = false;
                part = 0;
            }
            Part told = part(at, pinned, part, next, removed);
            send(told.frame, nowUs);
            items.spend(told.items);
            part++;
            next = told.next;
            removed = told.removed;
            if (next == null) {
                at = pinned.version();
                pinned = null;
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
        all = new TokenBucket(budget.totalBytesPerS, budget.totalBytesPerS / 4, nowUs);
    }

    /** Has other budgets hold from now on, full. */
    public void setBudget(Budget other, long nowUs) {
        budget = other;
        all = new TokenBucket(budget.totalBytesPerS, budget.totalBytesPerS / 4, nowUs);
        sessions.values().forEach(s -> s.fill(nowUs));
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
    public int peers() {
        return sessions.size();
    }

    /** Names of replicas that are at an older version, and of those that have not said theirs. */
    public List<String> laggingReplicas() {
        return sessions.values().stream()
                .filter(s -> s.at < store.version())
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
            note(session);
        }
    }

    private void note(Session session) {
        if (session.hasMore()) {
            ready.add(session);
        }
    }

    /** A replica is connected. */
    public void connected(Peer peer, long nowUs) {
        sessions.put(peer, new Session(peer, nowUs));
    }

    /** It is not any more. */
    public void disconnected(Peer peer) {
        ready.remove(sessions.remove(peer));
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
        session.bucket.spend(length);
        switch (frame.type()) {
            case HELLO -> hello(session, frame);
            case COMPARE -> compare(session, frame);
            case WANT -> want(session, frame);
            default -> throw new MalformedFrameException("a replica sends no " + frame.type());
        }
        note(session);
    }

    private void hello(Session session, Frame frame) throws MalformedFrameException {
        session.name = frame.name();
        if (frame.from() > store.version()) {
            session.at = -1;
            session.reply(Frame.behind(store.version()));
            return;
        }
        if (session.comparing || !frame.last() || session.at < frame.from()) {
            // What it was being told is of no use: it begins, or has lost a part.
            session.comparing = false;
            session.pinned = null;
            session.next = null;
            session.at = frame.from();
        }
        if (frame.from() == store.version()) {
            session.reply(Frame.current(store.version(), store.live().sum()));
        }
    }

    // ---------------------------------------------------------------- what has changed

    private Part part(long from, VersionedStore to, int number, byte[] begin, boolean removed) {
        Place place = new Place(from, to.version(), number);
        Part known = parts.get(place);
        if (known != null) {
            return known;
        }
        List<Entry> items = new ArrayList<>();
        int bytes = 0;
        byte[] at = begin;
        boolean gone = removed;
        while (at != null && bytes < PART) {
            Item item = (gone ? to.removed() : to.live()).nextNewer(at, from);
            if (item != null) {
                items.add(new Entry(item.key(), gone ? null : item.value(), item.stamp()));
                bytes += item.key().length + item.value().length + 2 * Long.BYTES;
                at = PackedTree.successor(item.key());
            } else if (gone) {
                at = null;
            } else {
                gone = true;
                at = FIRST;
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
        parts.put(place, made);
        return made;
    }

    // ---------------------------------------------------------------- what differs

    private void compare(Session session, Frame frame) throws MalformedFrameException {
        if (frame.to() == 0 || session.pinned == null || !session.comparing) {
            session.pinned = store;
            session.comparing = true;
            session.next = null;
        }
        if (frame.to() != 0 && frame.to() != session.pinned.version()) {
            throw new MalformedFrameException("it compares what it was not told");
        }
        if (frame.spans().size() > SPLIT) {
            throw new MalformedFrameException(frame.spans().size() + " ranges at once");
        }
        PackedTree tree = session.pinned.live();
        List<Span> answer = new ArrayList<>();
        for (Span span : frame.spans()) {
            Sum own = tree.sum(span.from(), span.to());
            if (own.equals(span.sum())) {
                continue;
            }
            if (own.count() <= LISTED) {
                long[] hashes = tree.range(span.from(), span.to(), LISTED).stream()
                        .mapToLong(Span::hash)
                        .toArray();
                answer.add(new Span(span.from(), span.to(), own, hashes));
            } else {
                split(tree, span, own.count(), answer);
            }
        }
        session.reply(Frame.spans(Type.DIFFER, session.pinned.version(), tree.sum(), answer));
    }

    private static void split(PackedTree tree, Span span, long count, List<Span> into) {
        long before = tree.sum(null, span.from()).count();
        byte[] from = span.from();
        for (int i = 1; i <= SPLIT; i++) {
            byte[] to =
                    i == SPLIT ? span.to() : tree.at(before + count * i / SPLIT).key();
            into.add(new Span(from, to, tree.sum(from, to), null));
            from = to;
        }
    }

    private void want(Session session, Frame frame) throws MalformedFrameException {
        if (!session.comparing || session.pinned == null || frame.to() != session.pinned.version()) {
            throw new MalformedFrameException("it wants items of a version that it was not told");
        }
        if (frame.spans().size() > SPLIT * SPLIT) {
            throw new MalformedFrameException(frame.spans().size() + " ranges at once");
        }
        List<Entry> items = new ArrayList<>();
        int bytes = 0;
        for (Span span : frame.spans()) {
            Set<Long> wanted = new HashSet<>();
            for (long hash : span.hashes() == null ? new long[0] : span.hashes()) {
                wanted.add(hash);
            }
            for (Item item : session.pinned.live().range(span.from(), span.to(), LISTED)) {
                if (wanted.contains(Span.hash(item))) {
                    items.add(new Entry(item.key(), item.value(), item.stamp()));
                    bytes += item.key().length + item.value().length + 2 * Long.BYTES;
                }
                if (bytes >= PART) {
                    session.reply(Frame.items(session.pinned.version(), items));
                    items = new ArrayList<>();
                    bytes = 0;
                }
            }
        }
        if (!items.isEmpty()) {
            session.reply(Frame.items(session.pinned.version(), items));
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
        while (!ready.isEmpty() && all.hasAny(nowUs)) {
            Session session = null;
            for (Session each : ready) {
                if (!waiting.containsKey(each)) {
                    session = each;
                    break;
                }
            }
            if (session == null) {
                break;
            }
            if (!session.hasMore()) {
                ready.remove(session);
            } else if (!session.peer.isWritable()) {
                waiting.put(session, true);
            } else if (!session.bucket.hasAny(nowUs) || !session.items.hasAny(nowUs)) {
                againUs = Math.min(againUs, Math.max(session.bucket.againUs(nowUs), session.items.againUs(nowUs)));
                waiting.put(session, true);
            } else {
                ready.remove(session);
                session.step(nowUs);
                note(session);
            }
        }
        if (!ready.isEmpty() && !all.hasAny(nowUs)) {
            againUs = Math.min(againUs, all.againUs(nowUs));
        }
        return Math.min(againUs, heartbeats(nowUs));
    }

    private long heartbeats(long nowUs) {
        long nextUs = Long.MAX_VALUE;
        for (Session session : sessions.values()) {
            if (session.at == store.version() && !session.hasMore()) {
                if (nowUs - session.saidUs >= heartbeatUs) {
                    session.send(
                            codec.write(
                                    Frame.current(store.version(), store.live().sum())),
                            nowUs);
                }
                nextUs = Math.min(nextUs, session.saidUs + heartbeatUs);
            }
        }
        return nextUs;
    }
}
