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

/**
 * Orders of events that can't be arranged reliably on real sockets, each over many seeds. They guard against
 * races between list changes, responses, timeouts, disconnects and restarts.
 */
@Timeout(300)
class EventOrderTest {
    private static final int SEEDS = 60;
    private static final long WAIT_MS = 300;

    private static void assertNoViolations(SingleNodeScenario scenario, long seed) {
        assertTrue(scenario.violations.isEmpty(), () -> "seed " + seed + ": " + scenario.violations);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void drainNoticeInTheSameTickAsNewRequestsIsObeyed(boolean pushed) {
        int sentAfterDrain = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, pushed);
            SimulatedServer drained = scenario.servers.get(0);
            int[] sentAfterGrace = new int[1];
            long[] graceOverNs = {Long.MAX_VALUE};
            scenario.servers.get(0).setScript((socket, request) -> {
                sentAfterGrace[0] += scenario.time.nanoTime() > graceOverNs[0] ? 1 : 0;
                return false;
            });
            // Notice and requests wait in the receive buffers for the same turn of the event loop.
            scenario.node.pauseLoop(20);
            scenario.discovery.publishNow(drained, "Terminating");
            List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                clients.add(i % 2 == 0 ? scenario.placeOrder(WAIT_MS) : scenario.viewPage(WAIT_MS));
            }
            scenario.runMs(20 + 600);
            graceOverNs[0] = scenario.time.nanoTime();
            for (int i = 0; i < 10; i++) {
                clients.add(scenario.viewPage(WAIT_MS));
            }
            scenario.runMs(600);
            // So many at once exceed what one server is given: some are rejected, and all are answered.
            clients.forEach(a -> assertEquals(1, a.answers.size()));
            assertTrue(clients.stream().filter(a -> a.status() == 200).count() > 5);
            sentAfterDrain += sentAfterGrace[0];
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
        assertEquals(0, sentAfterDrain, "requests sent to the drained server after the grace period");
    }

    /** Servers answer at the instant when the node stops waiting, or some microseconds before or after it. */
    @ParameterizedTest
    @ValueSource(ints = {-2_000, -700, -300, -50, 0, 50, 300, 700, 2_000})
    void aResponseAroundItsTimeoutGivesOneAnswer(int offsetUs) {
        int served = 0;
        int failed = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, false);
            scenario.setScript((socket, request) -> {
                long waitsNs = (Long.parseLong(request.field("x-remaining-ms")) * 1_000 + offsetUs) * 1_000;
                scenario.time.after(waitsNs - 400_000, () -> scenario.respond(socket, request));
                return true;
            });
            SingleNodeScenario.TestClient order = scenario.placeOrder(WAIT_MS);
            SingleNodeScenario.TestClient view = scenario.viewPage(WAIT_MS);
            scenario.runMs(2 * WAIT_MS);
            assertEquals(1, order.answers.size(), "seed " + seed);
            assertEquals(1, view.answers.size(), "seed " + seed);
            assertNotEquals(503, order.status(), "an order that may have run was rejected");
            served += order.status() == 200 ? 1 : 0;
            failed += order.status() == 502 || order.status() == 504 ? 1 : 0;
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
        assertEquals(SEEDS, served + failed);
    }

    /**
     * The event loop is paused over both. Between two turns, channels come before timers; within a turn, the
     * timer runs while the response is unread in the receive buffer.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aResponseThatArrivedBeforeItsTimeoutIsServed(boolean inTurn) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, false);
            scenario.setScript((socket, request) -> {
                long waitsMs = Long.parseLong(request.field("x-remaining-ms"));
                scenario.time.after((waitsMs - 5) * SingleNodeScenario.MS, () -> {
                    if (inTurn) {
                        scenario.node.pauseLoopInTurn(15);
                    } else {
                        scenario.node.pauseLoop(15);
                    }
                    scenario.respond(socket, request);
                });
                return true;
            });
            SingleNodeScenario.TestClient order = scenario.placeOrder(WAIT_MS);
            scenario.runMs(2 * WAIT_MS);
            assertEquals(200, order.status(), "seed " + seed + ": the response had arrived");
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
    }

    @Test
    void aResetAfterTheLastByteIsRetriedOnlyAsTheClassAllows() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 4, 2, false);
            scenario.setScript((socket, request) -> {
                if (scenario.receivedRequests.stream()
                                .filter(r -> r.field("x-txn").equals(request.field("x-txn")))
                                .count()
                        == 1) {
                    socket.reset();
                    return true;
                }
                return false;
            });
            SingleNodeScenario.TestClient order = scenario.placeOrder(WAIT_MS);
            SingleNodeScenario.TestClient photo = scenario.addPhoto(WAIT_MS);
            SingleNodeScenario.TestClient view = scenario.viewPage(WAIT_MS);
            scenario.runMs(2 * WAIT_MS);
            assertEquals(502, order.status(), "an order that may have run fails and isn't retried");
            assertEquals(200, photo.status(), "a photo is retried in its rack");
            assertEquals(200, view.status(), "a page is retried at any server");
            assertEquals(
                    1,
                    scenario.receivedRequests.stream()
                            .filter(r -> r.start().contains("place-order"))
                            .count());
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
    }

    /** The request exceeds the buffers of both ends, so its last byte is never written. */
    @Test
    void aRequestHalfWrittenWhenItsServerDiesIsRetried() {
        int received = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, false);
            // Server 1 begins to read after 60 ms, server 0 never does.
            scenario.servers.get(0).stopReading(10_000);
            scenario.servers.get(1).stopReading(60);
            List<SingleNodeScenario.TestClient> orders = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                orders.add(scenario.sendRequest("place-order", RetryPolicy.UNSAFE, 600, 64_000));
            }
            scenario.runMs(50);
            scenario.servers.get(0).kill();
            scenario.runMs(900);
            for (SingleNodeScenario.TestClient order : orders) {
                assertEquals(200, order.status(), "seed " + seed + ": what was half written never ran");
            }
            received += scenario.receivedRequests.size();
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
        assertEquals(6 * SEEDS, received, "each ran once");
    }

    /** A request that is half written when the server sends malformed bytes never ran there, so it is retried. */
    @Test
    void aRequestHalfWrittenWhenItsServerSendsMalformedBytesIsRetried() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, false);
            for (int i = 0; i < 2; i++) {
                boolean isMalformed = i == 0;
                SimulatedServer server = scenario.servers.get(i);
                server.stopReading(isMalformed ? 10_000 : 60);
                server.setScript(new SimulatedServer.Script() {
                    @Override
                    public boolean handle(SimulatedSocket socket, Message request) {
                        scenario.receivedRequests.add(request);
                        return false;
                    }

                    @Override
                    public void connected(SimulatedSocket socket) {
                        if (isMalformed) {
                            scenario.time.after(
                                    30 * SingleNodeScenario.MS,
                                    () -> socket.put("no answer\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
                        }
                    }
                });
            }
            List<SingleNodeScenario.TestClient> orders = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                orders.add(scenario.sendRequest("place-order", RetryPolicy.UNSAFE, 900, 64_000));
            }
            scenario.runMs(1_200);
            for (SingleNodeScenario.TestClient order : orders) {
                assertEquals(200, order.status(), "seed " + seed + ": what was half written never ran");
            }
            assertEquals(4, scenario.receivedRequests.size(), "each ran once");
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
    }

    @Test
    void sigtermAnswersRequestsInEveryState() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, false);
            scenario.servers.get(0).stopReading(200);
            scenario.servers.get(1).slow(30, 5_000);
            List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                // Queued, connecting, written, processing, answered, disconnected, and still on their way.
                SingleNodeScenario.TestClient client = i % 3 == 0
                        ? scenario.placeOrder(WAIT_MS)
                        : i % 3 == 1 ? scenario.addPhoto(WAIT_MS) : scenario.viewPage(WAIT_MS);
                if (i % 7 == 0) {
                    scenario.time.after(30 * SingleNodeScenario.MS, client::disconnect);
                } else {
                    clients.add(client);
                }
                scenario.runMs(2);
            }
            scenario.node.stop();
            clients.add(scenario.viewPage(WAIT_MS));
            scenario.runMs(9_000);
            for (SingleNodeScenario.TestClient client : clients) {
                assertEquals(1, client.answers.size(), "seed " + seed);
            }
            assertNoViolations(scenario, seed);
        }
    }

    /** Requests outlast the time in which a stopping node accepts connections; it exits only when they are done. */
    @Test
    void sigtermWaitsForRequestsThatOutlastTheAcceptPeriod() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, false, 100);
            scenario.setScript((socket, request) -> {
                scenario.time.after(1_100 * SingleNodeScenario.MS, () -> scenario.respond(socket, request));
                return true;
            });
            List<SingleNodeScenario.TestClient> orders =
                    List.of(scenario.placeOrder(2_000), scenario.placeOrder(2_000));
            scenario.runMs(20);
            scenario.node.stop();
            scenario.runMs(9_000);
            for (SingleNodeScenario.TestClient order : orders) {
                assertEquals(200, order.status(), "seed " + seed + ": it was processing when the node was stopped");
            }
            assertNoViolations(scenario, seed);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDrainSentInTheNextWatchIsObeyed(boolean pushed) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 4, 1, pushed);
            scenario.discovery.publishNow(scenario.servers.get(0), "Terminating");
            scenario.runMs(10);
            scenario.discovery.breakWatches();
            scenario.discovery.publishNow(scenario.servers.get(1), "Terminating");
            scenario.runMs(3_000);
            int before = scenario.receivedRequests.size();
            int[] sentToDrained = new int[1];
            for (int i = 0; i < 2; i++) {
                scenario.servers.get(i).setScript((socket, request) -> {
                    sentToDrained[0]++;
                    return false;
                });
            }
            List<SingleNodeScenario.TestClient> views = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                views.add(scenario.viewPage(WAIT_MS));
                scenario.runMs(5);
            }
            scenario.runMs(WAIT_MS);
            views.forEach(v -> assertEquals(200, v.status()));
            assertEquals(0, sentToDrained[0], "seed " + seed + ": a drain sent in the new watch was ignored");
            assertEquals(before + 20, scenario.receivedRequests.size());
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
    }

    /**
     * Requests wait in the balancer while the event loop is paused. The responses that let them go arrive before
     * the disconnects.
     */
    @Test
    void disconnectsDuringALoopPauseStopTheirRequests() {
        int abandoned = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, false, 100);
            List<Runnable> answers = new ArrayList<>();
            scenario.setScript((socket, request) -> {
                answers.add(() -> scenario.respond(socket, request));
                return true;
            });
            List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                clients.add(i % 2 == 0 ? scenario.viewPage(5_000) : scenario.placeOrder(5_000));
            }
            scenario.runMs(20);
            scenario.node.pauseLoop(450 + (int) (seed * 10 % 400));
            scenario.runMs(1);
            List.copyOf(answers).forEach(Runnable::run);
            scenario.runMs(seed % 7);
            clients.forEach(SingleNodeScenario.TestClient::disconnect);
            scenario.runMs(2_500);
            abandoned += scenario.checker.abandonedCount();
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
        assertTrue(abandoned > 10 * SEEDS, "cases: " + abandoned);
    }

    /**
     * The watch falls silent at any point between two heartbeats, a drain follows after any delay, and the next
     * watch is answered late.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDrainMissedByASilentWatchBreaksNoRule(boolean pushed) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 3, 1, pushed);
            scenario.runMs(seed * 37 % 2_000);
            scenario.discovery.silenceWatches();
            scenario.discovery.setCallDelay(1_500);
            scenario.runMs(seed * 91 % 3_000);
            scenario.discovery.publishNow(scenario.servers.get(0), "Terminating");
            List<SingleNodeScenario.TestClient> views = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                views.add(scenario.viewPage(WAIT_MS));
                scenario.runMs(20);
            }
            scenario.runMs(WAIT_MS);
            views.forEach(v -> assertEquals(200, v.status()));
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
    }

    /** The first server reads the whole request, of each class, and never answers. */
    @Test
    void aServerSilentAfterTheWholeRequestGivesOneAnswer() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 4, 2, false);
            scenario.setScript((socket, request) -> scenario.receivedRequests.stream()
                            .filter(r -> r.field("x-txn").equals(request.field("x-txn")))
                            .count()
                    == 1);
            SingleNodeScenario.TestClient order = scenario.placeOrder(WAIT_MS);
            SingleNodeScenario.TestClient photo = scenario.addPhoto(WAIT_MS);
            SingleNodeScenario.TestClient view = scenario.viewPage(WAIT_MS);
            scenario.runMs(2 * WAIT_MS);
            for (SingleNodeScenario.TestClient client : List.of(order, photo, view)) {
                assertEquals(1, client.answers.size(), "seed " + seed + ": one answer, by its deadline");
            }
            assertEquals(502, order.status(), "an order that may still run fails and isn't retried");
            assertEquals(
                    1,
                    scenario.receivedRequests.stream()
                            .filter(r -> r.start().contains("place-order"))
                            .count());
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
    }

    /** A server is replaced every ten seconds for an hour; nearly all requests are served. */
    @Test
    void anHourOfReplacementsBreaksNoRule() throws Exception {
        List<String> lines = new ArrayList<>(
                List.of("seed 7", "nodes 1", "boxes 6", "racks 2", "rate 4", "seconds 3600", "work 20", "slots 2"));
        for (int i = 1; i < 360; i++) {
            lines.add("at " + 10 * i + "s replace box " + i % 6 + " for 0." + (1 + i % 9) + "s");
        }
        Result result = runScript(lines.toArray(String[]::new));
        assertTrue(result.isGood(), () -> String.valueOf(result.violation()));
        assertTrue(result.served() > 0.95 * result.operations(), result.served() + " of " + result.operations());
    }

    /**
     * The list has the new server and, at the same address, still the old one. The new one must not get the load
     * of a warm server.
     */
    @Test
    void aReplacementWhosePredecessorIsStillListedIsTreatedAsCold() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SingleNodeScenario scenario = new SingleNodeScenario(seed, 2, 1, false);
            SimulatedServer replaced = scenario.servers.get(0);
            replaced.kill();
            replaced.rename();
            replaced.start(true);
            scenario.discovery.publishNow(replaced, "Ready");
            scenario.runMs(100);
            int[] sentToCold = new int[1];
            replaced.setScript((socket, request) -> {
                sentToCold[0]++;
                return false;
            });
            for (int i = 0; i < 400; i++) {
                scenario.viewPage(WAIT_MS);
                scenario.runMs(3);
            }
            assertTrue(sentToCold[0] < 30, "seed " + seed + ": sent " + sentToCold[0] + " of 400");
            scenario.stopAndCheck();
            assertNoViolations(scenario, seed);
        }
    }

    private static Result runScript(String... lines) throws Exception {
        return Simulation.run(PlanText.parse(List.of(lines)));
    }

    @Test
    void aServerReplacedAtTheSameAddressBreaksNoRule() throws Exception {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = runScript(
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
            Result result = runScript(
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
