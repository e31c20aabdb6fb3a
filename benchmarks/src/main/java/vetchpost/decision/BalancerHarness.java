package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;
import vetchpost.decision.Balancer.Actions;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Outcome;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;

/** A module with servers, a clock that goes on with each request, and the server that was sent to last. */
final class BalancerHarness implements Actions {
    private static final long REQUEST_INTERVAL_US = 100;
    private static final long SERVED_LATENCY_US = 5_000;
    private static final long FAILED_LATENCY_US = 1_000;

    final Balancer balancer;
    final int servers;
    /** Servers below this number fail whatever they are sent. */
    private final int failingServers;

    long nowUs = 1_000_000;
    private long lastId;
    private int sentTo = -1;
    private int attempts;
    private boolean finished;

    BalancerHarness(int servers, int failing) {
        this.servers = servers;
        this.failingServers = failing;
        Settings settings = new Settings();
        settings.maxAttempts = 4;
        settings.maxRetryAfterUs = 1_000_000;
        settings.classes.add(new RequestClass(
                "page", 100_000, 0, 500_000, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        balancer = new ServiceQBalancer(settings, 1, this);
    }

    static List<ServerEntry> list(int servers) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(new ServerEntry("s" + i, 0, i % 40, ServerState.READY, 1, 0));
        }
        return entries;
    }

    /** One request and the ends of its attempts, until it has its answer. */
    int runRequest() {
        nowUs += REQUEST_INTERVAL_US;
        long id = ++lastId;
        attempts = 0;
        finished = false;
        sentTo = -1;
        balancer.onRequest(nowUs, new Request(id, 0, -1, 500_000, 0, false));
        while (!finished && sentTo >= 0) {
            boolean fails = sentTo < failingServers;
            int attempt = attempts - 1;
            sentTo = -1;
            finished = !fails;
            balancer.onOutcome(
                    nowUs + (fails ? FAILED_LATENCY_US : SERVED_LATENCY_US),
                    new Outcome(
                            id,
                            attempt,
                            fails ? Result.ERROR : Result.OK,
                            fails ? FAILED_LATENCY_US : SERVED_LATENCY_US,
                            !fails,
                            null));
        }
        if (!finished) {
            balancer.onClientDisconnected(nowUs, id);
        }
        return attempts;
    }

    void applyList(ListKind kind, List<ServerEntry> entries) {
        balancer.onServers(nowUs, kind, entries);
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        sentTo = Integer.parseInt(serverId, 1, serverId.length(), 10);
        attempts++;
    }

    @Override
    public void cancel(long requestId, int attempt) {}

    @Override
    public void reject(long requestId, long retryAfterUs) {
        finished = true;
    }

    @Override
    public void fail(long requestId) {
        finished = true;
    }

    @Override
    public void wakeAt(long atUs) {}

    @Override
    public void probe(String serverId) {}

    @Override
    public void subscribe() {}

    @Override
    public void log(String line) {}
}
