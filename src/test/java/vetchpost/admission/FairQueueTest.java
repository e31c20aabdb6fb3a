package vetchpost.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One level of the queues, against the theorems of start-time fair queueing (Goyal, Vin, Cheng, 1997). */
class FairQueueTest {
    private static final int FLOW_COUNT = 12;
    private static final double MAX_REQUEST_COST = 40;

    private final SchedulingNode root = new SchedulingNode(null, 0, 1);
    private final List<RequestQueue> flows = new ArrayList<>();
    private long lastSequence;

    private void activateFlows(SplittableRandom random) {
        for (int i = 0; i < FLOW_COUNT; i++) {
            RequestQueue flow = new RequestQueue(root, i);
            flow.weight = 0.05 + 4 * random.nextDouble();
            flow.waitingCount = 1;
            root.children.put(i, flow);
            flows.add(flow);
            root.activate(flow, ++lastSequence);
        }
    }

    /** While two have something waiting, what they get over their weights differs by a request of each. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void servesTwoBackloggedFlowsInProportionUpToOneRequestOfEach(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        activateFlows(random);
        double[] served = new double[FLOW_COUNT];
        for (int i = 0; i < 5_000; i++) {
            RequestQueue next = (RequestQueue) root.next(k -> true, new ArrayList<>());
            double cost = 1 + (MAX_REQUEST_COST - 1) * random.nextDouble();
            served[next.key] += cost;
            root.serve(next, cost, ++lastSequence);
            for (RequestQueue a : flows) {
                for (RequestQueue b : flows) {
                    double apart = served[a.key] / a.weight - served[b.key] / b.weight;
                    assertTrue(
                            apart <= MAX_REQUEST_COST / a.weight + MAX_REQUEST_COST / b.weight + 1e-6,
                            "step " + i + ": " + apart);
                }
            }
        }
    }

    /**
     * The bound of the page: between two requests of a flow no more goes out than its turn and one of each.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void boundsTheServiceBetweenTwoRequestsOfAFlow(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        activateFlows(random);
        double weights = flows.stream().mapToDouble(f -> f.weight).sum();
        double[] lastAt = new double[FLOW_COUNT];
        double[] lastCost = new double[FLOW_COUNT];
        double out = 0;
        for (int i = 0; i < 20_000; i++) {
            RequestQueue next = (RequestQueue) root.next(k -> true, new ArrayList<>());
            double bound = lastCost[next.key] * weights / next.weight + (FLOW_COUNT - 1) * MAX_REQUEST_COST;
            assertTrue(
                    out - lastAt[next.key] <= bound + 1e-6,
                    "flow " + next.key + " waited for " + (out - lastAt[next.key]) + " of " + bound);
            double cost = 1 + (MAX_REQUEST_COST - 1) * random.nextDouble();
            out += cost;
            lastAt[next.key] = out;
            lastCost[next.key] = cost;
            root.serve(next, cost, ++lastSequence);
        }
    }

    @Test
    void keepsAnIdleFlowWhileItsFinishTagLiesAhead() {
        RequestQueue busy = new RequestQueue(root, 1);
        RequestQueue shy = new RequestQueue(root, 2);
        root.children.put(1, busy);
        root.children.put(2, shy);
        busy.waitingCount = 1;
        root.activate(busy, ++lastSequence);
        for (int i = 0; i < 100; i++) {
            root.serve(busy, 10, ++lastSequence);
        }
        shy.waitingCount = 1;
        root.activate(shy, ++lastSequence);
        shy.waitingCount = 0;
        root.serve(shy, 10, ++lastSequence);
        assertEquals(shy, root.children.get(2), "its finish lies ahead");
        shy.waitingCount = 1;
        root.activate(shy, ++lastSequence);
        assertEquals(busy, root.next(k -> true, new ArrayList<>()), "and it has had its turn");
    }
}
