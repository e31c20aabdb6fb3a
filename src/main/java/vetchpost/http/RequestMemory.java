package vetchpost.http;

/**
 * Limits the memory of requests that are being received, waiting or pending, over all connections: hundreds of
 * requests within the size limit can still exceed the heap. Client connections reserve and release it on the event
 * loop.
 */
public final class RequestMemory {
    /** Memory of a request besides head and body: the objects that represent it. */
    private static final int REQUEST_OVERHEAD_BYTES = 2_048;
    /** Decoded headers take this many times their size in bytes. */
    private static final int HEADER_SIZE_FACTOR = 4;

    private final long maxBytes;
    private long bytes;

    RequestMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** A quarter of the heap; responses, the decision module and the runtime need the rest. */
    static RequestMemory fractionOfHeap() {
        return new RequestMemory(Runtime.getRuntime().maxMemory() / 4);
    }

    /** Estimates the memory of a request, in bytes, from the sizes of its head and body in bytes. */
    public static long costOf(int headBytes, int bodyBytes) {
        return REQUEST_OVERHEAD_BYTES + (long) HEADER_SIZE_FACTOR * headBytes + bodyBytes;
    }

    /** Reserves memory; returns false, and reserves nothing, if it would exceed the limit. */
    public boolean tryReserve(long reserved) {
        if (bytes + reserved > maxBytes) {
            return false;
        }
        bytes += reserved;
        return true;
    }

    /** The limit in bytes. */
    long maxBytes() {
        return maxBytes;
    }

    /** The memory reserved now, in bytes. */
    long bytes() {
        return bytes;
    }

    /** Releases reserved memory, in bytes. */
    public void release(long released) {
        bytes -= released;
    }
}
