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
    static final long WORK_US = 10_000;
    private static final long START_US = 1_000_000_000_000L;

    final Settings platform;
    final FairAdmission door;
    final List<SubmittedRequest> all = new ArrayList<>();
    long now = START_US;
    int servers;
    long workUs = WORK_US;
    private int busy;
    private long numbers;
    private final List<SubmittedRequest> unsent = new ArrayList<>();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::us).thenComparingLong(Due::number));

    private record Due(long us, long number, Runnable task) {}

    /** What has become of a request. */
    final class SubmittedRequest implements AdmissionControl.Applicant {
        final int tenant;
        final int cls;
        final String key;
        final long askedUs = now;
        AdmissionControl.RequestProgress entry;
        boolean admitted;
        boolean refused;
        boolean left;
        long endedUs = -1;
        long adviceUs;
        Runnable whenRefused = () -> {};

        SubmittedRequest(int tenant, int cls, String key) {
            this.tenant = tenant;
            this.cls = cls;
            this.key = key;
        }

        boolean served() {
            return admitted && endedUs >= 0;
        }

        @Override
        public void admitted() {
            must(!admitted && !refused && !left, "admitted twice, or after its end");
            admitted = true;
            unsent.add(this);
            send();
        }

        @Override
        public void rejected(long retryAfterUs) {
            must(!admitted && !refused && !left, "refused twice, or after its end");
            refused = true;
            adviceUs = retryAfterUs;
            endedUs = now;
            entry.ended();
            whenRefused.run();
        }

        void leave() {
            left = true;
            unsent.remove(this);
            entry.ended();
            door.advance(now);
        }
    }

    AdmissionHarness(int servers, Settings platform, AdmissionSettings settings) {
        this.servers = servers;
        this.platform = platform;
        door = new FairAdmission(settings, platform, 7);
    }

    AdmissionHarness(int servers, Settings platform) {
        this(servers, platform, AdmissionValidator.defaults(platform));
    }

    static void must(boolean holds, String otherwise) {
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

    SubmittedRequest ask(int tenant, String key) {
        return ask(tenant, 0, key);
    }

    SubmittedRequest ask(int tenant, int cls, String key) {
        SubmittedRequest asked = new SubmittedRequest(tenant, cls, key);
        all.add(asked);
        long deadlineUs = platform.classes.get(cls).deadlineUs();
        asked.entry = door.arrive(
                now,
                new ClientRequest(
                        ++numbers, cls, tenant, deadlineUs, 0, false, "GET", "/", new Cookie(key), new byte[0]),
                numbers,
                0,
                now + deadlineUs,
                asked);
        door.advance(now);
        return asked;
    }

    /** Asks for something every so often. */
    void every(long us, long untilUs, Runnable ask) {
        at(now + us, () -> {
            if (now < untilUs) {
                ask.run();
                every(us, untilUs, ask);
            }
        });
    }

    void at(long us, Runnable task) {
        queue.add(new Due(us, ++numbers, task));
    }

    private void send() {
        while (busy < servers && !unsent.isEmpty()) {
            SubmittedRequest next = unsent.remove(0);
            busy++;
            next.entry.sent();
            long sentUs = now;
            at(now + workUs, () -> {
                busy--;
                next.endedUs = now;
                door.recordLatency(next.cls, now - sentUs);
                next.entry.ended();
                send();
                door.advance(now);
            });
        }
    }

    void run(long us) {
        long until = now + us;
        while (true) {
            long dueUs = queue.isEmpty() ? Long.MAX_VALUE : queue.peek().us;
            long wakeUs = Math.max(now, door.nextWakeUpUs());
            if (Math.min(dueUs, wakeUs) > until) {
                break;
            }
            if (wakeUs < dueUs) {
                now = wakeUs;
                door.advance(now);
            } else {
                now = Math.max(now, dueUs);
                queue.poll().task.run();
            }
        }
        now = until;
    }

    long servedOf(int tenant) {
        return all.stream().filter(a -> a.tenant == tenant && a.served()).count();
    }

    long askedOf(int tenant) {
        return all.stream().filter(a -> a.tenant == tenant).count();
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
