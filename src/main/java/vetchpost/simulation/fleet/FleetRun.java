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
    private static final long S = 1_000_000;
    /** Nothing goes wrong from here on, and from the second on all must be as it should. */
    static final long QUIET_US = 40 * S;

    static final long SETTLED_US = 85 * S;
    static final long END_US = 100 * S;
    /** The conductor gathers for 10 ms; the rest is for what is drawn in the same turn. */
    static final long TOLD_WITHIN_US = 50_000;

    private static final double PER_S = 100;
    private static final long WORK_US = 10_000;
    private static final long WAY_US = 300;
    private static final MergeRules MERGE = new MergeRules(0.5, 5 * S, 4, 10 * S, 2 * S);
    private static final CheckRules CHECKS =
            new CheckRules("/healthy", "a", 200, 399, 2 * S, S / 2, 2, 3, 20, 3, 1, 0, 0.5);

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
            int requests, int served, int attempts, int wasted, int checks, double noticeUs, List<String> violations) {}

    private final VirtualClock clock = new VirtualClock(START_US);
    private final SplittableRandom chance;
    private final SplittableRandom boxChance;
    private final ActualServers truth;
    private final Dispatcher node;
    private final Membership membership;
    private final CheckPlan checks;
    private final SourceMerger composer;
    private final DetectionMode watch;
    /** Null where there are none. */
    private final Operators operators;

    private final List<SourceDeclaration> declared = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Integer> ran = new HashMap<>();
    private final long[] servedUs = new long[ActualServers.BOXES];
    /** By box: since when a source's word forbids it, as the checker has it; -1 for not. */
    private final long[] forbiddenUs = new long[ActualServers.BOXES];

    private final long[] firstWastedUs = new long[ActualServers.BOXES];
    private final long[] lastWastedUs = new long[ActualServers.BOXES];
    private long noticeSum;
    private int noticed;
    private long ids;
    private int wanted;
    private int served;
    private int attempts;
    private int wasted;

    private FleetRun(long seed, DetectionMode watch, boolean operated) {
        this.watch = watch;
        operators = operated ? new Operators(seed) : null;
        chance = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 29);
        boxChance = chance.split();
        truth = new ActualServers(chance.split(), QUIET_US);
        Settings settings = settings();
        node = new Dispatcher(
                clock,
                new EventLoopDelay(clock),
                new Boxes(),
                List.of(),
                () -> {},
                () -> {},
                S,
                actions -> new ServiceQBalancer(settings, seed, actions));
        draw();
        membership = new Membership(declared, MERGE);
        checks = watch == DetectionMode.REQUESTS ? null : new CheckPlan(CHECKS, seed, clock.nowUs());
        composer = new SourceMerger(membership, checks, settings.coldUs, START_US / 1_000, START_US);
        if (operated) {
            composer.setOverrides(operators);
        }
        Arrays.fill(forbiddenUs, -1);
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
            set.classes.add(
                    new RequestClass(repeat.name(), 300_000, 0, S, 1, 0.5, repeat, DeduplicationScope.ALL, S, false));
        }
        set.maxAttempts = 3;
        set.allowsCancellation = true;
        set.clientsMarkRetries = true;
        set.drainGraceUs = 500_000;
        set.coldUs = 5 * S;
        return set;
    }

    /**
     * One to three sources: a file that names all, a name that gives halves in turn, or both, and who errs.
     */
    private void draw() {
        int kinds = 1 + chance.nextInt(3);
        if (kinds != 2) {
            declared.add(source("file", Kind.FILE, 0));
        }
        if (kinds != 1) {
            declared.add(source("name", Kind.DNS, 6 * S));
        }
        if (chance.nextBoolean()) {
            declared.add(source("other", Kind.FILE, 0));
        }
    }

    private static SourceDeclaration source(String name, Kind kind, long keepUs) {
        return new SourceDeclaration(
                name, kind, name, 80, EnumSet.allOf(Permission.class), S, keepUs, 20 * S, List.of(), List.of());
    }

    private long at() {
        return clock.nowUs() - START_US;
    }

    private static String id(int box) {
        return ReportedServer.formatAddress(address(box));
    }

    private static InetSocketAddress address(int box) {
        return new InetSocketAddress("127.0.0.1", 1 + box);
    }

    private static int box(String id) {
        return Integer.parseInt(id.substring(id.indexOf(':') + 1)) - 1;
    }

    private Outcome run() {
        for (int i = 0; i < declared.size(); i++) {
            say(i, false);
            every(i, S);
        }
        node.onCachedList(new ServerList(0, true, List.of()));
        settle();
        if (watch == DetectionMode.BOTH) {
            node.setAttemptObserver((server, result, answer, stalled, us) -> {
                switch (result) {
                    case OK -> checks.requestSucceeded(server, clock.nowUs());
                    case ERROR, RESET, CONNECT_FAILED, TIMEOUT -> checks.requestFailed(server, clock.nowUs());
                    default -> {}
                }
            });
        }
        tick();
        if (operators != null) {
            operate();
        }
        arrive();
        clock.runUntil(START_US + END_US + 2 * S);
        for (int box = 0; box < ActualServers.BOXES; box++) {
            notice(box);
            if (truth.isReady(box, END_US) && servedUs[box] < SETTLED_US) {
                broken.add("box " + box + " is well and was not served to since " + servedUs[box] / S + " s");
            }
        }
        if (operators != null && operators.held() > 0) {
            broken.add("overrides: " + operators.held() + " hold past their time");
        }
        if (node.pendingRequests() > 0) {
            broken.add(node.pendingRequests() + " requests are still held");
        }
        return new Outcome(
                wanted,
                served,
                attempts,
                wasted,
                checks == null ? 0 : (int) checks.checkCount(),
                noticed == 0 ? 0 : (double) noticeSum / noticed,
                broken);
    }

    // ---------------------------------------------------------------- sources

    private void every(int source, long us) {
        clock.schedule(clock.nowUs() + us, () -> {
            say(source, at() < QUIET_US);
            if (at() < END_US) {
                every(source, us);
            }
        });
    }

    private void say(int source, boolean mayErr) {
        SourceDeclaration by = declared.get(source);
        double draw = mayErr ? chance.nextDouble() : 1;
        if (draw < 0.04) {
            membership.sourceFailed(source, "it can't be read", clock.nowUs());
            return;
        }
        if (draw < 0.07) {
            membership.serversReported(source, List.of(), clock.nowUs());
            return;
        }
        List<ReportedServer> said = new ArrayList<>();
        for (int box = 0; box < ActualServers.BOXES; box++) {
            boolean there = truth.isThere(box, at());
            boolean half = by.retentionUs() > 0 && at() / S % 2 != box % 2 || draw < 0.10 && box > 3;
            if (!there || half) {
                continue;
            }
            boolean drains = by.kind() == Kind.FILE && !truth.isReady(box, at());
            said.add(new ReportedServer("", List.of(address(box)), drains ? State.DRAINING : State.READY, 1, ""));
        }
        membership.serversReported(source, said, clock.nowUs());
        for (int box = 0; box < ActualServers.BOXES; box++) {
            int each = box;
            boolean drains = said.stream()
                    .anyMatch(n -> n.state() == State.DRAINING && n.addresses().contains(address(each)));
            if (drains && forbiddenUs[box] < 0) {
                forbiddenUs[box] = at() + TOLD_WITHIN_US;
            }
        }
    }

    // ---------------------------------------------------------------- the conductor

    private void tick() {
        clock.schedule(clock.nowUs() + 10_000, () -> {
            settle();
            if (at() < END_US + S) {
                tick();
            }
        });
    }

    private void operate() {
        clock.schedule(clock.nowUs() + S / 2, () -> {
            if (at() < QUIET_US) {
                String wrong = operators.turn(composer.members(), at());
                if (!wrong.isEmpty()) {
                    broken.add(wrong);
                }
                settle();
                operate();
            }
        });
    }

    private void settle() {
        if (operators != null) {
            operators.expire(at());
        }
        List<ServerList.Target> changes = composer.pollChanges(clock.nowUs());
        if (!changes.isEmpty()) {
            node.onList(new ServerList(0, false, changes));
        }
        if (checks == null) {
            return;
        }
        for (String id : checks.dueChecks(clock.nowUs(), 32)) {
            Condition mood = truth.lives.get(box(id)).mood(at());
            Finding finding = switch (mood) {
                case DEAD, SILENT, FAILING, SICK_PATH -> Finding.UNHEALTHY;
                case STRANGER -> Finding.WRONG_SERVER;
                default -> Finding.HEALTHY;
            };
            long took = mood == Condition.SILENT ? CHECKS.timeoutUs() : 2 * WAY_US;
            clock.schedule(clock.nowUs() + took, () -> checks.checkCompleted(id, finding, clock.nowUs()));
        }
    }

    // ---------------------------------------------------------------- clients

    private void arrive() {
        long next = clock.nowUs() + 1 + (long) (-StrictMath.log(1 - chance.nextDouble()) * 1e6 / PER_S);
        clock.schedule(next, () -> {
            if (at() < END_US) {
                new Want(chance.nextInt(Idempotency.values().length)).ask();
                arrive();
            }
        });
    }

    private static final Headers NONE = new Headers() {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {}
    };

    /** What one client wants, and the one answer that it is owed. */
    private final class Want implements ClientReply {
        private final int cls;
        private final long id = ++ids;
        private final long beganUs = clock.nowUs();
        private int answers;

        Want(int cls) {
            this.cls = cls;
        }

        void ask() {
            wanted++;
            clock.schedule(beganUs + S + TOLD_WITHIN_US, () -> {
                if (answers != 1) {
                    broken.add("lost: request " + id + " had " + answers + " answers in its time");
                }
            });
            node.accept(new ClientRequest(id, cls, -1, S, 0, false, "GET", "/", NONE, new byte[0]), this, 0);
        }

        private void answered() {
            if (++answers > 1) {
                broken.add("lost: request " + id + " was answered twice");
            }
        }

        @Override
        public void served(ServerResponse answer) {
            answered();
            if (answer.status() == 200) {
                served++;
                if (!answer.contentType().equals("of " + id)) {
                    broken.add("lost: request " + id + " was served with what is " + answer.contentType());
                }
            }
        }

        @Override
        public void rejected(long retryAfterUs) {
            answered();
        }

        @Override
        public void failed(Failure why) {
            answered();
        }

        @Override
        public void onDisconnect(Runnable action) {}
    }

    // ---------------------------------------------------------------- boxes

    private void notice(int box) {
        if (firstWastedUs[box] >= 0) {
            noticeSum += lastWastedUs[box] - firstWastedUs[box];
            noticed++;
            firstWastedUs[box] = -1;
        }
    }

    /** The way to the boxes: who is asked there runs it, fails it, keeps silent or is somebody else. */
    private final class Boxes implements ServerTransport {
        @Override
        public void update(ServerList list) {}

        @Override
        public Attempt send(String serverId, OutgoingRequest sending) {
            int box = box(serverId);
            ClientRequest request = sending.request();
            attempts++;
            Condition mood = truth.lives.get(box).mood(at());
            if (forbiddenUs[box] >= 0 && at() > forbiddenUs[box] + settings().drainGraceUs) {
                broken.add("drained: box " + box + " was sent request " + request.id() + " "
                        + (at() - forbiddenUs[box]) / 1_000 + " ms after a source had said that it drains");
            }
            if (operators != null && operators.forbids(serverId, at(), settings().drainGraceUs)) {
                broken.add("drained: box " + box + " was sent request " + request.id()
                        + " after an operator had drained it");
            }
            if (mood == Condition.DEAD || mood == Condition.SILENT || mood == Condition.STRANGER) {
                wasted++;
                firstWastedUs[box] = firstWastedUs[box] < 0 ? at() : firstWastedUs[box];
                lastWastedUs[box] = at();
            } else {
                notice(box);
            }
            Sent sent = new Sent(sending);
            long work = WORK_US / 2 + boxChance.nextLong(WORK_US);
            switch (mood) {
                case DEAD -> sent.in(WAY_US, Result.CONNECT_FAILED, null);
                case SILENT -> run(request, box);
                case STRANGER -> sent.in(2 * WAY_US, Result.RESET, null);
                case FAILING, LYING -> {
                    run(request, box);
                    sent.in(work / 4, Result.ERROR, new ServerResponse(500, null, new byte[0]));
                }
                default -> {
                    run(request, box);
                    servedUs[box] = at();
                    sent.in(
                            mood == Condition.SLOW ? 20 * work : work,
                            Result.OK,
                            new ServerResponse(200, "of " + request.id(), new byte[0]));
                }
            }
            return sent;
        }

        private void run(ClientRequest request, int box) {
            Idempotency repeat = Idempotency.values()[request.classIndex()];
            int times = ran.merge(request.id() + "", 1, Integer::sum);
            if (repeat == Idempotency.UNSAFE && times > 1) {
                broken.add("twice: request " + request.id() + " ran again, at box " + box);
            }
        }

        @Override
        public Attempt probe(String serverId, AttemptListener report) {
            throw new IllegalStateException("no probes are allowed");
        }

        @Override
        public void close() {}
    }

    private final class Sent implements ServerTransport.Attempt {
        private final ServerTransport.AttemptListener report;
        private boolean over;

        Sent(ServerTransport.AttemptListener report) {
            this.report = report;
        }

        void in(long us, Result result, ServerResponse answer) {
            clock.schedule(clock.nowUs() + us, () -> end(result, answer));
        }

        private void end(Result result, ServerResponse answer) {
            if (!over) {
                over = true;
                report.onEnded(result, answer);
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
    static Set<String> sources(long seed) {
        Set<String> names = new TreeSet<>();
        new FleetRun(seed, DetectionMode.REQUESTS, false).declared.forEach(d -> names.add(d.name()));
        return names;
    }
}
