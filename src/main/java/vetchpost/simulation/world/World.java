package vetchpost.simulation.world;

import java.util.SplittableRandom;
import vetchpost.simulation.check.Checker;
import vetchpost.simulation.net.Tcp;
import vetchpost.simulation.net.VirtualTime;

/** What all peers of a simulated node share: time, network, checker, request classes, event log and seed. */
public final class World {
    /** Unix time at the start of each run, in milliseconds. */
    public static final long EPOCH_MS = 1_767_225_600_000L;

    /** Receives the events of a run. */
    public interface Log {
        void add(String what, String who, String detail, long number);
    }

    final VirtualTime time;
    final Tcp tcp;
    final Checker checker;
    final RequestClasses classes;
    final Log log;
    private final long seed;

    public World(long seed, VirtualTime time, Tcp tcp, Checker checker, RequestClasses classes, Log log) {
        this.seed = seed;
        this.time = time;
        this.tcp = tcp;
        this.checker = checker;
        this.classes = classes;
        this.log = log;
    }

    /** A random stream of its own for each use, so that one peer's draws don't change another's. */
    public SplittableRandom random(String use, long number) {
        return new SplittableRandom(seed * 31 + use.hashCode() * 0x9E3779B97F4A7C15L + number * 7_919);
    }

    long nowMs() {
        return time.nanoTime() / 1_000_000;
    }

    void afterMs(long ms, Runnable task) {
        time.after(ms * 1_000_000, task);
    }

    static long unixMs(long ns) {
        return ns == Long.MIN_VALUE ? 0 : EPOCH_MS + ns / 1_000_000;
    }
}
