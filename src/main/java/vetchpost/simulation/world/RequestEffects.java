package vetchpost.simulation.world;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;
import vetchpost.simulation.check.Violation;
import vetchpost.simulation.check.Violation.Rule;
import vetchpost.simulation.wire.Message;

/**
 * Counts the effects that requests have had at servers, by the operation that a client wanted: all tries of one
 * operation count together. A rack ignores repeats of an idempotency key for a while after the first. Reports
 * an operation that has its effect twice. Clients and servers call it on the thread of the run.
 */
public final class RequestEffects {
    private final World world;
    private final Consumer<Violation> violations;
    private final Map<String, String> operations = new HashMap<>();
    private final Map<String, RetryPolicy> retryPolicies = new HashMap<>();
    private final Map<String, Integer> effectCounts = new HashMap<>();
    private final Map<String, Long> keyFirstSeenNs = new HashMap<>();

    public RequestEffects(World world, Consumer<Violation> violations) {
        this.world = world;
        this.violations = violations;
    }

    /** Registers a try of an operation. */
    void expect(String operation, String txn, RetryPolicy retryPolicy) {
        operations.put(txn, operation);
        retryPolicies.put(operation, retryPolicy);
    }

    /** Records that a server in this rack has read the request and will process it. */
    void recordExecution(Message request, int rack) {
        String operation = operations.get(request.field("x-txn"));
        if (operation == null || retryPolicies.get(operation) == RetryPolicy.SAFE) {
            return;
        }
        long now = world.time.nanoTime();
        String key = rack + " " + request.field("idempotency-key");
        if (retryPolicies.get(operation) == RetryPolicy.KEYED) {
            Long since = keyFirstSeenNs.get(key);
            if (since != null && now - since <= Rules.DEDUPLICATION_WINDOW_NS + 50_000_000) {
                return;
            }
            keyFirstSeenNs.put(key, now);
        }
        if (effectCounts.merge(operation, 1, Integer::sum) == 2) {
            violations.accept(new Violation(
                    Rule.TWICE,
                    now,
                    retryPolicies.get(operation) + " " + operation
                            + " has had its effect twice, the second time as request " + request.field("x-txn")));
        }
    }
}
