package vetchpost.core;

/**
 * The bounds of a request whose body comes bit by bit: once any of what is not held has been passed on it
 * may have run, and can't be sent again. What surely never ran can, since nothing of the rest was taken then.
 */
record OnceBounds(RouteBounds route) implements RouteBounds {
    @Override
    public int attempts() {
        return 1;
    }

    @Override
    public boolean mayRepeat() {
        return route.mayRepeat();
    }

    @Override
    public void repeated() {
        route.repeated();
    }

    @Override
    public void served(long latencyUs) {
        route.served(latencyUs);
    }

    @Override
    public long waitUs(int attempts) {
        return route.waitUs(attempts);
    }

    @Override
    public long attemptUs() {
        return route.attemptUs();
    }

    @Override
    public long totalUs() {
        return route.totalUs();
    }

    @Override
    public long bodyBytes() {
        return route.bodyBytes();
    }

    @Override
    public boolean enter() {
        return route.enter();
    }

    @Override
    public void leave() {
        route.leave();
    }

    @Override
    public long adviseUs(long otherwiseUs) {
        return route.adviseUs(otherwiseUs);
    }
}
