package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.Settings;
import vetchpost.node.NodeHooks;
import vetchpost.routes.RouteFiles;
import vetchpost.routes.Violation.Rule;
import vetchpost.simulation.check.Violation;
import vetchpost.simulation.net.SimLoop;
import vetchpost.simulation.world.NodeProcess;

/**
 * Shows that the route validator rejects files for a reason. Without validation and with a balancer that trusts
 * the file, a rejected file does the harm that the validator names; with an accepted file it does none.
 */
@Timeout(120)
class RejectedRoutesTest {
    private static final int SEEDS = 20;
    private static final int SERVERS = 6;
    private static final long WAIT_MS = 300;

    /** Nodes that use a route file without validation. */
    private static final class RouteFileSetup implements NodeProcess.Setup {
        private final String text;
        private final boolean usesTrustingBalancer;
        private final boolean hidesClientDeadline;
        private Settings settings;

        RouteFileSetup(String text, boolean trusting, boolean hidesClientDeadline) {
            this.text = text;
            this.usesTrustingBalancer = trusting;
            this.hidesClientDeadline = hidesClientDeadline;
        }

        @Override
        public NodeHooks hooks(SimLoop loop) {
            return usesTrustingBalancer ? TrustingBalancer.hooks(hidesClientDeadline) : NodeHooks.NONE;
        }

        @Override
        public RoutePolicy routes(Settings nodeSettings, long seed) {
            settings = nodeSettings;
            return RouteFiles.uncheckedPolicy(text, nodeSettings, seed);
        }
    }

    /** The first violation over all seeds, or null; all servers are slow, so that attempts time out. */
    private static Violation firstViolation(RouteFileSetup file) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            List<Fault> faults = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                faults.add(new Fault(500, Fault.Kind.SLOW, i, 3_000, 20));
            }
            Result result =
                    Simulation.run(new Plan(seed, 1, SERVERS, 2, false, 15, 4_000, 100, 2, faults, null), file, null);
            if (!result.isGood()) {
                return result.violation();
            }
        }
        return null;
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            UNSAFE_AGAIN | place-order | attempt-timeout = "900ms" | attempts = 1
            UNSAFE_AGAIN | place-order | copy-after = "300ms" | attempts = 1
            KEYED_LATE | add-photo | attempt-timeout = "1300ms" | attempts = 2; attempt-timeout = "1s"
            KEYED_LATE | add-photo | copy-after = "1190ms"; jitter = 1 | copy-after = "550ms"; jitter = 1
            """)
    void rejectsFilesThatLetAnEffectHappenTwice(Rule rule, String requestClass, String bad, String good) {
        RouteFileSetup rejectedFile = new RouteFileSetup(
                "[class." + requestClass + "]\nattempts = 2\n" + bad.replace("; ", "\n"), true, false);
        Violation violation = firstViolation(rejectedFile);
        assertNotNull(violation, "no seed breaks a rule with the rejected file");
        assertEquals(Violation.Rule.TWICE, violation.rule(), violation.description());
        assertTrue(RouteFiles.isRejected(rejectedFile.text, rejectedFile.settings, rule));
        // The rejected file breaks the rule, not the trusting balancer or the injected faults.
        RouteFileSetup acceptedFile =
                new RouteFileSetup("[class." + requestClass + "]\n" + good.replace("; ", "\n"), true, false);
        assertNull(firstViolation(acceptedFile));
        assertTrue(RouteFiles.isAccepted(acceptedFile.text, acceptedFile.settings));
        // The production balancer keeps the rule even with the rejected file.
        assertNull(firstViolation(new RouteFileSetup(rejectedFile.text, false, false)));
    }

    @Test
    void rejectsTimeoutsBeyondTheClientsDeadline() {
        RouteFileSetup rejectedFile = new RouteFileSetup("[class.place-order]\ntotal-timeout = \"5s\"", true, true);
        Violation violation = firstViolation(rejectedFile);
        assertNotNull(violation, "no seed breaks a rule with the rejected file");
        assertEquals(Violation.Rule.LOST, violation.rule(), violation.description());
        assertTrue(RouteFiles.isRejected(rejectedFile.text, rejectedFile.settings, Rule.PAST_CLIENT));
        assertNull(
                firstViolation(new RouteFileSetup(rejectedFile.text, true, false)),
                "the production core keeps the rule");
    }

    private static SingleNodeScenario scenario(String text, boolean trusting) {
        SingleNodeScenario scenario = new SingleNodeScenario(5, SERVERS, 1, new RouteFileSetup("", trusting, false));
        scenario.node.setRoutes(RouteFiles.uncheckedPolicy(text, SingleNodeScenario.settings(), 5));
        return scenario;
    }

    private static int attemptsOfOneView(String text, boolean trusting) {
        SingleNodeScenario scenario = scenario(text, trusting);
        scenario.setScript((socket, request) -> true);
        scenario.viewPage(WAIT_MS);
        scenario.runMs(2 * WAIT_MS);
        return scenario.receivedRequests.size();
    }

    @Test
    void rejectsAttemptsThatCouldNeverBegin() {
        String four = "[class.view-page]\nattempts = 4\nattempt-timeout = \"100ms\"\n";
        assertEquals(3, attemptsOfOneView(four, true));
        assertTrue(RouteFiles.isRejected(four, SingleNodeScenario.settings(), Rule.SCHEDULE));
        String three = four.replace("= 4", "= 3");
        assertEquals(3, attemptsOfOneView(three, true));
        assertTrue(RouteFiles.isAccepted(three, SingleNodeScenario.settings()));
        String late = "[class.view-page]\nattempts = 2\ncopy-after = \"330ms\"\n";
        assertEquals(1, attemptsOfOneView(late, true), "the hedge is due after the request has ended");
        assertTrue(RouteFiles.isRejected(late, SingleNodeScenario.settings(), Rule.SCHEDULE));
    }

    @Test
    void rejectsAttemptTimeoutsThatCouldNeverExpire() {
        String longer =
                "[class.view-page]\ntotal-timeout = \"150ms\"\nattempts = 2\n" + "attempt-timeout = \"200ms\"\n";
        assertEquals(1, attemptsOfOneView(longer, true));
        assertTrue(RouteFiles.isRejected(longer, SingleNodeScenario.settings(), Rule.PAST_WHOLE));
        assertEquals(2, attemptsOfOneView(longer.replace("200ms", "60ms"), true));
        assertTrue(RouteFiles.isAccepted(longer.replace("200ms", "60ms"), SingleNodeScenario.settings()));
    }

    @Test
    void rejectsHedgesThatThePlatformForbids() {
        String copies = "[class.view-page]\nattempts = 2\ncopy-after = \"50ms\"\n";
        assertEquals(2, attemptsOfOneView(copies, true));
        Settings forbidding = SingleNodeScenario.settings();
        forbidding.allowsHedging = false;
        assertTrue(RouteFiles.isRejected(copies, forbidding, Rule.NOT_ALLOWED));
        assertTrue(RouteFiles.isAccepted(copies, SingleNodeScenario.settings()));
    }

    @Test
    void rejectsLimitsOfZero() {
        String noBody = "[class.place-order]\nmax-body = \"0B\"\n";
        SingleNodeScenario scenario = scenario(noBody, false);
        SingleNodeScenario.TestClient order = scenario.placeOrder(WAIT_MS);
        scenario.runMs(WAIT_MS);
        assertEquals(413, order.status(), "no order can be placed");
        assertTrue(RouteFiles.isRejected(noBody, SingleNodeScenario.settings(), Rule.STARVES));
        String none = "[class.view-page]\nconcurrency = 0\n";
        SingleNodeScenario unlimited = scenario(none, false);
        unlimited.setScript((socket, request) -> true);
        for (int i = 0; i < 4; i++) {
            unlimited.viewPage(WAIT_MS);
        }
        unlimited.runMs(50);
        assertFalse(unlimited.receivedRequests.isEmpty(), "without validation, a concurrency of 0 is no limit");
        assertTrue(RouteFiles.isRejected(none, SingleNodeScenario.settings(), Rule.STARVES));
    }
}
