package vetchpost.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import vetchpost.admission.AdmissionValidator;
import vetchpost.admission.FairAdmission;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServiceQBalancer;

/**
 * The dispatcher with admission control before it: each accepted request gets exactly one answer, even if admission
 * control is removed, throws, or the client disconnects while the request waits.
 */
class AdmissionControlTest {
    private static final long LATENCY_TARGET_US = 100_000;
    private long currentUs = 1_000_000_000L;
    private long lastNumber;
    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
    private final List<ServerTransport.OutgoingRequest> sent = new ArrayList<>();
    private final List<RecordingReply> replies = new ArrayList<>();
    private final Clock clock = new Clock() {
        @Override
        public long nowUs() {
            return currentUs;
        }

        @Override
        public Timer schedule(long us, Runnable task) {
            ScheduledTask scheduled = new ScheduledTask(us, ++lastNumber, task);
            timers.add(scheduled);
            return () -> timers.remove(scheduled);
        }
    };
    private final Dispatcher dispatcher = new Dispatcher(
            clock,
            new EventLoopDelay(clock),
            new RecordingTransport(),
            List.of(),
            () -> {},
            () -> {},
            1_000_000,
            actions -> new ServiceQBalancer(settings(), 1, actions));

    private record ScheduledTask(long dueUs, long number, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return dueUs != other.dueUs ? Long.compare(dueUs, other.dueUs) : Long.compare(number, other.number);
        }
    }

    private static Settings settings() {
        Settings settings = new Settings();
        settings.classes.add(new RequestClass(
                "view-page",
                LATENCY_TARGET_US,
                0,
                5 * LATENCY_TARGET_US,
                1,
                0,
                Idempotency.SAFE,
                DeduplicationScope.ALL,
                0,
                false));
        settings.maxRetryAfterUs = 1_000_000;
        return settings;
    }

    private final class RecordingTransport implements ServerTransport {
        @Override
        public void update(ServerList list) {}

        @Override
        public Attempt send(String serverId, OutgoingRequest outgoing) {
            sent.add(outgoing);
            outgoing.request();
            return new Attempt() {
                @Override
                public boolean mayHaveReachedServer() {
                    return true;
                }

                @Override
                public void abandon(Result reason) {
                    sent.remove(outgoing);
                    outgoing.onEnded(reason, null);
                }
            };
        }

        @Override
        public Attempt probe(String serverId, AttemptListener listener) {
            throw new AssertionError("unexpected probe");
        }

        @Override
        public void close() {}
    }

    private static final class RecordingReply implements ClientReply {
        private int answerCount;
        private boolean isServed;
        private long retryAfterUs = -1;
        private Runnable onDisconnect;

        @Override
        public void served(ServerResponse response) {
            answerCount++;
            isServed = true;
        }

        @Override
        public void rejected(long retryAfterUs) {
            answerCount++;
            this.retryAfterUs = retryAfterUs;
        }

        @Override
        public void failed(Failure why) {
            answerCount++;
        }

        @Override
        public void onDisconnect(Runnable action) {
            onDisconnect = action;
        }
    }

    private record NoHeaders() implements Headers {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {}
    }

    private RecordingReply submit() {
        RecordingReply reply = new RecordingReply();
        replies.add(reply);
        dispatcher.accept(
                new ClientRequest(
                        ++lastNumber,
                        0,
                        -1,
                        5 * LATENCY_TARGET_US,
                        0,
                        false,
                        "GET",
                        "/view-page",
                        new NoHeaders(),
                        new byte[0]),
                reply,
                0);
        return reply;
    }

    private void run(long durationUs) {
        long untilUs = currentUs + durationUs;
        while (!timers.isEmpty() && timers.peek().dueUs <= untilUs) {
            ScheduledTask task = timers.poll();
            currentUs = Math.max(currentUs, task.dueUs);
            task.task.run();
        }
        currentUs = untilUs;
    }

    private void publishServerList() {
        dispatcher.onCachedList(new ServerList(
                1,
                true,
                List.of(new ServerList.Target(
                        "one", new InetSocketAddress("127.0.0.1", 1), "", 0, ServerState.READY, 1, 0))));
    }

    private FairAdmission fairAdmission() {
        return new FairAdmission(AdmissionValidator.defaults(settings()), settings(), 1);
    }

    private void serveAll() {
        while (!sent.isEmpty()) {
            sent.remove(0).onEnded(Result.OK, new ServerResponse(200, null, new byte[0]));
        }
    }

    @Test
    void admitsWaitingRequestsAsResponsesArrive() {
        publishServerList();
        FairAdmission admission = fairAdmission();
        dispatcher.admission(admission);
        for (int i = 0; i < 30; i++) {
            submit();
        }
        assertEquals(30, dispatcher.pendingRequests());
        assertTrue(sent.size() >= 4, "sent up to the decision module's own limits: " + sent.size());
        assertEquals(30 - sent.size() - 2, admission.waitingRequests());
        serveAll();
        assertEquals(0, dispatcher.pendingRequests());
        assertTrue(replies.stream().allMatch(reply -> reply.isServed && reply.answerCount == 1));
    }

    @Test
    void rejectsLateRequestsByTheirLatencyTargetAndLeavesNoTimer() {
        publishServerList();
        dispatcher.admission(fairAdmission());
        for (int i = 0; i < 30; i++) {
            submit();
        }
        run(LATENCY_TARGET_US);
        assertTrue(
                replies.stream().filter(reply -> reply.answerCount == 0).count() <= 6,
                "only requests with an attempt in flight may be unanswered");
        assertTrue(replies.stream().filter(reply -> reply.retryAfterUs >= 0).count() >= 24);
        run(5 * LATENCY_TARGET_US);
        assertTrue(replies.stream().allMatch(reply -> reply.answerCount == 1), "each request has exactly one answer");
        assertEquals(0, dispatcher.pendingRequests());
        assertTrue(timers.isEmpty(), "no timer is left");
    }

    @Test
    void neverSendsARequestWhoseClientLeftWhileItWaited() {
        publishServerList();
        FairAdmission admission = fairAdmission();
        dispatcher.admission(admission);
        for (int i = 0; i < 12; i++) {
            submit();
        }
        int waiting = admission.waitingRequests();
        replies.get(11).onDisconnect.run();
        replies.get(9).onDisconnect.run();
        assertEquals(waiting - 2, admission.waitingRequests());
        serveAll();
        assertEquals(0, dispatcher.pendingRequests());
        assertEquals(10, replies.stream().filter(reply -> reply.isServed).count());
    }

    @Test
    void admitsWaitingRequestsWhenAdmissionControlIsRemoved() {
        publishServerList();
        FairAdmission admission = fairAdmission();
        dispatcher.admission(admission);
        for (int i = 0; i < 12; i++) {
            submit();
        }
        assertTrue(admission.waitingRequests() > 0);
        dispatcher.admission(null);
        assertEquals(0, admission.waitingRequests());
        submit();
        serveAll();
        assertTrue(replies.stream().allMatch(reply -> reply.isServed && reply.answerCount == 1));
    }

    /** A progress listener that ignores all calls or fails at the first. */
    private record ProgressStub(boolean fails) implements AdmissionControl.RequestProgress {
        @Override
        public void onFirstAttemptSent() {
            onCompleted();
        }

        @Override
        public void onCompleted() {
            if (fails) {
                throw new IllegalStateException("injected fault");
            }
        }
    }

    /** Admits nothing, and throws at the third arrival or advance, or in its progress listener. */
    private static final class FailingAdmission implements AdmissionControl {
        private final boolean failsOnArrival;
        private final boolean failsOnProgress;
        private int callCount;

        FailingAdmission(boolean inArrival, boolean breaksWhenTold) {
            this.failsOnArrival = inArrival;
            this.failsOnProgress = breaksWhenTold;
        }

        @Override
        public RequestProgress arrive(
                long nowUs,
                ClientRequest request,
                long connection,
                long waitedUs,
                long deadlineUs,
                Applicant applicant) {
            if (failsOnArrival && ++callCount == 3) {
                throw new IllegalStateException("injected fault");
            }
            return new ProgressStub(failsOnProgress);
        }

        @Override
        public void recordLatency(int classIndex, long latencyUs) {}

        @Override
        public void advance(long nowUs) {
            if (!failsOnArrival && ++callCount == 3) {
                throw new IllegalStateException("injected fault");
            }
        }

        @Override
        public long nextWakeUpUs() {
            return Long.MAX_VALUE;
        }

        @Override
        public void admitAll() {}
    }

    @Test
    void answersEachRequestWhenAdmissionControlFails() {
        publishServerList();
        for (boolean inArrival : new boolean[] {true, false}) {
            replies.clear();
            dispatcher.admission(new FailingAdmission(inArrival, false));
            for (int i = 0; i < 4; i++) {
                submit();
            }
            serveAll();
            assertEquals(null, dispatcher.admission(), "admission control is removed");
            assertTrue(
                    replies.stream().allMatch(reply -> reply.isServed && reply.answerCount == 1),
                    "all requests are admitted");
            assertEquals(0, dispatcher.pendingRequests());
        }
    }

    @Test
    void answersEachRequestWhenANotificationOfAdmissionControlFails() {
        publishServerList();
        dispatcher.admission(new FailingAdmission(false, true));
        submit();
        RecordingReply disconnecting = submit();
        disconnecting.onDisconnect.run();
        assertEquals(null, dispatcher.admission(), "admission control is removed");
        serveAll();
        assertTrue(replies.get(0).isServed && replies.get(0).answerCount == 1, "the waiting request is admitted");
        assertEquals(0, dispatcher.pendingRequests());
    }

    @Test
    void prefersRetryAfterOfAdmissionControlToTheRoutes() {
        publishServerList();
        dispatcher.setRoutes(request -> new RouteLimits() {
            @Override
            public long retryAfterUs(long otherwiseUs) {
                return 77;
            }
        });
        long[] retryAfterUs = {123_000, 0};
        int[] index = new int[1];
        dispatcher.admission(new AdmissionControl() {
            private final List<Applicant> arrived = new ArrayList<>();

            @Override
            public RequestProgress arrive(
                    long nowUs,
                    ClientRequest request,
                    long connection,
                    long waitedUs,
                    long deadlineUs,
                    Applicant applicant) {
                arrived.add(applicant);
                return new ProgressStub(false);
            }

            @Override
            public void recordLatency(int classIndex, long latencyUs) {}

            @Override
            public void advance(long nowUs) {
                while (!arrived.isEmpty()) {
                    arrived.remove(0).rejected(retryAfterUs[index[0]++]);
                }
            }

            @Override
            public long nextWakeUpUs() {
                return Long.MAX_VALUE;
            }

            @Override
            public void admitAll() {}
        });
        assertEquals(123_000, submit().retryAfterUs);
        assertEquals(77, submit().retryAfterUs);
        assertEquals(0, dispatcher.pendingRequests());
    }
}
