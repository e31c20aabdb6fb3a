package vetchpost.simulation.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import vetchpost.core.ClientReply;
import vetchpost.core.ClientRequest;
import vetchpost.core.Dispatcher;
import vetchpost.core.EventLoopDelay;
import vetchpost.core.Failure;
import vetchpost.core.Headers;
import vetchpost.core.ServerList;
import vetchpost.core.ServerResponse;
import vetchpost.core.ServerTransport;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServiceQBalancer;
import vetchpost.simulation.fleet.ActualServers.Condition;
import vetchpost.simulation.overload.VirtualClock;
import vetchpost.sources.CheckPlan;
import vetchpost.sources.CheckPlan.Finding;
import vetchpost.sources.CheckRules;
import vetchpost.sources.Membership;
import vetchpost.sources.MergeRules;
import vetchpost.sources.ReportedServer;
import vetchpost.sources.ReportedServer.State;
import vetchpost.sources.SourceDeclaration;
import vetchpost.sources.SourceDeclaration.Kind;
import vetchpost.sources.SourceDeclaration.Permission;
import vetchpost.sources.SourceMerger;

/**
 * Simulates one node, with its dispatcher, balancer and server list, on virtual time. Servers fail and recover,
 * sources report errors and health checks give wrong results, all drawn from the seed. From {@link #LAST_FAULT_US}
 * on nothing more fails, and every healthy server has to receive requests again before the run ends.
 * {@link FleetCommand} and tests call it; a run is single-threaded, and runs may go on in parallel. The same seed gives
 * the same run.
 */
public final class FleetRun {
    private static final long START_US = 1_767_225_600_000_000L;
    private static final long SECOND_US = 1_000_000;
    /** From this time on no fault is injected; in microseconds from the start, as the next two. */
    static final long LAST_FAULT_US = 40 * SECOND_US;

    /** Each healthy server has to be sent requests after this time. */
    static final long RECOVERY_DEADLINE_US = 85 * SECOND_US;

    static final long RUN_LENGTH_US = 100 * SECOND_US;
    /** Time for a report to take effect: changes are batched for 10 ms, the rest covers events of the same turn. */
    static final long NOTIFICATION_GRACE_US = 50_000;

    private static final double REQUESTS_PER_SECOND = 100;
    private static final long MEAN_WORK_US = 10_000;
    private static final long NETWORK_DELAY_US = 300;
    private static final MergeRules MERGE_RULES = new MergeRules(0.5, 5 * SECOND_US, 4, 10 * SECOND_US, 2 * SECOND_US);
    private static final CheckRules CHECK_RULES =
            new CheckRules("/healthy", "a", 200, 399, 2 * SECOND_US, SECOND_US / 2, 2, 3, 20, 3, 1, 0, 0.5);

    /** How faulty servers are detected. */
    public enum DetectionMode {
        /** By the balancer alone, from the results of requests. */
        REQUESTS,
        /** Also by health checks, which don't see the results of requests. */
        BLIND,
        /** Also by health checks, which successful requests postpone and failed ones bring forward. */
        BOTH
    }

    /**
     * The result of a run.
     *
     * @param requests requests from clients
     * @param served requests that got a response with status 200 from a server
     * @param attempts attempts sent to servers
     * @param wasted attempts sent to servers that were down, unresponsive or not of this fleet
     * @param checks health checks made
     * @param meanDetectionUs mean time that such a server went on receiving attempts, in microseconds
     * @param violations broken rules, each as a sentence
     */
    public record Outcome(
            int requests,
            int served,
            int attempts,
            int wasted,
            int checks,
            double meanDetectionUs,
            List<String> violations) {}

    private final VirtualClock clock = new VirtualClock(START_US);
    private final SplittableRandom random;
    private final SplittableRandom serverRandom;
    private final ActualServers actualServers;
    private final Dispatcher node;
    private final Membership membership;
    private final CheckPlan checks;
    private final SourceMerger merger;
    private final DetectionMode detectionMode;
    /** Null if the run has no operators. */
    private final SimulatedOperators operators;

    private final List<SourceDeclaration> declarations = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final long[] lastServedUs = new long[ActualServers.SERVER_COUNT];
    /** Per server: when the first draining report by a source has to be in effect; -1 if there is none. */
    private final long[] drainEffectiveUs = new long[ActualServers.SERVER_COUNT];

    private final long[] firstWastedUs = new long[ActualServers.SERVER_COUNT];
    private final long[] lastWastedUs = new long[ActualServers.SERVER_COUNT];
    private long detectionSumUs;
    private int detectionCount;
    private long lastRequestId;
    private int requests;
    private int served;
    private int attempts;
    private int wasted;

    private FleetRun(long seed, DetectionMode detectionMode, boolean hasOperators) {
        this.detectionMode = detectionMode;
        operators = hasOperators ? new SimulatedOperators(seed) : null;
        random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 29);
        serverRandom = random.split();
        actualServers = new ActualServers(random.split(), LAST_FAULT_US);
        Settings settings = settings();
        node = new Dispatcher(
                clock,
                new EventLoopDelay(clock),
                new SimulatedTransport(),
                List.of(),
                () -> {},
                () -> {},
                SECOND_US,
                actions -> new ServiceQBalancer(settings, seed, actions));
        declareSources();
        membership = new Membership(declarations, MERGE_RULES);
        checks = detectionMode == DetectionMode.REQUESTS ? null : new CheckPlan(CHECK_RULES, seed, clock.nowUs());
        merger = new SourceMerger(membership, checks, settings.coldUs, START_US / 1_000, START_US);
        if (hasOperators) {
            merger.setOverrides(operators);
        }
        Arrays.fill(drainEffectiveUs, -1);
        Arrays.fill(firstWastedUs, -1);
    }

    /** Simulates the run of a seed without operators. */
    public static Outcome run(long seed, DetectionMode detectionMode) {
        return run(seed, detectionMode, false);
    }

    /**
     * Simulates the run of a seed.
     *
     * @param hasOperators whether simulated operators drain, weight and freeze servers at random
     */
    public static Outcome run(long seed, DetectionMode detectionMode, boolean hasOperators) {
        return new FleetRun(seed, detectionMode, hasOperators).run();
    }

    private static Settings settings() {
        Settings settings = new Settings();
        for (Idempotency idempotency : Idempotency.values()) {
            settings.classes.add(new RequestClass(
                    idempotency.name(),
                    300_000,
                    0,
                    SECOND_US,
                    1,
                    0.5,
                    idempotency,
                    DeduplicationScope.ALL,
                    SECOND_US,
                    false));
        }
        settings.maxAttempts = 3;
        settings.allowsCancellation = true;
        settings.clientsMarkRetries = true;
        settings.drainGraceUs = 500_000;
        settings.coldUs = 5 * SECOND_US;
        return settings;
    }

    /**
     * Declares one to three sources: a file that lists all servers, a DNS name that lists alternating halves, or both;
     * and sometimes a second file. Each of them may report errors.
     */
    private void declareSources() {
        int sourceChoice = 1 + random.nextInt(3);
        if (sourceChoice != 2) {
            declarations.add(declaration("file", Kind.FILE, 0));
        }
        if (sourceChoice != 1) {
            declarations.add(declaration("name", Kind.DNS, 6 * SECOND_US));
        }
        if (random.nextBoolean()) {
            declarations.add(declaration("other", Kind.FILE, 0));
        }
    }

    private static SourceDeclaration declaration(String name, Kind kind, long retentionUs) {
        return new SourceDeclaration(
                name,
                kind,
                name,
                80,
                EnumSet.allOf(Permission.class),
                SECOND_US,
                retentionUs,
                20 * SECOND_US,
                List.of(),
                List.of());
    }

    private long elapsedUs() {
        return clock.nowUs() - START_US;
    }

    private static String serverId(int server) {
        return ReportedServer.formatAddress(address(server));
    }

    private static InetSocketAddress address(int server) {
        return new InetSocketAddress("127.0.0.1", 1 + server);
    }

    private static int serverIndex(String id) {
        return Integer.parseInt(id.substring(id.indexOf(':') + 1)) - 1;
    }

    private Outcome run() {
        for (int i = 0; i < declarations.size(); i++) {
            reportServers(i, false);
            scheduleReports(i, SECOND_US);
        }
        node.onCachedList(new ServerList(0, true, List.of()));
        applyChanges();
        if (detectionMode == DetectionMode.BOTH) {
            node.setAttemptObserver((server, result, response, loopDelayUs, latencyUs) -> {
                switch (result) {
                    case OK -> checks.requestSucceeded(server, clock.nowUs());
                    case ERROR, RESET, CONNECT_FAILED, TIMEOUT -> checks.requestFailed(server, clock.nowUs());
                    default -> {}
                }
            });
        }
        scheduleApplyingChanges();
        if (operators != null) {
            scheduleOperators();
        }
        scheduleArrivals();
        clock.runUntil(START_US + RUN_LENGTH_US + 2 * SECOND_US);
        for (int server = 0; server < ActualServers.SERVER_COUNT; server++) {
            recordDetection(server);
            if (actualServers.isReady(server, RUN_LENGTH_US) && lastServedUs[server] < RECOVERY_DEADLINE_US) {
                violations.add("server " + server + " is healthy but has received no requests since "
                        + lastServedUs[server] / SECOND_US + " s");
            }
        }
        if (operators != null && operators.activeLeaseCount() > 0) {
            violations.add("overrides: " + operators.activeLeaseCount() + " leases are active past their end");
        }
        if (node.pendingRequests() > 0) {
            violations.add(node.pendingRequests() + " requests are still pending");
        }
        return new Outcome(
                requests,
                served,
                attempts,
                wasted,
                checks == null ? 0 : (int) checks.checkCount(),
                detectionCount == 0 ? 0 : (double) detectionSumUs / detectionCount,
                violations);
    }

    // ---------------------------------------------------------------- sources

    private void scheduleReports(int source, long intervalUs) {
        clock.schedule(clock.nowUs() + intervalUs, () -> {
            reportServers(source, elapsedUs() < LAST_FAULT_US);
            if (elapsedUs() < RUN_LENGTH_US) {
                scheduleReports(source, intervalUs);
            }
        });
    }

    private void reportServers(int source, boolean mayFail) {
        SourceDeclaration declaration = declarations.get(source);
        double draw = mayFail ? random.nextDouble() : 1;
        if (draw < 0.04) {
            membership.sourceFailed(source, "simulated read error", clock.nowUs());
            return;
        }
        if (draw < 0.07) {
            membership.serversReported(source, List.of(), clock.nowUs());
            return;
        }
        List<ReportedServer> reported = new ArrayList<>();
        for (int server = 0; server < ActualServers.SERVER_COUNT; server++) {
            boolean listed = actualServers.isListed(server, elapsedUs());
            boolean omitted = declaration.retentionUs() > 0 && elapsedUs() / SECOND_US % 2 != server % 2
                    || draw < 0.10 && server > 3;
            if (!listed || omitted) {
                continue;
            }
            boolean draining = declaration.kind() == Kind.FILE && !actualServers.isReady(server, elapsedUs());
            reported.add(
                    new ReportedServer("", List.of(address(server)), draining ? State.DRAINING : State.READY, 1, ""));
        }
        membership.serversReported(source, reported, clock.nowUs());
        for (int server = 0; server < ActualServers.SERVER_COUNT; server++) {
            int index = server;
            boolean draining = reported.stream()
                    .anyMatch(reportedServer -> reportedServer.state() == State.DRAINING
                            && reportedServer.addresses().contains(address(index)));
            if (draining && drainEffectiveUs[server] < 0) {
                drainEffectiveUs[server] = elapsedUs() + NOTIFICATION_GRACE_US;
            }
        }
    }

    // ---------------------------------------------------------------- applying changes

    private void scheduleApplyingChanges() {
        clock.schedule(clock.nowUs() + 10_000, () -> {
            applyChanges();
            if (elapsedUs() < RUN_LENGTH_US + SECOND_US) {
                scheduleApplyingChanges();
            }
        });
    }

    private void scheduleOperators() {
        clock.schedule(clock.nowUs() + SECOND_US / 2, () -> {
            if (elapsedUs() < LAST_FAULT_US) {
                String violation = operators.act(merger.members(), elapsedUs());
                if (!violation.isEmpty()) {
                    violations.add(violation);
                }
                applyChanges();
                scheduleOperators();
            }
        });
    }

    private void applyChanges() {
        if (operators != null) {
            operators.expire(elapsedUs());
        }
        List<ServerList.Target> changes = merger.pollChanges(clock.nowUs());
        if (!changes.isEmpty()) {
            node.onList(new ServerList(0, false, changes));
        }
        if (checks == null) {
            return;
        }
        for (String id : checks.dueChecks(clock.nowUs(), 32)) {
            Condition condition = actualServers.lifetimes.get(serverIndex(id)).conditionAt(elapsedUs());
            Finding finding = switch (condition) {
                case DOWN, UNRESPONSIVE, FAILING, HEALTHY_BUT_CHECK_FAILING -> Finding.UNHEALTHY;
                case WRONG_SERVER -> Finding.WRONG_SERVER;
                default -> Finding.HEALTHY;
            };
            long durationUs = condition == Condition.UNRESPONSIVE ? CHECK_RULES.timeoutUs() : 2 * NETWORK_DELAY_US;
            clock.schedule(clock.nowUs() + durationUs, () -> checks.checkCompleted(id, finding, clock.nowUs()));
        }
    }

    // ---------------------------------------------------------------- clients

    private void scheduleArrivals() {
        long atUs = clock.nowUs() + 1 + (long) (-StrictMath.log(1 - random.nextDouble()) * 1e6 / REQUESTS_PER_SECOND);
        clock.schedule(atUs, () -> {
            if (elapsedUs() < RUN_LENGTH_US) {
                new PendingClient(random.nextInt(Idempotency.values().length)).send();
                scheduleArrivals();
            }
        });
    }

    private static final Headers NO_HEADERS = new Headers() {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {}
    };

    /** A client with one request, which has to get exactly one reply. */
    private final class PendingClient implements ClientReply {
        private final int classIndex;
        private final long requestId = ++lastRequestId;
        private final long startedUs = clock.nowUs();
        private int replies;

        PendingClient(int classIndex) {
            this.classIndex = classIndex;
        }

        void send() {
            requests++;
            clock.schedule(startedUs + SECOND_US + NOTIFICATION_GRACE_US, () -> {
                if (replies != 1) {
                    violations.add("lost: request " + requestId + " had " + replies
                            + " replies within its deadline, expected 1");
                }
            });
            node.accept(
                    new ClientRequest(
                            requestId, classIndex, -1, SECOND_US, 0, false, "GET", "/", NO_HEADERS, new byte[0]),
                    this,
                    0);
        }

        private void countReply() {
            if (++replies > 1) {
                violations.add("lost: request " + requestId + " got a second reply");
            }
        }

        @Override
        public void served(ServerResponse response) {
            countReply();
            if (response.status() == 200) {
                served++;
                if (!response.contentType().equals("of " + requestId)) {
                    violations.add("lost: request " + requestId + " got the wrong response, " + response.contentType());
                }
            }
        }

        @Override
        public void rejected(long retryAfterUs) {
            countReply();
        }

        @Override
        public void failed(Failure reason) {
            countReply();
        }

        @Override
        public void onDisconnect(Runnable action) {}
    }

    // ---------------------------------------------------------------- servers

    private void recordDetection(int server) {
        if (firstWastedUs[server] >= 0) {
            detectionSumUs += lastWastedUs[server] - firstWastedUs[server];
            detectionCount++;
            firstWastedUs[server] = -1;
        }
    }

    /** Carries attempts to the simulated servers, which respond according to their current condition. */
    private final class SimulatedTransport implements ServerTransport {
        @Override
        public void update(ServerList list) {}

        @Override
        public Attempt send(String serverId, OutgoingRequest outgoing) {
            int server = serverIndex(serverId);
            ClientRequest request = outgoing.request();
            attempts++;
            Condition condition = actualServers.lifetimes.get(server).conditionAt(elapsedUs());
            if (drainEffectiveUs[server] >= 0 && elapsedUs() > drainEffectiveUs[server] + settings().drainGraceUs) {
                violations.add("drained: server " + server + " was sent request " + request.id() + " "
                        + (elapsedUs() - drainEffectiveUs[server]) / 1_000
                        + " ms after a source had reported that it drains");
            }
            if (operators != null && operators.forbids(serverId, elapsedUs(), settings().drainGraceUs)) {
                violations.add("drained: server " + server + " was sent request " + request.id()
                        + " while an operator's drain was active");
            }
            if (condition == Condition.DOWN
                    || condition == Condition.UNRESPONSIVE
                    || condition == Condition.WRONG_SERVER) {
                wasted++;
                firstWastedUs[server] = firstWastedUs[server] < 0 ? elapsedUs() : firstWastedUs[server];
                lastWastedUs[server] = elapsedUs();
            } else {
                recordDetection(server);
            }
            SimulatedAttempt attempt = new SimulatedAttempt(outgoing);
            long workUs = MEAN_WORK_US / 2 + serverRandom.nextLong(MEAN_WORK_US);
            switch (condition) {
                case DOWN -> attempt.endAfter(NETWORK_DELAY_US, Result.CONNECT_FAILED, null);
                case UNRESPONSIVE -> execute(request, server);
                case WRONG_SERVER -> attempt.endAfter(2 * NETWORK_DELAY_US, Result.RESET, null);
                case FAILING, FAILING_BUT_CHECKED_HEALTHY -> {
                    execute(request, server);
                    attempt.endAfter(workUs / 4, Result.ERROR, new ServerResponse(500, null, new byte[0]));
                }
                default -> {
                    execute(request, server);
                    lastServedUs[server] = elapsedUs();
                    attempt.endAfter(
                            condition == Condition.SLOW ? 20 * workUs : workUs,
                            Result.OK,
                            new ServerResponse(200, "of " + request.id(), new byte[0]));
                }
            }
            return attempt;
        }

        private void execute(ClientRequest request, int server) {
            Idempotency idempotency = Idempotency.values()[request.classIndex()];
            int count = executions.merge(request.id() + "", 1, Integer::sum);
            if (idempotency == Idempotency.UNSAFE && count > 1) {
                violations.add("twice: request " + request.id() + " was executed again, by server " + server);
            }
        }

        @Override
        public Attempt probe(String serverId, AttemptListener listener) {
            throw new IllegalStateException("the settings of this run allow no probes");
        }

        @Override
        public void close() {}
    }

    private final class SimulatedAttempt implements ServerTransport.Attempt {
        private final ServerTransport.AttemptListener listener;
        private boolean ended;

        SimulatedAttempt(ServerTransport.AttemptListener listener) {
            this.listener = listener;
        }

        void endAfter(long delayUs, Result result, ServerResponse response) {
            clock.schedule(clock.nowUs() + delayUs, () -> end(result, response));
        }

        private void end(Result result, ServerResponse response) {
            if (!ended) {
                ended = true;
                listener.onEnded(result, response);
            }
        }

        @Override
        public boolean mayHaveReachedServer() {
            return true;
        }

        @Override
        public void abandon(Result reason) {
            end(reason, null);
        }
    }

    /** Returns the names of the sources that a seed declares, for tests. */
    static Set<String> sourceNames(long seed) {
        Set<String> names = new TreeSet<>();
        new FleetRun(seed, DetectionMode.REQUESTS, false)
                .declarations.forEach(declaration -> names.add(declaration.name()));
        return names;
    }
}
