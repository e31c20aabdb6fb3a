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
final class TrialStatistics {
    static final long WINDOW_NS = 1_200_000_000L;
    static final long GRACE_NS = 500_000_000L;
    static final double COLD_FROM = 0.12;
    static final long COLD_NS = 23_000_000_000L;
    static final double MULTIPLE = 4;
    static final long FALL_NS = 2_000_000_000L;
    private static final long SLACK_NS = 50_000_000L;

    /** What became of one class's requests. */
    static final class Counts {
        private int asked;
        private int served;
        private int refused;
        private int failed;
        private long latencyNs;

        int asked() {
            return asked;
        }

        int served() {
            return served;
        }

        int refused() {
            return refused;
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
    private final Map<String, String> made = new HashMap<>();
    private final Map<String, Integer> orders = new HashMap<>();
    private final Map<String, Long> remembered = new HashMap<>();
    private final Set<String> photos = new HashSet<>();
    private final Map<String, Long> toldToStop = new HashMap<>();
    private final Map<String, Deque<long[]>> coldWork = new HashMap<>();
    private final Map<String, Long> coldSince = new HashMap<>();
    private final List<String> lost = new ArrayList<>();
    private final List<String> twice = new ArrayList<>();
    private final List<String> drained = new ArrayList<>();
    private final List<String> pushed = new ArrayList<>();
    private int attempts;

    /** Nothing seen yet; by this clock, in nanoseconds. */
    TrialStatistics(LongSupplier clock) {
        this.clock = clock;
    }

    /** A client has its answer, or none. */
    synchronized void answered(String cls, String txn, int status, String body, long tookNs, long waitNs) {
        Counts counts = classes.computeIfAbsent(cls, c -> new Counts());
        counts.asked++;
        if (status == 0) {
            lost.add(cls + " " + txn + " had no answer");
        } else if (tookNs > waitNs + SLACK_NS) {
            lost.add(cls + " " + txn + " was answered " + (tookNs - waitNs) / 1_000_000 + " ms late");
        }
        if (status == 200) {
            counts.served++;
            counts.latencyNs += tookNs;
            if (!body.equals(made.get(txn))) {
                lost.add(cls + " " + txn + " was served with " + body);
            }
        } else if (status == 429 || status == 503) {
            counts.refused++;
        } else {
            counts.failed++;
        }
    }

    /** A client found an answer that it had not asked for. */
    synchronized void answeredTwice(String txn) {
        lost.add(txn + " was answered twice");
    }

    /** A box has read a request and will work on it, and answer with this body. */
    synchronized void ran(
            String box, int rack, String cls, String txn, String key, String body, long workNs, double capacity) {
        long now = clock.getAsLong();
        attempts++;
        made.put(txn, body);
        if (cls.equals("place-order") && orders.merge(txn, 1, Integer::sum) == 2) {
            twice.add("place-order " + txn + " ran twice");
        }
        if (cls.equals("add-photo")) {
            Long since = remembered.get(rack + key);
            if (since == null || now - since > WINDOW_NS + SLACK_NS) {
                remembered.put(rack + key, now);
                if (!photos.add(key)) {
                    twice.add("add-photo " + txn + " was added twice");
                }
            }
        }
        Long told = toldToStop.get(box);
        if (told != null && now - told > GRACE_NS + SLACK_NS) {
            drained.add(box + " was sent " + txn + " " + (now - told) / 1_000_000 + " ms after its drain was told");
        }
        Long since = coldSince.get(box);
        if (since != null) {
            cold(box, now, now - since, workNs, capacity);
        }
    }

    private void cold(String box, long now, long ageNs, long workNs, double capacity) {
        Deque<long[]> work = coldWork.computeIfAbsent(box, b -> new ArrayDeque<>());
        work.add(new long[] {now, workNs});
        while (work.peek()[0] < now - FALL_NS) {
            work.poll();
        }
        long sum = work.stream().mapToLong(w -> w[1]).sum();
        double share = Math.min(1, COLD_FROM + (1 - COLD_FROM) * ageNs / COLD_NS);
        if (sum > MULTIPLE * share * capacity * FALL_NS + 4 * workNs) {
            pushed.add(box + " was sent " + sum / 1_000_000 + " ms of work in 2 s");
        }
    }

    /** The node has been told that the box drains. */
    synchronized void toldToStop(String box) {
        toldToStop.put(box, clock.getAsLong());
    }

    /** The box has just started. */
    synchronized void cold(String box) {
        coldSince.put(box, clock.getAsLong());
    }

    synchronized int attempts() {
        return attempts;
    }

    /** Requests asked and served so far. */
    synchronized int[] sums() {
        int[] sums = new int[2];
        for (Counts counts : classes.values()) {
            sums[0] += counts.asked;
            sums[1] += counts.served;
        }
        return sums;
    }

    /** By class, in no order. */
    synchronized Map<String, Counts> classes() {
        return new HashMap<>(classes);
    }

    /** Each rule in words with what broke it. */
    synchronized Map<String, List<String>> rules() {
        Map<String, List<String>> rules = new LinkedHashMap<>();
        rules.put("no request is lost", List.copyOf(lost));
        rules.put("no effect happens twice", List.copyOf(twice));
        rules.put("drains are kept", List.copyOf(drained));
        rules.put("a cold server is not pushed over", List.copyOf(pushed));
        return rules;
    }
}
