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

/** A door before the core: each request taken has one answer, whatever the door does. */
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
            ScheduledTask due = new ScheduledTask(us, ++lastNumber, task);
            timers.add(due);
            return () -> timers.remove(due);
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
        Settings set = new Settings();
        set.classes.add(new RequestClass(
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
        set.maxRetryAfterUs = 1_000_000;
        return set;
    }

    private final class RecordingTransport implements ServerTransport {
        @Override
        public void update(ServerList list) {}

        @Override
        public Attempt send(String serverId, OutgoingRequest sending) {
            sent.add(sending);
            sending.request();
            return new Attempt() {
                @Override
                public boolean mayHaveReachedServer() {
                    return true;
                }

                @Override
                public void abandon(Result reason) {
                    sent.remove(sending);
                    sending.onEnded(reason, null);
                }
            };
        }

        @Override
        public Attempt probe(String serverId, AttemptListener report) {
            throw new AssertionError("no probes are allowed");
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
        public void served(ServerResponse answer) {
            answerCount++;
            isServed = true;
        }

        @Override
        public void rejected(long retryAfterUs) {
            answerCount++;
            retryAfterUs = retryAfterUs;
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

    private void run(long us) {
        long until = currentUs + us;
        while (!timers.isEmpty() && timers.peek().dueUs <= until) {
            ScheduledTask due = timers.poll();
            currentUs = Math.max(currentUs, due.dueUs);
            due.task.run();
        }
        currentUs = until;
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
        FairAdmission door = fairAdmission();
        dispatcher.admission(door);
        for (int i = 0; i < 30; i++) {
            submit();
        }
        assertEquals(30, dispatcher.pendingRequests());
        assertTrue(sent.size() >= 4, "the module sends by its own limits: " + sent.size());
        assertEquals(30 - sent.size() - 2, door.waitingRequests());
        serveAll();
        assertEquals(0, dispatcher.pendingRequests());
        assertTrue(replies.stream().allMatch(a -> a.isServed && a.answerCount == 1));
    }

    @Test
    void rejectsLateRequestsByTheirLatencyTargetAndLeavesNoTimer() {
        publishServerList();
        dispatcher.admission(fairAdmission());
        for (int i = 0; i < 30; i++) {
            submit();
        }
        run(LATENCY_TARGET_US);
        assertTrue(replies.stream().filter(a -> a.answerCount == 0).count() <= 6, "only what is out may be open");
        assertTrue(replies.stream().filter(a -> a.retryAfterUs >= 0).count() >= 24);
        run(5 * LATENCY_TARGET_US);
        assertTrue(replies.stream().allMatch(a -> a.answerCount == 1), "each has its one answer");
        assertEquals(0, dispatcher.pendingRequests());
        assertTrue(timers.isEmpty(), "and no timer is left");
    }

    @Test
    void neverSendsARequestWhoseClientLeftWhileItWaited() {
        publishServerList();
        FairAdmission door = fairAdmission();
        dispatcher.admission(door);
        for (int i = 0; i < 12; i++) {
            submit();
        }
        int waiting = door.waitingRequests();
        replies.get(11).onDisconnect.run();
        replies.get(9).onDisconnect.run();
        assertEquals(waiting - 2, door.waitingRequests());
        serveAll();
        assertEquals(0, dispatcher.pendingRequests());
        assertEquals(10, replies.stream().filter(a -> a.isServed).count());
    }

    @Test
    void admitsWaitingRequestsWhenAdmissionControlIsRemoved() {
        publishServerList();
        FairAdmission door = fairAdmission();
        dispatcher.admission(door);
        for (int i = 0; i < 12; i++) {
            submit();
        }
        assertTrue(door.waitingRequests() > 0);
        dispatcher.admission(null);
        assertEquals(0, door.waitingRequests());
        submit();
        serveAll();
        assertTrue(replies.stream().allMatch(a -> a.isServed && a.answerCount == 1));
    }

    /** What a door is told; it fails at the first word, or passes over all. */
    private record ProgressStub(boolean fails) implements AdmissionControl.RequestProgress {
        @Override
        public void onFirstAttemptSent() {
            onCompleted();
        }

        @Override
        public void onCompleted() {
            if (fails) {
                throw new IllegalStateException("planted");
            }
        }
    }

    /** Fails when it is asked for the third time, or with what it is told, holding all back. */
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
                long nowUs, ClientRequest request, long connection, long waitedUs, long deadlineUs, Applicant entrant) {
            if (failsOnArrival && ++callCount == 3) {
                throw new IllegalStateException("planted");
            }
            return new ProgressStub(failsOnProgress);
        }

        @Override
        public void recordLatency(int classIndex, long latencyUs) {}

        @Override
        public void advance(long nowUs) {
            if (!failsOnArrival && ++callCount == 3) {
                throw new IllegalStateException("planted");
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
            assertEquals(null, dispatcher.admission(), "it is taken out");
            assertTrue(replies.stream().allMatch(a -> a.isServed && a.answerCount == 1), "and all goes in");
            assertEquals(0, dispatcher.pendingRequests());
        }
    }

    @Test
    void answersEachRequestWhenANotificationOfAdmissionControlFails() {
        publishServerList();
        dispatcher.admission(new FailingAdmission(false, true));
        submit();
        RecordingReply leaver = submit();
        leaver.onDisconnect.run();
        assertEquals(null, dispatcher.admission(), "it is taken out");
        serveAll();
        assertTrue(replies.get(0).isServed && replies.get(0).answerCount == 1, "and what it held goes in");
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
        long[] advice = {123_000, 0};
        int[] n = new int[1];
        dispatcher.admission(new AdmissionControl() {
            private final List<Applicant> come = new ArrayList<>();

            @Override
            public RequestProgress arrive(
                    long nowUs,
                    ClientRequest request,
                    long connection,
                    long waitedUs,
                    long deadlineUs,
                    Applicant entrant) {
                come.add(entrant);
                return new ProgressStub(false);
            }

            @Override
            public void recordLatency(int classIndex, long latencyUs) {}

            @Override
            public void advance(long nowUs) {
                while (!come.isEmpty()) {
                    come.remove(0).rejected(advice[n[0]++]);
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
