package vetchpost.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import vetchpost.core.AdmissionControl;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;

/**
 * One request at a door that is asked for twice what goes out, with its part of the sweeps: what it costs with
 * ten clients and with a hundred thousand, and what the door keeps of them.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {
    private static final int TENANTS = 6;
    private static final int AT_WORK = 48;
    private static final long GAP_US = 1_000;

    /** How many clients there are. */
    @Param({"10", "1000", "100000"})
    public int clients;

    private final SplittableRandom random = new SplittableRandom(1);
    private final Deque<Entrant> out = new ArrayDeque<>();
    private final Headers[] keys = new Headers[1 << 17];
    private FairAdmission door;
    private long now = 1_000_000_000_000L;
    private long numbers;
    private boolean odd;

    private record Key(String cookie) implements Headers {
        @Override
        public String get(String name) {
            return cookie;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {}
    }

    private final class Entrant implements AdmissionControl.Applicant {
        private AdmissionControl.RequestProgress entry;

        @Override
        public void admitted() {
            out.add(this);
            if (out.size() <= AT_WORK) {
                entry.onFirstAttemptSent();
            }
        }

        @Override
        public void rejected(long retryAfterUs) {}
    }

    /** A door before a module that has its servers full. */
    @Setup(Level.Trial)
    public void open() {
        Settings set = new Settings();
        for (String name : new String[] {"view-page", "add-photo", "place-order"}) {
            set.classes.add(new RequestClass(
                    name, 200_000, 0, 1_000_000, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        }
        for (int i = 0; i < TENANTS; i++) {
            set.tenants.add(new Tenant("school-" + i, 0));
        }
        set.maxRetryAfterUs = 5_000_000;
        door = new FairAdmission(AdmissionValidator.defaults(set), set, 1);
        for (int i = 0; i < clients; i++) {
            keys[i] = new Key("key=" + Integer.toHexString(i * 0x9E3779B9));
        }
    }

    /** A request comes, and with every other one goes out. */
    @Benchmark
    public int request() {
        now += GAP_US;
        int client = random.nextInt(clients);
        Entrant entrant = new Entrant();
        entrant.entry = door.arrive(
                now,
                new ClientRequest(
                        ++numbers,
                        random.nextInt(3),
                        client % TENANTS,
                        1_000_000,
                        0,
                        false,
                        "GET",
                        "/",
                        keys[client],
                        new byte[0]),
                0,
                0,
                now + 1_000_000,
                entrant);
        door.advance(now);
        odd = !odd;
        if (odd && !out.isEmpty()) {
            Entrant done = out.poll();
            door.recordLatency(0, 20_000);
            done.entry.onFirstAttemptSent();
            done.entry.onCompleted();
            int next = 0;
            for (Entrant waiting : out) {
                if (++next >= AT_WORK) {
                    waiting.entry.onFirstAttemptSent();
                    break;
                }
            }
            door.advance(now);
        }
        if (door.nextWakeUpUs() <= now) {
            door.advance(now);
        }
        return door.waitingRequests();
    }

    /** What it has kept. */
    @TearDown(Level.Trial)
    public void tell() {
        int[] kept = door.tableSizes();
        System.out.println(clients + " clients: " + kept[0] + " flows, " + kept[1] + " bookings, "
                + door.waitingRequests() + " waiting");
    }
}
