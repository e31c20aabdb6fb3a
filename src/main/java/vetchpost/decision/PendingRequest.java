package vetchpost.decision;

import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.Settings;

/** A request that is held, or whose attempts are still out. */
final class PendingRequest {
    final Request request;
    final RequestClass cls;
    final long arrivedAt;
    final long aimUs;
    final long aimAt;
    final long deadlineAt;
    final Server[] servers;
    final long[] sentAt;
    final Result[] results;
    double worth;
    /** Worth more than requests are on average. */
    boolean upper;

    double value;
    boolean late;
    long notBefore;
    long copyAt;
    int attempts;
    int outstanding;
    boolean waiting;
    boolean streaming;
    boolean ended;

    PendingRequest(Request request, Settings set, long now, long elapsedUs) {
        this.request = request;
        cls = set.classes.get(request.classIndex());
        long aim = Math.min(
                cls.deadlineUs(), cls.latencyTargetUs() + (long) (cls.latencyTargetWorkFactor() * request.workUs()));
        arrivedAt = now;
        deadlineAt = now + Math.max(0, request.remainingUs());
        aimUs = aim;
        aimAt = Math.min(deadlineAt, now + aim - elapsedUs - request.loopDelayUs() - request.admissionDelayUs());
        servers = new Server[set.maxAttempts];
        sentAt = new long[set.maxAttempts];
        results = new Result[set.maxAttempts];
    }

    /** The earliest attempt not known never to have run, or -1: it binds repeats and refusals. */
    int binding() {
        for (int i = 0; i < attempts; i++) {
            if (results[i] == null || !results[i].neverRan) {
                return i;
            }
        }
        return -1;
    }
}
