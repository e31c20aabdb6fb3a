package vetchpost.core;

/**
 * The limits of a request whose body is streamed: once any of the unbuffered part has been sent it may have run and
 * can't be sent again. An attempt that surely never ran can be, since none of that part was read then.
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
    public long retryAfterUs(long defaultUs) {
        return route.retryAfterUs(defaultUs);
    }
}
