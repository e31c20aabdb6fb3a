package vetchpost.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import vetchpost.core.Clock;

/** The clock of an event loop. */
public final class LoopClock implements Clock {
    private final EventLoop loop;
    private final long originNs;
    private final long originUs;

    /**
     * A clock that shows this time now and follows the loop's ticker from here, so that a list's boot times
     * always convert to the same value: a second one would look like a second start.
     *
     * @param unixMs Unix time in milliseconds
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
