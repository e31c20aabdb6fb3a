package vetchpost.demo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/** What a trial has seen, and whether the four rules held; written to by all its threads. */
final class DemoStatistics {
    static final long DEDUPLICATION_WINDOW_NS = 1_200_000_000L;
    static final long DRAIN_GRACE_NS = 500_000_000L;
    static final double COLD_CAPACITY_FRACTION = 0.12;
    static final long WARM_UP_NS = 23_000_000_000L;
    static final double OVERLOAD_FACTOR = 4;
    static final long OVERLOAD_WINDOW_NS = 2_000_000_000L;
    private static final long MEASUREMENT_TOLERANCE_NS = 50_000_000L;

    /** What became of one class's requests. */
    static final class Counts {
        private int requests;
        private int served;
        private int rejected;
        private int failed;
        private long latencyNs;

        int requests() {
            return requests;
        }

        int served() {
            return served;
        }

        int rejected() {
            return rejected;
        }

        int failed() {
            return failed;
        }

        /** Mean time to a served answer, in milliseconds. */
        double meanMs() {
            return served == 0 ? 0 : latencyNs / 1e6 / served;
        }
    }

    private final LongSupplier clock;
    private final Map<String, Counts> classes = new HashMap<>();
    private final Map<String, String> expectedBodies = new HashMap<>();
    private final Map<String, Integer> orderRuns = new HashMap<>();
    private final Map<String, Long> photoKeyFirstSeenNs = new HashMap<>();
    private final Set<String> addedPhotos = new HashSet<>();
    private final Map<String, Long> drainStartNs = new HashMap<>();
    private final Map<String, Deque<long[]>> coldWorkLog = new HashMap<>();
    private final Map<String, Long> coldStartNs = new HashMap<>();
    private final List<String> lost = new ArrayList<>();
    private final List<String> duplicates = new ArrayList<>();
    private final List<String> drainViolations = new ArrayList<>();
    private final List<String> coldOverloads = new ArrayList<>();
    private int attempts;

    /** Nothing seen yet; by this clock, in nanoseconds. */
    DemoStatistics(LongSupplier clock) {
        this.clock = clock;
    }

    /** A client has its answer, or none. */
    synchronized void recordAnswer(String cls, String txn, int status, String body, long tookNs, long waitNs) {
        Counts counts = classes.computeIfAbsent(cls, c -> new Counts());
        counts.requests++;
        if (status == 0) {
            lost.add(cls + " " + txn + " had no answer");
        } else if (tookNs > waitNs + MEASUREMENT_TOLERANCE_NS) {
            lost.add(cls + " " + txn + " was answered " + (tookNs - waitNs) / 1_000_000 + " ms late");
        }
        if (status == 200) {
            counts.served++;
            counts.latencyNs += tookNs;
            if (!body.equals(expectedBodies.get(txn))) {
                lost.add(cls + " " + txn + " was served with " + body);
            }
        } else if (status == 429 || status == 503) {
            counts.rejected++;
        } else {
            counts.failed++;
        }
    }

    /** A client found an answer that it had not asked for. */
    synchronized void recordSecondAnswer(String txn) {
        lost.add(txn + " was answered twice");
    }

    /** A box has read a request and will work on it, and answer with this body. */
    synchronized void recordRun(
            String box, int rack, String cls, String txn, String key, String body, long workNs, double capacity) {
        long now = clock.getAsLong();
        attempts++;
        expectedBodies.put(txn, body);
        if (cls.equals("place-order") && orderRuns.merge(txn, 1, Integer::sum) == 2) {
            duplicates.add("place-order " + txn + " ran twice");
        }
        if (cls.equals("add-photo")) {
            Long since = photoKeyFirstSeenNs.get(rack + key);
            if (since == null || now - since > DEDUPLICATION_WINDOW_NS + MEASUREMENT_TOLERANCE_NS) {
                photoKeyFirstSeenNs.put(rack + key, now);
                if (!addedPhotos.add(key)) {
                    duplicates.add("add-photo " + txn + " was added twice");
                }
            }
        }
        Long told = drainStartNs.get(box);
        if (told != null && now - told > DRAIN_GRACE_NS + MEASUREMENT_TOLERANCE_NS) {
            drainViolations.add(
                    box + " was sent " + txn + " " + (now - told) / 1_000_000 + " ms after its drain was told");
        }
        Long since = coldStartNs.get(box);
        if (since != null) {
            recordColdStart(box, now, now - since, workNs, capacity);
        }
    }

    private void recordColdStart(String box, long now, long ageNs, long workNs, double capacity) {
        Deque<long[]> work = coldWorkLog.computeIfAbsent(box, b -> new ArrayDeque<>());
        work.add(new long[] {now, workNs});
        while (work.peek()[0] < now - OVERLOAD_WINDOW_NS) {
            work.poll();
        }
        long sum = work.stream().mapToLong(w -> w[1]).sum();
        double share = Math.min(1, COLD_CAPACITY_FRACTION + (1 - COLD_CAPACITY_FRACTION) * ageNs / WARM_UP_NS);
        if (sum > OVERLOAD_FACTOR * share * capacity * OVERLOAD_WINDOW_NS + 4 * workNs) {
            coldOverloads.add(box + " was sent " + sum / 1_000_000 + " ms of work in 2 s");
        }
    }

    /** The node has been told that the box drains. */
    synchronized void recordDrain(String box) {
        drainStartNs.put(box, clock.getAsLong());
    }

    /** The box has just started. */
    synchronized void recordColdStart(String box) {
        coldStartNs.put(box, clock.getAsLong());
    }

    synchronized int attempts() {
        return attempts;
    }

    /** Requests asked and served so far. */
    synchronized int[] totals() {
        int[] sums = new int[2];
        for (Counts counts : classes.values()) {
            sums[0] += counts.requests;
            sums[1] += counts.served;
        }
        return sums;
    }

    /** By class, in no order. */
    synchronized Map<String, Counts> classes() {
        return new HashMap<>(classes);
    }

    /** Each rule in words with what broke it. */
    synchronized Map<String, List<String>> violationsByRule() {
        Map<String, List<String>> rules = new LinkedHashMap<>();
        rules.put("no request is lost", List.copyOf(lost));
        rules.put("no effect happens twice", List.copyOf(duplicates));
        rules.put("drains are kept", List.copyOf(drainViolations));
        rules.put("a cold server is not pushed over", List.copyOf(coldOverloads));
        return rules;
    }
}
