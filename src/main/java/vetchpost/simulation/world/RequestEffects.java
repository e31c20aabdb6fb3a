package vetchpost.simulation.world;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;
import vetchpost.simulation.check.Violation;
import vetchpost.simulation.check.Violation.Rule;
import vetchpost.simulation.wire.Message;

/**
 * What requests have really done, by what their clients wanted: the same order under the ids of several tries
 * is one. Racks drop repeats of a key for a while, from when the first came.
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

    /** A try of what a client wants. */
    void expect(String want, String txn, RetryPolicy again) {
        operations.put(txn, want);
        retryPolicies.put(want, again);
    }

    /** A box has read the request and will work on it. */
    void executed(Message request, int rack) {
        String want = operations.get(request.field("x-txn"));
        if (want == null || retryPolicies.get(want) == RetryPolicy.SAFE) {
            return;
        }
        long now = world.time.nanoTime();
        String key = rack + " " + request.field("idempotency-key");
        if (retryPolicies.get(want) == RetryPolicy.KEYED) {
            Long since = keyFirstSeenNs.get(key);
            if (since != null && now - since <= Rules.DEDUPLICATION_WINDOW_NS + 50_000_000) {
                return;
            }
            keyFirstSeenNs.put(key, now);
        }
        if (effectCounts.merge(want, 1, Integer::sum) == 2) {
            violations.accept(new Violation(
                    Rule.TWICE,
                    now,
                    retryPolicies.get(want) + " " + want + " has had its effect twice, the second time as request "
                            + request.field("x-txn")));
        }
    }
}
