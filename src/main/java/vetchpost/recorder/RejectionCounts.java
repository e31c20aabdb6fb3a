package vetchpost.recorder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts rejected and failed requests by class and cause over the last hour, in steps of ten seconds. {@link
 * FlightRecorder} adds to it and explanations read it, both on the event loop.
 */
public final class RejectionCounts {
    /** Length of a step, in microseconds. */
    public static final long STEP_US = 10_000_000;
    /** How far back the counts go, in microseconds. */
    public static final long MAX_SPAN_US = 3_600_000_000L;

    private static final int STEP_COUNT = (int) (MAX_SPAN_US / STEP_US);
    /** Causes are few; a fault that produces many must not exhaust memory. */
    private static final int MAX_KEYS_PER_STEP = 256;

    private final List<Map<Key, Integer>> steps = new ArrayList<>();
    private long latestStep = Long.MIN_VALUE;

    /** Identifies the requests that are counted together. */
    private record Key(int classIndex, boolean rejected, String cause) {}

    /**
     * One row of the counts.
     *
     * @param rejected true for rejected requests, false for failed ones
     */
    public record Row(int classIndex, boolean rejected, String cause, int count) {}

    /** Creates empty counts. */
    public RejectionCounts() {
        for (int i = 0; i < STEP_COUNT; i++) {
            steps.add(new HashMap<>());
        }
    }

    void add(long nowUs, int classIndex, boolean rejected, String cause) {
        discardOldSteps(nowUs);
        Map<Key, Integer> step = steps.get((int) Math.floorMod(latestStep, (long) STEP_COUNT));
        Key key = new Key(classIndex, rejected, cause);
        if (step.size() < MAX_KEYS_PER_STEP || step.containsKey(key)) {
            step.merge(key, 1, Integer::sum);
        }
    }

    private void discardOldSteps(long nowUs) {
        long step = Math.floorDiv(nowUs, STEP_US);
        if (step > latestStep) {
            long from = Math.max(latestStep + 1, step - STEP_COUNT + 1);
            for (long expiredStep = latestStep == Long.MIN_VALUE ? step : from; expiredStep <= step; expiredStep++) {
                steps.get((int) Math.floorMod(expiredStep, (long) STEP_COUNT)).clear();
            }
            latestStep = step;
        }
    }

    /**
     * The counts within a span up to now, rounded up to whole steps; the largest first.
     *
     * @param nowUs monotonic time in microseconds
     * @param spanUs length of the span in microseconds, at most {@link #MAX_SPAN_US}
     */
    public List<Row> withinLast(long nowUs, long spanUs) {
        discardOldSteps(nowUs);
        long stepCount = Math.min(STEP_COUNT, Math.max(1, (spanUs + STEP_US - 1) / STEP_US));
        Map<Key, Integer> sums = new HashMap<>();
        for (long step = latestStep - stepCount + 1; step <= latestStep; step++) {
            steps.get((int) Math.floorMod(step, (long) STEP_COUNT))
                    .forEach((key, count) -> sums.merge(key, count, Integer::sum));
        }
        TreeMap<String, Row> rows = new TreeMap<>();
        sums.forEach((key, count) -> rows.put(
                String.format("%010d %s %d %b", Integer.MAX_VALUE - count, key.cause, key.classIndex, key.rejected),
                new Row(key.classIndex, key.rejected, key.cause, count)));
        return List.copyOf(rows.values());
    }
}
