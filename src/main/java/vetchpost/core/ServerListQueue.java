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
 * How lists come in: a small one whole, as it is told; a large one by what differs from what is known, in
 * slices, so that no turn of the loop is long. A whole list that leaves out more servers than it names, of
 * those that were told before, is doubted: what it does tell holds, drains too, but what it leaves out stays
 * until another whole list leaves it out too, or until the doubt's time is up. No I/O.
 */
final class ServerListQueue {
    /** Servers in a list up to which it is taken whole, and taken of a larger one at a time. */
    static final int MAX_CHUNK_SERVERS = 1_000;
    /** Fewer than this may go at once without a doubt. */
    static final int MIN_SUSPECT_SERVERS = 8;
    /** Lists that wait for a large one before them; beyond, the loop has to go through with it. */
    private static final int MAX_PENDING_LISTS = 64;

    private final AddressOwners addressOwners = new AddressOwners();
    /** What was told last of each server that has not gone. */
    private final Map<String, Target> knownServers = new HashMap<>();

    private final Map<String, Target> suspects = new LinkedHashMap<>();
    private final Deque<ServerList> pendingLists = new ArrayDeque<>();
    /** The list at hand, how far it is taken in, whom it has named, and who has gone by it. */
    private ServerList current;

    private int nextIndex;
    private final Set<String> namedIds = new HashSet<>();
    private List<Target> missing;
    private boolean hasFullList;
    private boolean hasUnreportedSuspects;

    /** What is to be taken in now. */
    record ListChunk(ListKind kind, ServerList list) {}

    /** The list as it was known before the start: of any age, so that what goes by the next is not odd. */
    ListChunk known(ServerList list) {
        knownServers.clear();
        for (Target target : list.targets()) {
            updateKnown(target);
        }
        return new ListChunk(ListKind.CACHED, addressOwners.resolveConflicts(list));
    }

    /** All that has been told and not gone since. */
    List<Target> known() {
        return List.copyOf(knownServers.values());
    }

    /** A list to be taken in, after those before; a whole one takes the place of all that still wait. */
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

    /** Whether a list has been taken in in part. */
    boolean isPartiallyApplied() {
        return current != null;
    }

    /** Whether so many wait that they must be gone through at once. */
    boolean isBacklogged() {
        return pendingLists.size() > MAX_PENDING_LISTS;
    }

    /** The next slice; only if there is one. */
    ListChunk next() {
        if (current == null) {
            startList(pendingLists.poll());
            if (isSmall()) {
                return applyWhole();
            }
        }
        List<Target> slice = new ArrayList<>();
        List<Target> all = current.targets();
        for (int end = Math.min(all.size(), nextIndex + MAX_CHUNK_SERVERS); nextIndex < end; nextIndex++) {
            Target target = all.get(nextIndex);
            boolean changed = target.state() == ServerState.GONE
                    ? knownServers.containsKey(target.id())
                    : !target.equals(knownServers.get(target.id()));
            if (changed) {
                slice.add(target);
            }
            recordNamed(target);
        }
        if (nextIndex == all.size()) {
            if (current.isFull() && missing == null) {
                missing = new ArrayList<>(findMissing().values());
            }
            for (int i = 0; i < MAX_CHUNK_SERVERS && missing != null && !missing.isEmpty(); i++) {
                Target gone = asGone(missing.remove(missing.size() - 1));
                knownServers.remove(gone.id());
                slice.add(gone);
            }
        }
        ServerList list = current;
        current = nextIndex == all.size() && (missing == null || missing.isEmpty()) ? null : current;
        ServerList settled = addressOwners.resolveConflicts(new ServerList(list.revision(), false, slice));
        // Whoever has lost its address is offered again by the next whole list.
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

    /** A small list: all that it names, and what it leaves out and is doubted for. */
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

    /** What the whole list leaves out, to be taken for gone; or nothing if it is doubted. */
    private Map<String, Target> findMissing() {
        Map<String, Target> left = new LinkedHashMap<>(knownServers);
        left.keySet().removeAll(namedIds);
        boolean confirms = !suspects.isEmpty();
        suspects.clear();
        if (hasFullList
                && !confirms
                && left.size() >= MIN_SUSPECT_SERVERS
                && left.size() > knownServers.size() - left.size()) {
            suspects.putAll(left);
            hasUnreportedSuspects = true;
            left.clear();
        }
        hasFullList = true;
        return left;
    }

    /** Whether there is a doubt that this has not told yet; a whole list should be asked for. */
    boolean pollNewSuspects() {
        boolean is = hasUnreportedSuspects;
        hasUnreportedSuspects = false;
        return is;
    }

    /** How many servers are kept against a list's word. */
    int suspectCount() {
        return suspects.size();
    }

    /** The doubt's time is up: what is still left out goes, as a list that is to be taken in. */
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
