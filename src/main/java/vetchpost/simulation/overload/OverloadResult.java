package vetchpost.simulation.overload;

import java.util.ArrayList;
import java.util.List;
import vetchpost.admission.AdmissionCounts;

/** What came of a crowd, by school and class; worth is what the site pays for an answer in time. */
public final class OverloadResult {
    /**
     * The first time that a client was told, and how long it took from there to its answer, in microseconds.
     */
    public record Told(long advisedUs, long neededUs) {}

    /** A refusal that takes no longer was given as the request came. */
    private static final long PROMPT_US = 1_000;

    private final double[][] asked;
    private final double[][] inTime;
    private final long[] refusals;
    private final long[] failures;
    private final List<Told> told = new ArrayList<>();
    private long served;
    private long refused;
    private final long[] late;
    private final long[] returned;
    private final long[] returnedServed;
    private long promptRefusals;
    int stillHeld;
    AdmissionCounts counts;

    OverloadResult(int schools, int classes) {
        asked = new double[schools][classes];
        inTime = new double[schools][classes];
        refusals = new long[schools];
        failures = new long[schools];
        late = new long[classes];
        returned = new long[classes];
        returnedServed = new long[classes];
    }

    void asked(int school, int kind, double worth) {
        asked[school][kind] += worth;
    }

    void served(int school, int kind, double worth) {
        served++;
        late[kind] += worth == 0 ? 1 : 0;
        inTime[school][kind] += worth;
    }

    void refused(int school, long heldUs) {
        refusals[school]++;
        refused++;
        promptRefusals += heldUs <= PROMPT_US ? 1 : 0;
    }

    void failed(int school) {
        failures[school]++;
    }

    /** One that came back when it was told. */
    void cameBack(int kind, boolean wasServed) {
        returned[kind]++;
        returnedServed[kind] += wasServed ? 1 : 0;
    }

    /** One that had been told a time was served, on that try or a later one. */
    void told(long advisedUs, long neededUs) {
        told.add(new Told(advisedUs, neededUs));
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    /** Worth in time over worth asked for, of a school. */
    public double service(int school) {
        return sum(inTime[school]) / Math.max(1e-9, sum(asked[school]));
    }

    /** The same of all. */
    public double service() {
        double of = 0;
        double all = 0;
        for (int i = 0; i < asked.length; i++) {
            of += sum(inTime[i]);
            all += sum(asked[i]);
        }
        return of / Math.max(1e-9, all);
    }

    /** The same of one class. */
    public double serviceOfClass(int kind) {
        double of = 0;
        double all = 0;
        for (int i = 0; i < asked.length; i++) {
            of += inTime[i][kind];
            all += asked[i][kind];
        }
        return of / Math.max(1e-9, all);
    }

    /**
     * Jain's index of what schools got over what they should: the max-min fair part, by their weights, of all
     * that was served in time (R. Jain, D. Chiu, W. Hawe, "A Quantitative Measure of Fairness", DEC TR-301,
     * 1984). 1 is fair.
     */
    public double jain(List<Double> weights) {
        double total = 0;
        for (double[] school : inTime) {
            total += sum(school);
        }
        double[] fair = maxMin(weights, total);
        double sum = 0;
        double squares = 0;
        for (int i = 0; i < fair.length; i++) {
            double x = sum(inTime[i]) / Math.max(1e-9, fair[i]);
            sum += x;
            squares += x * x;
        }
        return sum * sum / (fair.length * Math.max(1e-9, squares));
    }

    private double[] maxMin(List<Double> weights, double total) {
        double[] fair = new double[asked.length];
        boolean[] filled = new boolean[asked.length];
        double left = total;
        for (int round = 0; round < fair.length; round++) {
            double open = 0;
            for (int i = 0; i < fair.length; i++) {
                open += filled[i] ? 0 : weights.get(i);
            }
            boolean any = false;
            double perWeight = left / Math.max(1e-9, open);
            for (int i = 0; i < fair.length; i++) {
                if (!filled[i] && sum(asked[i]) <= perWeight * weights.get(i)) {
                    fair[i] = sum(asked[i]);
                    filled[i] = true;
                    left -= fair[i];
                    any = true;
                }
            }
            if (!any) {
                for (int i = 0; i < fair.length; i++) {
                    fair[i] = filled[i] ? fair[i] : perWeight * weights.get(i);
                }
                break;
            }
        }
        return fair;
    }

    /** Answers of boxes. */
    public long served() {
        return served;
    }

    /** Those of a class that came too late to be worth anything. */
    public long late(int kind) {
        return late[kind];
    }

    /** Refusals of a school's requests. */
    public long refusals(int school) {
        return refusals[school];
    }

    /** Failures of a school's requests. */
    public long failures(int school) {
        return failures[school];
    }

    /** Part of the refusals that were given as the request came. */
    public double prompt() {
        return refused == 0 ? 1 : (double) promptRefusals / refused;
    }

    /** Those of a class that came back when they were told. */
    public long returned(int kind) {
        return returned[kind];
    }

    /** Those of them that were served in time on that try. */
    public long returnedServed(int kind) {
        return returnedServed[kind];
    }

    /** Part of all that came back when they were told that was served in time on that try. */
    public double truth() {
        return sum(returnedServed) / Math.max(1, sum(returned));
    }

    private static double sum(long[] values) {
        double sum = 0;
        for (long value : values) {
            sum += value;
        }
        return sum;
    }

    /** What those were told first that were served in the end, and what it took. */
    public List<Told> told() {
        return told;
    }

    /** Requests that the node still held at the end: nothing, or one was lost. */
    public int stillHeld() {
        return stillHeld;
    }

    /** The door's own counts, or null. */
    public AdmissionCounts counts() {
        return counts;
    }
}
