package vetchpost.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;
import vetchpost.core.RouteLimits;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.file.RouteFile;
import vetchpost.store.EntryChange;

/** What is counted for each route, and for each tenant of it. */
class FileRoutePolicyTest {
    private static final Headers NO_FIELDS = new Headers() {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {
            // There are none.
        }
    };

    private static FileRoutePolicy policy(String text) {
        return new FileRoutePolicy(RouteValidatorTest.validate(text).table(), RouteValidatorTest.settings(), 1);
    }

    private static RouteLimits limitsOf(FileRoutePolicy policy, int tenant) {
        return policy.limitsOf(
                new ClientRequest(1, 0, tenant, 0, 0, false, "GET", "/view-page/1", NO_FIELDS, new byte[0]));
    }

    @Test
    void tenantsDoNotSpendEachOthersRetryBudget() {
        FileRoutePolicy policy = policy("[class.view-page]\nretry-budget = 0.1\n");
        RouteLimits loud = limitsOf(policy, 0);
        int repeats = 0;
        for (int i = 0; i < 1_000; i++) {
            loud.tryAcquire();
            if (loud.mayRetry()) {
                loud.recordRetry();
                repeats++;
            }
        }
        assertTrue(repeats >= 100 && repeats <= 111, repeats + " of 1,000, and ten saved up");
        for (int tenant : new int[] {1, -1}) {
            RouteLimits quiet = limitsOf(policy, tenant);
            for (int i = 0; i < 10; i++) {
                assertTrue(quiet.mayRetry(), "tenant " + tenant + " has " + i + " repeats left");
                quiet.recordRetry();
            }
            assertFalse(quiet.mayRetry());
        }
    }

    private static RouteTable table(String text, RouteTable before, long version) {
        RouteFile file = RouteFile.parse("f.toml", text);
        RouteValidator prover = RouteValidator.begin(
                file.sections().stream()
                        .filter(s -> s.kind() != Section.Kind.ROUTE)
                        .toList(),
                RouteValidatorTest.settings(),
                false,
                before,
                version);
        file.sections().stream().filter(s -> s.kind() == Section.Kind.ROUTE).forEach(prover::addRoute);
        return prover.finish().table();
    }

    private static RouteLimits limitsAt(FileRoutePolicy policy, String target) {
        return policy.limitsOf(new ClientRequest(1, 0, -1, 0, 0, false, "GET", target, NO_FIELDS, new byte[0]));
    }

    private static final String ROUTE_ONE = "[[route]]\npath = \"/view-page/one\"\nretry-budget = 0.1\n";
    private static final String ROUTE_TWO =
            "[[route]]\npath = \"/view-page/two\"\nretry-budget = " + "0.2\nconcurrency = 1000\n";

    private static void spendBudget(RouteLimits bounds) {
        for (int i = 0; i < 10; i++) {
            bounds.recordRetry();
        }
        assertFalse(bounds.mayRetry());
    }

    /** Another file, or a change of another route: what is counted goes on. */
    @Test
    void unchangedRoutesKeepBudgetsAndChangedOnesRequestsInFlight() {
        RouteTable first = table(ROUTE_ONE + ROUTE_TWO, null, 1);
        FileRoutePolicy policy = new FileRoutePolicy(first, RouteValidatorTest.settings(), 1);
        spendBudget(limitsAt(policy, "/view-page/one"));
        spendBudget(limitsAt(policy, "/view-page/two"));
        assertTrue(limitsAt(policy, "/view-page/two").tryAcquire());
        String changed = ROUTE_TWO.replace("concurrency = 1000", "concurrency = 1");
        RouteTable second = table("# another file\n" + changed + ROUTE_ONE, first, 2);
        policy.replaceTable(second, RouteValidatorTest.settings());
        assertFalse(limitsAt(policy, "/view-page/one").mayRetry(), "its budget is back");
        assertTrue(limitsAt(policy, "/view-page/two").mayRetry(), "it has another budget now");
        assertFalse(limitsAt(policy, "/view-page/two").tryAcquire(), "what it has in hand is not counted any more");
        RouteTable third = RouteValidator.validateChanges(
                        second,
                        List.of(new RouteValidator.RouteChange(
                                EntryChange.Op.DELETE, "/view-page/two", null, new Position("f", 1, 1))),
                        3)
                .table();
        policy.replaceTable(third, RouteValidatorTest.settings());
        assertFalse(limitsAt(policy, "/view-page/one").mayRetry());
        // Another class says something else: that is nothing to this route.
        RouteTable aside = table("[class.add-photo]\nconcurrency = 5\n" + ROUTE_ONE, third, 4);
        policy.replaceTable(aside, RouteValidatorTest.settings());
        assertFalse(limitsAt(policy, "/view-page/one").mayRetry(), "its budget is back for a change of another class");
        // With other defaults each route has other limits.
        policy.replaceTable(
                table("[defaults]\nconcurrency = 5\n" + ROUTE_ONE, third, 4), RouteValidatorTest.settings());
        assertTrue(limitsAt(policy, "/view-page/one").mayRetry());
    }

    @Test
    void requestsInFlightKeepTheLimitsOfADeletedRoute() {
        RouteTable first = table(ROUTE_ONE + ROUTE_TWO, null, 1);
        FileRoutePolicy policy = new FileRoutePolicy(first, RouteValidatorTest.settings(), 1);
        List<RouteLimits> held = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            held.add(limitsAt(policy, "/view-page/two"));
            assertTrue(held.get(i).tryAcquire());
        }
        assertFalse(limitsAt(policy, "/view-page/two").tryAcquire());
        policy.replaceTable(
                RouteValidator.validateChanges(
                                first,
                                List.of(new RouteValidator.RouteChange(
                                        EntryChange.Op.DELETE, "/view-page/two", null, new Position("f", 1, 1))),
                                2)
                        .table(),
                RouteValidatorTest.settings());
        RouteLimits other = limitsAt(policy, "/view-page/two");
        assertTrue(other.tryAcquire(), "its class has no limit");
        for (RouteLimits each : held) {
            assertTrue(each.mayRetry(), "it goes by what it began with");
            each.release();
        }
        spendBudget(held.get(0));
        // Back under its name, it counts from none on, and what it had saved up is as it was left.
        policy.replaceTable(first, RouteValidatorTest.settings());
        assertTrue(limitsAt(policy, "/view-page/two").tryAcquire());
        assertFalse(limitsAt(policy, "/view-page/two").mayRetry());
    }

    /**
     * Tenants by the hundred thousand, of which few ask: what is kept is bounded, and nothing in hand is
     * forgotten.
     */
    @Test
    void trackedStateIsBounded() {
        Settings many = RouteValidatorTest.settings();
        for (int i = 0; i < 70_000; i++) {
            many.tenants.add(new vetchpost.decision.Balancer.Tenant("t" + i, 1));
        }
        RouteFile file = RouteFile.parse("f.toml", "[class.view-page]\nretry-budget = 0.1\nconcurrency = " + "2\n");
        FileRoutePolicy policy = new FileRoutePolicy(
                RouteValidator.validate(file.sections(), many).table(), many, 1);
        RouteLimits first = limitsOf(policy, 0);
        assertTrue(first.tryAcquire());
        spendBudget(first);
        assertFalse(limitsOf(policy, 0).mayRetry());
        for (int tenant = 1; tenant <= FileRoutePolicy.MAX_TRACKED_STATES; tenant++) {
            limitsOf(policy, tenant);
        }
        assertTrue(limitsOf(policy, 0).mayRetry(), "the longest unused begins anew");
        assertTrue(limitsOf(policy, 5).tryAcquire());
        assertFalse(limitsOf(policy, 6).tryAcquire(), "what is in hand is counted on");
        first.release();
        assertTrue(limitsOf(policy, 6).tryAcquire());
    }

    @Test
    void concurrencyIsLimitedAcrossAllTenants() {
        FileRoutePolicy policy = policy("[class.view-page]\nconcurrency = 2\n");
        assertTrue(limitsOf(policy, 0).tryAcquire());
        assertTrue(limitsOf(policy, 1).tryAcquire());
        assertFalse(limitsOf(policy, -1).tryAcquire());
        limitsOf(policy, 0).release();
        assertTrue(limitsOf(policy, -1).tryAcquire());
        assertEquals(1_000_000, limitsOf(policy, 0).retryAfterUs(0), "the settings' advice where nothing else is said");
    }
}
