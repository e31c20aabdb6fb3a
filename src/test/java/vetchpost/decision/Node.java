package vetchpost.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchpost.decision.Balancer.Actions;
import vetchpost.decision.Balancer.Candidate;
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
import vetchpost.decision.Balancer.Tenant;
import vetchpost.decision.Balancer.UnservedReason;

/** A node for tests: a clock, a module and a record of what it asked for. */
final class Node implements Actions {
    static final int SAFE = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int UNSAFE = 4;

    /** An attempt as it was asked for. */
    record SentAttempt(long atUs, long request, int attempt, String server, long untilUs) {}

    final Settings settings;
    final List<SentAttempt> sent = new ArrayList<>();
    /** What has no outcome yet. */
    final List<SentAttempt> outstanding = new ArrayList<>();

    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    int subscriptions;
    /** Whether it wants to be told why; what it is told then. */
    boolean wantsExplanations;

    final Map<Long, UnservedReason> reasons = new HashMap<>();
    final Map<Long, List<Candidate>> candidates = new HashMap<>();
    long now = 1_000_000;
    private final List<Long> wakes = new ArrayList<>();
    private long nextId = 1;
    Balancer balancer;

    Node(Settings settings, long seed) {
        this.settings = settings;
        balancer = new ServiceQBalancer(settings, seed, this);
    }

    Node() {
        this(settings(), 7);
    }

    static Settings settings() {
        Settings set = new Settings();
        set.zones.add("here");
        set.zones.add("there");
        set.classes.add(requestClass("safe", Idempotency.SAFE, DeduplicationScope.ALL));
        set.classes.add(requestClass("keyed-all", Idempotency.KEYED, DeduplicationScope.ALL));
        set.classes.add(requestClass("keyed-zone", Idempotency.KEYED, DeduplicationScope.ZONE));
        set.classes.add(requestClass("keyed-cell", Idempotency.KEYED, DeduplicationScope.CELL));
        set.classes.add(requestClass("unsafe", Idempotency.UNSAFE, DeduplicationScope.ALL));
        set.tenants.add(new Tenant("tenant", 0));
        set.maxAttempts = 4;
        set.allowsHedging = true;
        set.allowsCancellation = true;
        return set;
    }

    static RequestClass requestClass(String name, Idempotency repeat, DeduplicationScope group) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, repeat, group, 400_000, false);
    }

    /** Settings under which an answer past the aim still earns something, so that its request goes on. */
    static Settings settingsWithLateValue() {
        Settings set = settings();
        set.classes.replaceAll(c -> new RequestClass(
                c.name(),
                c.latencyTargetUs(),
                0,
                c.deadlineUs(),
                c.value(),
                0.5,
                c.idempotency(),
                c.deduplicationScope(),
                c.deduplicationWindowUs(),
                c.isStreaming()));
        return set;
    }

    static ServerEntry server(String id) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, 0);
    }

    /** Gives the first list: servers s0, s1, ... all warm, in one zone and cell. */
    Node withServers(int servers) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(server("s" + i));
        }
        return list(ListKind.CACHED, entries);
    }

    Node list(ListKind kind, List<ServerEntry> entries) {
        balancer.onServers(now, kind, entries);
        return this;
    }

    long sendRequest(int classIndex) {
        return sendRequest(classIndex, 1_000_000);
    }

    long sendRequest(int classIndex, long leftUs) {
        return sendRequest(classIndex, 0, leftUs);
    }

    long sendRequest(int classIndex, int tenant, long leftUs) {
        long id = nextId++;
        balancer.onRequest(now, new Request(id, classIndex, tenant, leftUs, 0, false));
        return id;
    }

    /** The newest attempt of a request, or null. */
    SentAttempt lastAttempt(long request) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).request == request) {
                return sent.get(i);
            }
        }
        return null;
    }

    int attemptCount(long request) {
        return (int) sent.stream().filter(s -> s.request == request).count();
    }

    long sentTo(String server) {
        return sent.stream().filter(s -> s.server.equals(server)).count();
    }

    /** Ends a request's newest attempt after some time. */
    void complete(long request, Result result, long afterUs) {
        advance(afterUs);
        SentAttempt attempt = lastAttempt(request);
        outstanding.remove(attempt);
        balancer.onOutcome(
                now, new Outcome(request, attempt.attempt, result, now - attempt.atUs, result == Result.OK, null));
    }

    /** One request sent and ended; its server. */
    String serve(int classIndex, Result result, long afterUs) {
        long id = sendRequest(classIndex);
        String server = lastAttempt(id).server;
        complete(id, result, afterUs);
        return server;
    }

    /** Moves the clock on, firing the wake-ups that come due. */
    void advance(long us) {
        long until = now + us;
        while (true) {
            long first = wakes.stream().mapToLong(w -> w).min().orElse(Long.MAX_VALUE);
            if (first > until) {
                break;
            }
            wakes.remove(first);
            now = Math.max(now, first);
            balancer.onWake(now);
        }
        now = until;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        SentAttempt attempt = new SentAttempt(now, requestId, attemptCount(requestId), serverId, untilUs);
        sent.add(attempt);
        outstanding.add(attempt);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        assertReason(requestId);
        rejected.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        assertReason(requestId);
        failed.add(requestId);
    }

    private void assertReason(long requestId) {
        if (wantsExplanations && !reasons.containsKey(requestId)) {
            throw new AssertionError("given up without a reason");
        }
    }

    @Override
    public boolean wantsExplanations() {
        return wantsExplanations;
    }

    @Override
    public void reportCandidates(long requestId, Candidate first, Candidate second) {
        candidates.put(requestId, second == null ? List.of(first) : List.of(first, second));
    }

    @Override
    public void reportReason(long requestId, UnservedReason why) {
        if (reasons.put(requestId, why) != null) {
            throw new AssertionError("two reasons");
        }
    }

    @Override
    public void wakeAt(long atUs) {
        wakes.add(atUs);
    }

    @Override
    public void probe(String serverId) {
        probed.add(serverId);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    @Override
    public void log(String line) {
        logged.add(line);
    }
}
