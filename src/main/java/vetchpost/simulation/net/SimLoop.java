package vetchpost.simulation.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.ManualIoEventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A process's event loop in simulated time. Its turns are events of {@link VirtualTime}: a few microseconds
 * after a channel has become ready, so that further input is handled in the same turn, and never while the
 * loop is paused. A turn takes simulated time as well. It is used on the thread of the run only.
 */
public final class SimLoop extends ManualIoEventLoop {
    private static final long TURN_DURATION_NS = 20_000;
    private static final long PER_CHANNEL_DURATION_NS = 5_000;

    private final VirtualTime time;
    private final Selector selector;
    private final SplittableRandom random;
    private VirtualTime.Event nextTurn;
    private long busyUntilNs;
    private boolean dead;

    /** Keeps the channels that are ready, in place of the operating system's selector. */
    private static final class Selector implements IoHandler {
        private final Set<Ready> ready = new LinkedHashSet<>();
        private final SplittableRandom random;
        /** Whether this turn has polled its channels already and has only its timers left to run. */
        private boolean alreadyPolled;

        Selector(SplittableRandom random) {
            this.random = random;
        }

        @Override
        public int run(IoHandlerContext context) {
            if (alreadyPolled) {
                alreadyPolled = false;
                return 0;
            }
            return poll();
        }

        int poll() {
            List<Ready> readyNow = new ArrayList<>(ready);
            ready.clear();
            // Shuffled, since the operating system's selector guarantees no order either.
            for (int i = readyNow.size() - 1; i > 0; i--) {
                int j = random.nextInt(i + 1);
                Ready other = readyNow.set(j, readyNow.get(i));
                readyNow.set(i, other);
            }
            readyNow.forEach(Ready::onReady);
            return readyNow.size();
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException("simulated channels register themselves");
        }

        @Override
        public void wakeup() {
            // The loop runs on the calling thread and needs no wakeup.
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return false;
        }
    }

    /** A channel that checks its socket when it is ready. */
    interface Ready {
        void onReady();
    }

    private SimLoop(VirtualTime time, Selector selector) {
        super(null, Thread.currentThread(), executor -> selector, time);
        this.time = time;
        this.selector = selector;
        random = selector.random;
    }

    /** Opens a loop on the calling thread. */
    public static SimLoop open(VirtualTime time, SplittableRandom random) {
        return new SimLoop(time, new Selector(random));
    }

    /** Has the channel polled in the next turn. */
    void markReady(Ready channel) {
        if (!dead) {
            selector.ready.add(channel);
            scheduleTurn(time.nanoTime() + random.nextLong(TURN_DURATION_NS));
        }
    }

    /** Runs the task in the next turn. */
    public void run(Runnable task) {
        execute(task);
        scheduleTurn(time.nanoTime());
    }

    /** Pauses the loop for this many nanoseconds, as a pause of its process would. */
    public void pause(long ns) {
        busyUntilNs = Math.max(busyUntilNs, time.nanoTime() + ns);
        if (nextTurn != null) {
            nextTurn.cancel();
            nextTurn = null;
        }
        scheduleTurn(busyUntilNs);
    }

    /**
     * Pauses the loop for this many nanoseconds within a turn that begins now, between polling channels and
     * running timers. Input that arrives meanwhile is unread when the timers run, as behind a slow handler.
     */
    public void pauseInTurn(long ns) {
        if (!dead && !selector.alreadyPolled) {
            selector.poll();
            selector.alreadyPolled = true;
        }
        pause(ns);
    }

    /** Stops the loop for good, since its process has died. */
    public void kill() {
        dead = true;
        if (nextTurn != null) {
            nextTurn.cancel();
        }
    }

    /** Whether no timers and no ready channels are left. */
    public boolean isIdle() {
        return nextScheduledTaskDeadlineNanos() < 0 && selector.ready.isEmpty();
    }

    private void scheduleTurn(long ns) {
        long turnNs = Math.max(ns, busyUntilNs);
        if (dead || nextTurn != null && nextTurn.atNs() <= turnNs) {
            return;
        }
        if (nextTurn != null) {
            nextTurn.cancel();
        }
        nextTurn = time.at(turnNs, this::runTurn);
    }

    private void runTurn() {
        nextTurn = null;
        int channels = selector.ready.size();
        runNow();
        busyUntilNs = Math.max(busyUntilNs, time.nanoTime() + TURN_DURATION_NS + PER_CHANNEL_DURATION_NS * channels);
        if (!selector.ready.isEmpty()) {
            scheduleTurn(busyUntilNs);
        }
        long nextTimerNs = nextScheduledTaskDeadlineNanos();
        if (nextTimerNs >= 0) {
            scheduleTurn(nextTimerNs);
        }
    }
}
