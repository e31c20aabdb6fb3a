package vetchpost.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.ServerState;

/**
 * Turns server lists into the chunks that the {@link Dispatcher} applies: a small list as one chunk, a large one as its
 * differences from the known servers, at most {@link #MAX_CHUNK_SERVERS} at a time, so that no turn of the event loop
 * takes long.
 *
 * <p>A full list that leaves out more of the known servers than it keeps is suspect: what it names is applied, drains
 * included, but the servers that it leaves out are kept until another full list leaves them out too or their retention
 * time is up ({@link #removeSuspects}). No I/O; used on the node's event loop only.
 */
final class ServerListQueue {
    /** Lists up to this many servers are applied whole; larger ones in chunks of at most this many. */
    static final int MAX_CHUNK_SERVERS = 1_000;
    /** Fewer servers than this may go at once without making a list suspect. */
    static final int MIN_SUSPECT_SERVERS = 8;
    /** More lists than this behind a partly applied one make the event loop apply them at once. */
    private static final int MAX_PENDING_LISTS = 64;

    private final AddressOwners addressOwners = new AddressOwners();
    /** The last reported state of each server that has not gone. */
    private final Map<String, Target> knownServers = new HashMap<>();

    private final Map<String, Target> suspects = new LinkedHashMap<>();
    private final Deque<ServerList> pendingLists = new ArrayDeque<>();
    /** The list being applied, the index of its next server, the ids it has named, and those that go by it. */
    private ServerList current;

    private int nextIndex;
    private final Set<String> namedIds = new HashSet<>();
    private List<Target> missing;
    private boolean hasFullList;
    private boolean hasUnreportedSuspects;

    /** One step of applying a list. */
    record ListChunk(ListKind kind, ServerList list) {}

    /**
     * Starts from the list that was known before the start. It may be of any age, so servers that the next full list
     * leaves out are not suspects.
     */
    ListChunk restoreCached(ServerList list) {
        knownServers.clear();
        for (Target target : list.targets()) {
            updateKnown(target);
        }
        return new ListChunk(ListKind.CACHED, addressOwners.resolveConflicts(list));
    }

    /** All servers that have been reported and have not gone since. */
    List<Target> knownServers() {
        return List.copyOf(knownServers.values());
    }

    /** Queues a list behind those that still wait; a full list replaces all of them. */
    void add(ServerList list) {
        if (list.isFull()) {
            pendingLists.clear();
            current = null;
        }
        pendingLists.add(list);
    }

    boolean hasNext() {
        return current != null || !pendingLists.isEmpty();
    }

    /** Whether a list has been applied in part. */
    boolean isPartiallyApplied() {
        return current != null;
    }

    /** Whether so many lists wait that they must be applied at once. */
    boolean isBacklogged() {
        return pendingLists.size() > MAX_PENDING_LISTS;
    }

    /** The next chunk; to be called only if {@link #hasNext}. */
    ListChunk next() {
        if (current == null) {
            startList(pendingLists.poll());
            if (isSmall()) {
                return applyWhole();
            }
        }
        List<Target> changes = new ArrayList<>();
        List<Target> targets = current.targets();
        for (int end = Math.min(targets.size(), nextIndex + MAX_CHUNK_SERVERS); nextIndex < end; nextIndex++) {
            Target target = targets.get(nextIndex);
            boolean changed = target.state() == ServerState.GONE
                    ? knownServers.containsKey(target.id())
                    : !target.equals(knownServers.get(target.id()));
            if (changed) {
                changes.add(target);
            }
            recordNamed(target);
        }
        if (nextIndex == targets.size()) {
            if (current.isFull() && missing == null) {
                missing = new ArrayList<>(findMissing().values());
            }
            for (int i = 0; i < MAX_CHUNK_SERVERS && missing != null && !missing.isEmpty(); i++) {
                Target gone = asGone(missing.remove(missing.size() - 1));
                knownServers.remove(gone.id());
                changes.add(gone);
            }
        }
        ServerList list = current;
        current = nextIndex == targets.size() && (missing == null || missing.isEmpty()) ? null : current;
        ServerList settled = addressOwners.resolveConflicts(new ServerList(list.revision(), false, changes));
        // A server that lost its address is offered again by the next full list.
        settled.targets().stream().filter(t -> t.state() == ServerState.GONE).forEach(this::updateKnown);
        return new ListChunk(ListKind.CHANGES, settled);
    }

    private void startList(ServerList list) {
        current = list;
        nextIndex = 0;
        missing = null;
        namedIds.clear();
    }

    private boolean isSmall() {
        return current.targets().size() <= MAX_CHUNK_SERVERS
                && (!current.isFull() || knownServers.size() <= MAX_CHUNK_SERVERS);
    }

    private void recordNamed(Target target) {
        if (current.isFull()) {
            namedIds.add(target.id());
        }
        suspects.remove(target.id());
        updateKnown(target);
    }

    private void updateKnown(Target target) {
        if (target.state() == ServerState.GONE) {
            knownServers.remove(target.id());
        } else {
            knownServers.put(target.id(), target);
        }
    }

    /** A small list as one chunk: all that it names, and the suspects that it leaves out. */
    private ListChunk applyWhole() {
        ServerList list = current;
        for (Target target : list.targets()) {
            recordNamed(target);
        }
        current = null;
        if (!list.isFull()) {
            return new ListChunk(ListKind.CHANGES, addressOwners.resolveConflicts(list));
        }
        for (String id : findMissing().keySet()) {
            knownServers.remove(id);
        }
        List<Target> targets = list.targets();
        if (!suspects.isEmpty()) {
            targets = new ArrayList<>(targets);
            targets.addAll(suspects.values());
        }
        return new ListChunk(
                ListKind.FULL, addressOwners.resolveConflicts(new ServerList(list.revision(), true, targets)));
    }

    /** The known servers that the full list leaves out and that are to be removed; none if the list is suspect. */
    private Map<String, Target> findMissing() {
        Map<String, Target> missingServers = new LinkedHashMap<>(knownServers);
        missingServers.keySet().removeAll(namedIds);
        boolean confirmsSuspects = !suspects.isEmpty();
        suspects.clear();
        if (hasFullList
                && !confirmsSuspects
                && missingServers.size() >= MIN_SUSPECT_SERVERS
                && missingServers.size() > knownServers.size() - missingServers.size()) {
            suspects.putAll(missingServers);
            hasUnreportedSuspects = true;
            missingServers.clear();
        }
        hasFullList = true;
        return missingServers;
    }

    /** Whether there are suspects that this has not reported yet; a full list should then be requested. */
    boolean pollNewSuspects() {
        boolean hasNew = hasUnreportedSuspects;
        hasUnreportedSuspects = false;
        return hasNew;
    }

    /** Number of servers that are kept although a full list left them out. */
    int suspectCount() {
        return suspects.size();
    }

    /** Queues the removal of all remaining suspects; to be called when their retention time is up. */
    void removeSuspects() {
        if (!suspects.isEmpty()) {
            pendingLists.add(new ServerList(
                    0,
                    false,
                    suspects.values().stream().map(ServerListQueue::asGone).toList()));
            suspects.clear();
        }
    }

    private static Target asGone(Target target) {
        return new Target(
                target.id(),
                target.address(),
                target.zone(),
                target.cell(),
                ServerState.GONE,
                target.weight(),
                target.bootMs());
    }
}
