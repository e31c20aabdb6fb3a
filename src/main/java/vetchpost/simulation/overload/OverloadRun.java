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
    private static final long TAIL_US = 3_000_000;
    /** Before anything counts: nodes have seen quiet times. */
    private static final long WARM_US = 2_000_000;

    private static final double WARM_LOAD = 0.4;
    private static final long BACKOFF_US = 20_000;
    private static final int MOST_TRIES = 3;
    static final String NAME = "school-";
    static final double[] SHARES = {0.29, 0.25, 0.17, 0.12, 0.10, 0.07};

    /** A class: what a request takes, its part of all, and what it is worth. Times in microseconds. */
    record Kind(
            String name, double share, double workUs, long aimUs, long deadlineUs, double worth, Idempotency repeat) {}

    static final List<Kind> KINDS = List.of(
            new Kind("view-page", 0.51, 19_000, 100_000, 500_000, 1, Idempotency.SAFE),
            new Kind("add-photo", 0.30, 22_000, 200_000, 600_000, 5, Idempotency.KEYED),
            new Kind("place-order", 0.19, 33_000, 300_000, 1_000_000, 5, Idempotency.UNSAFE));

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
            int boxes,
            double load,
            List<Double> louder,
            List<Integer> clients,
            boolean patient,
            long longestUs,
            long lengthUs,
            long halveAtUs) {
        /** How long patient clients go on coming back. */
        static final long PATIENCE_US = 30_000_000;

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
        public Plan loud(int school, double times) {
            List<Double> other = new ArrayList<>(louder);
            other.set(school, times);
            return new Plan(seed, policy, boxes, load, other, clients, patient, longestUs, lengthUs, halveAtUs);
        }

        /** The same with this many clients at a school. */
        public Plan clients(int school, int count) {
            List<Integer> other = new ArrayList<>(clients);
            other.set(school, count);
            return new Plan(seed, policy, boxes, load, louder, other, patient, longestUs, lengthUs, halveAtUs);
        }

        /** The same with clients that come back for half a minute, and advice of up to so long. */
        public Plan patient(long longest) {
            return new Plan(seed, policy, boxes, load, louder, clients, true, longest, lengthUs, halveAtUs);
        }

        /** The same for so long. */
        public Plan length(long us) {
            return new Plan(seed, policy, boxes, load, louder, clients, patient, longestUs, us, halveAtUs);
        }

        /** The same with boxes that take twice as long from then on. */
        public Plan halve(long us) {
            return new Plan(seed, policy, boxes, load, louder, clients, patient, longestUs, lengthUs, us);
        }
    }

    private final Plan plan;
    private final VirtualClock clock = new VirtualClock(START_US);
    private final SplittableRandom random;
    private final ModelServers boxes;
    private final Dispatcher node;
    private final FairAdmission door;
    private final OverloadResult result;
    private final OverloadResult before = new OverloadResult(SHARES.length, KINDS.size());
    private long ids;

    private OverloadRun(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed * 0x9E3779B97F4A7C15L + 11);
        boxes = new ModelServers(clock, random.split(), KINDS, plan.boxes);
        Settings settings = settings();
        node = new Dispatcher(
                clock,
                new EventLoopDelay(clock),
                boxes,
                List.of(),
                () -> {},
                () -> {},
                1_000_000,
                actions -> new ServiceQBalancer(settings, plan.seed, actions));
        node.onCachedList(boxes.list());
        AdmissionSettings defaults = AdmissionValidator.defaults(settings);
        door = plan.policy != Policy.DOOR
                ? null
                : new FairAdmission(
                        new AdmissionSettings(
                                defaults.maxWaiting(),
                                defaults.queuesPerClass(),
                                defaults.maxUnsent(),
                                plan.patient ? Plan.PATIENCE_US : 0,
                                defaults.maxRetryAfterUs(),
                                defaults.reservationTableSize(),
                                defaults.tenantWeights()),
                        settings,
                        plan.seed);
        node.admission(door);
        result = new OverloadResult(SHARES.length, KINDS.size());
    }

    /** Requests a second that so many boxes can do. */
    static double capacity(int boxes) {
        return boxes * 1e6 / KINDS.stream().mapToDouble(k -> k.share * k.workUs).sum();
    }

    private Settings settings() {
        Settings set = new Settings();
        for (Kind k : KINDS) {
            set.classes.add(new RequestClass(
                    k.name, k.aimUs, 0, k.deadlineUs, k.worth, 0, k.repeat, DeduplicationScope.ALL, 1_200_000, false));
        }
        for (int i = 0; i < SHARES.length; i++) {
            // Shares come to seven eighths of what the boxes can do.
            set.tenants.add(new Tenant(
                    NAME + (char) ('a' + i),
                    plan.policy == Policy.FIRST_COME ? 0 : SHARES[i] * 0.875 * capacity(plan.boxes)));
        }
        set.overShareValueFraction = 0.1;
        set.maxAttempts = 4;
        set.allowsCancellation = true;
        set.clientsMarkRetries = true;
        set.maxRetryAfterUs = plan.longestUs;
        return set;
    }

    /** Plays a plan to its end. */
    public static OverloadResult run(Plan plan) {
        return new OverloadRun(plan).run();
    }

    private OverloadResult run() {
        for (int school = 0; school < SHARES.length; school++) {
            double rate = SHARES[school] * plan.louder.get(school) * plan.load * capacity(plan.boxes);
            arrive(
                    school,
                    SHARES[school] * WARM_LOAD * capacity(plan.boxes),
                    random.split(),
                    START_US + WARM_US,
                    false);
            SplittableRandom chance = random.split();
            if (rate > 0) {
                int each = school;
                clock.schedule(
                        START_US + WARM_US, () -> arrive(each, rate, chance, START_US + WARM_US + plan.lengthUs, true));
            }
        }
        if (plan.halveAtUs > 0) {
            clock.schedule(START_US + WARM_US + plan.halveAtUs, () -> boxes.slow(2));
        }
        clock.runUntil(START_US + WARM_US + plan.lengthUs + TAIL_US + (plan.patient ? Plan.PATIENCE_US : 0));
        result.stillHeld = node.pendingRequests();
        result.counts = door == null ? null : door.counts();
        return result;
    }

    private void arrive(int school, double rate, SplittableRandom chance, long untilUs, boolean counts) {
        long at = clock.nowUs() + 1 + (long) (-StrictMath.log(1 - chance.nextDouble()) * 1e6 / rate);
        if (at >= untilUs) {
            return;
        }
        clock.schedule(at, () -> {
            double draw = chance.nextDouble();
            int kind = 0;
            while (kind < KINDS.size() - 1 && draw >= KINDS.get(kind).share) {
                draw -= KINDS.get(kind++).share;
            }
            new Want(school, kind, chance.nextInt(plan.clients.get(school)), chance.split(), counts).ask();
            arrive(school, rate, chance, untilUs, counts);
        });
    }

    /** What a client wants, over all its tries. */
    private final class Want {
        private final int school;
        private final int kindIndex;
        private final Kind kind;
        private final int client;
        private final SplittableRandom chance;
        private final OverloadResult to;
        private final long beganUs = clock.nowUs();
        private int tries;
        private long triedUs;
        private long advisedUs;
        private long firstAdvisedUs;
        private long firstToldUs;

        Want(int school, int kind, int client, SplittableRandom chance, boolean counts) {
            to = counts ? result : before;
            this.school = school;
            kindIndex = kind;
            this.kind = KINDS.get(kind);
            this.client = client;
            this.chance = chance;
            to.asked(school, kindIndex, this.kind.worth);
        }

        void ask() {
            tries++;
            triedUs = clock.nowUs();
            // Where clients are patient each return is a request of its own, with all its time.
            long leftUs = plan.patient ? kind.deadlineUs : beganUs + kind.deadlineUs - triedUs;
            if (leftUs < 5_000) {
                return;
            }
            ClientRequest request = new ClientRequest(
                    ++ids,
                    kindIndex,
                    school,
                    leftUs,
                    0,
                    tries > 1,
                    "POST",
                    "/" + kind.name,
                    new Cookie("key=" + school + "-" + client),
                    new byte[0]);
            node.accept(request, new Reply(this), 0);
        }

        void served() {
            long fromUs = plan.patient ? triedUs : beganUs;
            boolean inTime = clock.nowUs() - fromUs <= kind.aimUs;
            to.served(school, kindIndex, inTime ? kind.worth : 0);
            if (advisedUs > 0) {
                to.cameBack(kindIndex, inTime);
            }
            if (firstAdvisedUs > 0) {
                to.told(firstAdvisedUs, clock.nowUs() - firstToldUs);
            }
        }

        void refused(long adviceUs) {
            to.refused(school, clock.nowUs() - triedUs);
            if (advisedUs > 0) {
                to.cameBack(kindIndex, false);
            }
            advisedUs = adviceUs;
            if (firstAdvisedUs == 0) {
                firstAdvisedUs = adviceUs;
                firstToldUs = clock.nowUs();
            }
            again(adviceUs > 0 ? adviceUs : BACKOFF_US * (1 + chance.nextInt(2)), adviceUs > 0);
        }

        void failed() {
            to.failed(school);
            if (advisedUs > 0) {
                to.cameBack(kindIndex, false);
            }
            advisedUs = 0;
            if (kind.repeat == Idempotency.SAFE) {
                again(BACKOFF_US, false);
            }
        }

        private void again(long inUs, boolean told) {
            long untilUs = beganUs + (plan.patient ? Plan.PATIENCE_US : kind.deadlineUs);
            if (clock.nowUs() + inUs < untilUs && (tries < MOST_TRIES || told && plan.patient)) {
                clock.schedule(clock.nowUs() + inUs + chance.nextInt(1_000), this::ask);
            }
        }
    }

    private record Cookie(String value) implements Headers {
        @Override
        public String get(String name) {
            return name.equals("Cookie") ? value : null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {
            Map.of("Cookie", value).forEach(action);
        }
    }

    private record Reply(Want want) implements ClientReply {
        @Override
        public void served(ServerResponse answer) {
            want.served();
        }

        @Override
        public void rejected(long retryAfterUs) {
            want.refused(retryAfterUs);
        }

        @Override
        public void failed(Failure why) {
            want.failed();
        }

        @Override
        public void onDisconnect(Runnable action) {}
    }
}
