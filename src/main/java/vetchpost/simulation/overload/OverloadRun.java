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
 * Simulates one node, with its dispatcher, balancer and admission control, whose tenants ("schools" in the command)
 * send more requests than the modelled servers can handle. A response is in time if it arrives within the latency
 * target of its class, counted from the first attempt or, with patient clients, from the latest. {@link
 * OverloadCommand} and tests call it. A run is single-threaded on virtual time, and runs may go on in parallel; the
 * same plan and seed give the same result.
 */
public final class OverloadRun {
    private static final long START_US = 1_767_225_600_000_000L;
    /** Time for requests to end after the last arrival. */
    private static final long COMPLETION_TIME_US = 3_000_000;
    /** A period at low load before measuring, so that the balancer has statistics. */
    private static final long WARM_UP_US = 2_000_000;

    private static final double WARM_UP_LOAD = 0.4;
    private static final long BACKOFF_US = 20_000;
    private static final int MAX_ATTEMPTS = 3;
    static final String TENANT_NAME_PREFIX = "school-";
    static final double[] TENANT_SHARES = {0.29, 0.25, 0.17, 0.12, 0.10, 0.07};

    /**
     * A class of requests.
     *
     * @param fraction fraction of all requests, 0 to 1
     * @param workUs mean processing time at a server, in microseconds
     * @param latencyTargetUs longest latency that counts as in time, in microseconds
     * @param deadlineUs how long a client waits in all, in microseconds
     * @param value value of a response in time
     */
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

    /** What decides on the order of requests and on the shares of tenants. */
    public enum Policy {
        /** The balancer alone, with no shares configured. */
        FIRST_COME,
        /** The balancer alone, with its own rule on shares. */
        SHARES,
        /** The balancer behind admission control. */
        DOOR
    }

    /**
     * The parameters of a run.
     *
     * @param load offered load over the capacity of the servers, at a load factor of 1 for each tenant
     * @param tenantLoadFactors per tenant, its request rate over its usual one
     * @param clientCounts per tenant, the number of clients; requests are spread evenly over them
     * @param hasPatientClients whether clients go on retrying for {@link #CLIENT_PATIENCE_US}; otherwise they give up
     *     at their class's deadline, as the platform's clients do
     * @param maxRetryAfterUs maxRetryAfterUs retry-after that the settings allow, in microseconds
     * @param durationUs how long clients send requests, in microseconds, after the warm-up
     * @param slowdownAtUs when processing times double, in microseconds after the warm-up; 0 for never
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
        /** How long patient clients go on retrying. */
        static final long CLIENT_PATIENCE_US = 30_000_000;

        /** Six tenants at their usual load, twelve servers, ten seconds. */
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

        /** Returns this plan with another load factor for one tenant. */
        public Plan withTenantLoad(int tenant, double factor) {
            List<Double> changed = new ArrayList<>(tenantLoadFactors);
            changed.set(tenant, factor);
            return new Plan(
                    seed,
                    policy,
                    serverCount,
                    load,
                    changed,
                    clientCounts,
                    hasPatientClients,
                    maxRetryAfterUs,
                    durationUs,
                    slowdownAtUs);
        }

        /** Returns this plan with another number of clients of one tenant. */
        public Plan withClientCount(int tenant, int count) {
            List<Integer> changed = new ArrayList<>(clientCounts);
            changed.set(tenant, count);
            return new Plan(
                    seed,
                    policy,
                    serverCount,
                    load,
                    tenantLoadFactors,
                    changed,
                    hasPatientClients,
                    maxRetryAfterUs,
                    durationUs,
                    slowdownAtUs);
        }

        /** Returns this plan with patient clients, and retry-after of up to {@code maxRetryAfterUs}. */
        public Plan withPatientClients(long maxRetryAfterUs) {
            return new Plan(
                    seed,
                    policy,
                    serverCount,
                    load,
                    tenantLoadFactors,
                    clientCounts,
                    true,
                    maxRetryAfterUs,
                    durationUs,
                    slowdownAtUs);
        }

        /** Returns this plan with another duration, in microseconds. */
        public Plan withDuration(long durationUs) {
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
                    slowdownAtUs);
        }

        /** Returns this plan with processing times that double {@code slowdownAtUs} after the warm-up. */
        public Plan withSlowdownAt(long slowdownAtUs) {
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
                    slowdownAtUs);
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

    /** Requests a second that this many servers can process. */
    static double capacityPerSecond(int serverCount) {
        return serverCount
                * 1e6
                / CLASSES.stream()
                        .mapToDouble(profile -> profile.fraction * profile.workUs)
                        .sum();
    }

    private Settings settings() {
        Settings settings = new Settings();
        for (ClassProfile profile : CLASSES) {
            settings.classes.add(new RequestClass(
                    profile.name,
                    profile.latencyTargetUs,
                    0,
                    profile.deadlineUs,
                    profile.value,
                    0,
                    profile.idempotency,
                    DeduplicationScope.ALL,
                    1_200_000,
                    false));
        }
        for (int i = 0; i < TENANT_SHARES.length; i++) {
            // The shares add up to seven eighths of the capacity of the servers.
            settings.tenants.add(new Tenant(
                    TENANT_NAME_PREFIX + (char) ('a' + i),
                    plan.policy == Policy.FIRST_COME
                            ? 0
                            : TENANT_SHARES[i] * 0.875 * capacityPerSecond(plan.serverCount)));
        }
        settings.overShareValueFraction = 0.1;
        settings.maxAttempts = 4;
        settings.allowsCancellation = true;
        settings.clientsMarkRetries = true;
        settings.maxRetryAfterUs = plan.maxRetryAfterUs;
        return settings;
    }

    /** Simulates a plan until all requests have had time to end. */
    public static OverloadResult run(Plan plan) {
        return new OverloadRun(plan).run();
    }

    private OverloadResult run() {
        for (int tenant = 0; tenant < TENANT_SHARES.length; tenant++) {
            double requestsPerSecond = TENANT_SHARES[tenant]
                    * plan.tenantLoadFactors.get(tenant)
                    * plan.load
                    * capacityPerSecond(plan.serverCount);
            scheduleArrivals(
                    tenant,
                    TENANT_SHARES[tenant] * WARM_UP_LOAD * capacityPerSecond(plan.serverCount),
                    random.split(),
                    START_US + WARM_UP_US,
                    false);
            SplittableRandom tenantRandom = random.split();
            if (requestsPerSecond > 0) {
                int index = tenant;
                clock.schedule(
                        START_US + WARM_UP_US,
                        () -> scheduleArrivals(
                                index, requestsPerSecond, tenantRandom, START_US + WARM_UP_US + plan.durationUs, true));
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

    private void scheduleArrivals(
            int tenant, double requestsPerSecond, SplittableRandom tenantRandom, long untilUs, boolean isMeasured) {
        long atUs =
                clock.nowUs() + 1 + (long) (-StrictMath.log(1 - tenantRandom.nextDouble()) * 1e6 / requestsPerSecond);
        if (atUs >= untilUs) {
            return;
        }
        clock.schedule(atUs, () -> {
            double remaining = tenantRandom.nextDouble();
            int classIndex = 0;
            while (classIndex < CLASSES.size() - 1 && remaining >= CLASSES.get(classIndex).fraction) {
                remaining -= CLASSES.get(classIndex++).fraction;
            }
            new SimulatedClient(
                            tenant,
                            classIndex,
                            tenantRandom.nextInt(plan.clientCounts.get(tenant)),
                            tenantRandom.split(),
                            isMeasured)
                    .send();
            scheduleArrivals(tenant, requestsPerSecond, tenantRandom, untilUs, isMeasured);
        });
    }

    /** A client with one request, over all its attempts. */
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

        SimulatedClient(int tenant, int classIndex, int clientNumber, SplittableRandom random, boolean isMeasured) {
            statistics = isMeasured ? result : warmUpResult;
            this.tenant = tenant;
            this.classIndex = classIndex;
            this.profile = CLASSES.get(classIndex);
            this.clientNumber = clientNumber;
            this.random = random;
            statistics.recordRequest(tenant, this.classIndex, this.profile.value);
        }

        void send() {
            attempts++;
            attemptStartUs = clock.nowUs();
            // Each attempt of a patient client is a request of its own, with its whole deadline.
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
            statistics.recordServed(tenant, classIndex, inTime ? profile.value : 0);
            if (retryAfterUs > 0) {
                statistics.recordAdvisedRetry(classIndex, inTime);
            }
            if (firstRetryAfterUs > 0) {
                statistics.recordRetryAfter(firstRetryAfterUs, clock.nowUs() - firstRejectedUs);
            }
        }

        void rejected(long newRetryAfterUs) {
            statistics.recordRejection(tenant, clock.nowUs() - attemptStartUs);
            if (retryAfterUs > 0) {
                statistics.recordAdvisedRetry(classIndex, false);
            }
            retryAfterUs = newRetryAfterUs;
            if (firstRetryAfterUs == 0) {
                firstRetryAfterUs = newRetryAfterUs;
                firstRejectedUs = clock.nowUs();
            }
            scheduleRetry(
                    newRetryAfterUs > 0 ? newRetryAfterUs : BACKOFF_US * (1 + random.nextInt(2)), newRetryAfterUs > 0);
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

        private void scheduleRetry(long delayUs, boolean isAdvised) {
            long untilUs = startedUs + (plan.hasPatientClients ? Plan.CLIENT_PATIENCE_US : profile.deadlineUs);
            if (clock.nowUs() + delayUs < untilUs && (attempts < MAX_ATTEMPTS || isAdvised && plan.hasPatientClients)) {
                clock.schedule(clock.nowUs() + delayUs + random.nextInt(1_000), this::send);
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
        public void served(ServerResponse response) {
            client.served();
        }

        @Override
        public void rejected(long retryAfterUs) {
            client.rejected(retryAfterUs);
        }

        @Override
        public void failed(Failure reason) {
            client.failed();
        }

        @Override
        public void onDisconnect(Runnable action) {}
    }
}
