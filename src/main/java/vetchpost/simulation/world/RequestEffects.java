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
    private final Map<String, String> wantedBy = new HashMap<>();
    private final Map<String, RetryPolicy> kinds = new HashMap<>();
    private final Map<String, Integer> done = new HashMap<>();
    private final Map<String, Long> remembered = new HashMap<>();

    public RequestEffects(World world, Consumer<Violation> violations) {
        this.world = world;
        this.violations = violations;
    }

    /** A try of what a client wants. */
    void wanted(String want, String txn, RetryPolicy again) {
        wantedBy.put(txn, want);
        kinds.put(want, again);
    }

    /** A box has read the request and will work on it. */
    void ran(Message request, int rack) {
        String want = wantedBy.get(request.field("x-txn"));
        if (want == null || kinds.get(want) == RetryPolicy.SAFE) {
            return;
        }
        long now = world.time.nanoTime();
        String key = rack + " " + request.field("idempotency-key");
        if (kinds.get(want) == RetryPolicy.KEYED) {
            Long since = remembered.get(key);
            if (since != null && now - since <= Rules.WINDOW_NS + 50_000_000) {
                return;
            }
            remembered.put(key, now);
        }
        if (done.merge(want, 1, Integer::sum) == 2) {
            violations.accept(new Violation(
                    Rule.TWICE,
                    now,
                    kinds.get(want) + " " + want + " has had its effect twice, the second time as request "
                            + request.field("x-txn")));
        }
    }
}
