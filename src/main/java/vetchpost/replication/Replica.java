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
 * A node's copy of the configuration, kept up with what a publisher tells. What comes is put together beside
 * what is in force, which shares all that stays the same, and takes its place at once when it is whole and
 * comes to the sum that was told: half a batch is never in force, and no key goes back to an older version.
 * Where the sums differ, or it is not known any more what went away, ranges of keys are compared until what
 * differs is found.
 *
 * <p>On one thread. It has no clock and no socket: whoever owns it tells it both.
 */
public class Replica {
    /** Ranges that are compared in one message: its answer stays small. */
    private static final int MAX_SPANS_PER_COMPARE = 16;
    /** Publishers that say something else each time are left after so many comparisons. */
    private static final int MAX_COMPARE_ROUNDS = 100_000;

    /** Where frames go. */
    public interface Publisher {
        /** Sends to the publisher that it is connected to. */
        void send(Frame frame);
    }

    /** Hears what holds. */
    public interface Listener {
        /** All of this holds from now on. */
        void applied(VersionedStore store, Index index);
    }

    /** Why a publisher is of no use, for now. */
    public static final class FrameRejectedException extends Exception {
        private static final long serialVersionUID = 1;

        FrameRejectedException(String why) {
            super(why, null, false, false);
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

    /** What is put together beside what is in force. */
    private final class Draft {
        private final long targetVersion;
        private PackedTree live = store.live();
        private PackedTree removed = store.removed();
        private Index draftIndex = index;
        private int nextPart;
        private Sum targetSum;
        /** While ranges are compared: those still to be, and the hashes of items that were asked for. */
        private final Deque<Span> pendingSpans = new ArrayDeque<>();

        private final Set<Long> pendingHashes = new HashSet<>();
        private int compareRounds;
        private boolean isComparing;
        private boolean awaitsDiffer;

        Draft(long to) {
            this.targetVersion = to;
        }

        void applyEntry(Entry entry) throws FrameRejectedException {
            Item own = live.get(entry.key());
            if (own != null && isOlder(entry.stamp(), own)) {
                throw new FrameRejectedException("an entry goes back from " + Version.format(own.stamp()) + " to "
                        + Version.format(entry.stamp()));
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
                throw new FrameRejectedException("an entry that can't be read: " + e.getMessage());
            }
        }
    }

    /**
     * Begins with what was kept, at its version; not connected.
     *
     * @param name by which publishers know it, up to 256 bytes
     * @param remembersRemoved whether others are to be told by it, and so what went away
     */
    public Replica(String name, VersionedStore store, Index index, boolean remembersRemoved, Listener listener) {
        this.name = name;
        this.store = store;
        this.index = index;
        this.tracksRemovals = remembersRemoved;
        this.listener = listener;
    }

    /** What is in force. */
    public VersionedStore store() {
        return store;
    }

    /** What the node makes of it. */
    public Index index() {
        return index;
    }

    /** How many times something came into force. */
    public long appliedBatches() {
        return appliedBatches;
    }

    /** How many times something a publisher told was refused. */
    public long rejectedCount() {
        return rejectedCount;
    }

    /**
     * When a publisher last said that this is the newest, in microseconds of its owner's clock; -1 for never.
     */
    public long lastCurrentUs() {
        return lastCurrentUs;
    }

    /** When it last heard anything from its publisher. */
    public long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** Is connected to a publisher, a new one or the same again. */
    public void connected(Publisher to, long nowUs) {
        publisher = to;
        draft = null;
        lastReceivedUs = nowUs;
        sendHello();
    }

    /** Is connected to none: what is in force stays so. */
    public void disconnected() {
        publisher = null;
        draft = null;
    }

    private void sendHello() {
        publisher.send(Frame.hello(name, store.version(), false, store.live().sum()));
    }

    /**
     * Takes a frame.
     *
     * @throws Refused if the publisher is of no use now: another one is to be asked
     * @throws Malformed if it said what no publisher says
     */
    public void receive(Frame frame, long nowUs) throws FrameRejectedException, MalformedFrameException {
        lastReceivedUs = nowUs;
        try {
            switch (frame.type()) {
                case CURRENT -> onCurrent(frame, nowUs);
                case BEHIND -> throw new FrameRejectedException("it is behind, at " + Version.format(frame.to()));
                case DELTA -> onDelta(frame, nowUs);
                case DIFFER -> onDiffer(frame, nowUs);
                case ITEMS -> onItems(frame, nowUs);
                default -> throw new MalformedFrameException("a publisher sends no " + frame.type());
            }
        } catch (FrameRejectedException | MalformedFrameException e) {
            draft = null;
            rejectedCount++;
            throw e;
        }
    }

    private void onCurrent(Frame frame, long nowUs) throws FrameRejectedException {
        if (isBehind(frame.to())) {
            throw new FrameRejectedException("it is behind, at " + Version.format(frame.to()));
        }
        if (draft != null && draft.isComparing) {
            return; // It is an answer to what was said before.
        }
        if (frame.to() > store.version()) {
            // It has told all, and something of that has been lost.
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
                    "it is of epoch " + Version.epoch(frame.to()) + ", before " + Version.epoch(store.version()));
        }
        if (draft != null && draft.isComparing || isNotNewer(frame.to())) {
            return; // An answer to what was asked before, or the same again.
        }
        boolean begins = frame.part() == 0 && startsAtCurrentVersion(frame);
        boolean goesOn = !begins
                && draft != null
                && draft.targetVersion == frame.to()
                && draft.nextPart == frame.part()
                && startsAtCurrentVersion(frame);
        if (!begins && !goesOn) {
            // A part is missing: what there is of it is no use.
            if (draft != null || frame.part() == 0) {
                draft = null;
                sendHello();
            }
            return;
        }
        draft = begins ? new Draft(frame.to()) : draft;
        for (Entry entry : frame.items()) {
            if (!isWithinDelta(entry, frame)) {
                throw new MalformedFrameException(
                        "an entry of " + Version.format(entry.stamp()) + " in what came after "
                                + Version.format(store.version()) + " up to " + Version.format(frame.to()));
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

    /** Whether a version comes no later than what is in force, be it of an earlier writer's epoch. */
    boolean isNotNewer(long version) {
        return version <= store.version();
    }

    /** Whether this is what came after what is in force. */
    boolean startsAtCurrentVersion(Frame frame) {
        return frame.from() == store.version();
    }

    /** Whether an entry changed in between. */
    boolean isWithinDelta(Entry entry, Frame frame) {
        return entry.stamp() > store.version() && entry.stamp() <= frame.to();
    }

    /** Whether an entry of this version would set back the one that is there. */
    boolean isOlder(long stamp, Item own) {
        return own.stamp() > stamp;
    }

    /** Whether a publisher that is at this version is behind. */
    boolean isBehind(long version) {
        return version < store.version();
    }

    /** Whether all that was told is there. */
    boolean isComplete(Frame frame) {
        return frame.last() && draft.live.sum().equals(frame.sum());
    }

    private void applyDraft(long nowUs) {
        VersionedStore whole = draft.isComparing
                ? VersionedStore.of(draft.live, draft.targetVersion)
                : store.withEntries(draft.live, draft.removed, draft.targetVersion);
        index = draft.draftIndex.backedBy(whole.live());
        store = whole;
        draft = null;
        appliedBatches++;
        lastCurrentUs = nowUs;
        listener.applied(store, index);
        publisher.send(Frame.hello(name, store.version(), true, store.live().sum()));
    }

    // ---------------------------------------------------------------- in doubt

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
            throw new FrameRejectedException("it is behind, at " + Version.format(frame.to()));
        }
        if (draft == null || !draft.isComparing) {
            // It can't tell by versions what went away since: it begins by comparing, of itself.
            draft = new Draft(frame.to());
            draft.isComparing = true;
        } else if (draft.targetVersion != frame.to()) {
            if (draft.targetVersion != Version.NONE) {
                throw new MalformedFrameException("ranges of " + Version.format(frame.to()) + " instead of "
                        + Version.format(draft.targetVersion));
            }
            draft = new Draft(frame.to());
            draft.isComparing = true;
        }
        if (++draft.compareRounds > MAX_COMPARE_ROUNDS) {
            throw new FrameRejectedException("it never ends telling what differs");
        }
        draft.awaitsDiffer = false;
        draft.targetSum = frame.sum();
        List<Span> wants = new ArrayList<>();
        for (Span span : frame.spans()) {
            Sum own = draft.live.sum(span.from(), span.to());
            if (own.equals(span.sum())) {
                continue;
            }
            if (span.hashes() == null) {
                draft.pendingSpans.add(new Span(span.from(), span.to(), own, null));
            } else {
                compareItems(span, wants);
            }
        }
        if (!wants.isEmpty()) {
            publisher.send(Frame.spans(Type.WANT, draft.targetVersion, draft.targetSum, wants));
        }
        continueComparison(nowUs);
    }

    /** What it has and is not there any more goes; what is there and it has not is asked for. */
    private void compareItems(Span span, List<Span> wants) throws FrameRejectedException {
        Set<Long> there = new HashSet<>();
        Arrays.stream(span.hashes()).forEach(there::add);
        for (Item item : draft.live.range(span.from(), span.to(), Integer.MAX_VALUE)) {
            if (!there.remove(Span.hash(item))) {
                // If it is there at another version, it comes with the items, and is held against this one's
                // version.
                removeMissing(item);
            }
        }
        if (!there.isEmpty()) {
            draft.pendingHashes.addAll(there);
            wants.add(new Span(
                    span.from(),
                    span.to(),
                    span.sum(),
                    there.stream().mapToLong(Long::longValue).toArray()));
        }
    }

    /** An item that the publisher has not. */
    void removeMissing(Item item) throws FrameRejectedException {
        if (item.stamp() > draft.targetVersion) {
            throw new FrameRejectedException("it does not know an entry of " + Version.format(item.stamp()));
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
                throw new MalformedFrameException("an entry that was not asked for");
            }
            Item own = store.live().get(entry.key());
            if (own != null && own.stamp() > entry.stamp()) {
                throw new FrameRejectedException("an entry goes back from " + Version.format(own.stamp()) + " to "
                        + Version.format(entry.stamp()));
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
