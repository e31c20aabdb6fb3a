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
 * A process's event loop in simulated time. It takes its turns as events of {@link VirtualTime}: some
 * microseconds after something has become ready, so that what comes meanwhile falls into the same turn, and
 * never while it is stalled. A turn takes simulated time, too.
 */
public final class SimLoop extends ManualIoEventLoop {
    private static final long TURN_DURATION_NS = 20_000;
    private static final long PER_CHANNEL_DURATION_NS = 5_000;

    private final VirtualTime time;
    private final Selector selector;
    private final SplittableRandom random;
    private VirtualTime.Event nextTurn;
    private long pausedUntilNs;
    private boolean dead;

    /** Which channels have something to do; in the place of the system's selector. */
    private static final class Selector implements IoHandler {
        private final Set<Ready> ready = new LinkedHashSet<>();
        private final SplittableRandom random;
        /** This turn has looked at its channels already, and comes to its timers only now. */
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
            List<Ready> now = new ArrayList<>(ready);
            ready.clear();
            // The system's selector promises no order either.
            for (int i = now.size() - 1; i > 0; i--) {
                int j = random.nextInt(i + 1);
                Ready other = now.set(j, now.get(i));
                now.set(i, other);
            }
            now.forEach(Ready::onReady);
            return now.size();
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException("simulated channels register themselves");
        }

        @Override
        public void wakeup() {
            // It is one thread's loop, which needs no waking.
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return false;
        }
    }

    /** A channel that can be told to look at its socket. */
    interface Ready {
        void onReady();
    }

    private SimLoop(VirtualTime time, Selector selector) {
        super(null, Thread.currentThread(), executor -> selector, time);
        this.time = time;
        this.selector = selector;
        random = selector.random;
    }

    /** A loop of the calling thread. */
    public static SimLoop open(VirtualTime time, SplittableRandom random) {
        return new SimLoop(time, new Selector(random));
    }

    /** The channel is looked at in the next turn. */
    void ready(Ready channel) {
        if (!dead) {
            selector.ready.add(channel);
            scheduleTurn(time.nanoTime() + random.nextLong(TURN_DURATION_NS));
        }
    }

    /** Runs the task in a turn of its own soon. */
    public void run(Runnable task) {
        execute(task);
        scheduleTurn(time.nanoTime());
    }

    /** Holds the loop up for so long, as a pause of its process would. */
    public void pause(long ns) {
        pausedUntilNs = Math.max(pausedUntilNs, time.nanoTime() + ns);
        if (nextTurn != null) {
            nextTurn.cancel();
            nextTurn = null;
        }
        scheduleTurn(pausedUntilNs);
    }

    /**
     * Holds the loop up for so long in the midst of a turn that begins now: between its channels and its
     * timers. What comes meanwhile lies unread when the timers run, as behind a slow handler in life.
     */
    public void pauseInTurn(long ns) {
        if (!dead && !selector.alreadyPolled) {
            selector.poll();
            selector.alreadyPolled = true;
        }
        pause(ns);
    }

    /** It takes no turn any more: its process has died. */
    public void kill() {
        dead = true;
        if (nextTurn != null) {
            nextTurn.cancel();
        }
    }

    /** Whether timers or tasks are left. */
    public boolean isIdle() {
        return nextScheduledTaskDeadlineNanos() < 0 && selector.ready.isEmpty();
    }

    private void scheduleTurn(long ns) {
        long at = Math.max(ns, pausedUntilNs);
        if (dead || nextTurn != null && nextTurn.atNs() <= at) {
            return;
        }
        if (nextTurn != null) {
            nextTurn.cancel();
        }
        nextTurn = time.at(at, this::runTurn);
    }

    private void runTurn() {
        nextTurn = null;
        int channels = selector.ready.size();
        runNow();
        pausedUntilNs =
                Math.max(pausedUntilNs, time.nanoTime() + TURN_DURATION_NS + PER_CHANNEL_DURATION_NS * channels);
        if (!selector.ready.isEmpty()) {
            scheduleTurn(pausedUntilNs);
        }
        long next = nextScheduledTaskDeadlineNanos();
        if (next >= 0) {
            scheduleTurn(next);
        }
    }
}
