package vetchpost.recorder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts what was refused or has failed, by class and cause, over the last hour in steps of ten seconds. */
public final class RejectionCounts {
    /** A step of time, in microseconds. */
    public static final long STEP_US = 10_000_000;
    /** How far back they go. */
    public static final long MAX_SPAN_US = 3_600_000_000L;

    private static final int STEP_COUNT = (int) (MAX_SPAN_US / STEP_US);
    /** Causes are few; a fault that makes them many must not cost the memory. */
    private static final int MAX_KEYS_PER_STEP = 256;

    private final List<Map<Key, Integer>> steps = new ArrayList<>();
    private long latestStep = Long.MIN_VALUE;

    /** What is counted together. */
    private record Key(int classIndex, boolean rejected, String cause) {}

    /**
     * One line of the count.
     *
     * @param refused or else it has failed
     */
    public record Row(int classIndex, boolean rejected, String cause, int count) {}

    /** None so far. */
    public RejectionCounts() {
        for (int i = 0; i < STEP_COUNT; i++) {
            steps.add(new HashMap<>());
        }
    }

    void add(long nowUs, int classIndex, boolean refused, String cause) {
        discardOldSteps(nowUs);
        Map<Key, Integer> step = steps.get((int) Math.floorMod(latestStep, (long) STEP_COUNT));
        Key key = new Key(classIndex, refused, cause);
        if (step.size() < MAX_KEYS_PER_STEP || step.containsKey(key)) {
            step.merge(key, 1, Integer::sum);
        }
    }

    private void discardOldSteps(long nowUs) {
        long step = Math.floorDiv(nowUs, STEP_US);
        if (step > latestStep) {
            long from = Math.max(latestStep + 1, step - STEP_COUNT + 1);
            for (long old = latestStep == Long.MIN_VALUE ? step : from; old <= step; old++) {
                steps.get((int) Math.floorMod(old, (long) STEP_COUNT)).clear();
            }
            latestStep = step;
        }
    }

    /** The counts of so long a time up to now, to ten seconds; the most first. */
    public List<Row> withinLast(long nowUs, long spanUs) {
        discardOldSteps(nowUs);
        long many = Math.min(STEP_COUNT, Math.max(1, (spanUs + STEP_US - 1) / STEP_US));
        Map<Key, Integer> sums = new HashMap<>();
        for (long step = latestStep - many + 1; step <= latestStep; step++) {
            steps.get((int) Math.floorMod(step, (long) STEP_COUNT)).forEach((k, n) -> sums.merge(k, n, Integer::sum));
        }
        TreeMap<String, Row> lines = new TreeMap<>();
        sums.forEach((k, n) -> lines.put(
                String.format("%010d %s %d %b", Integer.MAX_VALUE - n, k.cause, k.classIndex, k.rejected),
                new Row(k.classIndex, k.rejected, k.cause, n)));
        return List.copyOf(lines.values());
    }
}
