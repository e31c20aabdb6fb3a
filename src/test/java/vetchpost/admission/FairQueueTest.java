package vetchpost.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One scheduling node, against the theorems of start-time fair queueing (Goyal, Vin, Cheng, 1997): a wrong tag would
 * serve a flow more or less than its weight allows.
 */
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

    /** While two flows have waiting requests, their service over their weights differs by at most a request of each. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void servesTwoBackloggedFlowsInProportionUpToOneRequestOfEach(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        activateFlows(random);
        double[] served = new double[FLOW_COUNT];
        for (int i = 0; i < 5_000; i++) {
            RequestQueue next = (RequestQueue) root.next(key -> true, new ArrayList<>());
            double cost = 1 + (MAX_REQUEST_COST - 1) * random.nextDouble();
            served[next.key] += cost;
            root.serve(next, cost, ++lastSequence);
            for (RequestQueue first : flows) {
                for (RequestQueue second : flows) {
                    double difference = served[first.key] / first.weight - served[second.key] / second.weight;
                    assertTrue(
                            difference <= MAX_REQUEST_COST / first.weight + MAX_REQUEST_COST / second.weight + 1e-6,
                            "step " + i + ": " + difference);
                }
            }
        }
    }

    /**
     * The bound stated in docs/admission.md: between two requests of a flow, no more is served than its weight's turn
     * and one request of each other flow.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void boundsTheServiceBetweenTwoRequestsOfAFlow(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        activateFlows(random);
        double totalWeight = flows.stream().mapToDouble(flow -> flow.weight).sum();
        double[] lastServedAt = new double[FLOW_COUNT];
        double[] lastCost = new double[FLOW_COUNT];
        double servedCost = 0;
        for (int i = 0; i < 20_000; i++) {
            RequestQueue next = (RequestQueue) root.next(key -> true, new ArrayList<>());
            double bound = lastCost[next.key] * totalWeight / next.weight + (FLOW_COUNT - 1) * MAX_REQUEST_COST;
            assertTrue(
                    servedCost - lastServedAt[next.key] <= bound + 1e-6,
                    "flow " + next.key + " waited for a cost of " + (servedCost - lastServedAt[next.key]) + ", bound "
                            + bound);
            double cost = 1 + (MAX_REQUEST_COST - 1) * random.nextDouble();
            servedCost += cost;
            lastServedAt[next.key] = servedCost;
            lastCost[next.key] = cost;
            root.serve(next, cost, ++lastSequence);
        }
    }

    @Test
    void keepsAnIdleFlowWhileItsFinishTagLiesAhead() {
        RequestQueue busy = new RequestQueue(root, 1);
        RequestQueue occasional = new RequestQueue(root, 2);
        root.children.put(1, busy);
        root.children.put(2, occasional);
        busy.waitingCount = 1;
        root.activate(busy, ++lastSequence);
        for (int i = 0; i < 100; i++) {
            root.serve(busy, 10, ++lastSequence);
        }
        occasional.waitingCount = 1;
        root.activate(occasional, ++lastSequence);
        occasional.waitingCount = 0;
        root.serve(occasional, 10, ++lastSequence);
        assertEquals(occasional, root.children.get(2), "its finish lies ahead");
        occasional.waitingCount = 1;
        root.activate(occasional, ++lastSequence);
        assertEquals(busy, root.next(key -> true, new ArrayList<>()), "it has had its turn");
    }
}
