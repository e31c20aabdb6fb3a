package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;
import vetchpost.simulation.net.SimulatedSocket;
import vetchpost.simulation.wire.Message;
import vetchpost.simulation.world.SimulatedServer;

/** Orders of events that nobody can arrange by hand on real sockets, each over many seeds. */
@Timeout(300)
class EventOrderTest {
    private static final int SEEDS = 60;
    private static final long WAIT_MS = 300;

    private static void assertNoViolations(SingleNodeScenario stage, long seed) {
        assertTrue(stage.violations.isEmpty(), () -> "seed " + seed + ": " + stage.violations);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void drainNoticeInTheSameTickAsNewRequestsIsObeyed(boolean pushed) {
        int sentAfterDrain = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, pushed);
            SimulatedServer drained = stage.servers.get(0);
            int[] sentAfterGrace = new int[1];
            long[] graceOverNs = {Long.MAX_VALUE};
            stage.servers.get(0).script((end, request) -> {
                sentAfterGrace[0] += stage.time.nanoTime() > graceOverNs[0] ? 1 : 0;
                return false;
            });
            // All of it waits in the system's buffers for one turn of the loop.
            stage.node.pauseLoop(20);
            stage.discovery.changedNow(drained, "Terminating");
            List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                clients.add(i % 2 == 0 ? stage.placeOrder(WAIT_MS) : stage.viewPage(WAIT_MS));
            }
            stage.runMs(20 + 600);
            graceOverNs[0] = stage.time.nanoTime();
            for (int i = 0; i < 10; i++) {
                clients.add(stage.viewPage(WAIT_MS));
            }
            stage.runMs(600);
            // All at once is more than one box is given: some are refused, and all answered.
            clients.forEach(a -> assertEquals(1, a.answers.size()));
            assertTrue(clients.stream().filter(a -> a.status() == 200).count() > 5);
            sentAfterDrain += sentAfterGrace[0];
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
        assertEquals(0, sentAfterDrain, "sent to it past the grace");
    }

    /** Each box answers just when the node stops waiting, some steps before or after. */
    @ParameterizedTest
    @ValueSource(ints = {-2_000, -700, -300, -50, 0, 50, 300, 700, 2_000})
    void aResponseAroundItsTimeoutGivesOneAnswer(int offsetUs) {
        int served = 0;
        int failed = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, false);
            stage.script((end, request) -> {
                long waitsNs = (Long.parseLong(request.field("x-remaining-ms")) * 1_000 + offsetUs) * 1_000;
                stage.time.after(waitsNs - 400_000, () -> stage.respond(end, request));
                return true;
            });
            SingleNodeScenario.TestClient order = stage.placeOrder(WAIT_MS);
            SingleNodeScenario.TestClient view = stage.viewPage(WAIT_MS);
            stage.runMs(2 * WAIT_MS);
            assertEquals(1, order.answers.size(), "seed " + seed);
            assertEquals(1, view.answers.size(), "seed " + seed);
            assertNotEquals(503, order.status(), "an order that may have run was refused");
            served += order.status() == 200 ? 1 : 0;
            failed += order.status() == 502 || order.status() == 504 ? 1 : 0;
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
        assertEquals(SEEDS, served + failed);
    }

    /**
     * The loop is held up through both, between two turns, where channels come before timers, and in the
     * midst of one, where the timer runs while the answer lies in the system unread.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aResponseThatArrivedBeforeItsTimeoutIsServed(boolean inTurn) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, false);
            stage.script((end, request) -> {
                long waitsMs = Long.parseLong(request.field("x-remaining-ms"));
                stage.time.after((waitsMs - 5) * SingleNodeScenario.MS, () -> {
                    if (inTurn) {
                        stage.node.pauseLoopInTurn(15);
                    } else {
                        stage.node.pauseLoop(15);
                    }
                    stage.respond(end, request);
                });
                return true;
            });
            SingleNodeScenario.TestClient order = stage.placeOrder(WAIT_MS);
            stage.runMs(2 * WAIT_MS);
            assertEquals(200, order.status(), "seed " + seed + ": the answer had come");
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
    }

    @Test
    void aResetAfterTheLastByteIsRetriedOnlyAsTheClassAllows() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 4, 2, false);
            stage.script((end, request) -> {
                if (stage.receivedRequests.stream()
                                .filter(r -> r.field("x-txn").equals(request.field("x-txn")))
                                .count()
                        == 1) {
                    end.reset();
                    return true;
                }
                return false;
            });
            SingleNodeScenario.TestClient order = stage.placeOrder(WAIT_MS);
            SingleNodeScenario.TestClient photo = stage.addPhoto(WAIT_MS);
            SingleNodeScenario.TestClient view = stage.viewPage(WAIT_MS);
            stage.runMs(2 * WAIT_MS);
            assertEquals(502, order.status(), "an order that may have run has failed, and no more");
            assertEquals(200, photo.status(), "a photo goes to its rack again");
            assertEquals(200, view.status(), "a page goes anywhere again");
            assertEquals(
                    1,
                    stage.receivedRequests.stream()
                            .filter(r -> r.start().contains("place-order"))
                            .count());
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
    }

    /** More than the buffers of both sides hold, so that the last byte is never written. */
    @Test
    void aRequestHalfWrittenWhenItsServerDiesIsRetried() {
        int received = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, false);
            // Only one of them takes anything in at first.
            stage.servers.get(0).stopReading(10_000);
            stage.servers.get(1).stopReading(60);
            List<SingleNodeScenario.TestClient> orders = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                orders.add(stage.sendRequest("place-order", RetryPolicy.UNSAFE, 600, 64_000));
            }
            stage.runMs(50);
            stage.servers.get(0).kill();
            stage.runMs(900);
            for (SingleNodeScenario.TestClient order : orders) {
                assertEquals(200, order.status(), "seed " + seed + ": what was half written never ran");
            }
            received += stage.receivedRequests.size();
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
        assertEquals(6 * SEEDS, received, "each ran once");
    }

    /** Its request is half written when the box says something that is no answer: it never ran there. */
    @Test
    void aRequestHalfWrittenWhenItsServerSendsMalformedBytesIsRetried() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, false);
            for (int i = 0; i < 2; i++) {
                boolean isMalformed = i == 0;
                SimulatedServer server = stage.servers.get(i);
                server.stopReading(isMalformed ? 10_000 : 60);
                server.script(new SimulatedServer.Script() {
                    @Override
                    public boolean handle(SimulatedSocket end, Message request) {
                        stage.receivedRequests.add(request);
                        return false;
                    }

                    @Override
                    public void connected(SimulatedSocket end) {
                        if (isMalformed) {
                            stage.time.after(
                                    30 * SingleNodeScenario.MS,
                                    () -> end.put("no answer\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
                        }
                    }
                });
            }
            List<SingleNodeScenario.TestClient> orders = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                orders.add(stage.sendRequest("place-order", RetryPolicy.UNSAFE, 900, 64_000));
            }
            stage.runMs(1_200);
            for (SingleNodeScenario.TestClient order : orders) {
                assertEquals(200, order.status(), "seed " + seed + ": what was half written never ran");
            }
            assertEquals(4, stage.receivedRequests.size(), "each ran once");
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
    }

    @Test
    void sigtermAnswersRequestsInEveryState() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, false);
            stage.servers.get(0).stopReading(200);
            stage.servers.get(1).slow(30, 5_000);
            List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                // Waiting, dialling, written, at work, answered, left, and still on its way.
                SingleNodeScenario.TestClient client =
                        i % 3 == 0 ? stage.placeOrder(WAIT_MS) : i % 3 == 1 ? stage.addPhoto(WAIT_MS) : stage.viewPage(WAIT_MS);
                if (i % 7 == 0) {
                    stage.time.after(30 * SingleNodeScenario.MS, client::disconnect);
                } else {
                    clients.add(client);
                }
                stage.runMs(2);
            }
            stage.node.stop();
            clients.add(stage.viewPage(WAIT_MS));
            stage.runMs(9_000);
            for (SingleNodeScenario.TestClient client : clients) {
                assertEquals(1, client.answers.size(), "seed " + seed);
            }
            assertNoViolations(stage, seed);
        }
    }

    /** Work that outlasts the time in which a node takes connections: it ends only when that is done. */
    @Test
    void sigtermWaitsForRequestsThatOutlastTheAcceptPeriod() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, false, 100);
            stage.script((end, request) -> {
                stage.time.after(1_100 * SingleNodeScenario.MS, () -> stage.respond(end, request));
                return true;
            });
            List<SingleNodeScenario.TestClient> orders = List.of(stage.placeOrder(2_000), stage.placeOrder(2_000));
            stage.runMs(20);
            stage.node.stop();
            stage.runMs(9_000);
            for (SingleNodeScenario.TestClient order : orders) {
                assertEquals(200, order.status(), "seed " + seed + ": it was at work when the node stopped");
            }
            assertNoViolations(stage, seed);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDrainSentInTheNextWatchIsObeyed(boolean pushed) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 4, 1, pushed);
            stage.discovery.changedNow(stage.servers.get(0), "Terminating");
            stage.runMs(10);
            stage.discovery.breakWatches();
            stage.discovery.changedNow(stage.servers.get(1), "Terminating");
            stage.runMs(3_000);
            int before = stage.receivedRequests.size();
            int[] sentToDrained = new int[1];
            for (int i = 0; i < 2; i++) {
                stage.servers.get(i).script((end, request) -> {
                    sentToDrained[0]++;
                    return false;
                });
            }
            List<SingleNodeScenario.TestClient> views = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                views.add(stage.viewPage(WAIT_MS));
                stage.runMs(5);
            }
            stage.runMs(WAIT_MS);
            views.forEach(v -> assertEquals(200, v.status()));
            assertEquals(0, sentToDrained[0], "seed " + seed + ": a drain told in the new watch was not taken in");
            assertEquals(before + 20, stage.receivedRequests.size());
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
    }

    /** They wait in the module while the loop is held up; what lets them go comes before their end. */
    @Test
    void disconnectsDuringALoopPauseStopTheirRequests() {
        int abandoned = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, false, 100);
            List<Runnable> answers = new ArrayList<>();
            stage.script((end, request) -> {
                answers.add(() -> stage.respond(end, request));
                return true;
            });
            List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                clients.add(i % 2 == 0 ? stage.viewPage(5_000) : stage.placeOrder(5_000));
            }
            stage.runMs(20);
            stage.node.pauseLoop(450 + (int) (seed * 10 % 400));
            stage.runMs(1);
            List.copyOf(answers).forEach(Runnable::run);
            stage.runMs(seed % 7);
            clients.forEach(SingleNodeScenario.TestClient::disconnect);
            stage.runMs(2_500);
            abandoned += stage.checker.abandonedCount();
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
        assertTrue(abandoned > 10 * SEEDS, "cases: " + abandoned);
    }

    /** Whenever it falls silent between two of its lines, whatever time passes until the first change; and
     * the next call waits in turn. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDrainMissedByASilentWatchBreaksNoRule(boolean pushed) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 3, 1, pushed);
            stage.runMs(seed * 37 % 2_000);
            stage.discovery.silenceWatches();
            stage.discovery.setCallDelay(1_500);
            stage.runMs(seed * 91 % 3_000);
            stage.discovery.changedNow(stage.servers.get(0), "Terminating");
            List<SingleNodeScenario.TestClient> views = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                views.add(stage.viewPage(WAIT_MS));
                stage.runMs(20);
            }
            stage.runMs(WAIT_MS);
            views.forEach(v -> assertEquals(200, v.status()));
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
    }

    /** The first box asked takes in the whole request, of whatever class, and says nothing for good. */
    @Test
    void aServerSilentAfterTheWholeRequestGivesOneAnswer() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 4, 2, false);
            stage.script((end, request) -> stage.receivedRequests.stream()
                            .filter(r -> r.field("x-txn").equals(request.field("x-txn")))
                            .count()
                    == 1);
            SingleNodeScenario.TestClient order = stage.placeOrder(WAIT_MS);
            SingleNodeScenario.TestClient photo = stage.addPhoto(WAIT_MS);
            SingleNodeScenario.TestClient view = stage.viewPage(WAIT_MS);
            stage.runMs(2 * WAIT_MS);
            for (SingleNodeScenario.TestClient client : List.of(order, photo, view)) {
                assertEquals(1, client.answers.size(), "seed " + seed + ": one answer, by its deadline");
            }
            assertEquals(502, order.status(), "an order that may run has failed, and no more");
            assertEquals(
                    1,
                    stage.receivedRequests.stream()
                            .filter(r -> r.start().contains("place-order"))
                            .count());
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
    }

    /** Every ten seconds a box is replaced: the rules hold for an hour, and nearly all is served. */
    @Test
    void anHourOfReplacementsBreaksNoRule() throws Exception {
        List<String> lines = new ArrayList<>(
                List.of("seed 7", "nodes 1", "boxes 6", "racks 2", "rate 4", "seconds 3600", "work 20", "slots 2"));
        for (int i = 1; i < 360; i++) {
            lines.add("at " + 10 * i + "s replace box " + i % 6 + " for 0." + (1 + i % 9) + "s");
        }
        Result result = script(lines.toArray(String[]::new));
        assertTrue(result.isGood(), () -> String.valueOf(result.violation()));
        assertTrue(result.served() > 0.95 * result.operations(), result.served() + " of " + result.operations());
    }

    /** The new one is told of, and the end of the old one not: it must not be sent a warm box's share. */
    @Test
    void aReplacementWhosePredecessorIsStillListedIsTreatedAsCold() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario stage = new SingleNodeScenario(seed, 2, 1, false);
            SimulatedServer replaced = stage.servers.get(0);
            replaced.kill();
            replaced.rename();
            replaced.start(true);
            stage.discovery.changedNow(replaced, "Ready");
            stage.runMs(100);
            int[] sentToCold = new int[1];
            replaced.script((end, request) -> {
                sentToCold[0]++;
                return false;
            });
            for (int i = 0; i < 400; i++) {
                stage.viewPage(WAIT_MS);
                stage.runMs(3);
            }
            assertTrue(sentToCold[0] < 30, "seed " + seed + ": sent " + sentToCold[0] + " of 400");
            stage.stopAndCheck();
            assertNoViolations(stage, seed);
        }
    }

    private static Result script(String... lines) throws Exception {
        return Simulation.run(PlanText.parse(List.of(lines)));
    }

    @Test
    void aServerReplacedAtTheSameAddressBreaksNoRule() throws Exception {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = script(
                    "seed " + seed,
                    "nodes 2",
                    "boxes 4",
                    "racks 2",
                    "rate 80",
                    "seconds 4",
                    "work 20",
                    "slots 2",
                    "at 1s replace box 0 for 0.01s",
                    "at 1s replace box 1 for 0.3s",
                    "at 1.2s late discovery for 1s",
                    "at 2s replace box 0 for 0.02s");
            assertTrue(result.isGood(), () -> result.seed() + " " + result.violation());
        }
    }

    @Test
    void aNodeRestartDuringServerFailuresBreaksNoRule() throws Exception {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = script(
                    "seed " + seed,
                    "nodes 3",
                    "boxes 10",
                    "racks 3",
                    "rate 120",
                    "seconds 5",
                    "work 20",
                    "slots 1",
                    "at 1s crash node 0 for 0.4s",
                    "at 1s kill box 0 for 2s",
                    "at 1s kill box 1 for 2s",
                    "at 1.1s silence box 2 for 2s",
                    "at 1.2s fail box 3 for 3s amount 0.9",
                    "at 1.5s mute discovery for 1s",
                    "at 1.6s stop node 1 for 1s");
            assertTrue(result.isGood(), () -> result.seed() + " " + result.violation());
            assertTrue(result.served() > 0.7 * result.operations(), result.served() + " of " + result.operations());
        }
    }
}
