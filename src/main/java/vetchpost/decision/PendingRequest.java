package vetchpost.decision;

import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.Settings;

/**
 * A request without its final answer, or with attempts still in flight. It belongs to one {@link ServiceQBalancer} and
 * its thread; times are microseconds of the balancer's clock.
 */
final class PendingRequest {
    final Request request;
    final RequestClass requestClass;
    final long arrivedAt;
    final long latencyTargetUs;
    final long latencyTargetAt;
    final long deadlineAt;
    final Server[] servers;
    final long[] sentAt;
    final Result[] results;
    double value;
    /** Whether its value is above the mean of all requests. */
    boolean aboveMeanValue;

    double priority;
    boolean lateDiscountApplied;
    long notBefore;
    long hedgeAt;
    int attemptCount;
    int outstandingAttempts;
    boolean queued;
    boolean streaming;
    boolean ended;

    PendingRequest(Request request, Settings settings, long now, long elapsedUs) {
        this.request = request;
        requestClass = settings.classes.get(request.classIndex());
        long targetUs = Math.min(
                requestClass.deadlineUs(),
                requestClass.latencyTargetUs() + (long) (requestClass.latencyTargetWorkFactor() * request.workUs()));
        arrivedAt = now;
        deadlineAt = now + Math.max(0, request.remainingUs());
        latencyTargetUs = targetUs;
        latencyTargetAt =
                Math.min(deadlineAt, now + targetUs - elapsedUs - request.loopDelayUs() - request.admissionDelayUs());
        servers = new Server[settings.maxAttempts];
        sentAt = new long[settings.maxAttempts];
        results = new Result[settings.maxAttempts];
    }

    /** Returns the number of the first attempt that may have run, or -1. It restricts retries and rejections. */
    int firstAttemptThatMayHaveRun() {
        for (int i = 0; i < attemptCount; i++) {
            if (results[i] == null || !results[i].neverRan) {
                return i;
            }
        }
        return -1;
    }
}
