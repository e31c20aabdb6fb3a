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

/** Why the node did what it did, as replies to operators. Reading changes nothing. */
public final class Explanations {
    /** Flights that one reply holds at most. */
    static final int MAX_LISTED_REQUESTS = 100;

    private static final double US_PER_MS = 1_000;

    private final FlightRecorder recorder;
    private final Function<String, List<String>> serverStatus;
    private final Supplier<FleetState> fleetState;
    private final Supplier<OverrideEffects> effects;

    /**
     * Of this record.
     *
     * @param standing why the module sends a server nothing or less, in words
     */
    public Explanations(
            FlightRecorder recorder,
            Function<String, List<String>> standing,
            Supplier<FleetState> situation,
            Supplier<OverrideEffects> effects) {
        this.recorder = recorder;
        this.serverStatus = standing;
        this.fleetState = situation;
        this.effects = effects;
    }

    /** The request of this id, or null if it is not known. */
    JsonObject findRequest(long id, ControlApi.Now now) {
        RequestTrace flight = recorder.find(id);
        return flight == null ? null : traceJson(flight, now);
    }

    /** The last that were refused, failed, were repeated or slow. */
    JsonArray lastRequests(int many, ControlApi.Now now) {
        JsonArray all = new JsonArray();
        recorder.lastNotable(Math.min(MAX_LISTED_REQUESTS, many)).forEach(f -> all.add(traceJson(f, now)));
        return all;
    }

    /** What was refused or failed in so long a time, by class and cause. */
    JsonArray rejectionCounts(long spanMs, ControlApi.Now now) {
        JsonArray all = new JsonArray();
        for (RejectionCounts.Row line : recorder.rejectionCounts().withinLast(now.us(), 1_000 * spanMs)) {
            JsonObject one = new JsonObject();
            one.addProperty("count", line.count());
            one.addProperty("class", className(line.classIndex()));
            one.addProperty("told", line.rejected() ? "refused" : "failed");
            one.addProperty("cause", line.cause());
            all.add(one);
        }
        return all;
    }

    /** Why a server gets nothing, or less: operators' words first, then sources', then the module's. */
    JsonArray serverReasons(String server) {
        List<String> reasons = new ArrayList<>();
        FleetState.Server known = fleetState.get().servers().stream()
                .filter(s -> s.id().equals(server))
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
        JsonArray all = new JsonArray();
        reasons.forEach(all::add);
        return all;
    }

    private String className(int index) {
        List<String> names = fleetState.get().classes();
        return index < names.size() ? names.get(index) : Integer.toString(index);
    }

    private JsonObject traceJson(RequestTrace flight, ControlApi.Now now) {
        JsonObject json = new JsonObject();
        json.addProperty("txn", String.format("%016x", flight.id()));
        json.addProperty("request", flight.request());
        json.addProperty("class", className(flight.classIndex()));
        json.addProperty("taken", now.unixMs() - (now.us() - flight.acceptedUs()) / 1_000);
        json.addProperty("lay-ms", flight.eventLoopDelayUs() / US_PER_MS);
        json.addProperty("left-ms", flight.remainingUs() / US_PER_MS);
        json.addProperty("queued-ms", flight.queuedUs() / US_PER_MS);
        JsonArray attempts = new JsonArray();
        for (RequestTrace.Attempt attempt : flight.attempts()) {
            JsonObject one = new JsonObject();
            one.addProperty("server", attempt.serverId());
            one.addProperty("after-ms", attempt.startedAfterUs() / US_PER_MS);
            one.addProperty("for-ms", attempt.timeoutUs() / US_PER_MS);
            one.addProperty(
                    "outcome",
                    attempt.result() == null ? "out" : attempt.result().name().toLowerCase(Locale.ROOT));
            if (attempt.result() != null) {
                one.addProperty("took-ms", attempt.durationUs() / US_PER_MS);
            }
            if (attempt.candidates() != null) {
                JsonArray drawn = new JsonArray();
                attempt.candidates().forEach(c -> drawn.add(candidateJson(c)));
                one.add("drawn", drawn);
            }
            attempts.add(one);
        }
        json.add("attempts", attempts);
        json.addProperty(
                "told",
                flight.outcome() == null
                        ? "nothing yet"
                        : flight.outcome().name().toLowerCase(Locale.ROOT));
        if (flight.outcome() != null) {
            json.addProperty("took-ms", flight.durationUs() / US_PER_MS);
        }
        if (flight.reason() != null) {
            json.addProperty("why", flight.reason());
        }
        if (flight.retryAfterUs() > 0) {
            json.addProperty("come-back-ms", flight.retryAfterUs() / US_PER_MS);
        }
        return json;
    }

    private static JsonObject candidateJson(Candidate drawn) {
        JsonObject json = new JsonObject();
        json.addProperty("server", drawn.serverId());
        json.addProperty("weight", drawn.weight());
        json.addProperty("in-flight", drawn.inFlight());
        json.addProperty("limit", drawn.limit());
        json.addProperty("pace", drawn.relativeLatency());
        return json;
    }
}
