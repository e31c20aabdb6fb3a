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
    private static final long AIM_US = 100_000;
    private long now = 1_000_000_000L;
    private long numbers;
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final List<ServerTransport.OutgoingRequest> sent = new ArrayList<>();
    private final List<Asked> asked = new ArrayList<>();
    private final Clock clock = new Clock() {
        @Override
        public long nowUs() {
            return now;
        }

        @Override
        public Timer schedule(long us, Runnable task) {
            Due due = new Due(us, ++numbers, task);
            queue.add(due);
            return () -> queue.remove(due);
        }
    };
    private final Dispatcher node = new Dispatcher(
            clock,
            new EventLoopDelay(clock),
            new Servers(),
            List.of(),
            () -> {},
            () -> {},
            1_000_000,
            actions -> new ServiceQBalancer(settings(), 1, actions));

    private record Due(long us, long number, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return us != other.us ? Long.compare(us, other.us) : Long.compare(number, other.number);
        }
    }

    private static Settings settings() {
        Settings set = new Settings();
        set.classes.add(new RequestClass(
                "view-page", AIM_US, 0, 5 * AIM_US, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        set.maxRetryAfterUs = 1_000_000;
        return set;
    }

    private final class Servers implements ServerTransport {
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

    private static final class Asked implements ClientReply {
        private int answers;
        private boolean served;
        private long adviceUs = -1;
        private Runnable gone;

        @Override
        public void served(ServerResponse answer) {
            answers++;
            served = true;
        }

        @Override
        public void rejected(long retryAfterUs) {
            answers++;
            adviceUs = retryAfterUs;
        }

        @Override
        public void failed(Failure why) {
            answers++;
        }

        @Override
        public void onDisconnect(Runnable action) {
            gone = action;
        }
    }

    private record NoFields() implements Headers {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {}
    }

    private Asked ask() {
        Asked reply = new Asked();
        asked.add(reply);
        node.accept(
                new ClientRequest(
                        ++numbers, 0, -1, 5 * AIM_US, 0, false, "GET", "/view-page", new NoFields(), new byte[0]),
                reply,
                0);
        return reply;
    }

    private void run(long us) {
        long until = now + us;
        while (!queue.isEmpty() && queue.peek().us <= until) {
            Due due = queue.poll();
            now = Math.max(now, due.us);
            due.task.run();
        }
        now = until;
    }

    private void list() {
        node.onKnownList(new ServerList(
                1,
                true,
                List.of(new ServerList.Target(
                        "one", new InetSocketAddress("127.0.0.1", 1), "", 0, ServerState.READY, 1, 0))));
    }

    private FairAdmission fair() {
        return new FairAdmission(AdmissionValidator.defaults(settings()), settings(), 1);
    }

    private void serveAll() {
        while (!sent.isEmpty()) {
            sent.remove(0).onEnded(Result.OK, new ServerResponse(200, null, new byte[0]));
        }
    }

    @Test
    void whatWaitsGoesInAsAnswersComeAndTheModuleHoldsFewUnsent() {
        list();
        FairAdmission door = fair();
        node.admission(door);
        for (int i = 0; i < 30; i++) {
            ask();
        }
        assertEquals(30, node.pendingRequests());
        assertTrue(sent.size() >= 4, "the module sends by its own limits: " + sent.size());
        assertEquals(30 - sent.size() - 2, door.waitingRequests());
        serveAll();
        assertEquals(0, node.pendingRequests());
        assertTrue(asked.stream().allMatch(a -> a.served && a.answers == 1));
    }

    @Test
    void whatCantBeInTimeIsRefusedByItsAimAndNothingIsLeft() {
        list();
        node.admission(fair());
        for (int i = 0; i < 30; i++) {
            ask();
        }
        run(AIM_US);
        assertTrue(asked.stream().filter(a -> a.answers == 0).count() <= 6, "only what is out may be open");
        assertTrue(asked.stream().filter(a -> a.adviceUs >= 0).count() >= 24);
        run(5 * AIM_US);
        assertTrue(asked.stream().allMatch(a -> a.answers == 1), "each has its one answer");
        assertEquals(0, node.pendingRequests());
        assertTrue(queue.isEmpty(), "and no timer is left");
    }

    @Test
    void whoLeavesWhileItWaitsIsNeverSent() {
        list();
        FairAdmission door = fair();
        node.admission(door);
        for (int i = 0; i < 12; i++) {
            ask();
        }
        int waiting = door.waitingRequests();
        asked.get(11).gone.run();
        asked.get(9).gone.run();
        assertEquals(waiting - 2, door.waitingRequests());
        serveAll();
        assertEquals(0, node.pendingRequests());
        assertEquals(10, asked.stream().filter(a -> a.served).count());
    }

    @Test
    void aDoorThatIsTakenAwayLetsInWhatWaits() {
        list();
        FairAdmission door = fair();
        node.admission(door);
        for (int i = 0; i < 12; i++) {
            ask();
        }
        assertTrue(door.waitingRequests() > 0);
        node.admission(null);
        assertEquals(0, door.waitingRequests());
        ask();
        serveAll();
        assertTrue(asked.stream().allMatch(a -> a.served && a.answers == 1));
    }

    /** What a door is told; it fails at the first word, or passes over all. */
    private record Told(boolean breaks) implements AdmissionControl.RequestProgress {
        @Override
        public void sent() {
            ended();
        }

        @Override
        public void ended() {
            if (breaks) {
                throw new IllegalStateException("planted");
            }
        }
    }

    /** Fails when it is asked for the third time, or with what it is told, holding all back. */
    private static final class Broken implements AdmissionControl {
        private final boolean inArrival;
        private final boolean breaksWhenTold;
        private int calls;

        Broken(boolean inArrival, boolean breaksWhenTold) {
            this.inArrival = inArrival;
            this.breaksWhenTold = breaksWhenTold;
        }

        @Override
        public RequestProgress arrive(
                long nowUs, ClientRequest request, long connection, long waitedUs, long deadlineUs, Applicant entrant) {
            if (inArrival && ++calls == 3) {
                throw new IllegalStateException("planted");
            }
            return new Told(breaksWhenTold);
        }

        @Override
        public void recordLatency(int classIndex, long latencyUs) {}

        @Override
        public void advance(long nowUs) {
            if (!inArrival && ++calls == 3) {
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
    void aDoorThatFailsCostsNoRequestItsAnswer() {
        list();
        for (boolean inArrival : new boolean[] {true, false}) {
            asked.clear();
            node.admission(new Broken(inArrival, false));
            for (int i = 0; i < 4; i++) {
                ask();
            }
            serveAll();
            assertEquals(null, node.admission(), "it is taken out");
            assertTrue(asked.stream().allMatch(a -> a.served && a.answers == 1), "and all goes in");
            assertEquals(0, node.pendingRequests());
        }
    }

    @Test
    void aDoorThatFailsWithWhatItIsToldCostsNoRequestItsAnswer() {
        list();
        node.admission(new Broken(false, true));
        ask();
        Asked leaver = ask();
        leaver.gone.run();
        assertEquals(null, node.admission(), "it is taken out");
        serveAll();
        assertTrue(asked.get(0).served && asked.get(0).answers == 1, "and what it held goes in");
        assertEquals(0, node.pendingRequests());
    }

    @Test
    void aTimeThatWasPromisedComesBeforeWhatARouteSays() {
        list();
        node.setRoutes(request -> new RouteLimits() {
            @Override
            public long retryAfterUs(long otherwiseUs) {
                return 77;
            }
        });
        long[] advice = {123_000, 0};
        int[] n = new int[1];
        node.admission(new AdmissionControl() {
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
                return new Told(false);
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
        assertEquals(123_000, ask().adviceUs);
        assertEquals(77, ask().adviceUs);
        assertEquals(0, node.pendingRequests());
    }
}
