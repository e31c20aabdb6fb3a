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

/** A door on virtual time, before a module that sends as soon as one of so many servers is free. */
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

    /** What has become of a request. */
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

        SubmittedRequest(int tenant, int cls, String key) {
            this.tenant = tenant;
            this.classIndex = cls;
            this.key = key;
        }

        boolean isServed() {
            return isAdmitted && endedUs >= 0;
        }

        @Override
        public void admitted() {
            require(!isAdmitted && !isRejected && !isDisconnected, "admitted twice, or after its end");
            isAdmitted = true;
            unsentRequests.add(this);
            sendUnsent();
        }

        @Override
        public void rejected(long retryAfterUs) {
            require(!isAdmitted && !isRejected && !isDisconnected, "refused twice, or after its end");
            isRejected = true;
            retryAfterUs = retryAfterUs;
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

    AdmissionHarness(int servers, Settings platform, AdmissionSettings settings) {
        this.serverCount = servers;
        this.settings = platform;
        admission = new FairAdmission(settings, platform, 7);
    }

    AdmissionHarness(int servers, Settings platform) {
        this(servers, platform, AdmissionValidator.defaults(platform));
    }

    static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new AssertionError(otherwise);
        }
    }

    /** So many tenants of equal shares, one class of requests with this aim. */
    static Settings settings(int tenants, long aimUs) {
        Settings set = new Settings();
        set.classes.add(new RequestClass(
                "view-page", aimUs, 0, 10 * aimUs, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        for (int i = 0; i < tenants; i++) {
            set.tenants.add(new Tenant("school-" + i, 0));
        }
        set.maxRetryAfterUs = 10_000_000;
        set.clientsMarkRetries = true;
        return set;
    }

    SubmittedRequest submit(int tenant, String key) {
        return submit(tenant, 0, key);
    }

    SubmittedRequest submit(int tenant, int cls, String key) {
        SubmittedRequest asked = new SubmittedRequest(tenant, cls, key);
        submitted.add(asked);
        long deadlineUs = settings.classes.get(cls).deadlineUs();
        asked.progress = admission.arrive(
                currentUs,
                new ClientRequest(
                        ++lastNumber, cls, tenant, deadlineUs, 0, false, "GET", "/", new Cookie(key), new byte[0]),
                lastNumber,
                0,
                currentUs + deadlineUs,
                asked);
        admission.advance(currentUs);
        return asked;
    }

    /** Asks for something every so often. */
    void submitEvery(long us, long untilUs, Runnable ask) {
        schedule(currentUs + us, () -> {
            if (currentUs < untilUs) {
                ask.run();
                submitEvery(us, untilUs, ask);
            }
        });
    }

    void schedule(long us, Runnable task) {
        timers.add(new ScheduledTask(us, ++lastNumber, task));
    }

    private void sendUnsent() {
        while (busyServers < serverCount && !unsentRequests.isEmpty()) {
            SubmittedRequest next = unsentRequests.remove(0);
            busyServers++;
            next.progress.onFirstAttemptSent();
            long sentUs = currentUs;
            schedule(currentUs + workUs, () -> {
                busyServers--;
                next.endedUs = currentUs;
                admission.recordLatency(next.classIndex, currentUs - sentUs);
                next.progress.onCompleted();
                sendUnsent();
                admission.advance(currentUs);
            });
        }
    }

    void run(long us) {
        long until = currentUs + us;
        while (true) {
            long dueUs = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueUs;
            long wakeUs = Math.max(currentUs, admission.nextWakeUpUs());
            if (Math.min(dueUs, wakeUs) > until) {
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
        currentUs = until;
    }

    long servedCount(int tenant) {
        return submitted.stream()
                .filter(a -> a.tenant == tenant && a.isServed())
                .count();
    }

    long submittedCount(int tenant) {
        return submitted.stream().filter(a -> a.tenant == tenant).count();
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
