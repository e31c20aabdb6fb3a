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
 * What operators' messages come to. One JSON object a message, and one a reply, by {@code docs/control.md}.
 * Reading changes nothing. Changes are taken one after the other: each is judged, recorded, and only then has
 * an effect; where it can't be recorded it has none. All calls are on one loop.
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

    /** Where entries are kept. */
    public interface AuditSink {
        /** Keeps an entry for good, and then says null, or why it can't; later, on the loop. */
        void append(String text, Consumer<String> done);
    }

    /** The time of a call. */
    public record Now(long us, long unixMs) {}

    /**
     * A desk.
     *
     * @param counts figures that status tells, by their names
     * @param changed called when what holds has changed
     */
    public ControlApi(
            Leases leases,
            Supplier<FleetState> situation,
            Supplier<Map<String, Long>> counts,
            AuditSink trail,
            Runnable changed) {
        this.leases = leases;
        this.fleetState = situation;
        this.counts = counts;
        this.auditLog = trail;
        this.onChange = changed;
    }

    /** Has it explain by this; null for nothing, as at first. */
    public void setExplanations(Explanations by) {
        explanations = by;
    }

    /**
     * Has it read the operator's file again by this, which hears null, or why nothing was changed; later, on
     * the loop.
     */
    public void setReloader(Consumer<Consumer<String>> by) {
        reloader = by;
    }

    /** Has its status say this besides; what is null says nothing. */
    public void setStatusNote(Supplier<String> line) {
        statusNote = line;
    }

    private static Set<String> changeFields(String... own) {
        Set<String> all = new HashSet<>(Set.of("for", "owner", "reason", "priority", "key", "anyway", "dry"));
        all.addAll(List.of(own));
        return Set.copyOf(all);
    }

    /** What is wrong with a message. */
    private static final class InvalidRequest extends RuntimeException {
        private static final long serialVersionUID = 1;

        InvalidRequest(String what) {
            super(what);
        }
    }

    /** Takes a message; the reply comes once, now or later, and is one line. */
    public void handle(String message, Supplier<Now> now, Consumer<String> reply) {
        JsonObject asked = null;
        try {
            JsonElement read = gson.fromJson(message, JsonElement.class);
            if (read == null || !read.isJsonObject()) {
                throw new InvalidRequest("a message is one JSON object");
            }
            asked = read.getAsJsonObject();
            handle(asked, now, reply);
        } catch (JsonParseException e) {
            reply.accept(errorReply(asked, "bad", List.of("a message is one JSON object: " + e.getMessage())));
        } catch (InvalidRequest | IllegalArgumentException e) {
            reply.accept(errorReply(asked, "bad", List.of(e.getMessage())));
        }
    }

    private void handle(JsonObject asked, Supplier<Now> now, Consumer<String> reply) {
        if (integerField(asked, "v", PROTOCOL_VERSION, PROTOCOL_VERSION, PROTOCOL_VERSION) != PROTOCOL_VERSION) {
            throw new InvalidRequest("v is " + PROTOCOL_VERSION);
        }
        String verb = textField(asked, "do", null);
        Set<String> fields = FIELDS_BY_COMMAND.get(verb);
        if (fields == null) {
            throw new InvalidRequest("do is one of "
                    + String.join(
                            ", ", FIELDS_BY_COMMAND.keySet().stream().sorted().toList()));
        }
        for (String key : asked.keySet()) {
            if (!COMMON_FIELDS.contains(key) && !fields.contains(key)) {
                throw new InvalidRequest("'" + key + "' is no field of " + verb);
            }
        }
        switch (verb) {
            case "status" -> reply.accept(statusReply(asked));
            case "servers" -> reply.accept(serversReply(asked));
            case "overrides" -> reply.accept(overridesReply(asked, now.get()));
            case "explain" -> reply.accept(explainReply(asked, now.get()));
            case "reload" -> reload(asked, reply);
            case "undo" -> {
                long number = integerField(asked, "number", -1, 1, Long.MAX_VALUE);
                String owner = textField(asked, "owner", null);
                enqueueChange(() -> undo(asked, number, owner, now, reply), asked, reply);
            }
            default -> {
                OverrideRequest change = parseChange(verb, asked);
                if (booleanField(asked, "dry")) {
                    reply.accept(dryRunReply(asked, change, now.get()));
                } else {
                    enqueueChange(() -> grant(asked, change, now, reply), asked, reply);
                }
            }
        }
    }

    // ---------------------------------------------------------------- changes

    private void enqueueChange(Runnable change, JsonObject asked, Consumer<String> reply) {
        if (waitingChanges.size() >= MAX_WAITING_CHANGES) {
            reply.accept(errorReply(asked, "busy", List.of(MAX_WAITING_CHANGES + " changes wait already")));
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

    private void grant(JsonObject asked, OverrideRequest change, Supplier<Now> now, Consumer<String> reply) {
        Now at = now.get();
        expire(at); // Judging would let them end without a word.
        Decision verdict = leases.check(change, fleetState.get(), at.us(), at.unixMs());
        if (verdict.repeated() || verdict.lease() == null) {
            reply.accept(
                    verdict.lease() == null
                            ? errorReply(asked, "refused", verdict.objections())
                            : grantedReply(asked, verdict, at));
            if (!verdict.repeated()) {
                appendToAuditLog(
                        new Entry(
                                Event.REFUSED,
                                0,
                                at.unixMs(),
                                change,
                                change.owner(),
                                String.join("; ", verdict.objections())),
                        why -> {});
            }
            finishChange();
            return;
        }
        appendToAuditLog(
                new Entry(
                        Event.GRANTED,
                        verdict.lease().number(),
                        at.unixMs(),
                        change,
                        change.owner(),
                        String.join("; ", verdict.objections())),
                why -> {
                    try {
                        if (why != null) {
                            reply.accept(unrecordedReply(asked, why));
                        } else {
                            leases.grant(verdict.lease());
                            onChange.run();
                            reply.accept(grantedReply(asked, verdict, now.get()));
                        }
                    } finally {
                        finishChange();
                    }
                });
    }

    private void undo(JsonObject asked, long number, String owner, Supplier<Now> now, Consumer<String> reply) {
        if (!leases.contains(number)) {
            reply.accept(errorReply(asked, "refused", List.of("no override " + number + " holds")));
            finishChange();
            return;
        }
        appendToAuditLog(new Entry(Event.UNDONE, number, now.get().unixMs(), null, owner, ""), why -> {
            try {
                if (why != null) {
                    reply.accept(unrecordedReply(asked, why));
                } else {
                    leases.undo(number);
                    onChange.run();
                    reply.accept(successReply(asked).toString());
                }
            } finally {
                finishChange();
            }
        });
    }

    private void appendToAuditLog(Entry entry, Consumer<String> done) {
        auditLog.append(AuditEntryJson.format(entry), done);
    }

    /** Ends what is due; that is recorded if it can be, and ends in any case. */
    public void expire(Now now) {
        List<Lease> ended = leases.expire(now.us());
        for (Lease lease : ended) {
            appendToAuditLog(new Entry(Event.ENDED, lease.number(), now.unixMs(), null, "", ""), why -> {});
        }
        if (!ended.isEmpty()) {
            onChange.run();
        }
    }

    // ---------------------------------------------------------------- replies

    private static JsonObject successReply(JsonObject asked) {
        JsonObject json = new JsonObject();
        json.addProperty("v", PROTOCOL_VERSION);
        if (asked != null && asked.get("id") instanceof JsonPrimitive id) {
            json.add("id", id);
        }
        json.addProperty("ok", true);
        return json;
    }

    private static String errorReply(JsonObject asked, String error, List<String> why) {
        JsonObject json = successReply(asked);
        json.addProperty("ok", false);
        json.addProperty("error", error);
        json.add("why", toJsonArray(why));
        return json.toString();
    }

    private static String unrecordedReply(JsonObject asked, String why) {
        return errorReply(
                asked,
                "unrecorded",
                List.of("nothing was changed, since the record of changes can't" + " be kept: " + why));
    }

    private static JsonArray toJsonArray(List<String> all) {
        JsonArray array = new JsonArray();
        all.forEach(array::add);
        return array;
    }

    private String grantedReply(JsonObject asked, Decision verdict, Now now) {
        JsonObject json = successReply(asked);
        json.add("override", leaseJson(verdict.lease(), now));
        json.add("against", toJsonArray(verdict.objections()));
        json.addProperty("repeated", verdict.repeated());
        return json.toString();
    }

    /** Before and after, by the servers that take requests. */
    private String dryRunReply(JsonObject asked, OverrideRequest change, Now now) {
        expire(now);
        FleetState there = fleetState.get();
        Decision verdict = leases.check(change, there, now.us(), now.unixMs());
        List<Lease> with = new ArrayList<>(leases.activeLeases());
        with.add(new Lease(0, change, 0, 0));
        JsonObject json = successReply(asked);
        json.addProperty("would", verdict.lease() != null);
        json.add("against", toJsonArray(verdict.objections()));
        json.add("before", describeCapacity(there, leases.effects()));
        json.add("after", describeCapacity(there, new OverrideEffects(with)));
        return json.toString();
    }

    private static JsonObject describeCapacity(FleetState there, OverrideEffects effects) {
        JsonObject json = new JsonObject();
        List<FleetState.Server> taking = there.servers().stream()
                .filter(s -> !s.draining() && !effects.isDraining(s.id()))
                .toList();
        json.addProperty("servers", taking.size());
        json.addProperty(
                "weight",
                taking.stream()
                        .mapToDouble(s -> effects.weight(s.id(), s.weight()))
                        .sum());
        return json;
    }

    private String statusReply(JsonObject asked) {
        JsonObject json = successReply(asked);
        FleetState there = fleetState.get();
        json.addProperty("servers", there.servers().size());
        json.addProperty(
                "taking",
                there.servers().stream()
                        .filter(s -> !s.draining() && !leases.effects().isDraining(s.id()))
                        .count());
        json.addProperty("overrides", leases.activeLeases().size());
        json.addProperty("frozen", leases.effects().isFrozen());
        counts.get().forEach(json::addProperty);
        if (statusNote.get() != null) {
            json.addProperty("remark", statusNote.get());
        }
        return json.toString();
    }

    private void reload(JsonObject asked, Consumer<String> reply) {
        if (reloader == null) {
            reply.accept(errorReply(asked, "refused", List.of("there is no file that could be read again")));
            return;
        }
        reloader.accept(why -> reply.accept(
                why == null
                        ? successReply(asked).toString()
                        : errorReply(asked, "refused", why.lines().toList())));
    }

    private String explainReply(JsonObject asked, Now now) {
        if (explanations == null) {
            return errorReply(asked, "refused", List.of("nothing is recorded: keep = 0 in [control]"));
        }
        JsonObject json = successReply(asked);
        if (asked.has("txn")) {
            String txn = textField(asked, "txn", null);
            if (!txn.matches("[0-9a-fA-F]{1,16}")) {
                throw new InvalidRequest("txn is up to 16 hexadecimal digits");
            }
            JsonObject flight = explanations.findRequest(Long.parseUnsignedLong(txn, 16), now);
            if (flight == null) {
                return errorReply(
                        asked,
                        "refused",
                        List.of("request " + txn + " is not kept: of those that were"
                                + " served in time at once, one in " + FlightRecorder.SAMPLING_INTERVAL + " is"));
            }
            json.add("flight", flight);
        } else if (asked.has("server")) {
            json.add("reasons", explanations.serverReasons(textField(asked, "server", null)));
        } else if (asked.has("refused")) {
            json.add(
                    "counts",
                    explanations.rejectionCounts(integerField(asked, "refused", -1, 1, MAX_REJECTION_SPAN_MS), now));
        } else {
            json.add(
                    "flights",
                    explanations.lastRequests(
                            (int) integerField(asked, "last", 20, 1, Explanations.MAX_LISTED_REQUESTS), now));
        }
        return json.toString();
    }

    private String serversReply(JsonObject asked) {
        JsonObject json = successReply(asked);
        JsonArray all = new JsonArray();
        for (FleetState.Server server : fleetState.get().servers()) {
            JsonObject one = new JsonObject();
            one.addProperty("id", server.id());
            one.addProperty("zone", server.zone());
            one.addProperty("weight", leases.effects().weight(server.id(), server.weight()));
            one.addProperty(
                    "state",
                    leases.effects().isDraining(server.id())
                            ? "drained by override"
                            : server.draining() ? "draining" : "taking");
            all.add(one);
        }
        json.add("list", all);
        return json.toString();
    }

    private String overridesReply(JsonObject asked, Now now) {
        JsonObject json = successReply(asked);
        JsonArray all = new JsonArray();
        leases.activeLeases().forEach(lease -> all.add(leaseJson(lease, now)));
        json.add("list", all);
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

    private static OverrideRequest parseChange(String verb, JsonObject asked) {
        OverrideKind kind = OverrideKind.valueOf(verb.toUpperCase(java.util.Locale.ROOT));
        String subject = switch (kind) {
            case DRAIN, WEIGHT -> textField(asked, "server", null);
            case SHED -> textField(asked, "class", null);
            case FREEZE -> "";
        };
        int perMille = 0;
        if (kind == OverrideKind.WEIGHT || kind == OverrideKind.SHED) {
            double share = numberField(asked, "share");
            perMille = (int) Math.round(Math.max(-1, Math.min(2, share)) * PER_MILLE);
        }
        return new OverrideRequest(
                kind,
                subject,
                perMille,
                integerField(asked, "for", -1, 0, Long.MAX_VALUE),
                textField(asked, "owner", null),
                textField(asked, "reason", null),
                (int) integerField(asked, "priority", 0, 0, Integer.MAX_VALUE),
                textField(asked, "key", null),
                booleanField(asked, "anyway"));
    }

    private static JsonPrimitive primitiveField(JsonObject asked, String key) {
        JsonElement value = asked.get(key);
        if (value != null && !(value instanceof JsonPrimitive)) {
            throw new InvalidRequest(key + " is one value");
        }
        return (JsonPrimitive) value;
    }

    private static String textField(JsonObject asked, String key, String otherwise) {
        JsonPrimitive value = primitiveField(asked, key);
        if (value == null ? otherwise == null : !value.isString()) {
            throw new InvalidRequest(key + " is a text, and must be said");
        }
        return value == null ? otherwise : value.getAsString();
    }

    private static double numberField(JsonObject asked, String key) {
        JsonPrimitive value = primitiveField(asked, key);
        if (value == null || !value.isNumber()) {
            throw new InvalidRequest(key + " is a number, and must be said");
        }
        return value.getAsDouble();
    }

    private static long integerField(JsonObject asked, String key, long otherwise, long least, long most) {
        JsonPrimitive value = primitiveField(asked, key);
        if (value == null && otherwise >= least) {
            return otherwise;
        }
        if (value == null
                || !value.isNumber()
                || !value.getAsString().matches("-?\\d{1,18}")
                || value.getAsLong() < least
                || value.getAsLong() > most) {
            throw new InvalidRequest(key + " is a whole number from " + least
                    + (most < Integer.MAX_VALUE ? " to " + most : "") + ", and must be said");
        }
        return value.getAsLong();
    }

    private static boolean booleanField(JsonObject asked, String key) {
        JsonPrimitive value = primitiveField(asked, key);
        if (value != null && !value.isBoolean()) {
            throw new InvalidRequest(key + " is true or false");
        }
        return value != null && value.getAsBoolean();
    }
}
