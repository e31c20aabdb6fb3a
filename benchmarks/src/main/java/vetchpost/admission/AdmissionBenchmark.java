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
 * Measures the cost of one request, with its fraction of the periodic sweeps, at an admission queue that receives twice
 * the rate that it admits. Prints how many clients the queue keeps state of.
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

    /** The number of clients. */
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

    /** Prepares an admission queue before a balancer whose servers are at capacity. */
    @Setup(Level.Trial)
    public void setUp() {
        Settings settings = new Settings();
        for (String name : new String[] {"view-page", "add-photo", "place-order"}) {
            settings.classes.add(new RequestClass(
                    name, 200_000, 0, 1_000_000, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        }
        for (int i = 0; i < TENANTS; i++) {
            settings.tenants.add(new Tenant("school-" + i, 0));
        }
        settings.maxRetryAfterUs = 5_000_000;
        admission = new FairAdmission(AdmissionValidator.defaults(settings), settings, 1);
        for (int i = 0; i < clients; i++) {
            clientHeaders[i] = new CookieHeaders("key=" + Integer.toHexString(i * 0x9E3779B9));
        }
    }

    /** Admits a new request, and completes an admitted one on every second run. */
    @Benchmark
    public int request() {
        nowUs += REQUEST_INTERVAL_US;
        int client = random.nextInt(clients);
        PendingRequest arrived = new PendingRequest();
        arrived.progress = admission.arrive(
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
                arrived);
        admission.advance(nowUs);
        isOddRequest = !isOddRequest;
        if (isOddRequest && !admitted.isEmpty()) {
            PendingRequest completed = admitted.poll();
            admission.recordLatency(0, 20_000);
            completed.progress.onFirstAttemptSent();
            completed.progress.onCompleted();
            int position = 0;
            for (PendingRequest waiting : admitted) {
                if (++position >= SERVER_CAPACITY) {
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

    /** Prints the sizes of the queue's tables. */
    @TearDown(Level.Trial)
    public void printTableSizes() {
        int[] sizes = admission.tableSizes();
        System.out.println(clients + " clients: " + sizes[0] + " flows, " + sizes[1] + " reservations, "
                + admission.waitingRequests() + " waiting");
    }
}
