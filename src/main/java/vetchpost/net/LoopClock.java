package vetchpost.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import vetchpost.core.Clock;

/** A {@link Clock} in Unix time that follows the ticker of one event loop and schedules timers on it. */
public final class LoopClock implements Clock {
    private final EventLoop loop;
    private final long originNs;
    private final long originUs;

    /**
     * Creates a clock that starts at the given time and then follows only the loop's ticker. Boot times of servers
     * thus always convert to the same value; a different one would look like a restart.
     *
     * @param unixMs the current Unix time in milliseconds
     */
    public LoopClock(EventLoop loop, long unixMs) {
        this.loop = loop;
        originNs = loop.ticker().nanoTime();
        originUs = 1_000 * unixMs;
    }

    @Override
    public long nowUs() {
        return originUs + (loop.ticker().nanoTime() - originNs) / 1_000;
    }

    @Override
    public Timer schedule(long us, Runnable task) {
        ScheduledFuture<?> timer = loop.schedule(task, Math.max(0, us - nowUs()), TimeUnit.MICROSECONDS);
        return () -> timer.cancel(false);
    }
}
