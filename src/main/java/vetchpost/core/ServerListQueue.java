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
    static final int SLICE = 1_000;
    /** Fewer than this may go at once without a doubt. */
    static final int MIN_SUSPECT_SERVERS = 8;
    /** Lists that wait for a large one before them; beyond, the loop has to go through with it. */
    private static final int MAX_PENDING_LISTS = 64;

    private final AddressOwners addresses = new AddressOwners();
    /** What was told last of each server that has not gone. */
    private final Map<String, Target> known = new HashMap<>();

    private final Map<String, Target> doubted = new LinkedHashMap<>();
    private final Deque<ServerList> pending = new ArrayDeque<>();
    /** The list at hand, how far it is taken in, whom it has named, and who has gone by it. */
    private ServerList current;

    private int taken;
    private final Set<String> named = new HashSet<>();
    private List<Target> missing;
    private boolean told;
    private boolean newDoubt;

    /** What is to be taken in now. */
    record ListChunk(ListKind kind, ServerList list) {}

    /** The list as it was known before the start: of any age, so that what goes by the next is not odd. */
    ListChunk known(ServerList list) {
        known.clear();
        for (Target target : list.targets()) {
            know(target);
        }
        return new ListChunk(ListKind.CACHED, addresses.settle(list));
    }

    /** All that has been told and not gone since. */
    List<Target> known() {
        return List.copyOf(known.values());
    }

    /** A list to be taken in, after those before; a whole one takes the place of all that still wait. */
    void add(ServerList list) {
        if (list.isFull()) {
            pending.clear();
            current = null;
        }
        pending.add(list);
    }

    boolean hasNext() {
        return current != null || !pending.isEmpty();
    }

    /** Whether a list has been taken in in part. */
    boolean isMidList() {
        return current != null;
    }

    /** Whether so many wait that they must be gone through at once. */
    boolean isCrowded() {
        return pending.size() > MAX_PENDING_LISTS;
    }

    /** The next slice; only if there is one. */
    ListChunk next() {
        if (current == null) {
            begin(pending.poll());
            if (isSmall()) {
                return whole();
            }
        }
        List<Target> slice = new ArrayList<>();
        List<Target> all = current.targets();
        for (int end = Math.min(all.size(), taken + SLICE); taken < end; taken++) {
            Target target = all.get(taken);
            boolean changed = target.state() == ServerState.GONE
                    ? known.containsKey(target.id())
                    : !target.equals(known.get(target.id()));
            if (changed) {
                slice.add(target);
            }
            tell(target);
        }
        if (taken == all.size()) {
            if (current.isFull() && missing == null) {
                missing = new ArrayList<>(left().values());
            }
            for (int i = 0; i < SLICE && missing != null && !missing.isEmpty(); i++) {
                Target gone = gone(missing.remove(missing.size() - 1));
                known.remove(gone.id());
                slice.add(gone);
            }
        }
        ServerList list = current;
        current = taken == all.size() && (missing == null || missing.isEmpty()) ? null : current;
        ServerList settled = addresses.settle(new ServerList(list.revision(), false, slice));
        // Whoever has lost its address is offered again by the next whole list.
        settled.targets().stream().filter(t -> t.state() == ServerState.GONE).forEach(this::know);
        return new ListChunk(ListKind.CHANGES, settled);
    }

    private void begin(ServerList list) {
        current = list;
        taken = 0;
        missing = null;
        named.clear();
    }

    private boolean isSmall() {
        return current.targets().size() <= SLICE && (!current.isFull() || known.size() <= SLICE);
    }

    private void tell(Target target) {
        if (current.isFull()) {
            named.add(target.id());
        }
        doubted.remove(target.id());
        know(target);
    }

    private void know(Target target) {
        if (target.state() == ServerState.GONE) {
            known.remove(target.id());
        } else {
            known.put(target.id(), target);
        }
    }

    /** A small list: all that it names, and what it leaves out and is doubted for. */
    private ListChunk whole() {
        ServerList list = current;
        for (Target target : list.targets()) {
            tell(target);
        }
        current = null;
        if (!list.isFull()) {
            return new ListChunk(ListKind.CHANGES, addresses.settle(list));
        }
        for (String id : left().keySet()) {
            known.remove(id);
        }
        List<Target> targets = list.targets();
        if (!doubted.isEmpty()) {
            targets = new ArrayList<>(targets);
            targets.addAll(doubted.values());
        }
        return new ListChunk(ListKind.FULL, addresses.settle(new ServerList(list.revision(), true, targets)));
    }

    /** What the whole list leaves out, to be taken for gone; or nothing if it is doubted. */
    private Map<String, Target> left() {
        Map<String, Target> left = new LinkedHashMap<>(known);
        left.keySet().removeAll(named);
        boolean confirms = !doubted.isEmpty();
        doubted.clear();
        if (told && !confirms && left.size() >= MIN_SUSPECT_SERVERS && left.size() > known.size() - left.size()) {
            doubted.putAll(left);
            newDoubt = true;
            left.clear();
        }
        told = true;
        return left;
    }

    /** Whether there is a doubt that this has not told yet; a whole list should be asked for. */
    boolean hasNewDoubt() {
        boolean is = newDoubt;
        newDoubt = false;
        return is;
    }

    /** How many servers are kept against a list's word. */
    int doubted() {
        return doubted.size();
    }

    /** The doubt's time is up: what is still left out goes, as a list that is to be taken in. */
    void obey() {
        if (!doubted.isEmpty()) {
            pending.add(new ServerList(
                    0,
                    false,
                    doubted.values().stream().map(ServerListQueue::gone).toList()));
            doubted.clear();
        }
    }

    private static Target gone(Target target) {
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
