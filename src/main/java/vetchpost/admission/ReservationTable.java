package vetchpost.admission;

/**
 * When clients were told to come back: a table of fixed size, four places to a row, in which what is past
 * makes room. A client whose row is full gets no booking.
 */
final class ReservationTable {
    private static final int ASSOCIATIVITY = 4;
    private static final int MAX_RESERVATIONS_PER_CLIENT = 2;
    /** A client's timers and its way here. */
    static final long MAX_EARLY_US = 5_000;
    /** So long after the time one has still come when told. */
    static final long MAX_LATE_US = 500_000;

    private final long[] clientKeys;
    private final long[] dueUs;
    private final boolean[] withinShareFlags;
    private final int mask;
    private int liveCount;

    /** Places for so many, a power of two from 4 on. */
    ReservationTable(int places) {
        clientKeys = new long[places];
        dueUs = new long[places];
        withinShareFlags = new boolean[places];
        mask = places / ASSOCIATIVITY - 1;
    }

    private int rowStart(long client) {
        return ((int) (client ^ client >>> 32) & mask) * ASSOCIATIVITY;
    }

    /** The place of the first of a client's bookings that has not gone by, or -1. */
    int find(long client, long nowUs) {
        int row = rowStart(client);
        int first = -1;
        for (int i = row; i < row + ASSOCIATIVITY; i++) {
            if (clientKeys[i] == client && dueUs[i] != 0) {
                if (nowUs > dueUs[i] + MAX_LATE_US) {
                    remove(i);
                } else if (first < 0 || dueUs[i] < dueUs[first]) {
                    first = i;
                }
            }
        }
        return first;
    }

    /** Whether a client has as many as one may; it can want several things at a time. */
    boolean hasMaxReservations(long client) {
        int row = rowStart(client);
        int its = 0;
        for (int i = row; i < row + ASSOCIATIVITY; i++) {
            its += clientKeys[i] == client && dueUs[i] != 0 ? 1 : 0;
        }
        return its >= MAX_RESERVATIONS_PER_CLIENT;
    }

    long dueUs(int place) {
        return dueUs[place];
    }

    /** Whether it was within its tenant's share. */
    boolean isWithinShare(int place) {
        return withinShareFlags[place];
    }

    void remove(int place) {
        dueUs[place] = 0;
        liveCount--;
    }

    /** Whether there was room for it. */
    boolean add(long client, long atUs, boolean withinShare, long nowUs) {
        int row = rowStart(client);
        if (hasMaxReservations(client)) {
            return false;
        }
        for (int i = row; i < row + ASSOCIATIVITY; i++) {
            if (dueUs[i] != 0 && nowUs > dueUs[i] + MAX_LATE_US) {
                remove(i);
            }
            if (dueUs[i] == 0) {
                clientKeys[i] = client;
                dueUs[i] = atUs;
                withinShareFlags[i] = withinShare;
                liveCount++;
                return true;
            }
        }
        return false;
    }

    /** How many there are, with those that have gone by and were not noticed yet. */
    int size() {
        return liveCount;
    }
}
