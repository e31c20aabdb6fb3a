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
    static final int PLACES = 4;

    private final int place;
    private final List<M> members = new ArrayList<>();

    /** Who can be in it. */
    abstract static class Member extends DrawIndex.Member {
        /** Its position and one, by roster; 0 in none. */
        final int[] seats = new int[PLACES];
    }

    /** Nobody yet; {@code place} tells it from the others that its members are in, from 0. */
    IndexedSet(int place) {
        this.place = place;
    }

    int size() {
        return members.size();
    }

    M get(int position) {
        return members.get(position);
    }

    boolean contains(M member) {
        return member.seats[place] > 0;
    }

    /** The position of a member, or -1. */
    int indexOf(M member) {
        return member.seats[place] - 1;
    }

    /** Without effect on who is in it. */
    void add(M member) {
        if (!contains(member)) {
            members.add(member);
            member.seats[place] = members.size();
        }
    }

    /** Without effect on who is not in it. */
    void remove(M member) {
        int position = indexOf(member);
        if (position >= 0) {
            M last = members.remove(members.size() - 1);
            if (last != member) {
                members.set(position, last);
                last.seats[place] = position + 1;
            }
            member.seats[place] = 0;
        }
    }
}
