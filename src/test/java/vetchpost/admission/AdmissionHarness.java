package vetchpost.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import vetchpost.core.AdmissionControl;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;

/**
 * Runs a {@link FairAdmission} on virtual time, before a stand-in for the decision module that sends a request as soon
 * as one of a number of simulated servers is free. Single-threaded; {@link #run} advances the time.
 */
final class AdmissionHarness {
    static final long REQUEST_WORK_US = 10_000;
    private static final long START_TIME_US = 1_000_000_000_000L;

    final Settings settings;
    final FairAdmission admission;
    final List<SubmittedRequest> submitted = new ArrayList<>();
    long currentUs = START_TIME_US;
    int serverCount;
    long workUs = REQUEST_WORK_US;
    private int busyServers;
    private long lastNumber;
    private final List<SubmittedRequest> unsentRequests = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::dueUs).thenComparingLong(ScheduledTask::number));

    private record ScheduledTask(long dueUs, long number, Runnable task) {}

    /** A submitted request and what has become of it. */
    final class SubmittedRequest implements AdmissionControl.Applicant {
        final int tenant;
        final int classIndex;
        final String key;
        final long submittedUs = currentUs;
        AdmissionControl.RequestProgress progress;
        boolean isAdmitted;
        boolean isRejected;
        boolean isDisconnected;
        long endedUs = -1;
        long retryAfterUs;
        Runnable onRejected = () -> {};

        SubmittedRequest(int tenant, int classIndex, String key) {
            this.tenant = tenant;
            this.classIndex = classIndex;
            this.key = key;
        }

        boolean isServed() {
            return isAdmitted && endedUs >= 0;
        }

        @Override
        public void admitted() {
            require(!isAdmitted && !isRejected && !isDisconnected, "admitted twice, or after the request ended");
            isAdmitted = true;
            unsentRequests.add(this);
            sendUnsent();
        }

        @Override
        public void rejected(long retryAfterUs) {
            require(!isAdmitted && !isRejected && !isDisconnected, "rejected twice, or after the request ended");
            isRejected = true;
            this.retryAfterUs = retryAfterUs;
            endedUs = currentUs;
            progress.onCompleted();
            onRejected.run();
        }

        void disconnect() {
            isDisconnected = true;
            unsentRequests.remove(this);
            progress.onCompleted();
            admission.advance(currentUs);
        }
    }

    AdmissionHarness(int serverCount, Settings settings, AdmissionSettings admissionSettings) {
        this.serverCount = serverCount;
        this.settings = settings;
        admission = new FairAdmission(admissionSettings, settings, 7);
    }

    AdmissionHarness(int serverCount, Settings settings) {
        this(serverCount, settings, AdmissionValidator.defaults(settings));
    }

    static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }

    /** Settings with this many tenants of equal weight and one class of requests with this latency target. */
    static Settings settings(int tenantCount, long latencyTargetUs) {
        Settings settings = new Settings();
        settings.classes.add(new RequestClass(
                "view-page",
                latencyTargetUs,
                0,
                10 * latencyTargetUs,
                1,
                0,
                Idempotency.SAFE,
                DeduplicationScope.ALL,
                0,
                false));
        for (int i = 0; i < tenantCount; i++) {
            settings.tenants.add(new Tenant("school-" + i, 0));
        }
        settings.maxRetryAfterUs = 10_000_000;
        settings.clientsMarkRetries = true;
        return settings;
    }

    SubmittedRequest submit(int tenant, String key) {
        return submit(tenant, 0, key);
    }

    SubmittedRequest submit(int tenant, int classIndex, String key) {
        SubmittedRequest request = new SubmittedRequest(tenant, classIndex, key);
        submitted.add(request);
        long deadlineUs = settings.classes.get(classIndex).deadlineUs();
        request.progress = admission.arrive(
                currentUs,
                new ClientRequest(
                        ++lastNumber,
                        classIndex,
                        tenant,
                        deadlineUs,
                        0,
                        false,
                        "GET",
                        "/",
                        new Cookie(key),
                        new byte[0]),
                lastNumber,
                0,
                currentUs + deadlineUs,
                request);
        admission.advance(currentUs);
        return request;
    }

    /** Runs this action once an interval, until that time. */
    void submitEvery(long intervalUs, long untilUs, Runnable action) {
        schedule(currentUs + intervalUs, () -> {
            if (currentUs < untilUs) {
                action.run();
                submitEvery(intervalUs, untilUs, action);
            }
        });
    }

    void schedule(long dueUs, Runnable task) {
        timers.add(new ScheduledTask(dueUs, ++lastNumber, task));
    }

    private void sendUnsent() {
        while (busyServers < serverCount && !unsentRequests.isEmpty()) {
            SubmittedRequest request = unsentRequests.remove(0);
            busyServers++;
            request.progress.onFirstAttemptSent();
            long sentUs = currentUs;
            schedule(currentUs + workUs, () -> {
                busyServers--;
                request.endedUs = currentUs;
                admission.recordLatency(request.classIndex, currentUs - sentUs);
                request.progress.onCompleted();
                sendUnsent();
                admission.advance(currentUs);
            });
        }
    }

    void run(long durationUs) {
        long untilUs = currentUs + durationUs;
        while (true) {
            long dueUs = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueUs;
            long wakeUs = Math.max(currentUs, admission.nextWakeUpUs());
            if (Math.min(dueUs, wakeUs) > untilUs) {
                break;
            }
            if (wakeUs < dueUs) {
                currentUs = wakeUs;
                admission.advance(currentUs);
            } else {
                currentUs = Math.max(currentUs, dueUs);
                timers.poll().task.run();
            }
        }
        currentUs = untilUs;
    }

    long servedCount(int tenant) {
        return submitted.stream()
                .filter(request -> request.tenant == tenant && request.isServed())
                .count();
    }

    long submittedCount(int tenant) {
        return submitted.stream().filter(request -> request.tenant == tenant).count();
    }

    private record Cookie(String key) implements Headers {
        @Override
        public String get(String name) {
            return key != null && name.equals("Cookie") ? "theme=dark; key=" + key + "; x=1" : null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {
            Map.of("Cookie", get("Cookie")).forEach(action);
        }
    }
}
