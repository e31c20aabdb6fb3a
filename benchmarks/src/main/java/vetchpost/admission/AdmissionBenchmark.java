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
    private static final int SERVER_CAPACITY = 48;
    private static final long REQUEST_INTERVAL_US = 1_000;

    /** How many clients there are. */
    @Param({"10", "1000", "100000"})
    public int clients;

    private final SplittableRandom random = new SplittableRandom(1);
    private final Deque<PendingRequest> admitted = new ArrayDeque<>();
    private final Headers[] clientHeaders = new Headers[1 << 17];
    private FairAdmission admission;
    private long nowUs = 1_000_000_000_000L;
    private long lastId;
    private boolean isOddRequest;

    private record CookieHeaders(String cookie) implements Headers {
        @Override
        public String get(String name) {
            return cookie;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {}
    }

    private final class PendingRequest implements AdmissionControl.Applicant {
        private AdmissionControl.RequestProgress progress;

        @Override
        public void admitted() {
            admitted.add(this);
            if (admitted.size() <= SERVER_CAPACITY) {
                progress.onFirstAttemptSent();
            }
        }

        @Override
        public void rejected(long retryAfterUs) {}
    }

    /** A door before a module that has its servers full. */
    @Setup(Level.Trial)
    public void setUp() {
        Settings set = new Settings();
        for (String name : new String[] {"view-page", "add-photo", "place-order"}) {
            set.classes.add(new RequestClass(
                    name, 200_000, 0, 1_000_000, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        }
        for (int i = 0; i < TENANTS; i++) {
            set.tenants.add(new Tenant("school-" + i, 0));
        }
        set.maxRetryAfterUs = 5_000_000;
        admission = new FairAdmission(AdmissionValidator.defaults(set), set, 1);
        for (int i = 0; i < clients; i++) {
            clientHeaders[i] = new CookieHeaders("key=" + Integer.toHexString(i * 0x9E3779B9));
        }
    }

    /** A request comes, and with every other one goes out. */
    @Benchmark
    public int request() {
        nowUs += REQUEST_INTERVAL_US;
        int client = random.nextInt(clients);
        PendingRequest entrant = new PendingRequest();
        entrant.progress = admission.arrive(
                nowUs,
                new ClientRequest(
                        ++lastId,
                        random.nextInt(3),
                        client % TENANTS,
                        1_000_000,
                        0,
                        false,
                        "GET",
                        "/",
                        clientHeaders[client],
                        new byte[0]),
                0,
                0,
                nowUs + 1_000_000,
                entrant);
        admission.advance(nowUs);
        isOddRequest = !isOddRequest;
        if (isOddRequest && !admitted.isEmpty()) {
            PendingRequest done = admitted.poll();
            admission.recordLatency(0, 20_000);
            done.progress.onFirstAttemptSent();
            done.progress.onCompleted();
            int next = 0;
            for (PendingRequest waiting : admitted) {
                if (++next >= SERVER_CAPACITY) {
                    waiting.progress.onFirstAttemptSent();
                    break;
                }
            }
            admission.advance(nowUs);
        }
        if (admission.nextWakeUpUs() <= nowUs) {
            admission.advance(nowUs);
        }
        return admission.waitingRequests();
    }

    /** What it has kept. */
    @TearDown(Level.Trial)
    public void printTableSizes() {
        int[] kept = admission.tableSizes();
        System.out.println(clients + " clients: " + kept[0] + " flows, " + kept[1] + " bookings, "
                + admission.waitingRequests() + " waiting");
    }
}
