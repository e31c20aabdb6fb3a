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

/** Requests in flight are counted for each route, and retry budgets for each tenant of a route. */
class FileRoutePolicyTest {
    private static final Headers NO_FIELDS = new Headers() {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {
            // This request has no headers.
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
        RouteLimits busyTenant = limitsOf(policy, 0);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            busyTenant.tryAcquire();
            if (busyTenant.mayRetry()) {
                busyTenant.recordRetry();
                retries++;
            }
        }
        assertTrue(
                retries >= 100 && retries <= 111,
                retries + " retries of 1,000 requests, with ten in the initial budget");
        for (int tenant : new int[] {1, -1}) {
            RouteLimits otherTenant = limitsOf(policy, tenant);
            for (int i = 0; i < 10; i++) {
                assertTrue(otherTenant.mayRetry(), "tenant " + tenant + " has " + i + " retries spent");
                otherTenant.recordRetry();
            }
            assertFalse(otherTenant.mayRetry());
        }
    }

    private static RouteTable table(String text, RouteTable previousTable, long version) {
        RouteFile file = RouteFile.parse("f.toml", text);
        RouteValidator validator = RouteValidator.begin(
                file.sections().stream()
                        .filter(s -> s.kind() != Section.Kind.ROUTE)
                        .toList(),
                RouteValidatorTest.settings(),
                false,
                previousTable,
                version);
        file.sections().stream().filter(s -> s.kind() == Section.Kind.ROUTE).forEach(validator::addRoute);
        return validator.finish().table();
    }

    private static RouteLimits limitsAt(FileRoutePolicy policy, String target) {
        return policy.limitsOf(new ClientRequest(1, 0, -1, 0, 0, false, "GET", target, NO_FIELDS, new byte[0]));
    }

    private static final String ROUTE_ONE = "[[route]]\npath = \"/view-page/one\"\nretry-budget = 0.1\n";
    private static final String ROUTE_TWO =
            "[[route]]\npath = \"/view-page/two\"\nretry-budget = " + "0.2\nconcurrency = 1000\n";

    private static void spendBudget(RouteLimits limits) {
        for (int i = 0; i < 10; i++) {
            limits.recordRetry();
        }
        assertFalse(limits.mayRetry());
    }

    /** Neither another file nor a change of another route resets the counts of an unchanged route. */
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
        assertFalse(limitsAt(policy, "/view-page/one").mayRetry(), "the budget was reset");
        assertTrue(limitsAt(policy, "/view-page/two").mayRetry(), "the changed route has a new budget");
        assertFalse(limitsAt(policy, "/view-page/two").tryAcquire(), "requests in flight are no longer counted");
        RouteTable third = RouteValidator.validateChanges(
                        second,
                        List.of(new RouteValidator.RouteChange(
                                EntryChange.Op.DELETE, "/view-page/two", null, new Position("f", 1, 1))),
                        3)
                .table();
        policy.replaceTable(third, RouteValidatorTest.settings());
        assertFalse(limitsAt(policy, "/view-page/one").mayRetry());
        // A change of another class does not affect this route.
        RouteTable otherClassChanged = table("[class.add-photo]\nconcurrency = 5\n" + ROUTE_ONE, third, 4);
        policy.replaceTable(otherClassChanged, RouteValidatorTest.settings());
        assertFalse(limitsAt(policy, "/view-page/one").mayRetry(), "a change of another class reset the budget");
        // Other defaults change the limits of every route.
        policy.replaceTable(
                table("[defaults]\nconcurrency = 5\n" + ROUTE_ONE, third, 4), RouteValidatorTest.settings());
        assertTrue(limitsAt(policy, "/view-page/one").mayRetry());
    }

    @Test
    void requestsInFlightKeepTheLimitsOfADeletedRoute() {
        RouteTable first = table(ROUTE_ONE + ROUTE_TWO, null, 1);
        FileRoutePolicy policy = new FileRoutePolicy(first, RouteValidatorTest.settings(), 1);
        List<RouteLimits> inFlight = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            inFlight.add(limitsAt(policy, "/view-page/two"));
            assertTrue(inFlight.get(i).tryAcquire());
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
        RouteLimits classLimits = limitsAt(policy, "/view-page/two");
        assertTrue(classLimits.tryAcquire(), "the class has no concurrency limit");
        for (RouteLimits each : inFlight) {
            assertTrue(each.mayRetry(), "a request keeps the limits that it started with");
            each.release();
        }
        spendBudget(inFlight.get(0));
        // The restored route has no requests in flight, and its retry budget is as the earlier requests left it.
        policy.replaceTable(first, RouteValidatorTest.settings());
        assertTrue(limitsAt(policy, "/view-page/two").tryAcquire());
        assertFalse(limitsAt(policy, "/view-page/two").mayRetry());
    }

    /** With many tenants the number of tracked states is bounded, and requests in flight stay counted. */
    @Test
    void trackedStateIsBounded() {
        Settings settings = RouteValidatorTest.settings();
        for (int i = 0; i < 70_000; i++) {
            settings.tenants.add(new vetchpost.decision.Balancer.Tenant("t" + i, 1));
        }
        RouteFile file = RouteFile.parse("f.toml", "[class.view-page]\nretry-budget = 0.1\nconcurrency = " + "2\n");
        FileRoutePolicy policy = new FileRoutePolicy(
                RouteValidator.validate(file.sections(), settings).table(), settings, 1);
        RouteLimits first = limitsOf(policy, 0);
        assertTrue(first.tryAcquire());
        spendBudget(first);
        assertFalse(limitsOf(policy, 0).mayRetry());
        for (int tenant = 1; tenant <= FileRoutePolicy.MAX_TRACKED_STATES; tenant++) {
            limitsOf(policy, tenant);
        }
        assertTrue(limitsOf(policy, 0).mayRetry(), "the least recently used state starts again");
        assertTrue(limitsOf(policy, 5).tryAcquire());
        assertFalse(limitsOf(policy, 6).tryAcquire(), "requests in flight are still counted");
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
        assertEquals(1_000_000, limitsOf(policy, 0).retryAfterUs(0), "the default is that of the settings");
    }
}
