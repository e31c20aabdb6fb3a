package vetchpost.http;

/**
 * The memory that requests take which are being read, wait their turn or are held, over all connections:
 * each may be small, and hundreds of them are still more than the heap.
 */
public final class InHand {
    /** What a request takes besides its body: headers and the objects around them. */
    private static final int PER_REQUEST = 2_048;
    /** Headers as objects take so many times their bytes. */
    private static final int HEADERS_BY = 4;

    private final long most;
    private long bytes;

    InHand(long most) {
        this.most = most;
    }

    /** A part of the heap: answers, the module and what the runtime leaves over need the rest. */
    static InHand partOfHeap() {
        return new InHand(Runtime.getRuntime().maxMemory() / 4);
    }

    /** What a request takes with so many bytes of head and body. */
    public static long costOf(int headBytes, int bodyBytes) {
        return PER_REQUEST + (long) HEADERS_BY * headBytes + bodyBytes;
    }

    /** Counts so much more, if there is room for it. */
    public boolean add(long more) {
        if (bytes + more > most) {
            return false;
        }
        bytes += more;
        return true;
    }

    /** How much there is room for in all. */
    long most() {
        return most;
    }

    long bytes() {
        return bytes;
    }

    /** Counts so much less. */
    public void remove(long less) {
        bytes -= less;
    }
}
