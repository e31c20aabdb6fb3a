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

/**
 * Counts the outcome of a demo's requests and checks the four rules. Clients and servers report to it from their
 * threads; all methods are synchronized.
 */
final class DemoStatistics {
    static final long DEDUPLICATION_WINDOW_NS = 1_200_000_000L;
    static final long DRAIN_GRACE_NS = 500_000_000L;
    static final double COLD_CAPACITY_FRACTION = 0.12;
    static final long WARM_UP_NS = 23_000_000_000L;
    static final double OVERLOAD_FACTOR = 4;
    static final long OVERLOAD_WINDOW_NS = 2_000_000_000L;
    private static final long MEASUREMENT_TOLERANCE_NS = 50_000_000L;

    /** Outcome counts of one class of requests. */
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

        /** Mean latency of served requests, in milliseconds; 0 if there are none. */
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

    /** Creates empty statistics with a clock that returns nanoseconds. */
    DemoStatistics(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Records a client's response.
     *
     * @param status HTTP status; 0 for no response
     * @param tookNs latency of the response
     * @param waitNs the client's deadline
     */
    synchronized void recordAnswer(
            String className, String transactionId, int status, String body, long tookNs, long waitNs) {
        Counts counts = classes.computeIfAbsent(className, c -> new Counts());
        counts.requests++;
        if (status == 0) {
            lost.add(className + " " + transactionId + " had no answer");
        } else if (tookNs > waitNs + MEASUREMENT_TOLERANCE_NS) {
            lost.add(className + " " + transactionId + " was answered " + (tookNs - waitNs) / 1_000_000 + " ms late");
        }
        if (status == 200) {
            counts.served++;
            counts.latencyNs += tookNs;
            if (!body.equals(expectedBodies.get(transactionId))) {
                lost.add(className + " " + transactionId + " was served with " + body);
            }
        } else if (status == 429 || status == 503) {
            counts.rejected++;
        } else {
            counts.failed++;
        }
    }

    /** Records that a client received a second response to a request. */
    synchronized void recordSecondAnswer(String transactionId) {
        lost.add(transactionId + " was answered twice");
    }

    /**
     * Records that a server starts to execute a request.
     *
     * @param rack index of the server's deduplication cell
     * @param key idempotency key, or empty
     * @param body the response body that the server will send
     * @param workNs duration of the work on a warm server
     * @param capacity request slots of the server
     */
    synchronized void recordRun(
            String server,
            int rack,
            String className,
            String transactionId,
            String key,
            String body,
            long workNs,
            double capacity) {
        long now = clock.getAsLong();
        attempts++;
        expectedBodies.put(transactionId, body);
        if (className.equals("place-order") && orderRuns.merge(transactionId, 1, Integer::sum) == 2) {
            duplicates.add("place-order " + transactionId + " ran twice");
        }
        if (className.equals("add-photo")) {
            Long startNs = photoKeyFirstSeenNs.get(rack + key);
            if (startNs == null || now - startNs > DEDUPLICATION_WINDOW_NS + MEASUREMENT_TOLERANCE_NS) {
                photoKeyFirstSeenNs.put(rack + key, now);
                if (!addedPhotos.add(key)) {
                    duplicates.add("add-photo " + transactionId + " was added twice");
                }
            }
        }
        Long drainedNs = drainStartNs.get(server);
        if (drainedNs != null && now - drainedNs > DRAIN_GRACE_NS + MEASUREMENT_TOLERANCE_NS) {
            drainViolations.add(server + " was sent " + transactionId + " " + (now - drainedNs) / 1_000_000
                    + " ms after discovery reported its drain");
        }
        Long startNs = coldStartNs.get(server);
        if (startNs != null) {
            checkColdLoad(server, now, now - startNs, workNs, capacity);
        }
    }

    private void checkColdLoad(String server, long now, long ageNs, long workNs, double capacity) {
        Deque<long[]> work = coldWorkLog.computeIfAbsent(server, b -> new ArrayDeque<>());
        work.add(new long[] {now, workNs});
        while (work.peek()[0] < now - OVERLOAD_WINDOW_NS) {
            work.poll();
        }
        long sumNs = work.stream().mapToLong(entry -> entry[1]).sum();
        double capacityFraction =
                Math.min(1, COLD_CAPACITY_FRACTION + (1 - COLD_CAPACITY_FRACTION) * ageNs / WARM_UP_NS);
        if (sumNs > OVERLOAD_FACTOR * capacityFraction * capacity * OVERLOAD_WINDOW_NS + 4 * workNs) {
            coldOverloads.add(server + " was sent " + sumNs / 1_000_000 + " ms of work in 2 s");
        }
    }

    /** Records that discovery has reported the server's drain. */
    synchronized void recordDrain(String server) {
        drainStartNs.put(server, clock.getAsLong());
    }

    /** Records that the server has just started with cold caches. */
    synchronized void recordColdStart(String server) {
        coldStartNs.put(server, clock.getAsLong());
    }

    /** Requests that servers have started to execute, including retries. */
    synchronized int attempts() {
        return attempts;
    }

    /** Numbers of requests sent and served so far, in this order. */
    synchronized int[] totals() {
        int[] sums = new int[2];
        for (Counts counts : classes.values()) {
            sums[0] += counts.requests;
            sums[1] += counts.served;
        }
        return sums;
    }

    /** Counts by class name, in no particular order. */
    synchronized Map<String, Counts> classes() {
        return new HashMap<>(classes);
    }

    /** The violations of each rule, by its description. */
    synchronized Map<String, List<String>> violationsByRule() {
        Map<String, List<String>> rules = new LinkedHashMap<>();
        rules.put("no request is lost", List.copyOf(lost));
        rules.put("no effect happens twice", List.copyOf(duplicates));
        rules.put("drains are kept", List.copyOf(drainViolations));
        rules.put("a cold server is not pushed over", List.copyOf(coldOverloads));
        return rules;
    }
}
