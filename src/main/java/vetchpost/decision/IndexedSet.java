package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Members in an order that lasts while they stay, of whom any can leave at once: the last one takes the place
 * of who leaves.
 *
 * @param <M> who is in it
 */
final class IndexedSet<M extends IndexedSet.Member> {
    /** Rosters that a member can be in at once. */
    static final int MAX_SETS_PER_MEMBER = 4;

    private final int slot;
    private final List<M> members = new ArrayList<>();

    /** Who can be in it. */
    abstract static class Member extends DrawIndex.Member {
        /** Its position and one, by roster; 0 in none. */
        final int[] positionsPlusOne = new int[MAX_SETS_PER_MEMBER];
    }

    /** Nobody yet; {@code place} tells it from the others that its members are in, from 0. */
    IndexedSet(int place) {
        this.slot = place;
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

    /** The position of a member, or -1. */
    int indexOf(M member) {
        return member.positionsPlusOne[slot] - 1;
    }

    /** Without effect on who is in it. */
    void add(M member) {
        if (!contains(member)) {
            members.add(member);
            member.positionsPlusOne[slot] = members.size();
        }
    }

    /** Without effect on who is not in it. */
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
