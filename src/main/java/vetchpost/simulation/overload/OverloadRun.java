package vetchpost.simulation.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import vetchpost.admission.AdmissionSettings;
import vetchpost.admission.AdmissionValidator;
import vetchpost.admission.FairAdmission;
import vetchpost.core.ClientReply;
import vetchpost.core.ClientRequest;
import vetchpost.core.Dispatcher;
import vetchpost.core.EventLoopDelay;
import vetchpost.core.Failure;
import vetchpost.core.Headers;
import vetchpost.core.ServerResponse;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;
import vetchpost.decision.ServiceQBalancer;

/**
 * One node with its core, module and door before modelled boxes, and schools whose clients ask for more than
 * those can do. In time is what is answered inside its class's aim, counted from the first try or, where
 * clients are patient, from the return. All of it runs on virtual time; the same plan and seed give the
 * same result.
 */
public final class OverloadRun {
    private static final long START_US = 1_767_225_600_000_000L;
    private static final long COMPLETION_TIME_US = 3_000_000;
    /** Before anything counts: nodes have seen quiet times. */
    private static final long WARM_UP_US = 2_000_000;

    private static final double WARM_UP_LOAD = 0.4;
    private static final long BACKOFF_US = 20_000;
    private static final int MAX_ATTEMPTS = 3;
    static final String TENANT_NAME_PREFIX = "school-";
    static final double[] TENANT_SHARES = {0.29, 0.25, 0.17, 0.12, 0.10, 0.07};

    /** A class: what a request takes, its part of all, and what it is worth. Times in microseconds. */
    record ClassProfile(
            String name,
            double fraction,
            double workUs,
            long latencyTargetUs,
            long deadlineUs,
            double value,
            Idempotency idempotency) {}

    static final List<ClassProfile> CLASSES = List.of(
            new ClassProfile("view-page", 0.51, 19_000, 100_000, 500_000, 1, Idempotency.SAFE),
            new ClassProfile("add-photo", 0.30, 22_000, 200_000, 600_000, 5, Idempotency.KEYED),
            new ClassProfile("place-order", 0.19, 33_000, 300_000, 1_000_000, 5, Idempotency.UNSAFE));

    /** Who decides on order and shares. */
    public enum Policy {
        /** The module alone, and it knows of no shares. */
        FIRST_COME,
        /** The module alone, with its own rule on shares. */
        SHARES,
        /** The module behind the door. */
        DOOR
    }

    /**
     * What is played.
     *
     * @param load what is asked over what the boxes can do, before any school is louder than usual
     * @param louder by school, how many times its usual it asks
     * @param clients by school, how many there are; what they ask for is drawn evenly among them
     * @param patient whether clients go on coming back for half a minute; else they give up with their
     *     class's deadline, as the platform's do
     * @param longestUs the longest advice that the settings allow
     * @param lengthUs for how long is asked
     * @param halveAtUs when the boxes begin to take twice as long; 0 for never
     */
    public record Plan(
            long seed,
            Policy policy,
            int serverCount,
            double load,
            List<Double> tenantLoadFactors,
            List<Integer> clientCounts,
            boolean hasPatientClients,
            long maxRetryAfterUs,
            long durationUs,
            long slowdownAtUs) {
        /** How long patient clients go on coming back. */
        static final long CLIENT_PATIENCE_US = 30_000_000;

        /** Six schools, twelve boxes, ten seconds, nobody louder than usual. */
        public static Plan of(long seed, Policy policy, double load) {
            return new Plan(
                    seed,
                    policy,
                    12,
                    load,
                    List.of(1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
                    List.of(3_000, 3_000, 3_000, 3_000, 3_000, 3_000),
                    false,
                    1_000_000,
                    10_000_000,
                    0);
        }

        /** The same with one school louder. */
        public Plan withTenantLoad(int school, double times) {
            List<Double> other = new ArrayList<>(tenantLoadFactors);
            other.set(school, times);
            return new Plan(
                    seed,
                    policy,
                    serverCount,
                    load,
                    other,
                    clientCounts,
                    hasPatientClients,
                    maxRetryAfterUs,
                    durationUs,
                    slowdownAtUs);
        }

        /** The same with this many clients at a school. */
        public Plan withClientCount(int school, int count) {
            List<Integer> other = new ArrayList<>(clientCounts);
            other.set(school, count);
            return new Plan(
                    seed,
                    policy,
                    serverCount,
                    load,
                    tenantLoadFactors,
                    other,
                    hasPatientClients,
                    maxRetryAfterUs,
                    durationUs,
                    slowdownAtUs);
        }

        /** The same with clients that come back for half a minute, and advice of up to so long. */
        public Plan withPatientClients(long longest) {
            return new Plan(
                    seed,
                    policy,
                    serverCount,
                    load,
                    tenantLoadFactors,
                    clientCounts,
                    true,
                    longest,
                    durationUs,
                    slowdownAtUs);
        }

        /** The same for so long. */
        public Plan withDuration(long us) {
            return new Plan(
                    seed,
                    policy,
                    serverCount,
                    load,
                    tenantLoadFactors,
                    clientCounts,
                    hasPatientClients,
                    maxRetryAfterUs,
                    us,
                    slowdownAtUs);
        }

        /** The same with boxes that take twice as long from then on. */
        public Plan withSlowdownAt(long us) {
            return new Plan(
                    seed,
                    policy,
                    serverCount,
                    load,
                    tenantLoadFactors,
                    clientCounts,
                    hasPatientClients,
                    maxRetryAfterUs,
                    durationUs,
                    us);
        }
    }

    private final Plan plan;
    private final VirtualClock clock = new VirtualClock(START_US);
    private final SplittableRandom random;
    private final ModelServers servers;
    private final Dispatcher node;
    private final FairAdmission admission;
    private final OverloadResult result;
    private final OverloadResult warmUpResult = new OverloadResult(TENANT_SHARES.length, CLASSES.size());
    private long lastRequestId;

    private OverloadRun(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed * 0x9E3779B97F4A7C15L + 11);
        servers = new ModelServers(clock, random.split(), CLASSES, plan.serverCount);
        Settings settings = settings();
        node = new Dispatcher(
                clock,
                new EventLoopDelay(clock),
                servers,
                List.of(),
                () -> {},
                () -> {},
                1_000_000,
                actions -> new ServiceQBalancer(settings, plan.seed, actions));
        node.onCachedList(servers.serverList());
        AdmissionSettings defaults = AdmissionValidator.defaults(settings);
        admission = plan.policy != Policy.DOOR
                ? null
                : new FairAdmission(
                        new AdmissionSettings(
                                defaults.maxWaiting(),
                                defaults.queuesPerClass(),
                                defaults.maxUnsent(),
                                plan.hasPatientClients ? Plan.CLIENT_PATIENCE_US : 0,
                                defaults.maxRetryAfterUs(),
                                defaults.reservationTableSize(),
                                defaults.tenantWeights()),
                        settings,
                        plan.seed);
        node.admission(admission);
        result = new OverloadResult(TENANT_SHARES.length, CLASSES.size());
    }

    /** Requests a second that so many boxes can do. */
    static double capacityPerSecond(int boxes) {
        return boxes
                * 1e6
                / CLASSES.stream().mapToDouble(k -> k.fraction * k.workUs).sum();
    }

    private Settings settings() {
        Settings set = new Settings();
        for (ClassProfile k : CLASSES) {
            set.classes.add(new RequestClass(
                    k.name,
                    k.latencyTargetUs,
                    0,
                    k.deadlineUs,
                    k.value,
                    0,
                    k.idempotency,
                    DeduplicationScope.ALL,
                    1_200_000,
                    false));
        }
        for (int i = 0; i < TENANT_SHARES.length; i++) {
            // Shares come to seven eighths of what the boxes can do.
            set.tenants.add(new Tenant(
                    TENANT_NAME_PREFIX + (char) ('a' + i),
                    plan.policy == Policy.FIRST_COME
                            ? 0
                            : TENANT_SHARES[i] * 0.875 * capacityPerSecond(plan.serverCount)));
        }
        set.overShareValueFraction = 0.1;
        set.maxAttempts = 4;
        set.allowsCancellation = true;
        set.clientsMarkRetries = true;
        set.maxRetryAfterUs = plan.maxRetryAfterUs;
        return set;
    }

    /** Plays a plan to its end. */
    public static OverloadResult run(Plan plan) {
        return new OverloadRun(plan).run();
    }

    private OverloadResult run() {
        for (int school = 0; school < TENANT_SHARES.length; school++) {
            double rate = TENANT_SHARES[school]
                    * plan.tenantLoadFactors.get(school)
                    * plan.load
                    * capacityPerSecond(plan.serverCount);
            scheduleArrivals(
                    school,
                    TENANT_SHARES[school] * WARM_UP_LOAD * capacityPerSecond(plan.serverCount),
                    random.split(),
                    START_US + WARM_UP_US,
                    false);
            SplittableRandom chance = random.split();
            if (rate > 0) {
                int each = school;
                clock.schedule(
                        START_US + WARM_UP_US,
                        () -> scheduleArrivals(each, rate, chance, START_US + WARM_UP_US + plan.durationUs, true));
            }
        }
        if (plan.slowdownAtUs > 0) {
            clock.schedule(START_US + WARM_UP_US + plan.slowdownAtUs, () -> servers.setWorkFactor(2));
        }
        clock.runUntil(START_US
                + WARM_UP_US
                + plan.durationUs
                + COMPLETION_TIME_US
                + (plan.hasPatientClients ? Plan.CLIENT_PATIENCE_US : 0));
        result.pendingRequests = node.pendingRequests();
        result.counts = admission == null ? null : admission.counts();
        return result;
    }

    private void scheduleArrivals(int school, double rate, SplittableRandom chance, long untilUs, boolean counts) {
        long at = clock.nowUs() + 1 + (long) (-StrictMath.log(1 - chance.nextDouble()) * 1e6 / rate);
        if (at >= untilUs) {
            return;
        }
        clock.schedule(at, () -> {
            double draw = chance.nextDouble();
            int kind = 0;
            while (kind < CLASSES.size() - 1 && draw >= CLASSES.get(kind).fraction) {
                draw -= CLASSES.get(kind++).fraction;
            }
            new SimulatedClient(school, kind, chance.nextInt(plan.clientCounts.get(school)), chance.split(), counts)
                    .send();
            scheduleArrivals(school, rate, chance, untilUs, counts);
        });
    }

    /** What a client wants, over all its tries. */
    private final class SimulatedClient {
        private final int tenant;
        private final int classIndex;
        private final ClassProfile profile;
        private final int clientNumber;
        private final SplittableRandom random;
        private final OverloadResult statistics;
        private final long startedUs = clock.nowUs();
        private int attempts;
        private long attemptStartUs;
        private long retryAfterUs;
        private long firstRetryAfterUs;
        private long firstRejectedUs;

        SimulatedClient(int school, int kind, int client, SplittableRandom chance, boolean counts) {
            statistics = counts ? result : warmUpResult;
            this.tenant = school;
            classIndex = kind;
            this.profile = CLASSES.get(kind);
            this.clientNumber = client;
            this.random = chance;
            statistics.recordRequest(school, classIndex, this.profile.value);
        }

        void send() {
            attempts++;
            attemptStartUs = clock.nowUs();
            // Where clients are patient each return is a request of its own, with all its time.
            long leftUs = plan.hasPatientClients ? profile.deadlineUs : startedUs + profile.deadlineUs - attemptStartUs;
            if (leftUs < 5_000) {
                return;
            }
            ClientRequest request = new ClientRequest(
                    ++lastRequestId,
                    classIndex,
                    tenant,
                    leftUs,
                    0,
                    attempts > 1,
                    "POST",
                    "/" + profile.name,
                    new CookieHeader("key=" + tenant + "-" + clientNumber),
                    new byte[0]);
            node.accept(request, new Reply(this), 0);
        }

        void served() {
            long fromUs = plan.hasPatientClients ? attemptStartUs : startedUs;
            boolean inTime = clock.nowUs() - fromUs <= profile.latencyTargetUs;
            statistics.served(tenant, classIndex, inTime ? profile.value : 0);
            if (retryAfterUs > 0) {
                statistics.recordAdvisedRetry(classIndex, inTime);
            }
            if (firstRetryAfterUs > 0) {
                statistics.told(firstRetryAfterUs, clock.nowUs() - firstRejectedUs);
            }
        }

        void rejected(long adviceUs) {
            statistics.recordRejection(tenant, clock.nowUs() - attemptStartUs);
            if (retryAfterUs > 0) {
                statistics.recordAdvisedRetry(classIndex, false);
            }
            retryAfterUs = adviceUs;
            if (firstRetryAfterUs == 0) {
                firstRetryAfterUs = adviceUs;
                firstRejectedUs = clock.nowUs();
            }
            scheduleRetry(adviceUs > 0 ? adviceUs : BACKOFF_US * (1 + random.nextInt(2)), adviceUs > 0);
        }

        void failed() {
            statistics.recordFailure(tenant);
            if (retryAfterUs > 0) {
                statistics.recordAdvisedRetry(classIndex, false);
            }
            retryAfterUs = 0;
            if (profile.idempotency == Idempotency.SAFE) {
                scheduleRetry(BACKOFF_US, false);
            }
        }

        private void scheduleRetry(long inUs, boolean told) {
            long untilUs = startedUs + (plan.hasPatientClients ? Plan.CLIENT_PATIENCE_US : profile.deadlineUs);
            if (clock.nowUs() + inUs < untilUs && (attempts < MAX_ATTEMPTS || told && plan.hasPatientClients)) {
                clock.schedule(clock.nowUs() + inUs + random.nextInt(1_000), this::send);
            }
        }
    }

    private record CookieHeader(String value) implements Headers {
        @Override
        public String get(String name) {
            return name.equals("Cookie") ? value : null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {
            Map.of("Cookie", value).forEach(action);
        }
    }

    private record Reply(SimulatedClient client) implements ClientReply {
        @Override
        public void served(ServerResponse answer) {
            client.served();
        }

        @Override
        public void rejected(long retryAfterUs) {
            client.rejected(retryAfterUs);
        }

        @Override
        public void failed(Failure why) {
            client.failed();
        }

        @Override
        public void onDisconnect(Runnable action) {}
    }
}
