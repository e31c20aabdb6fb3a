package vetchpost.simulation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/**
 * Runs a range of seeds and sums their results. Worker threads run several seeds at a time, each seed on one
 * thread throughout. {@code simulate --seeds} and the tests of many seeds use it.
 */
final class SeedRuns {
    /** Notified after each seed, on the worker threads, one call at a time. */
    interface Progress {
        void done(long done, long total, int failed);
    }

    private final long from;
    private final long to;
    private final int jobs;
    private final LongFunction<Result> run;
    private final Map<Long, Result> failed = new TreeMap<>();
    private final Map<Long, Throwable> thrown = new TreeMap<>();
    private final Map<Fault.Kind, Long> faults = new EnumMap<>(Fault.Kind.class);
    private long done;
    private long simulatedNs;
    private long requestsSent;
    private long operations;
    private long served;
    private long rejected;
    private long attempts;
    private long retries;
    private long digest;

    SeedRuns(long from, long to, int jobs, LongFunction<Result> run) {
        this.from = from;
        this.to = to;
        this.jobs = jobs;
        this.run = run;
    }

    /** Runs all seeds and returns when the last is done. */
    void run(Progress progress) throws InterruptedException {
        AtomicLong next = new AtomicLong(from);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            Thread thread = new Thread(
                    () -> {
                        for (long seed = next.getAndIncrement(); seed <= to; seed = next.getAndIncrement()) {
                            runSeed(seed, progress);
                        }
                    },
                    "simulate-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** A run that throws has checked nothing to the end, so it counts as failed. */
    private void runSeed(long seed, Progress progress) {
        Result result;
        try {
            result = run.apply(seed);
        } catch (RuntimeException | Error e) {
            addThrown(seed, e, progress);
            return;
        }
        add(result, progress);
    }

    private synchronized void addThrown(long seed, Throwable cause, Progress progress) {
        done++;
        thrown.put(seed, cause);
        progress.done(done, to - from + 1, failed.size() + thrown.size());
    }

    private synchronized void add(Result result, Progress progress) {
        done++;
        simulatedNs += result.simulatedNs();
        requestsSent += result.requestsSent();
        operations += result.operations();
        served += result.served();
        rejected += result.rejected();
        attempts += result.attempts();
        retries += result.retries();
        result.faults().forEach((kind, count) -> faults.merge(kind, (long) count, Long::sum));
        // A sum, so that the order in which seeds end makes no difference.
        digest += Long.parseUnsignedLong(result.digest(), 16) * (2 * result.seed() + 1);
        if (!result.isGood()) {
            failed.put(result.seed(), result);
        }
        progress.done(done, to - from + 1, failed.size() + thrown.size());
    }

    /** What runs have thrown, by seed. */
    Map<Long, Throwable> thrown() {
        return thrown;
    }

    /** Whether every run came to its end without breaking a rule. */
    boolean haveAllPassed() {
        return failed.isEmpty() && thrown.isEmpty();
    }

    /** Results of the runs that broke a rule, by seed. */
    Map<Long, Result> failed() {
        return failed;
    }

    double simulatedSeconds() {
        return simulatedNs / 1e9;
    }

    /** The totals of all runs in one line. */
    String summary() {
        long all = faults.values().stream().mapToLong(Long::longValue).sum();
        return String.format(
                Locale.ROOT,
                "%d seeds, %d failed, %.2f simulated hours, %d requests "
                        + "(%d of %d operations served, %d rejections), %d attempts (%d retries), %d faults (%s), "
                        + "digest %016x",
                done,
                failed.size() + thrown.size(),
                simulatedSeconds() / 3_600,
                requestsSent,
                served,
                operations,
                rejected,
                attempts,
                retries,
                all,
                faults.entrySet().stream()
                        .map(e -> e.getValue() + " " + e.getKey().scriptName())
                        .collect(Collectors.joining(", ")),
                digest);
    }
}
