package vetchpost.simulation.overload;

import java.util.ArrayList;
import java.util.List;
import vetchpost.admission.AdmissionCounts;

/**
 * The statistics of an {@link OverloadRun}, by tenant and class, counted on the run's thread and read after its end.
 * The value of a request counts as served only if its response was in time.
 */
public final class OverloadResult {
    /**
     * The first retry-after that a client was given, and how long it took from then until its response.
     *
     * @param retryAfterUs the advised wait, in microseconds
     * @param actualUs the time from that rejection to the response, in microseconds
     */
    public record RetryAfterSample(long retryAfterUs, long actualUs) {}

    /** A rejection that takes no longer than this counts as immediate. */
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

    OverloadResult(int tenants, int classes) {
        requestedValue = new double[tenants][classes];
        valueInTime = new double[tenants][classes];
        rejections = new long[tenants];
        failures = new long[tenants];
        lateResponses = new long[classes];
        advisedRetries = new long[classes];
        advisedRetriesServed = new long[classes];
    }

    void recordRequest(int tenant, int classIndex, double value) {
        requestedValue[tenant][classIndex] += value;
    }

    void recordServed(int tenant, int classIndex, double value) {
        served++;
        lateResponses[classIndex] += value == 0 ? 1 : 0;
        valueInTime[tenant][classIndex] += value;
    }

    void recordRejection(int tenant, long waitedUs) {
        rejections[tenant]++;
        rejectedRequests++;
        immediateRejections += waitedUs <= MAX_IMMEDIATE_REJECTION_US ? 1 : 0;
    }

    void recordFailure(int tenant) {
        failures[tenant]++;
    }

    /** Counts an attempt at the advised time, and whether it was served in time. */
    void recordAdvisedRetry(int classIndex, boolean wasServed) {
        advisedRetries[classIndex]++;
        advisedRetriesServed[classIndex] += wasServed ? 1 : 0;
    }

    /** Records that a client with a retry-after was served, on that attempt or a later one. */
    void recordRetryAfter(long retryAfterUs, long actualUs) {
        retryAfterSamples.add(new RetryAfterSample(retryAfterUs, actualUs));
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    /** Value served in time over value requested, of one tenant; 0 to 1. */
    public double servedValueFraction(int tenant) {
        return sum(valueInTime[tenant]) / Math.max(1e-9, sum(requestedValue[tenant]));
    }

    /** Value served in time over value requested, of all tenants; 0 to 1. */
    public double servedValueFraction() {
        double inTime = 0;
        double all = 0;
        for (int i = 0; i < requestedValue.length; i++) {
            inTime += sum(valueInTime[i]);
            all += sum(requestedValue[i]);
        }
        return inTime / Math.max(1e-9, all);
    }

    /** Value served in time over value requested, of one class; 0 to 1. */
    public double servedValueFractionOfClass(int classIndex) {
        double inTime = 0;
        double all = 0;
        for (int i = 0; i < requestedValue.length; i++) {
            inTime += valueInTime[i][classIndex];
            all += requestedValue[i][classIndex];
        }
        return inTime / Math.max(1e-9, all);
    }

    /**
     * Returns Jain's fairness index of the value served to each tenant over its max-min fair share, by weight, of all
     * value served in time (R. Jain, D. Chiu, W. Hawe, "A Quantitative Measure of Fairness", DEC TR-301, 1984). 1 is
     * fair.
     *
     * @param weights the weight of each tenant
     */
    public double jainFairnessIndex(List<Double> weights) {
        double total = 0;
        for (double[] tenant : valueInTime) {
            total += sum(tenant);
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

    /** Requests that servers responded to. */
    public long served() {
        return served;
    }

    /** Responses of one class that missed the latency target. */
    public long lateResponses(int classIndex) {
        return lateResponses[classIndex];
    }

    /** Rejections of one tenant's requests. */
    public long rejections(int tenant) {
        return rejections[tenant];
    }

    /** Failures of one tenant's requests. */
    public long failures(int tenant) {
        return failures[tenant];
    }

    /** Fraction of the rejections that were given immediately; 1 if there were none. */
    public double immediateRejectionFraction() {
        return rejectedRequests == 0 ? 1 : (double) immediateRejections / rejectedRequests;
    }

    /** Attempts of one class that were made at the advised time. */
    public long advisedRetries(int classIndex) {
        return advisedRetries[classIndex];
    }

    /** Attempts of one class that were made at the advised time and served in time. */
    public long advisedRetriesServed(int classIndex) {
        return advisedRetriesServed[classIndex];
    }

    /** Fraction of all attempts at the advised time that were served in time. */
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

    /** The first retry-after and the actual wait of each client that was served in the end. */
    public List<RetryAfterSample> retryAfterSamples() {
        return retryAfterSamples;
    }

    /** Requests still pending at the end; above 0 if one was lost. */
    public int pendingRequests() {
        return pendingRequests;
    }

    /** The counts of admission control, or null without it. */
    public AdmissionCounts counts() {
        return counts;
    }
}
