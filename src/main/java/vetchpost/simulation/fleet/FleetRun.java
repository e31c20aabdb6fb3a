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
 * One node with its core, module and list of servers, on virtual time, before modelled boxes that fall ill
 * and recover, sources that err and checks that lie; all of it drawn from a seed. After a while nothing more
 * goes wrong, and every box that is well has to be served again. The same seed gives the same run.
 */
public final class FleetRun {
    private static final long START_US = 1_767_225_600_000_000L;
    private static final long SECOND_US = 1_000_000;
    /** Nothing goes wrong from here on, and from the second on all must be as it should. */
    static final long LAST_FAULT_US = 40 * SECOND_US;

    static final long RECOVERY_DEADLINE_US = 85 * SECOND_US;
    static final long RUN_LENGTH_US = 100 * SECOND_US;
    /** The conductor gathers for 10 ms; the rest is for what is drawn in the same turn. */
    static final long NOTIFICATION_GRACE_US = 50_000;

    private static final double REQUESTS_PER_SECOND = 100;
    private static final long MEAN_WORK_US = 10_000;
    private static final long NETWORK_DELAY_US = 300;
    private static final MergeRules MERGE_RULES = new MergeRules(0.5, 5 * SECOND_US, 4, 10 * SECOND_US, 2 * SECOND_US);
    private static final CheckRules CHECK_RULES =
            new CheckRules("/healthy", "a", 200, 399, 2 * SECOND_US, SECOND_US / 2, 2, 3, 20, 3, 1, 0, 0.5);

    /** Who finds out what is ill. */
    public enum DetectionMode {
        /** The module, by what becomes of requests. */
        REQUESTS,
        /** Checks besides, blind to what becomes of requests. */
        BLIND,
        /** Checks besides, which real answers put off and failures bring on. */
        BOTH
    }

    /**
     * What a run has come to.
     *
     * @param wanted requests of clients
     * @param served whole, in time, and by a box of the fleet
     * @param wasted attempts at boxes that were dead, silent or another's
     * @param noticeUs how long such a box went on being sent requests, by mean
     * @param broken the rules that were broken, each in words
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
    /** Null where there are none. */
    private final SimulatedOperators operators;

    private final List<SourceDeclaration> declarations = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> executions = new HashMap<>();
    private final long[] lastServedUs = new long[ActualServers.SERVER_COUNT];
    /** By box: since when a source's word forbids it, as the checker has it; -1 for not. */
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

    private FleetRun(long seed, DetectionMode watch, boolean operated) {
        this.detectionMode = watch;
        operators = operated ? new SimulatedOperators(seed) : null;
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
        checks = watch == DetectionMode.REQUESTS ? null : new CheckPlan(CHECK_RULES, seed, clock.nowUs());
        merger = new SourceMerger(membership, checks, settings.coldUs, START_US / 1_000, START_US);
        if (operated) {
            merger.setOverrides(operators);
        }
        Arrays.fill(drainEffectiveUs, -1);
        Arrays.fill(firstWastedUs, -1);
    }

    /** Plays a seed. */
    public static Outcome run(long seed, DetectionMode watch) {
        return run(seed, watch, false);
    }

    /** Plays a seed, with operators who do as chance has it or without. */
    public static Outcome run(long seed, DetectionMode watch, boolean operated) {
        return new FleetRun(seed, watch, operated).run();
    }

    private static Settings settings() {
        Settings set = new Settings();
        for (Idempotency repeat : Idempotency.values()) {
            set.classes.add(new RequestClass(
                    repeat.name(), 300_000, 0, SECOND_US, 1, 0.5, repeat, DeduplicationScope.ALL, SECOND_US, false));
        }
        set.maxAttempts = 3;
        set.allowsCancellation = true;
        set.clientsMarkRetries = true;
        set.drainGraceUs = 500_000;
        set.coldUs = 5 * SECOND_US;
        return set;
    }

    /**
     * One to three sources: a file that names all, a name that gives halves in turn, or both, and who errs.
     */
    private void declareSources() {
        int kinds = 1 + random.nextInt(3);
        if (kinds != 2) {
            declarations.add(declaration("file", Kind.FILE, 0));
        }
        if (kinds != 1) {
            declarations.add(declaration("name", Kind.DNS, 6 * SECOND_US));
        }
        if (random.nextBoolean()) {
            declarations.add(declaration("other", Kind.FILE, 0));
        }
    }

    private static SourceDeclaration declaration(String name, Kind kind, long keepUs) {
        return new SourceDeclaration(
                name,
                kind,
                name,
                80,
                EnumSet.allOf(Permission.class),
                SECOND_US,
                keepUs,
                20 * SECOND_US,
                List.of(),
                List.of());
    }

    private long elapsedUs() {
        return clock.nowUs() - START_US;
    }

    private static String serverId(int box) {
        return ReportedServer.formatAddress(address(box));
    }

    private static InetSocketAddress address(int box) {
        return new InetSocketAddress("127.0.0.1", 1 + box);
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
            node.setAttemptObserver((server, result, answer, stalled, us) -> {
                switch (result) {
                    case OK -> checks.requestSucceeded(server, clock.nowUs());
                    case ERROR, RESET, CONNECT_FAILED, TIMEOUT -> checks.requestFailed(server, clock.nowUs());
                    default -> {}
                }
            });
        }
        scheduleSettling();
        if (operators != null) {
            scheduleOperators();
        }
        scheduleArrivals();
        clock.runUntil(START_US + RUN_LENGTH_US + 2 * SECOND_US);
        for (int box = 0; box < ActualServers.SERVER_COUNT; box++) {
            endWasteInterval(box);
            if (actualServers.isReady(box, RUN_LENGTH_US) && lastServedUs[box] < RECOVERY_DEADLINE_US) {
                violations.add(
                        "box " + box + " is well and was not served to since " + lastServedUs[box] / SECOND_US + " s");
            }
        }
        if (operators != null && operators.activeLeaseCount() > 0) {
            violations.add("overrides: " + operators.activeLeaseCount() + " hold past their time");
        }
        if (node.pendingRequests() > 0) {
            violations.add(node.pendingRequests() + " requests are still held");
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

    private void scheduleReports(int source, long us) {
        clock.schedule(clock.nowUs() + us, () -> {
            reportServers(source, elapsedUs() < LAST_FAULT_US);
            if (elapsedUs() < RUN_LENGTH_US) {
                scheduleReports(source, us);
            }
        });
    }

    private void reportServers(int source, boolean mayErr) {
        SourceDeclaration by = declarations.get(source);
        double draw = mayErr ? random.nextDouble() : 1;
        if (draw < 0.04) {
            membership.sourceFailed(source, "it can't be read", clock.nowUs());
            return;
        }
        if (draw < 0.07) {
            membership.serversReported(source, List.of(), clock.nowUs());
            return;
        }
        List<ReportedServer> said = new ArrayList<>();
        for (int box = 0; box < ActualServers.SERVER_COUNT; box++) {
            boolean there = actualServers.isListed(box, elapsedUs());
            boolean half = by.retentionUs() > 0 && elapsedUs() / SECOND_US % 2 != box % 2 || draw < 0.10 && box > 3;
            if (!there || half) {
                continue;
            }
            boolean drains = by.kind() == Kind.FILE && !actualServers.isReady(box, elapsedUs());
            said.add(new ReportedServer("", List.of(address(box)), drains ? State.DRAINING : State.READY, 1, ""));
        }
        membership.serversReported(source, said, clock.nowUs());
        for (int box = 0; box < ActualServers.SERVER_COUNT; box++) {
            int each = box;
            boolean drains = said.stream()
                    .anyMatch(n -> n.state() == State.DRAINING && n.addresses().contains(address(each)));
            if (drains && drainEffectiveUs[box] < 0) {
                drainEffectiveUs[box] = elapsedUs() + NOTIFICATION_GRACE_US;
            }
        }
    }

    // ---------------------------------------------------------------- the conductor

    private void scheduleSettling() {
        clock.schedule(clock.nowUs() + 10_000, () -> {
            applyChanges();
            if (elapsedUs() < RUN_LENGTH_US + SECOND_US) {
                scheduleSettling();
            }
        });
    }

    private void scheduleOperators() {
        clock.schedule(clock.nowUs() + SECOND_US / 2, () -> {
            if (elapsedUs() < LAST_FAULT_US) {
                String wrong = operators.act(merger.members(), elapsedUs());
                if (!wrong.isEmpty()) {
                    violations.add(wrong);
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
            Condition mood = actualServers.lifetimes.get(serverIndex(id)).conditionAt(elapsedUs());
            Finding finding = switch (mood) {
                case DOWN, UNRESPONSIVE, FAILING, HEALTHY_BUT_CHECK_FAILING -> Finding.UNHEALTHY;
                case WRONG_SERVER -> Finding.WRONG_SERVER;
                default -> Finding.HEALTHY;
            };
            long took = mood == Condition.UNRESPONSIVE ? CHECK_RULES.timeoutUs() : 2 * NETWORK_DELAY_US;
            clock.schedule(clock.nowUs() + took, () -> checks.checkCompleted(id, finding, clock.nowUs()));
        }
    }

    // ---------------------------------------------------------------- clients

    private void scheduleArrivals() {
        long next = clock.nowUs() + 1 + (long) (-StrictMath.log(1 - random.nextDouble()) * 1e6 / REQUESTS_PER_SECOND);
        clock.schedule(next, () -> {
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

    /** What one client wants, and the one answer that it is owed. */
    private final class PendingClient implements ClientReply {
        private final int classIndex;
        private final long requestId = ++lastRequestId;
        private final long startedUs = clock.nowUs();
        private int replies;

        PendingClient(int cls) {
            this.classIndex = cls;
        }

        void send() {
            requests++;
            clock.schedule(startedUs + SECOND_US + NOTIFICATION_GRACE_US, () -> {
                if (replies != 1) {
                    violations.add("lost: request " + requestId + " had " + replies + " answers in its time");
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
                violations.add("lost: request " + requestId + " was answered twice");
            }
        }

        @Override
        public void served(ServerResponse answer) {
            countReply();
            if (answer.status() == 200) {
                served++;
                if (!answer.contentType().equals("of " + requestId)) {
                    violations.add("lost: request " + requestId + " was served with what is " + answer.contentType());
                }
            }
        }

        @Override
        public void rejected(long retryAfterUs) {
            countReply();
        }

        @Override
        public void failed(Failure why) {
            countReply();
        }

        @Override
        public void onDisconnect(Runnable action) {}
    }

    // ---------------------------------------------------------------- boxes

    private void endWasteInterval(int box) {
        if (firstWastedUs[box] >= 0) {
            detectionSumUs += lastWastedUs[box] - firstWastedUs[box];
            detectionCount++;
            firstWastedUs[box] = -1;
        }
    }

    /** The way to the boxes: who is asked there runs it, fails it, keeps silent or is somebody else. */
    private final class SimulatedTransport implements ServerTransport {
        @Override
        public void update(ServerList list) {}

        @Override
        public Attempt send(String serverId, OutgoingRequest sending) {
            int box = serverIndex(serverId);
            ClientRequest request = sending.request();
            attempts++;
            Condition mood = actualServers.lifetimes.get(box).conditionAt(elapsedUs());
            if (drainEffectiveUs[box] >= 0 && elapsedUs() > drainEffectiveUs[box] + settings().drainGraceUs) {
                violations.add("drained: box " + box + " was sent request " + request.id() + " "
                        + (elapsedUs() - drainEffectiveUs[box]) / 1_000 + " ms after a source had said that it drains");
            }
            if (operators != null && operators.forbids(serverId, elapsedUs(), settings().drainGraceUs)) {
                violations.add("drained: box " + box + " was sent request " + request.id()
                        + " after an operator had drained it");
            }
            if (mood == Condition.DOWN || mood == Condition.UNRESPONSIVE || mood == Condition.WRONG_SERVER) {
                wasted++;
                firstWastedUs[box] = firstWastedUs[box] < 0 ? elapsedUs() : firstWastedUs[box];
                lastWastedUs[box] = elapsedUs();
            } else {
                endWasteInterval(box);
            }
            SimulatedAttempt sent = new SimulatedAttempt(sending);
            long work = MEAN_WORK_US / 2 + serverRandom.nextLong(MEAN_WORK_US);
            switch (mood) {
                case DOWN -> sent.endAfter(NETWORK_DELAY_US, Result.CONNECT_FAILED, null);
                case UNRESPONSIVE -> execute(request, box);
                case WRONG_SERVER -> sent.endAfter(2 * NETWORK_DELAY_US, Result.RESET, null);
                case FAILING, FAILING_BUT_CHECKED_HEALTHY -> {
                    execute(request, box);
                    sent.endAfter(work / 4, Result.ERROR, new ServerResponse(500, null, new byte[0]));
                }
                default -> {
                    execute(request, box);
                    lastServedUs[box] = elapsedUs();
                    sent.endAfter(
                            mood == Condition.SLOW ? 20 * work : work,
                            Result.OK,
                            new ServerResponse(200, "of " + request.id(), new byte[0]));
                }
            }
            return sent;
        }

        private void execute(ClientRequest request, int box) {
            Idempotency repeat = Idempotency.values()[request.classIndex()];
            int times = executions.merge(request.id() + "", 1, Integer::sum);
            if (repeat == Idempotency.UNSAFE && times > 1) {
                violations.add("twice: request " + request.id() + " ran again, at box " + box);
            }
        }

        @Override
        public Attempt probe(String serverId, AttemptListener report) {
            throw new IllegalStateException("no probes are allowed");
        }

        @Override
        public void close() {}
    }

    private final class SimulatedAttempt implements ServerTransport.Attempt {
        private final ServerTransport.AttemptListener listener;
        private boolean ended;

        SimulatedAttempt(ServerTransport.AttemptListener report) {
            this.listener = report;
        }

        void endAfter(long us, Result result, ServerResponse answer) {
            clock.schedule(clock.nowUs() + us, () -> end(result, answer));
        }

        private void end(Result result, ServerResponse answer) {
            if (!ended) {
                ended = true;
                listener.onEnded(result, answer);
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

    /** For a test: the sources that a seed draws. */
    static Set<String> sourceNames(long seed) {
        Set<String> names = new TreeSet<>();
        new FleetRun(seed, DetectionMode.REQUESTS, false).declarations.forEach(d -> names.add(d.name()));
        return names;
    }
}
