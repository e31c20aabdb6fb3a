package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Outcome;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;

/** Long odd sequences of events with fixed seeds; what the module does is held against all four rules. */
class RandomEventsTest {

    /** An attempt as the judge knows it. */
    private static final class Attempt {
        ServerEntry server;
        long sentAt;
        Result result;
    }

    /** A probe's end to come. */
    private record PendingProbe(long atUs, String server) {}

    /** A request as the judge knows it. */
    private static final class TrackedRequest {
        RequestClass requestClass;
        long deadlineAt;
        boolean ended;
        final List<Attempt> attempts = new ArrayList<>();

        Attempt firstAttemptThatMayHaveRun() {
            return attempts.stream()
                    .filter(a -> a.result == null || !a.result.neverRan)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** Plays a node's part and fails the test on the first broken rule. */
    private static final class RuleChecker implements Balancer.Actions {
        final SplittableRandom random;
        final Settings settings = Node.settings();
        final Balancer balancer;
        final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
        final Map<String, ServerEntry> servers = new LinkedHashMap<>();
        final Map<ServerEntry, List<long[]>> coldSends = new LinkedHashMap<>();
        final PriorityQueue<long[]> pendingOutcomes = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final PriorityQueue<PendingProbe> pendingProbes =
                new PriorityQueue<>(Comparator.comparingLong(PendingProbe::atUs));
        int probes;
        final PriorityQueue<Long> wakes = new PriorityQueue<>();
        final StringBuilder trace = new StringBuilder();
        long now = 5_000_000;
        long nextId = 1;
        long served;
        int finalAnswers;

        RuleChecker(long seed) {
            random = new SplittableRandom(seed);
            settings.classes.replaceAll(c -> new RequestClass(
                    c.name(),
                    c.latencyTargetUs(),
                    0,
                    c.deadlineUs(),
                    c.value(),
                    random.nextInt(2) * 0.5,
                    c.idempotency(),
                    c.deduplicationScope(),
                    80_000,
                    false));
            settings.nodes = 1 + random.nextInt(5);
            settings.maxAttempts = 1 + random.nextInt(5);
            settings.allowsCancellation = random.nextBoolean();
            settings.allowsHedging = random.nextBoolean();
            settings.allowsProbes = random.nextBoolean();
            settings.nodes *= random.nextBoolean() ? 1 : 10;
            settings.mustRequestList = random.nextBoolean();
            settings.crossZonePrice = random.nextBoolean() ? 0.02 : 0;
            settings.tickUs = 1_000 * (1 + random.nextInt(5));
            settings.drainGraceUs = 0;
            settings.coldUs = 8_000_000;
            settings.coldStartFraction = 0.2;
            balancer = new ServiceQBalancer(settings, seed, this);
        }

        @Override
        public void send(long requestId, String serverId, long untilUs) {
            trace.append(now)
                    .append(" send ")
                    .append(requestId)
                    .append(serverId)
                    .append('\n');
            TrackedRequest request = requests.get(requestId);
            ServerEntry server = servers.get(serverId);
            assertNotNull(request, "a request that is held");
            assertFalse(request.ended, "rule 1: nothing is sent after the end");
            assertTrue(untilUs <= request.deadlineAt, "rule 1: inside the client's time");
            assertTrue(now < request.deadlineAt, "rule 1: time is left");
            assertTrue(request.attempts.size() < settings.maxAttempts);
            Attempt binding = request.firstAttemptThatMayHaveRun();
            if (binding != null) {
                assertTrue(
                        request.requestClass.idempotency() != Idempotency.UNSAFE,
                        "rule 2: an unsafe request may have run");
                if (request.requestClass.idempotency() == Idempotency.KEYED) {
                    assertTrue(
                            now <= binding.sentAt + request.requestClass.deduplicationWindowUs(),
                            "rule 2: inside the window");
                    assertTrue(
                            sameGroup(request.requestClass.deduplicationScope(), binding.server, server),
                            "rule 2: in the group");
                }
                assertTrue(settings.allowsHedging || request.attempts.stream().allMatch(a -> a.result != null));
            }
            assertTrue(server.state() == ServerState.READY, "rule 3: nothing to a draining or gone server");
            if (server.startedAtUs() > 0 && now < server.startedAtUs() + settings.coldUs) {
                coldSends.computeIfAbsent(server, k -> new ArrayList<>()).add(new long[] {now, readyServers()});
            }
            Attempt attempt = new Attempt();
            attempt.server = server;
            attempt.sentAt = now;
            request.attempts.add(attempt);
            boolean timesOut = random.nextInt(30) == 0;
            long at = timesOut ? untilUs : Math.min(untilUs, now + 1_000 + random.nextInt(120_000));
            pendingOutcomes.add(new long[] {
                at,
                requestId,
                request.attempts.size() - 1,
                timesOut || at == untilUs ? Result.TIMEOUT.ordinal() : randomResult()
            });
        }

        private int randomResult() {
            Result[] bad = {Result.ERROR, Result.FULL, Result.CONNECT_FAILED, Result.RESET, Result.MOOT};
            return (random.nextInt(8) > 0 ? Result.OK : bad[random.nextInt(bad.length)]).ordinal();
        }

        private static boolean sameGroup(DeduplicationScope group, ServerEntry a, ServerEntry b) {
            return group == DeduplicationScope.ALL
                    || (group == DeduplicationScope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
        }

        private void recordFinalAnswer(long id, boolean refusal) {
            trace.append(now).append(refusal ? " refuse " : " fail ").append(id).append('\n');
            TrackedRequest request = requests.get(id);
            assertNotNull(request);
            assertFalse(request.ended, "rule 1: one final answer only");
            assertTrue(now <= request.deadlineAt + settings.tickUs, "rule 1: the answer comes in time");
            if (refusal && request.firstAttemptThatMayHaveRun() != null) {
                assertTrue(
                        request.requestClass.idempotency() == Idempotency.SAFE
                                || request.requestClass.idempotency() == Idempotency.KEYED
                                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL,
                        "rule 2: a refusal promises that trying again is harmless");
            }
            request.ended = true;
            finalAnswers++;
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            recordFinalAnswer(requestId, true);
        }

        @Override
        public void fail(long requestId) {
            recordFinalAnswer(requestId, false);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            assertTrue(settings.allowsCancellation);
            Attempt out = requests.get(requestId).attempts.get(attempt);
            if (out.result == null) {
                pendingOutcomes.removeIf(a -> a[1] == requestId && a[2] == attempt);
                pendingOutcomes.add(new long[] {now, requestId, attempt, Result.CANCELLED.ordinal()});
            }
        }

        @Override
        public void wakeAt(long atUs) {
            assertTrue(atUs > now);
            wakes.add(atUs);
        }

        @Override
        public void probe(String serverId) {
            assertTrue(settings.allowsProbes);
            probes++;
            pendingProbes.add(new PendingProbe(now + 500 + random.nextInt(40_000), serverId));
        }

        @Override
        public void subscribe() {
            assertTrue(settings.mustRequestList);
        }

        @Override
        public void log(String line) {
            trace.append(line).append('\n');
        }

        void sendRequest() {
            TrackedRequest request = new TrackedRequest();
            int classIndex = random.nextInt(settings.classes.size());
            request.requestClass = settings.classes.get(classIndex);
            long left = random.nextInt(10) == 0 ? random.nextInt(3_000) : 20_000 + random.nextInt(900_000);
            request.deadlineAt = now + left;
            long id = nextId++;
            requests.put(id, request);
            balancer.onRequest(now, new Request(id, classIndex, random.nextInt(2) - 1, left, 0, false));
        }

        void changeList() {
            List<ServerEntry> changes = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                int number = random.nextInt(9);
                ServerState state = ServerState.values()[Math.max(0, random.nextInt(5) - 2)];
                ServerEntry entry = new ServerEntry(
                        "s" + number,
                        number % 2,
                        number % 3,
                        state,
                        1,
                        state == ServerState.READY && random.nextInt(3) == 0 ? now : 0);
                if (servers.containsKey(entry.id()) || state != ServerState.GONE) {
                    changes.add(entry);
                }
            }
            if (random.nextInt(6) == 0) {
                changes.removeIf(e -> e.state() == ServerState.GONE);
                servers.replaceAll(
                        (id, e) -> new ServerEntry(id, e.zone(), e.cell(), ServerState.GONE, 1, e.startedAtUs()));
                changes.forEach(e -> servers.put(e.id(), e));
                balancer.onServers(now, ListKind.FULL, changes);
            } else {
                changes.forEach(e -> servers.put(e.id(), e));
                balancer.onServers(now, ListKind.CHANGES, changes);
            }
        }

        void deliverOutcome(long[] due) {
            TrackedRequest request = requests.get(due[1]);
            Attempt attempt = request.attempts.get((int) due[2]);
            attempt.result = Result.values()[(int) due[3]];
            if (attempt.result == Result.OK && !request.ended) {
                request.ended = true;
                finalAnswers++;
                served++;
            }
            balancer.onOutcome(
                    now, new Outcome(due[1], (int) due[2], attempt.result, now - attempt.sentAt, request.ended, null));
        }

        void run(int events) {
            balancer.onServers(now, ListKind.CACHED, List.of());
            for (int i = 0; i < 5; i++) {
                changeList();
            }
            long nextEvent = now;
            for (int done = 0; done < events || !pendingOutcomes.isEmpty() || unansweredRequests() > 0; ) {
                long at = done < events ? nextEvent : Long.MAX_VALUE;
                at = Math.min(
                        at,
                        pendingOutcomes.isEmpty()
                                ? Long.MAX_VALUE
                                : pendingOutcomes.peek()[0]);
                at = Math.min(
                        at,
                        pendingProbes.isEmpty()
                                ? Long.MAX_VALUE
                                : pendingProbes.peek().atUs());
                at = Math.min(at, wakes.isEmpty() ? Long.MAX_VALUE : wakes.peek());
                assertTrue(at < Long.MAX_VALUE, "rule 1: requests held and nothing to wake the module");
                now = Math.max(now, at);
                if (!pendingOutcomes.isEmpty() && pendingOutcomes.peek()[0] <= now) {
                    deliverOutcome(pendingOutcomes.poll());
                } else if (!pendingProbes.isEmpty() && pendingProbes.peek().atUs() <= now) {
                    Result[] ends = {Result.OK, Result.OK, Result.FULL, Result.TIMEOUT};
                    balancer.onProbe(now, pendingProbes.poll().server(), ends[random.nextInt(4)], 1_000, null);
                } else if (!wakes.isEmpty() && wakes.peek() <= now) {
                    wakes.poll();
                    balancer.onWake(now);
                } else {
                    done++;
                    nextEvent = now + random.nextInt(30_000);
                    int what = random.nextInt(100);
                    if (what < 2) {
                        changeList();
                    } else if (what < 3) {
                        balancer.onListFailed(now);
                    } else if (what < 5 && nextId > 1) {
                        disconnectClient(1 + random.nextLong(nextId - 1));
                    } else {
                        sendRequest();
                    }
                }
            }
        }

        private long readyServers() {
            return servers.values().stream()
                    .filter(e -> e.state() == ServerState.READY)
                    .count();
        }

        private long unansweredRequests() {
            return requests.values().stream().filter(h -> !h.ended).count();
        }

        private void disconnectClient(long id) {
            TrackedRequest request = requests.get(id);
            if (!request.ended) {
                request.ended = true;
                finalAnswers++;
            }
            balancer.onClientDisconnected(now, id);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void allRulesHoldOverOddSequences(long seed) {
        RuleChecker judge = new RuleChecker(seed);
        judge.run(1_500);
        assertEquals(judge.requests.size(), judge.finalAnswers, "rule 1: every request has its one final answer");
        assertTrue(judge.served > 100, "the run must do real work: " + judge.served);
        // Rule 4: in any span this node stays under its part of the multiple of what a cold server can
        // do, taking its answers over the servers then ready (three at most: many are always gone) as its
        // part of what a warm one does; two requests more are chance.
        double rate = judge.served / ((judge.now - 5_000_000) / 1e6);
        Settings set = judge.settings;
        judge.coldSends.forEach((start, sends) -> {
            for (long[] first : sends) {
                List<long[]> span = sends.stream()
                        .filter(s -> s[0] >= first[0] && s[0] < first[0] + set.coldOverloadWindowUs)
                        .toList();
                double ready =
                        Math.min(3, span.stream().mapToLong(s -> s[1]).min().getAsLong());
                double age =
                        Math.min(1, (first[0] + set.coldOverloadWindowUs - start.startedAtUs()) / (double) set.coldUs);
                double share = set.coldStartFraction + (1 - set.coldStartFraction) * age;
                assertTrue(
                        span.size() - 2
                                <= set.coldOverloadMultiple * share * rate / ready * set.coldOverloadWindowUs / 1e6,
                        "rule 4: " + span.size() + " sends in one span");
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void theSameEventsAndSeedGiveTheSameActions(long seed) {
        RuleChecker one = new RuleChecker(seed);
        RuleChecker two = new RuleChecker(seed);
        one.run(800);
        two.run(800);
        assertEquals(one.trace.toString(), two.trace.toString());
    }
}
