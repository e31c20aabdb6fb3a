package vetchpost.core;

/**
 * Tells how far the event loop is behind. What is read while it is may have lain in the system's buffers for
 * so long: that time is the node's own, and no server's. It comes from whatever keeps the loop from its
 * sockets: unoptimised code just after a start, a processor that others use, a pause for memory.
 */
public final class EventLoopDelay {
    /** Far under any aim; a beat costs some microseconds. */
    private static final long PROBE_INTERVAL_US = 10_000;

    private final Clock clock;
    /** When the last beat that has run was due. */
    private long lastProbeDueUs;

    private Clock.Timer probeTimer;

    public EventLoopDelay(Clock clock) {
        this.clock = clock;
    }

    /** Begins to watch; to be called on the loop. */
    public void start() {
        lastProbeDueUs = clock.nowUs();
        scheduleProbe();
    }

    public void close() {
        if (probeTimer != null) {
            probeTimer.cancel();
        }
    }

    /**
     * How long what is read now may have waited for the loop, in microseconds; 0 on a loop that keeps up.
     * Counted from when the last beat was due and not from when it ran: what comes during a long turn of the
     * loop is read in the next one, after the beat at the turn's end.
     */
    public long currentUs() {
        return probeTimer == null ? 0 : Math.max(0, clock.nowUs() - lastProbeDueUs - PROBE_INTERVAL_US);
    }

    private void scheduleProbe() {
        long nextUs = clock.nowUs() + PROBE_INTERVAL_US;
        probeTimer = clock.schedule(nextUs, () -> {
            lastProbeDueUs = nextUs;
            scheduleProbe();
        });
    }
}
