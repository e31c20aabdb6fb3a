package vetchpost.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
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
 * A node's replica of the configuration, updated from one publisher at a time. Received entries go into a
 * draft that shares its unchanged parts with the current store. The draft replaces the store in one step once
 * it is complete and has the announced sum, so a partial batch is never applied and no key returns to an
 * older version. If the sums differ, or the publisher no longer knows which keys were removed, ranges of keys
 * are compared until all differences are found.
 *
 * <p>Confined to one thread. It has no clock or socket: its owner, usually a {@link PublisherFailover}, passes
 * in frames and times.
 */
public class Replica {
    /** Keeps the answer to one COMPARE frame small. */
    private static final int MAX_SPANS_PER_COMPARE = 16;
    /** Ends a comparison with a publisher whose answers never converge. */
    private static final int MAX_COMPARE_ROUNDS = 100_000;

    /** The connection to the current publisher. */
    public interface Publisher {
        /** Sends a frame to the connected publisher. */
        void send(Frame frame);
    }

    /** Notified of each applied version, on the replica's thread. */
    public interface Listener {
        /** The store and its index are in force from now on. */
        void applied(VersionedStore store, Index index);
    }

    /** The current publisher can't be used for now; another one should be tried. */
    public static final class FrameRejectedException extends Exception {
        private static final long serialVersionUID = 1;

        FrameRejectedException(String reason) {
            super(reason, null, false, false);
        }
    }

    private final String name;
    private final Listener listener;
    private final boolean tracksRemovals;
    private VersionedStore store;
    private Index index;
    private Publisher publisher;
    private Draft draft;
    private long lastReceivedUs;
    private long lastCurrentUs = -1;
    private long appliedBatches;
    private long rejectedCount;

    /** The next version, built beside the current store. */
    private final class Draft {
        private final long targetVersion;
        private PackedTree live = store.live();
        private PackedTree removed = store.removed();
        private Index draftIndex = index;
        private int nextPart;
        private Sum targetSum;
        /** Ranges that are still to be compared. */
        private final Deque<Span> pendingSpans = new ArrayDeque<>();
        /** Hashes of items that were requested and have not arrived. */
        private final Set<Long> pendingHashes = new HashSet<>();

        private int compareRounds;
        private boolean isComparing;
        private boolean awaitsDiffer;

        Draft(long to) {
            this.targetVersion = to;
        }

        void applyEntry(Entry entry) throws FrameRejectedException {
            Item current = live.get(entry.key());
            if (current != null && isOlder(entry.stamp(), current)) {
                throw new FrameRejectedException("entry would go back from version " + Version.format(current.stamp())
                        + " to " + Version.format(entry.stamp()));
            }
            if (entry.value() == null) {
                live = live.remove(entry.key());
                removed = tracksRemovals ? removed.put(entry.key(), new byte[0], entry.stamp()) : removed;
            } else {
                live = live.put(entry.key(), entry.value(), entry.stamp());
                removed = tracksRemovals ? removed.remove(entry.key()) : removed;
            }
            try {
                draftIndex = draftIndex.withEntry(entry.key(), entry.value(), live);
            } catch (IllegalArgumentException e) {
                throw new FrameRejectedException("entry can't be parsed: " + e.getMessage());
            }
        }
    }

    /**
     * Creates a disconnected replica that starts from a stored version.
     *
     * @param name name reported to publishers, up to 256 bytes
     * @param tracksRemovals whether to record removed keys, needed if this store is published to other replicas
     * @param listener notified after each applied version
     */
    public Replica(String name, VersionedStore store, Index index, boolean tracksRemovals, Listener listener) {
        this.name = name;
        this.store = store;
        this.index = index;
        this.tracksRemovals = tracksRemovals;
        this.listener = listener;
    }

    /** Returns the store in force. */
    public VersionedStore store() {
        return store;
    }

    /** Returns the index of the store in force. */
    public Index index() {
        return index;
    }

    /** Returns how many versions this replica has applied. */
    public long appliedBatches() {
        return appliedBatches;
    }

    /** Returns how many frames of publishers were rejected. */
    public long rejectedCount() {
        return rejectedCount;
    }

    /**
     * Returns when a publisher last confirmed that this replica is at the newest version, in microseconds of the
     * owner's clock; -1 for never.
     */
    public long lastCurrentUs() {
        return lastCurrentUs;
    }

    /** Returns when the last frame arrived or the connection opened, in microseconds of the owner's clock. */
    public long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** Starts a session on a new connection and discards any unfinished draft. */
    public void connected(Publisher to, long nowUs) {
        publisher = to;
        draft = null;
        lastReceivedUs = nowUs;
        sendHello();
    }

    /** Ends the session and discards any unfinished draft; the store in force stays. */
    public void disconnected() {
        publisher = null;
        draft = null;
    }

    private void sendHello() {
        publisher.send(Frame.hello(name, store.version(), false, store.live().sum()));
    }

    /**
     * Processes a frame from the publisher.
     *
     * @param nowUs time on the owner's clock, in microseconds
     * @throws FrameRejectedException if the publisher can't be used for now and another one should be tried
     * @throws MalformedFrameException if the frame violates the protocol
     */
    public void receive(Frame frame, long nowUs) throws FrameRejectedException, MalformedFrameException {
        lastReceivedUs = nowUs;
        try {
            switch (frame.type()) {
                case CURRENT -> onCurrent(frame, nowUs);
                case BEHIND ->
                    throw new FrameRejectedException("publisher is behind, at version " + Version.format(frame.to()));
                case DELTA -> onDelta(frame, nowUs);
                case DIFFER -> onDiffer(frame, nowUs);
                case ITEMS -> onItems(frame, nowUs);
                default -> throw new MalformedFrameException("unexpected frame from a publisher: " + frame.type());
            }
        } catch (FrameRejectedException | MalformedFrameException e) {
            draft = null;
            rejectedCount++;
            throw e;
        }
    }

    private void onCurrent(Frame frame, long nowUs) throws FrameRejectedException {
        if (isBehind(frame.to())) {
            throw new FrameRejectedException("publisher is behind, at version " + Version.format(frame.to()));
        }
        if (draft != null && draft.isComparing) {
            return; // Answers a message sent before the comparison began.
        }
        if (frame.to() > store.version()) {
            // The publisher has sent everything, but a part was lost.
            draft = null;
            sendHello();
            return;
        }
        if (frame.sum().equals(store.live().sum())) {
            lastCurrentUs = nowUs;
        } else {
            startComparison();
        }
    }

    private void onDelta(Frame frame, long nowUs) throws FrameRejectedException, MalformedFrameException {
        if (isNotNewer(frame.to()) && Version.epoch(frame.to()) < Version.epoch(store.version())) {
            throw new FrameRejectedException(
                    "delta is of epoch " + Version.epoch(frame.to()) + ", before " + Version.epoch(store.version()));
        }
        if (draft != null && draft.isComparing || isNotNewer(frame.to())) {
            return; // Answers an earlier message, or a duplicate.
        }
        boolean isFirstPart = frame.part() == 0 && startsAtCurrentVersion(frame);
        boolean isNextPart = !isFirstPart
                && draft != null
                && draft.targetVersion == frame.to()
                && draft.nextPart == frame.part()
                && startsAtCurrentVersion(frame);
        if (!isFirstPart && !isNextPart) {
            // A part is missing, so the draft can't be completed.
            if (draft != null || frame.part() == 0) {
                draft = null;
                sendHello();
            }
            return;
        }
        draft = isFirstPart ? new Draft(frame.to()) : draft;
        for (Entry entry : frame.items()) {
            if (!isWithinDelta(entry, frame)) {
                throw new MalformedFrameException("entry of version " + Version.format(entry.stamp())
                        + " in a delta from " + Version.format(store.version()) + " to " + Version.format(frame.to()));
            }
            draft.applyEntry(entry);
        }
        draft.nextPart++;
        if (isComplete(frame)) {
            applyDraft(nowUs);
        } else if (frame.last()) {
            draft = null;
            startComparison();
        }
    }

    /** Whether a version is not newer than the store in force; versions of earlier epochs never are. */
    boolean isNotNewer(long version) {
        return version <= store.version();
    }

    /** Whether a delta starts at the version in force. */
    boolean startsAtCurrentVersion(Frame frame) {
        return frame.from() == store.version();
    }

    /** Whether an entry changed after the version in force and up to the delta's target. */
    boolean isWithinDelta(Entry entry, Frame frame) {
        return entry.stamp() > store.version() && entry.stamp() <= frame.to();
    }

    /** Whether an entry of this version would replace a newer one. */
    boolean isOlder(long stamp, Item current) {
        return current.stamp() > stamp;
    }

    /** Whether a publisher at this version is behind this replica. */
    boolean isBehind(long version) {
        return version < store.version();
    }

    /** Whether the draft holds the whole batch, checked by its sum. */
    boolean isComplete(Frame frame) {
        return frame.last() && draft.live.sum().equals(frame.sum());
    }

    private void applyDraft(long nowUs) {
        VersionedStore newStore = draft.isComparing
                ? VersionedStore.of(draft.live, draft.targetVersion)
                : store.withEntries(draft.live, draft.removed, draft.targetVersion);
        index = draft.draftIndex.backedBy(newStore.live());
        store = newStore;
        draft = null;
        appliedBatches++;
        lastCurrentUs = nowUs;
        listener.applied(store, index);
        publisher.send(Frame.hello(name, store.version(), true, store.live().sum()));
    }

    // ---------------------------------------------------------------- comparing ranges of keys

    private void startComparison() {
        draft = new Draft(Version.NONE);
        draft.isComparing = true;
        draft.awaitsDiffer = true;
        publisher.send(Frame.spans(
                Type.COMPARE,
                0,
                store.live().sum(),
                List.of(new Span(new byte[0], null, store.live().sum(), null))));
    }

    private void onDiffer(Frame frame, long nowUs) throws FrameRejectedException, MalformedFrameException {
        if (isBehind(frame.to())) {
            throw new FrameRejectedException("publisher is behind, at version " + Version.format(frame.to()));
        }
        if (draft == null || !draft.isComparing) {
            // The publisher no longer knows which keys were removed since, and starts a comparison itself.
            draft = new Draft(frame.to());
            draft.isComparing = true;
        } else if (draft.targetVersion != frame.to()) {
            if (draft.targetVersion != Version.NONE) {
                throw new MalformedFrameException("ranges of version " + Version.format(frame.to()) + " instead of "
                        + Version.format(draft.targetVersion));
            }
            draft = new Draft(frame.to());
            draft.isComparing = true;
        }
        if (++draft.compareRounds > MAX_COMPARE_ROUNDS) {
            throw new FrameRejectedException("comparison with the publisher does not converge");
        }
        draft.awaitsDiffer = false;
        draft.targetSum = frame.sum();
        List<Span> requested = new ArrayList<>();
        for (Span span : frame.spans()) {
            Sum current = draft.live.sum(span.from(), span.to());
            if (current.equals(span.sum())) {
                continue;
            }
            if (span.hashes() == null) {
                draft.pendingSpans.add(new Span(span.from(), span.to(), current, null));
            } else {
                compareItems(span, requested);
            }
        }
        if (!requested.isEmpty()) {
            publisher.send(Frame.spans(Type.WANT, draft.targetVersion, draft.targetSum, requested));
        }
        continueComparison(nowUs);
    }

    /** Removes local items that the publisher does not list, and requests listed items that are not here. */
    private void compareItems(Span span, List<Span> requested) throws FrameRejectedException {
        Set<Long> missing = new HashSet<>();
        Arrays.stream(span.hashes()).forEach(missing::add);
        for (Item item : draft.live.range(span.from(), span.to(), Integer.MAX_VALUE)) {
            if (!missing.remove(Span.hash(item))) {
                // If the publisher has it at another version, it arrives with the requested items and is checked
                // against this version there.
                removeMissing(item);
            }
        }
        if (!missing.isEmpty()) {
            draft.pendingHashes.addAll(missing);
            requested.add(new Span(
                    span.from(),
                    span.to(),
                    span.sum(),
                    missing.stream().mapToLong(Long::longValue).toArray()));
        }
    }

    /** Removes an item that the publisher does not have. */
    void removeMissing(Item item) throws FrameRejectedException {
        if (item.stamp() > draft.targetVersion) {
            throw new FrameRejectedException("publisher lacks an entry of version " + Version.format(item.stamp()));
        }
        draft.applyEntry(new Entry(item.key(), null, draft.targetVersion));
    }

    private void onItems(Frame frame, long nowUs) throws FrameRejectedException, MalformedFrameException {
        if (draft == null || !draft.isComparing || frame.to() != draft.targetVersion) {
            return;
        }
        for (Entry entry : frame.items()) {
            if (entry.value() == null
                    || entry.stamp() > draft.targetVersion
                    || !draft.pendingHashes.remove(Span.hash(new Item(entry.key(), entry.value(), entry.stamp())))) {
                throw new MalformedFrameException("entry was not requested");
            }
            Item current = store.live().get(entry.key());
            if (current != null && current.stamp() > entry.stamp()) {
                throw new FrameRejectedException("entry would go back from version " + Version.format(current.stamp())
                        + " to " + Version.format(entry.stamp()));
            }
            draft.applyEntry(entry);
        }
        continueComparison(nowUs);
    }

    private void continueComparison(long nowUs) {
        if (draft.awaitsDiffer || !draft.pendingHashes.isEmpty()) {
            return;
        }
        if (!draft.pendingSpans.isEmpty()) {
            List<Span> next = new ArrayList<>();
            while (next.size() < MAX_SPANS_PER_COMPARE && !draft.pendingSpans.isEmpty()) {
                next.add(draft.pendingSpans.poll());
            }
            draft.awaitsDiffer = true;
            publisher.send(Frame.spans(Type.COMPARE, draft.targetVersion, draft.targetSum, next));
        } else if (draft.live.sum().equals(draft.targetSum)) {
            applyDraft(nowUs);
        } else {
            startComparison();
        }
    }
}
