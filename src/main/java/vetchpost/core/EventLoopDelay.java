package vetchpost.core;

/**
 * Measures how far the event loop is behind, with a periodic probe timer. Whatever is read while the loop is behind may
 * have waited in the system's buffers for that long, which is the node's own time and not a server's. Causes are
 * unoptimised code just after a start, a processor shared with others, and garbage collection pauses. Used on the
 * node's event loop only.
 */
public final class EventLoopDelay {
    /** Short against any latency target; a probe costs some microseconds. */
    private static final long PROBE_INTERVAL_US = 10_000;

    private final Clock clock;
    /** When the last probe that has run was due. */
    private long lastProbeDueUs;

    private Clock.Timer probeTimer;

    public EventLoopDelay(Clock clock) {
        this.clock = clock;
    }

    /** Starts probing; to be called on the event loop. */
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
     * How long what is read now may have waited for the loop, in microseconds; 0 on a loop that keeps up. Counted from
     * when the last probe was due, not from when it ran: what arrives during a long turn of the loop is read in the
     * next turn, after the probe at the end of the long one.
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
