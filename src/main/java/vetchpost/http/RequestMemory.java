package vetchpost.http;

/**
 * Limits the memory of requests that are being received, waiting or pending, over all connections: hundreds of
 * requests within the size limit can still exceed the heap. Client connections reserve and release it on the event
 * loop.
 */
public final class RequestMemory {
    /** Memory of a request besides head and body: the objects that represent it. */
    private static final int REQUEST_OVERHEAD_BYTES = 2_048;
    /** Memory of a decoded header field besides its text: the map's entry, two strings and their arrays. */
    private static final int HEADER_FIELD_OVERHEAD_BYTES = 160;
    /** Text is held as bytes and, once a field has been looked at, as a string too. */
    private static final int HEADER_SIZE_FACTOR = 2;

    private final long maxBytes;
    private long bytes;

    /** Creates a budget of this many bytes. */
    public RequestMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** A quarter of the heap; responses, the decision module and the runtime need the rest. */
    static RequestMemory fractionOfHeap() {
        return new RequestMemory(Runtime.getRuntime().maxMemory() / 4);
    }

    /**
     * Estimates the memory of a request, in bytes.
     *
     * @param headBytes size of its head as received
     * @param headerFields number of header fields in the head
     * @param bodyBytes memory that its body takes
     */
    public static long costOf(int headBytes, int headerFields, int bodyBytes) {
        return REQUEST_OVERHEAD_BYTES
                + (long) HEADER_FIELD_OVERHEAD_BYTES * headerFields
                + (long) HEADER_SIZE_FACTOR * headBytes
                + bodyBytes;
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

    /** Returns a reservation of no memory yet. */
    public Reservation newReservation() {
        return new Reservation();
    }

    /** Memory reserved for one purpose, which grows and shrinks. */
    public final class Reservation {
        private long reserved;

        private Reservation() {}

        /** The memory reserved, in bytes. */
        public long bytes() {
            return reserved;
        }

        /** Reserves this much in all; returns false, and changes nothing, if it would exceed the limit. */
        public boolean tryResize(long newBytes) {
            if (!tryReserve(newBytes - reserved)) {
                return false;
            }
            reserved = newBytes;
            return true;
        }

        /** Releases all of it. */
        public void release() {
            RequestMemory.this.release(reserved);
            reserved = 0;
        }
    }
}
