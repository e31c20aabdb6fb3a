package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * A set with constant-time insertion, removal and access by position. Members keep their positions while they stay,
 * except that the last one takes the position of a removed one. A member can be in several sets at once. Not
 * thread-safe; {@link Fleet} uses it on the balancer's thread.
 *
 * @param <M> type of the members
 */
final class IndexedSet<M extends IndexedSet.Member> {
    /** Sets that a member can be in at once. */
    static final int MAX_SETS_PER_MEMBER = 4;

    private final int slot;
    private final List<M> members = new ArrayList<>();

    /** A possible member. */
    abstract static class Member extends DrawIndex.Member {
        /** By set slot: its position plus one; 0 if it is not in that set. */
        final int[] positionsPlusOne = new int[MAX_SETS_PER_MEMBER];
    }

    /**
     * Creates an empty set.
     *
     * @param slot number of the set among those that its members can be in, from 0
     */
    IndexedSet(int slot) {
        this.slot = slot;
    }

    int size() {
        return members.size();
    }

    M get(int position) {
        return members.get(position);
    }

    boolean contains(M member) {
        return member.positionsPlusOne[slot] > 0;
    }

    /** Returns the position of a member, or -1. */
    int indexOf(M member) {
        return member.positionsPlusOne[slot] - 1;
    }

    /** Adds a member; no effect if it is in the set already. */
    void add(M member) {
        if (!contains(member)) {
            members.add(member);
            member.positionsPlusOne[slot] = members.size();
        }
    }

    /** Removes a member; no effect if it is not in the set. */
    void remove(M member) {
        int position = indexOf(member);
        if (position >= 0) {
            M last = members.remove(members.size() - 1);
            if (last != member) {
                members.set(position, last);
                last.positionsPlusOne[slot] = position + 1;
            }
            member.positionsPlusOne[slot] = 0;
        }
    }
}
