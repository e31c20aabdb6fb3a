package vetchpost.admission;

/**
 * Holds the reservations for clients' retries in a table of fixed size with {@value #ASSOCIATIVITY} entries to a row,
 * in which expired reservations are overwritten. A client whose row is full gets no reservation. Used by
 * {@link FairAdmission}, on the node's event loop.
 */
final class ReservationTable {
    private static final int ASSOCIATIVITY = 4;
    private static final int MAX_RESERVATIONS_PER_CLIENT = 2;
    /** A retry this much early still counts as on time: a client's timers and network latency vary. */
    static final long MAX_EARLY_US = 5_000;
    /** A retry this much late still counts as on time; the reservation expires then. */
    static final long MAX_LATE_US = 500_000;

    private final long[] clientKeys;
    private final long[] dueUs;
    private final boolean[] withinShareFlags;
    private final int mask;
    private int liveCount;

    /**
     * Creates an empty table.
     *
     * @param entries its size, a power of two from 4 on
     */
    ReservationTable(int entries) {
        clientKeys = new long[entries];
        dueUs = new long[entries];
        withinShareFlags = new boolean[entries];
        mask = entries / ASSOCIATIVITY - 1;
    }

    private int rowStart(long client) {
        return ((int) (client ^ client >>> 32) & mask) * ASSOCIATIVITY;
    }

    /** The entry of a client's first reservation that has not expired, or -1. */
    int find(long client, long nowUs) {
        int rowStart = rowStart(client);
        int firstEntry = -1;
        for (int entry = rowStart; entry < rowStart + ASSOCIATIVITY; entry++) {
            if (clientKeys[entry] == client && dueUs[entry] != 0) {
                if (nowUs > dueUs[entry] + MAX_LATE_US) {
                    remove(entry);
                } else if (firstEntry < 0 || dueUs[entry] < dueUs[firstEntry]) {
                    firstEntry = entry;
                }
            }
        }
        return firstEntry;
    }

    /**
     * Whether a client has the maximum of reservations; there may be several since it may want several things at a
     * time.
     */
    boolean hasMaxReservations(long client) {
        int rowStart = rowStart(client);
        int reservationCount = 0;
        for (int entry = rowStart; entry < rowStart + ASSOCIATIVITY; entry++) {
            reservationCount += clientKeys[entry] == client && dueUs[entry] != 0 ? 1 : 0;
        }
        return reservationCount >= MAX_RESERVATIONS_PER_CLIENT;
    }

    /** When the retry of a reservation is due. */
    long dueUs(int entry) {
        return dueUs[entry];
    }

    /** Whether the reserved request is within its tenant's share. */
    boolean isWithinShare(int entry) {
        return withinShareFlags[entry];
    }

    /** Removes a reservation. */
    void remove(int entry) {
        dueUs[entry] = 0;
        liveCount--;
    }

    /** Adds a reservation for a retry at {@code atUs}; false if the client has the maximum, or its row is full. */
    boolean add(long client, long atUs, boolean withinShare, long nowUs) {
        int rowStart = rowStart(client);
        if (hasMaxReservations(client)) {
            return false;
        }
        for (int entry = rowStart; entry < rowStart + ASSOCIATIVITY; entry++) {
            if (dueUs[entry] != 0 && nowUs > dueUs[entry] + MAX_LATE_US) {
                remove(entry);
            }
            if (dueUs[entry] == 0) {
                clientKeys[entry] = client;
                dueUs[entry] = atUs;
                withinShareFlags[entry] = withinShare;
                liveCount++;
                return true;
            }
        }
        return false;
    }

    /** Number of reservations, including expired ones that were not noticed yet. */
    int size() {
        return liveCount;
    }
}
