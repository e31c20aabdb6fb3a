package vetchpost.control;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import vetchpost.control.AuditLog.Entry;
import vetchpost.control.AuditLog.Event;
import vetchpost.control.Leases.Decision;
import vetchpost.recorder.FlightRecorder;

/**
 * Answers operators' control messages: one JSON object per message and per reply, as {@code docs/control.md} describes.
 * Reads change nothing. Changes run one at a time: each is checked, written to the audit log, and only then applied; a
 * change that can't be recorded has no effect. Called by the control socket and the node, always on the node's event
 * loop.
 */
public final class ControlApi {
    private static final int PROTOCOL_VERSION = 1;
    private static final int MAX_WAITING_CHANGES = 64;
    private static final double PER_MILLE = 1_000;
    private static final Set<String> COMMON_FIELDS = Set.of("v", "id", "do");
    private static final Map<String, Set<String>> FIELDS_BY_COMMAND = Map.of(
            "status",
            Set.of(),
            "servers",
            Set.of(),
            "overrides",
            Set.of(),
            "undo",
            Set.of("number", "owner"),
            "drain",
            changeFields("server"),
            "weight",
            changeFields("server", "share"),
            "shed",
            changeFields("class", "share"),
            "freeze",
            changeFields(),
            "explain",
            Set.of("txn", "server", "refused", "last"),
            "reload",
            Set.of());
    private static final long MAX_REJECTION_SPAN_MS = 3_600_000;

    private final Gson gson = new GsonBuilder().setStrictness(Strictness.STRICT).create();
    private final Leases leases;
    private final Supplier<FleetState> fleetState;
    private final Supplier<Map<String, Long>> counts;
    private final AuditSink auditLog;
    private final Runnable onChange;
    private final Deque<Runnable> waitingChanges = new ArrayDeque<>();
    private boolean isChangeInProgress;
    private Explanations explanations;
    private Consumer<Consumer<String>> reloader;
    private Supplier<String> statusNote = () -> null;

    /** Stores audit entries durably. */
    public interface AuditSink {
        /**
         * Appends an entry durably.
         *
         * @param text the entry, without a line break
         * @param done receives null once the entry is durable, or why it can't be stored; called later, on the event
         *     loop
         */
        void append(String text, Consumer<String> done);
    }

    /**
     * The time of a call.
     *
     * @param us monotonic time in microseconds
     * @param unixMs Unix time in milliseconds
     */
    public record Now(long us, long unixMs) {}

    /**
     * Creates a control API.
     *
     * @param fleetState gives the servers and classes known now
     * @param counts figures for the status reply, by name
     * @param auditLog stores every change before it is applied
     * @param onChange called after the set of active leases has changed
     */
    public ControlApi(
            Leases leases,
            Supplier<FleetState> fleetState,
            Supplier<Map<String, Long>> counts,
            AuditSink auditLog,
            Runnable onChange) {
        this.leases = leases;
        this.fleetState = fleetState;
        this.counts = counts;
        this.auditLog = auditLog;
        this.onChange = onChange;
    }

    /** Sets the source of explanations; null for none, as at first. */
    public void setExplanations(Explanations source) {
        explanations = source;
    }

    /**
     * Sets what rereads the operator's file. It passes its callback null, or why nothing was changed; later, on the
     * event loop.
     */
    public void setReloader(Consumer<Consumer<String>> fileReloader) {
        reloader = fileReloader;
    }

    /** Sets an additional note for the status reply; a null note is left out. */
    public void setStatusNote(Supplier<String> note) {
        statusNote = note;
    }

    private static Set<String> changeFields(String... commandFields) {
        Set<String> fields = new HashSet<>(Set.of("for", "owner", "reason", "priority", "key", "anyway", "dry"));
        fields.addAll(List.of(commandFields));
        return Set.copyOf(fields);
    }

    /** An operator's message is malformed; the exception's message says how. */
    private static final class InvalidRequest extends RuntimeException {
        private static final long serialVersionUID = 1;

        InvalidRequest(String reason) {
            super(reason);
        }
    }

    /**
     * Handles a message.
     *
     * @param message the text of one JSON object
     * @param now gives the current time; asked again once a change has been recorded
     * @param reply receives exactly one line, now or later
     */
    public void handle(String message, Supplier<Now> now, Consumer<String> reply) {
        JsonObject request = null;
        try {
            JsonElement element = gson.fromJson(message, JsonElement.class);
            if (element == null || !element.isJsonObject()) {
                throw new InvalidRequest("a message is one JSON object");
            }
            request = element.getAsJsonObject();
            handle(request, now, reply);
        } catch (JsonParseException e) {
            reply.accept(errorReply(request, "bad", List.of("a message is one JSON object: " + e.getMessage())));
        } catch (InvalidRequest | IllegalArgumentException e) {
            reply.accept(errorReply(request, "bad", List.of(e.getMessage())));
        }
    }

    private void handle(JsonObject request, Supplier<Now> now, Consumer<String> reply) {
        if (integerField(request, "v", PROTOCOL_VERSION, PROTOCOL_VERSION, PROTOCOL_VERSION) != PROTOCOL_VERSION) {
            throw new InvalidRequest("v is " + PROTOCOL_VERSION);
        }
        String command = textField(request, "do", null);
        Set<String> fields = FIELDS_BY_COMMAND.get(command);
        if (fields == null) {
            throw new InvalidRequest("do is one of "
                    + String.join(
                            ", ", FIELDS_BY_COMMAND.keySet().stream().sorted().toList()));
        }
        for (String key : request.keySet()) {
            if (!COMMON_FIELDS.contains(key) && !fields.contains(key)) {
                throw new InvalidRequest("'" + key + "' is no field of " + command);
            }
        }
        switch (command) {
            case "status" -> reply.accept(statusReply(request));
            case "servers" -> reply.accept(serversReply(request));
            case "overrides" -> reply.accept(overridesReply(request, now.get()));
            case "explain" -> reply.accept(explainReply(request, now.get()));
            case "reload" -> reload(request, reply);
            case "undo" -> {
                long number = integerField(request, "number", -1, 1, Long.MAX_VALUE);
                String owner = textField(request, "owner", null);
                enqueueChange(() -> undo(request, number, owner, now, reply), request, reply);
            }
            default -> {
                OverrideRequest change = parseChange(command, request);
                if (booleanField(request, "dry")) {
                    reply.accept(dryRunReply(request, change, now.get()));
                } else {
                    enqueueChange(() -> grant(request, change, now, reply), request, reply);
                }
            }
        }
    }

    // ---------------------------------------------------------------- changes

    private void enqueueChange(Runnable change, JsonObject request, Consumer<String> reply) {
        if (waitingChanges.size() >= MAX_WAITING_CHANGES) {
            reply.accept(errorReply(request, "busy", List.of(MAX_WAITING_CHANGES + " changes wait already")));
            return;
        }
        waitingChanges.add(change);
        runNextChange();
    }

    private void runNextChange() {
        if (!isChangeInProgress && !waitingChanges.isEmpty()) {
            isChangeInProgress = true;
            waitingChanges.poll().run();
        }
    }

    private void finishChange() {
        isChangeInProgress = false;
        runNextChange();
    }

    private void grant(JsonObject request, OverrideRequest change, Supplier<Now> now, Consumer<String> reply) {
        Now receivedAt = now.get();
        expire(receivedAt); // The check expires leases without recording it, so this must come first.
        Decision decision = leases.check(change, fleetState.get(), receivedAt.us(), receivedAt.unixMs());
        if (decision.repeated() || decision.lease() == null) {
            reply.accept(
                    decision.lease() == null
                            ? errorReply(request, "refused", decision.objections())
                            : grantedReply(request, decision, receivedAt));
            if (!decision.repeated()) {
                appendToAuditLog(
                        new Entry(
                                Event.REFUSED,
                                0,
                                receivedAt.unixMs(),
                                change,
                                change.owner(),
                                String.join("; ", decision.objections())),
                        failure -> {});
            }
            finishChange();
            return;
        }
        appendToAuditLog(
                new Entry(
                        Event.GRANTED,
                        decision.lease().number(),
                        receivedAt.unixMs(),
                        change,
                        change.owner(),
                        String.join("; ", decision.objections())),
                failure -> {
                    try {
                        if (failure != null) {
                            reply.accept(unrecordedReply(request, failure));
                        } else {
                            leases.grant(decision.lease());
                            onChange.run();
                            reply.accept(grantedReply(request, decision, now.get()));
                        }
                    } finally {
                        finishChange();
                    }
                });
    }

    private void undo(JsonObject request, long number, String owner, Supplier<Now> now, Consumer<String> reply) {
        if (!leases.contains(number)) {
            reply.accept(errorReply(request, "refused", List.of("no override " + number + " holds")));
            finishChange();
            return;
        }
        appendToAuditLog(new Entry(Event.UNDONE, number, now.get().unixMs(), null, owner, ""), failure -> {
            try {
                if (failure != null) {
                    reply.accept(unrecordedReply(request, failure));
                } else {
                    leases.undo(number);
                    onChange.run();
                    reply.accept(successReply(request).toString());
                }
            } finally {
                finishChange();
            }
        });
    }

    private void appendToAuditLog(Entry entry, Consumer<String> done) {
        auditLog.append(AuditEntryJson.format(entry), done);
    }

    /** Ends the leases that are due. Their end is recorded if possible, and takes place in any case. */
    public void expire(Now now) {
        List<Lease> expired = leases.expire(now.us());
        for (Lease lease : expired) {
            appendToAuditLog(new Entry(Event.ENDED, lease.number(), now.unixMs(), null, "", ""), failure -> {});
        }
        if (!expired.isEmpty()) {
            onChange.run();
        }
    }

    // ---------------------------------------------------------------- replies

    private static JsonObject successReply(JsonObject request) {
        JsonObject json = new JsonObject();
        json.addProperty("v", PROTOCOL_VERSION);
        if (request != null && request.get("id") instanceof JsonPrimitive id) {
            json.add("id", id);
        }
        json.addProperty("ok", true);
        return json;
    }

    private static String errorReply(JsonObject request, String error, List<String> reasons) {
        JsonObject json = successReply(request);
        json.addProperty("ok", false);
        json.addProperty("error", error);
        json.add("why", toJsonArray(reasons));
        return json.toString();
    }

    private static String unrecordedReply(JsonObject request, String failure) {
        return errorReply(
                request,
                "unrecorded",
                List.of("nothing was changed, since the record of changes can't be kept: " + failure));
    }

    private static JsonArray toJsonArray(List<String> texts) {
        JsonArray array = new JsonArray();
        texts.forEach(array::add);
        return array;
    }

    private String grantedReply(JsonObject request, Decision decision, Now now) {
        JsonObject json = successReply(request);
        json.add("override", leaseJson(decision.lease(), now));
        json.add("against", toJsonArray(decision.objections()));
        json.addProperty("repeated", decision.repeated());
        return json.toString();
    }

    /** Compares the servers that accept requests before and after the change, without applying it. */
    private String dryRunReply(JsonObject request, OverrideRequest change, Now now) {
        expire(now);
        FleetState currentState = fleetState.get();
        Decision decision = leases.check(change, currentState, now.us(), now.unixMs());
        List<Lease> leasesWithChange = new ArrayList<>(leases.activeLeases());
        leasesWithChange.add(new Lease(0, change, 0, 0));
        JsonObject json = successReply(request);
        json.addProperty("would", decision.lease() != null);
        json.add("against", toJsonArray(decision.objections()));
        json.add("before", describeCapacity(currentState, leases.effects()));
        json.add("after", describeCapacity(currentState, new OverrideEffects(leasesWithChange)));
        return json.toString();
    }

    private static JsonObject describeCapacity(FleetState fleetState, OverrideEffects effects) {
        JsonObject json = new JsonObject();
        List<FleetState.Server> accepting = fleetState.servers().stream()
                .filter(server -> !server.draining() && !effects.isDraining(server.id()))
                .toList();
        json.addProperty("servers", accepting.size());
        json.addProperty(
                "weight",
                accepting.stream()
                        .mapToDouble(server -> effects.weight(server.id(), server.weight()))
                        .sum());
        return json;
    }

    private String statusReply(JsonObject request) {
        JsonObject json = successReply(request);
        FleetState currentState = fleetState.get();
        json.addProperty("servers", currentState.servers().size());
        json.addProperty(
                "taking",
                currentState.servers().stream()
                        .filter(server ->
                                !server.draining() && !leases.effects().isDraining(server.id()))
                        .count());
        json.addProperty("overrides", leases.activeLeases().size());
        json.addProperty("frozen", leases.effects().isFrozen());
        counts.get().forEach(json::addProperty);
        if (statusNote.get() != null) {
            json.addProperty("remark", statusNote.get());
        }
        return json.toString();
    }

    private void reload(JsonObject request, Consumer<String> reply) {
        if (reloader == null) {
            reply.accept(errorReply(request, "refused", List.of("there is no file that could be read again")));
            return;
        }
        reloader.accept(failure -> reply.accept(
                failure == null
                        ? successReply(request).toString()
                        : errorReply(request, "refused", failure.lines().toList())));
    }

    private String explainReply(JsonObject request, Now now) {
        if (explanations == null) {
            return errorReply(request, "refused", List.of("nothing is recorded: keep = 0 in [control]"));
        }
        JsonObject json = successReply(request);
        if (request.has("txn")) {
            String txn = textField(request, "txn", null);
            if (!txn.matches("[0-9a-fA-F]{1,16}")) {
                throw new InvalidRequest("txn is up to 16 hexadecimal digits");
            }
            JsonObject trace = explanations.findRequest(Long.parseUnsignedLong(txn, 16), now);
            if (trace == null) {
                return errorReply(
                        request,
                        "refused",
                        List.of("request " + txn + " is not kept: of those that were"
                                + " served in time at once, one in " + FlightRecorder.SAMPLING_INTERVAL + " is"));
            }
            json.add("flight", trace);
        } else if (request.has("server")) {
            json.add("reasons", explanations.serverReasons(textField(request, "server", null)));
        } else if (request.has("refused")) {
            json.add(
                    "counts",
                    explanations.rejectionCounts(integerField(request, "refused", -1, 1, MAX_REJECTION_SPAN_MS), now));
        } else {
            json.add(
                    "flights",
                    explanations.lastRequests(
                            (int) integerField(request, "last", 20, 1, Explanations.MAX_LISTED_REQUESTS), now));
        }
        return json.toString();
    }

    private String serversReply(JsonObject request) {
        JsonObject json = successReply(request);
        JsonArray servers = new JsonArray();
        for (FleetState.Server server : fleetState.get().servers()) {
            JsonObject serverJson = new JsonObject();
            serverJson.addProperty("id", server.id());
            serverJson.addProperty("zone", server.zone());
            serverJson.addProperty("weight", leases.effects().weight(server.id(), server.weight()));
            serverJson.addProperty(
                    "state",
                    leases.effects().isDraining(server.id())
                            ? "drained by override"
                            : server.draining() ? "draining" : "taking");
            servers.add(serverJson);
        }
        json.add("list", servers);
        return json.toString();
    }

    private String overridesReply(JsonObject request, Now now) {
        JsonObject json = successReply(request);
        JsonArray overrides = new JsonArray();
        leases.activeLeases().forEach(lease -> overrides.add(leaseJson(lease, now)));
        json.add("list", overrides);
        return json.toString();
    }

    private static JsonObject leaseJson(Lease lease, Now now) {
        JsonObject json = AuditEntryJson.changeJson(lease.change());
        json.addProperty("number", lease.number());
        json.addProperty("granted", lease.grantedMs());
        json.addProperty("left-ms", Math.max(0, (lease.endUs() - now.us()) / 1_000));
        return json;
    }

    // ---------------------------------------------------------------- reading

    private static OverrideRequest parseChange(String command, JsonObject request) {
        OverrideKind kind = OverrideKind.valueOf(command.toUpperCase(java.util.Locale.ROOT));
        String subject = switch (kind) {
            case DRAIN, WEIGHT -> textField(request, "server", null);
            case SHED -> textField(request, "class", null);
            case FREEZE -> "";
        };
        int perMille = 0;
        if (kind == OverrideKind.WEIGHT || kind == OverrideKind.SHED) {
            double fraction = numberField(request, "share");
            perMille = (int) Math.round(Math.max(-1, Math.min(2, fraction)) * PER_MILLE);
        }
        return new OverrideRequest(
                kind,
                subject,
                perMille,
                integerField(request, "for", -1, 0, Long.MAX_VALUE),
                textField(request, "owner", null),
                textField(request, "reason", null),
                (int) integerField(request, "priority", 0, 0, Integer.MAX_VALUE),
                textField(request, "key", null),
                booleanField(request, "anyway"));
    }

    private static JsonPrimitive primitiveField(JsonObject request, String key) {
        JsonElement value = request.get(key);
        if (value != null && !(value instanceof JsonPrimitive)) {
            throw new InvalidRequest(key + " is one value");
        }
        return (JsonPrimitive) value;
    }

    private static String textField(JsonObject request, String key, String defaultValue) {
        JsonPrimitive value = primitiveField(request, key);
        if (value == null ? defaultValue == null : !value.isString()) {
            throw new InvalidRequest(key + " is a text, and must be said");
        }
        return value == null ? defaultValue : value.getAsString();
    }

    private static double numberField(JsonObject request, String key) {
        JsonPrimitive value = primitiveField(request, key);
        if (value == null || !value.isNumber()) {
            throw new InvalidRequest(key + " is a number, and must be said");
        }
        return value.getAsDouble();
    }

    private static long integerField(JsonObject request, String key, long defaultValue, long min, long max) {
        JsonPrimitive value = primitiveField(request, key);
        if (value == null && defaultValue >= min) {
            return defaultValue;
        }
        if (value == null
                || !value.isNumber()
                || !value.getAsString().matches("-?\\d{1,18}")
                || value.getAsLong() < min
                || value.getAsLong() > max) {
            throw new InvalidRequest(key + " is a whole number from " + min
                    + (max < Integer.MAX_VALUE ? " to " + max : "") + ", and must be said");
        }
        return value.getAsLong();
    }

    private static boolean booleanField(JsonObject request, String key) {
        JsonPrimitive value = primitiveField(request, key);
        if (value != null && !value.isBoolean()) {
            throw new InvalidRequest(key + " is true or false");
        }
        return value != null && value.getAsBoolean();
    }
}
