package vetchpost.decision;

import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.Settings;

/** A request that is held, or whose attempts are still out. */
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
    double priority;
    /** Worth more than requests are on average. */
    boolean aboveMeanValue;

    double value;
    boolean lateDiscountApplied;
    long notBefore;
    long hedgeAt;
    int attemptCount;
    int outstandingAttempts;
    boolean queued;
    boolean streaming;
    boolean ended;

    PendingRequest(Request request, Settings set, long now, long elapsedUs) {
        this.request = request;
        requestClass = set.classes.get(request.classIndex());
        long aim = Math.min(
                requestClass.deadlineUs(),
                requestClass.latencyTargetUs() + (long) (requestClass.latencyTargetWorkFactor() * request.workUs()));
        arrivedAt = now;
        deadlineAt = now + Math.max(0, request.remainingUs());
        latencyTargetUs = aim;
        latencyTargetAt =
                Math.min(deadlineAt, now + aim - elapsedUs - request.loopDelayUs() - request.admissionDelayUs());
        servers = new Server[set.maxAttempts];
        sentAt = new long[set.maxAttempts];
        results = new Result[set.maxAttempts];
    }

    /** The earliest attempt not known never to have run, or -1: it binds repeats and refusals. */
    int firstAttemptThatMayHaveRun() {
        for (int i = 0; i < attemptCount; i++) {
            if (results[i] == null || !results[i].neverRan) {
                return i;
            }
        }
        return -1;
    }
}
