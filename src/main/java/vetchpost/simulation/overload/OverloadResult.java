package vetchpost.simulation.overload;

import java.util.ArrayList;
import java.util.List;
import vetchpost.admission.AdmissionCounts;

/** What came of a crowd, by school and class; worth is what the site pays for an answer in time. */
public final class OverloadResult {
    /**
     * The first time that a client was told, and how long it took from there to its answer, in microseconds.
     */
    public record RetryAfterSample(long retryAfterUs, long actualUs) {}

    /** A refusal that takes no longer was given as the request came. */
    private static final long MAX_IMMEDIATE_REJECTION_US = 1_000;

    private final double[][] requestedValue;
    private final double[][] valueInTime;
    private final long[] rejections;
    private final long[] failures;
    private final List<RetryAfterSample> retryAfterSamples = new ArrayList<>();
    private long served;
    private long rejectedRequests;
    private final long[] lateResponses;
    private final long[] advisedRetries;
    private final long[] advisedRetriesServed;
    private long immediateRejections;
    int pendingRequests;
    AdmissionCounts counts;

    OverloadResult(int schools, int classes) {
        requestedValue = new double[schools][classes];
        valueInTime = new double[schools][classes];
        rejections = new long[schools];
        failures = new long[schools];
        lateResponses = new long[classes];
        advisedRetries = new long[classes];
        advisedRetriesServed = new long[classes];
    }

    void recordRequest(int school, int kind, double worth) {
        requestedValue[school][kind] += worth;
    }

    void served(int school, int kind, double worth) {
        served++;
        lateResponses[kind] += worth == 0 ? 1 : 0;
        valueInTime[school][kind] += worth;
    }

    void recordRejection(int school, long heldUs) {
        rejections[school]++;
        rejectedRequests++;
        immediateRejections += heldUs <= MAX_IMMEDIATE_REJECTION_US ? 1 : 0;
    }

    void recordFailure(int school) {
        failures[school]++;
    }

    /** One that came back when it was told. */
    void recordAdvisedRetry(int kind, boolean wasServed) {
        advisedRetries[kind]++;
        advisedRetriesServed[kind] += wasServed ? 1 : 0;
    }

    /** One that had been told a time was served, on that try or a later one. */
    void told(long advisedUs, long neededUs) {
        retryAfterSamples.add(new RetryAfterSample(advisedUs, neededUs));
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    /** Worth in time over worth asked for, of a school. */
    public double servedValueFraction(int school) {
        return sum(valueInTime[school]) / Math.max(1e-9, sum(requestedValue[school]));
    }

    /** The same of all. */
    public double servedValueFraction() {
        double of = 0;
        double all = 0;
        for (int i = 0; i < requestedValue.length; i++) {
            of += sum(valueInTime[i]);
            all += sum(requestedValue[i]);
        }
        return of / Math.max(1e-9, all);
    }

    /** The same of one class. */
    public double servedValueFractionOfClass(int kind) {
        double of = 0;
        double all = 0;
        for (int i = 0; i < requestedValue.length; i++) {
            of += valueInTime[i][kind];
            all += requestedValue[i][kind];
        }
        return of / Math.max(1e-9, all);
    }

    /**
     * Jain's index of what schools got over what they should: the max-min fair part, by their weights, of all
     * that was served in time (R. Jain, D. Chiu, W. Hawe, "A Quantitative Measure of Fairness", DEC TR-301,
     * 1984). 1 is fair.
     */
    public double jainFairnessIndex(List<Double> weights) {
        double total = 0;
        for (double[] school : valueInTime) {
            total += sum(school);
        }
        double[] fair = maxMinFairShares(weights, total);
        double sum = 0;
        double squares = 0;
        for (int i = 0; i < fair.length; i++) {
            double x = sum(valueInTime[i]) / Math.max(1e-9, fair[i]);
            sum += x;
            squares += x * x;
        }
        return sum * sum / (fair.length * Math.max(1e-9, squares));
    }

    private double[] maxMinFairShares(List<Double> weights, double total) {
        double[] fair = new double[requestedValue.length];
        boolean[] filled = new boolean[requestedValue.length];
        double left = total;
        for (int round = 0; round < fair.length; round++) {
            double open = 0;
            for (int i = 0; i < fair.length; i++) {
                open += filled[i] ? 0 : weights.get(i);
            }
            boolean any = false;
            double perWeight = left / Math.max(1e-9, open);
            for (int i = 0; i < fair.length; i++) {
                if (!filled[i] && sum(requestedValue[i]) <= perWeight * weights.get(i)) {
                    fair[i] = sum(requestedValue[i]);
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
    public long lateResponses(int kind) {
        return lateResponses[kind];
    }

    /** Refusals of a school's requests. */
    public long rejections(int school) {
        return rejections[school];
    }

    /** Failures of a school's requests. */
    public long failures(int school) {
        return failures[school];
    }

    /** Part of the refusals that were given as the request came. */
    public double immediateRejectionFraction() {
        return rejectedRequests == 0 ? 1 : (double) immediateRejections / rejectedRequests;
    }

    /** Those of a class that came back when they were told. */
    public long advisedRetries(int kind) {
        return advisedRetries[kind];
    }

    /** Those of them that were served in time on that try. */
    public long advisedRetriesServed(int kind) {
        return advisedRetriesServed[kind];
    }

    /** Part of all that came back when they were told that was served in time on that try. */
    public double advisedRetrySuccessRate() {
        return sum(advisedRetriesServed) / Math.max(1, sum(advisedRetries));
    }

    private static double sum(long[] values) {
        double sum = 0;
        for (long value : values) {
            sum += value;
        }
        return sum;
    }

    /** What those were told first that were served in the end, and what it took. */
    public List<RetryAfterSample> told() {
        return retryAfterSamples;
    }

    /** Requests that the node still held at the end: nothing, or one was lost. */
    public int pendingRequests() {
        return pendingRequests;
    }

    /** The door's own counts, or null. */
    public AdmissionCounts counts() {
        return counts;
    }
}
