package vetchpost.http;

/**
 * The memory that requests take which are being read, wait their turn or are held, over all connections:
 * each may be small, and hundreds of them are still more than the heap.
 */
public final class RequestMemory {
    /** What a request takes besides its body: headers and the objects around them. */
    private static final int REQUEST_OVERHEAD_BYTES = 2_048;
    /** Headers as objects take so many times their bytes. */
    private static final int HEADER_SIZE_FACTOR = 4;

    private final long maxBytes;
    private long bytes;

    RequestMemory(long most) {
        this.maxBytes = most;
    }

    /** A part of the heap: answers, the module and what the runtime leaves over need the rest. */
    static RequestMemory fractionOfHeap() {
        return new RequestMemory(Runtime.getRuntime().maxMemory() / 4);
    }

    /** What a request takes with so many bytes of head and body. */
    public static long costOf(int headBytes, int bodyBytes) {
        return REQUEST_OVERHEAD_BYTES + (long) HEADER_SIZE_FACTOR * headBytes + bodyBytes;
    }

    /** Counts so much more, if there is room for it. */
    public boolean tryReserve(long more) {
        if (bytes + more > maxBytes) {
            return false;
        }
        bytes += more;
        return true;
    }

    /** How much there is room for in all. */
    long maxBytes() {
        return maxBytes;
    }

    long bytes() {
        return bytes;
    }

    /** Counts so much less. */
    public void release(long less) {
        bytes -= less;
    }
}
