package vetchpost.core;

/**
 * The bounds of a request whose body comes bit by bit: once any of what is not held has been passed on it
 * may have run, and can't be sent again. What surely never ran can, since nothing of the rest was taken then.
 */
record SingleAttemptLimits(RouteLimits route) implements RouteLimits {
    @Override
    public int maxAttempts() {
        return 1;
    }

    @Override
    public boolean mayRetry() {
        return route.mayRetry();
    }

    @Override
    public void recordRetry() {
        route.recordRetry();
    }

    @Override
    public void recordLatency(long latencyUs) {
        route.recordLatency(latencyUs);
    }

    @Override
    public long retryDelayUs(int attempts) {
        return route.retryDelayUs(attempts);
    }

    @Override
    public long attemptTimeoutUs() {
        return route.attemptTimeoutUs();
    }

    @Override
    public long requestTimeoutUs() {
        return route.requestTimeoutUs();
    }

    @Override
    public long maxBodyBytes() {
        return route.maxBodyBytes();
    }

    @Override
    public boolean tryAcquire() {
        return route.tryAcquire();
    }

    @Override
    public void release() {
        route.release();
    }

    @Override
    public long retryAfterUs(long otherwiseUs) {
        return route.retryAfterUs(otherwiseUs);
    }
}
