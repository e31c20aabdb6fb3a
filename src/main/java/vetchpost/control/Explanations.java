package vetchpost.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.Supplier;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.recorder.FlightRecorder;
import vetchpost.recorder.RejectionCounts;
import vetchpost.recorder.RequestTrace;

/**
 * Builds the replies that explain to operators why the node handled a request or a server as it did. Called by {@link
 * ControlApi} on the event loop; it only reads.
 */
public final class Explanations {
    /** Requests listed in one reply at most. */
    static final int MAX_LISTED_REQUESTS = 100;

    private static final double US_PER_MS = 1_000;

    private final FlightRecorder recorder;
    private final Function<String, List<String>> serverStatus;
    private final Supplier<FleetState> fleetState;
    private final Supplier<OverrideEffects> effects;

    /**
     * Creates explanations from these sources.
     *
     * @param recorder holds the recorded requests
     * @param serverStatus gives the balancer's reasons for sending a server nothing or less
     * @param fleetState gives the servers and classes known now
     * @param effects gives the effects of the active overrides
     */
    public Explanations(
            FlightRecorder recorder,
            Function<String, List<String>> serverStatus,
            Supplier<FleetState> fleetState,
            Supplier<OverrideEffects> effects) {
        this.recorder = recorder;
        this.serverStatus = serverStatus;
        this.fleetState = fleetState;
        this.effects = effects;
    }

    /** The recorded request of this id, or null if it is not known. */
    JsonObject findRequest(long id, ControlApi.Now now) {
        RequestTrace trace = recorder.find(id);
        return trace == null ? null : traceJson(trace, now);
    }

    /**
     * The last requests that were rejected, failed, were retried or were slow.
     *
     * @param count at most {@link #MAX_LISTED_REQUESTS} are returned
     */
    JsonArray lastRequests(int count, ControlApi.Now now) {
        JsonArray requests = new JsonArray();
        recorder.lastNotable(Math.min(MAX_LISTED_REQUESTS, count))
                .forEach(trace -> requests.add(traceJson(trace, now)));
        return requests;
    }

    /** Counts of what was rejected or failed within this time, by class and cause. */
    JsonArray rejectionCounts(long spanMs, ControlApi.Now now) {
        JsonArray rows = new JsonArray();
        for (RejectionCounts.Row row : recorder.rejectionCounts().withinLast(now.us(), 1_000 * spanMs)) {
            JsonObject rowJson = new JsonObject();
            rowJson.addProperty("count", row.count());
            rowJson.addProperty("class", className(row.classIndex()));
            rowJson.addProperty("told", row.rejected() ? "refused" : "failed");
            rowJson.addProperty("cause", row.cause());
            rows.add(rowJson);
        }
        return rows;
    }

    /** Why a server receives nothing, or less: overrides first, then sources, then the balancer's reasons. */
    JsonArray serverReasons(String server) {
        List<String> reasons = new ArrayList<>();
        FleetState.Server known = fleetState.get().servers().stream()
                .filter(candidate -> candidate.id().equals(server))
                .findFirst()
                .orElse(null);
        if (known == null) {
            reasons.add("no source names it");
        } else {
            if (effects.get().isDraining(server)) {
                reasons.add("an override drains it");
            }
            if (known.draining()) {
                reasons.add("a source, a check or the server itself has it drain");
            }
            double weight = effects.get().weight(server, known.weight());
            if (weight < known.weight()) {
                reasons.add(
                        String.format(Locale.ROOT, "an override has it weigh %.3f of %.3f", weight, known.weight()));
            }
            reasons.addAll(serverStatus.apply(server));
        }
        JsonArray reasonsJson = new JsonArray();
        reasons.forEach(reasonsJson::add);
        return reasonsJson;
    }

    private String className(int index) {
        List<String> names = fleetState.get().classes();
        return index < names.size() ? names.get(index) : Integer.toString(index);
    }

    private JsonObject traceJson(RequestTrace trace, ControlApi.Now now) {
        JsonObject json = new JsonObject();
        json.addProperty("txn", String.format("%016x", trace.id()));
        json.addProperty("request", trace.request());
        json.addProperty("class", className(trace.classIndex()));
        json.addProperty("taken", now.unixMs() - (now.us() - trace.acceptedUs()) / 1_000);
        json.addProperty("lay-ms", trace.eventLoopDelayUs() / US_PER_MS);
        json.addProperty("left-ms", trace.remainingUs() / US_PER_MS);
        json.addProperty("queued-ms", trace.queuedUs() / US_PER_MS);
        JsonArray attempts = new JsonArray();
        for (RequestTrace.Attempt attempt : trace.attempts()) {
            JsonObject attemptJson = new JsonObject();
            attemptJson.addProperty("server", attempt.serverId());
            attemptJson.addProperty("after-ms", attempt.startedAfterUs() / US_PER_MS);
            attemptJson.addProperty("for-ms", attempt.timeoutUs() / US_PER_MS);
            attemptJson.addProperty(
                    "outcome",
                    attempt.result() == null ? "out" : attempt.result().name().toLowerCase(Locale.ROOT));
            if (attempt.result() != null) {
                attemptJson.addProperty("took-ms", attempt.durationUs() / US_PER_MS);
            }
            if (attempt.candidates() != null) {
                JsonArray candidates = new JsonArray();
                attempt.candidates().forEach(candidate -> candidates.add(candidateJson(candidate)));
                attemptJson.add("drawn", candidates);
            }
            attempts.add(attemptJson);
        }
        json.add("attempts", attempts);
        json.addProperty(
                "told",
                trace.outcome() == null ? "nothing yet" : trace.outcome().name().toLowerCase(Locale.ROOT));
        if (trace.outcome() != null) {
            json.addProperty("took-ms", trace.durationUs() / US_PER_MS);
        }
        if (trace.reason() != null) {
            json.addProperty("why", trace.reason());
        }
        if (trace.retryAfterUs() > 0) {
            json.addProperty("come-back-ms", trace.retryAfterUs() / US_PER_MS);
        }
        return json;
    }

    private static JsonObject candidateJson(Candidate candidate) {
        JsonObject json = new JsonObject();
        json.addProperty("server", candidate.serverId());
        json.addProperty("weight", candidate.weight());
        json.addProperty("in-flight", candidate.inFlight());
        json.addProperty("limit", candidate.limit());
        json.addProperty("pace", candidate.relativeLatency());
        return json;
    }
}
