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
    private static final int VERSION = 1;
    private static final int MOST_WAITING = 64;
    private static final double MILLE = 1_000;
    private static final Set<String> EVERY = Set.of("v", "id", "do");
    private static final Map<String, Set<String>> FIELDS = Map.of(
            "status",
            Set.of(),
            "servers",
            Set.of(),
            "overrides",
            Set.of(),
            "undo",
            Set.of("number", "owner"),
            "drain",
            changing("server"),
            "weight",
            changing("server", "share"),
            "shed",
            changing("class", "share"),
            "freeze",
            changing(),
            "explain",
            Set.of("txn", "server", "refused", "last"),
            "reload",
            Set.of());
    private static final long MOST_SPAN_MS = 3_600_000;

    private final Gson gson = new GsonBuilder().setStrictness(Strictness.STRICT).create();
    private final Leases leases;
    private final Supplier<FleetState> situation;
    private final Supplier<Map<String, Long>> counts;
    private final AuditSink trail;
    private final Runnable changed;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean busy;
    private Explanations explanations;
    private Consumer<Consumer<String>> reload;
    private Supplier<String> remark = () -> null;

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
        this.situation = situation;
        this.counts = counts;
        this.trail = trail;
        this.changed = changed;
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
        reload = by;
    }

    /** Has its status say this besides; what is null says nothing. */
    public void setStatusNote(Supplier<String> line) {
        remark = line;
    }

    private static Set<String> changing(String... own) {
        Set<String> all = new HashSet<>(Set.of("for", "owner", "reason", "priority", "key", "anyway", "dry"));
        all.addAll(List.of(own));
        return Set.copyOf(all);
    }

    /** What is wrong with a message. */
    private static final class Bad extends RuntimeException {
        private static final long serialVersionUID = 1;

        Bad(String what) {
            super(what);
        }
    }

    /** Takes a message; the reply comes once, now or later, and is one line. */
    public void handle(String message, Supplier<Now> now, Consumer<String> reply) {
        JsonObject asked = null;
        try {
            JsonElement read = gson.fromJson(message, JsonElement.class);
            if (read == null || !read.isJsonObject()) {
                throw new Bad("a message is one JSON object");
            }
            asked = read.getAsJsonObject();
            handle(asked, now, reply);
        } catch (JsonParseException e) {
            reply.accept(refusal(asked, "bad", List.of("a message is one JSON object: " + e.getMessage())));
        } catch (Bad | IllegalArgumentException e) {
            reply.accept(refusal(asked, "bad", List.of(e.getMessage())));
        }
    }

    private void handle(JsonObject asked, Supplier<Now> now, Consumer<String> reply) {
        if (whole(asked, "v", VERSION, VERSION, VERSION) != VERSION) {
            throw new Bad("v is " + VERSION);
        }
        String verb = text(asked, "do", null);
        Set<String> fields = FIELDS.get(verb);
        if (fields == null) {
            throw new Bad("do is one of "
                    + String.join(", ", FIELDS.keySet().stream().sorted().toList()));
        }
        for (String key : asked.keySet()) {
            if (!EVERY.contains(key) && !fields.contains(key)) {
                throw new Bad("'" + key + "' is no field of " + verb);
            }
        }
        switch (verb) {
            case "status" -> reply.accept(status(asked));
            case "servers" -> reply.accept(servers(asked));
            case "overrides" -> reply.accept(overrides(asked, now.get()));
            case "explain" -> reply.accept(explain(asked, now.get()));
            case "reload" -> reload(asked, reply);
            case "undo" -> {
                long number = whole(asked, "number", -1, 1, Long.MAX_VALUE);
                String owner = text(asked, "owner", null);
                inTurn(() -> undo(asked, number, owner, now, reply), asked, reply);
            }
            default -> {
                OverrideRequest change = change(verb, asked);
                if (flag(asked, "dry")) {
                    reply.accept(dry(asked, change, now.get()));
                } else {
                    inTurn(() -> grant(asked, change, now, reply), asked, reply);
                }
            }
        }
    }

    // ---------------------------------------------------------------- changes

    private void inTurn(Runnable change, JsonObject asked, Consumer<String> reply) {
        if (waiting.size() >= MOST_WAITING) {
            reply.accept(refusal(asked, "busy", List.of(MOST_WAITING + " changes wait already")));
            return;
        }
        waiting.add(change);
        next();
    }

    private void next() {
        if (!busy && !waiting.isEmpty()) {
            busy = true;
            waiting.poll().run();
        }
    }

    private void done() {
        busy = false;
        next();
    }

    private void grant(JsonObject asked, OverrideRequest change, Supplier<Now> now, Consumer<String> reply) {
        Now at = now.get();
        expire(at); // Judging would let them end without a word.
        Decision verdict = leases.check(change, situation.get(), at.us(), at.unixMs());
        if (verdict.repeated() || verdict.lease() == null) {
            reply.accept(
                    verdict.lease() == null
                            ? refusal(asked, "refused", verdict.objections())
                            : granted(asked, verdict, at));
            if (!verdict.repeated()) {
                record(
                        new Entry(
                                Event.REFUSED,
                                0,
                                at.unixMs(),
                                change,
                                change.owner(),
                                String.join("; ", verdict.objections())),
                        why -> {});
            }
            done();
            return;
        }
        record(
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
                            reply.accept(unrecorded(asked, why));
                        } else {
                            leases.grant(verdict.lease());
                            changed.run();
                            reply.accept(granted(asked, verdict, now.get()));
                        }
                    } finally {
                        done();
                    }
                });
    }

    private void undo(JsonObject asked, long number, String owner, Supplier<Now> now, Consumer<String> reply) {
        if (!leases.holds(number)) {
            reply.accept(refusal(asked, "refused", List.of("no override " + number + " holds")));
            done();
            return;
        }
        record(new Entry(Event.UNDONE, number, now.get().unixMs(), null, owner, ""), why -> {
            try {
                if (why != null) {
                    reply.accept(unrecorded(asked, why));
                } else {
                    leases.undo(number);
                    changed.run();
                    reply.accept(answer(asked).toString());
                }
            } finally {
                done();
            }
        });
    }

    private void record(Entry entry, Consumer<String> done) {
        trail.append(AuditEntryJson.text(entry), done);
    }

    /** Ends what is due; that is recorded if it can be, and ends in any case. */
    public void expire(Now now) {
        List<Lease> ended = leases.expire(now.us());
        for (Lease lease : ended) {
            record(new Entry(Event.ENDED, lease.number(), now.unixMs(), null, "", ""), why -> {});
        }
        if (!ended.isEmpty()) {
            changed.run();
        }
    }

    // ---------------------------------------------------------------- replies

    private static JsonObject answer(JsonObject asked) {
        JsonObject json = new JsonObject();
        json.addProperty("v", VERSION);
        if (asked != null && asked.get("id") instanceof JsonPrimitive id) {
            json.add("id", id);
        }
        json.addProperty("ok", true);
        return json;
    }

    private static String refusal(JsonObject asked, String error, List<String> why) {
        JsonObject json = answer(asked);
        json.addProperty("ok", false);
        json.addProperty("error", error);
        json.add("why", texts(why));
        return json.toString();
    }

    private static String unrecorded(JsonObject asked, String why) {
        return refusal(
                asked,
                "unrecorded",
                List.of("nothing was changed, since the record of changes can't" + " be kept: " + why));
    }

    private static JsonArray texts(List<String> all) {
        JsonArray array = new JsonArray();
        all.forEach(array::add);
        return array;
    }

    private String granted(JsonObject asked, Decision verdict, Now now) {
        JsonObject json = answer(asked);
        json.add("override", lease(verdict.lease(), now));
        json.add("against", texts(verdict.objections()));
        json.addProperty("repeated", verdict.repeated());
        return json.toString();
    }

    /** Before and after, by the servers that take requests. */
    private String dry(JsonObject asked, OverrideRequest change, Now now) {
        expire(now);
        FleetState there = situation.get();
        Decision verdict = leases.check(change, there, now.us(), now.unixMs());
        List<Lease> with = new ArrayList<>(leases.all());
        with.add(new Lease(0, change, 0, 0));
        JsonObject json = answer(asked);
        json.addProperty("would", verdict.lease() != null);
        json.add("against", texts(verdict.objections()));
        json.add("before", takers(there, leases.effects()));
        json.add("after", takers(there, new OverrideEffects(with)));
        return json.toString();
    }

    private static JsonObject takers(FleetState there, OverrideEffects effects) {
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

    private String status(JsonObject asked) {
        JsonObject json = answer(asked);
        FleetState there = situation.get();
        json.addProperty("servers", there.servers().size());
        json.addProperty(
                "taking",
                there.servers().stream()
                        .filter(s -> !s.draining() && !leases.effects().isDraining(s.id()))
                        .count());
        json.addProperty("overrides", leases.all().size());
        json.addProperty("frozen", leases.effects().isFrozen());
        counts.get().forEach(json::addProperty);
        if (remark.get() != null) {
            json.addProperty("remark", remark.get());
        }
        return json.toString();
    }

    private void reload(JsonObject asked, Consumer<String> reply) {
        if (reload == null) {
            reply.accept(refusal(asked, "refused", List.of("there is no file that could be read again")));
            return;
        }
        reload.accept(why -> reply.accept(
                why == null
                        ? answer(asked).toString()
                        : refusal(asked, "refused", why.lines().toList())));
    }

    private String explain(JsonObject asked, Now now) {
        if (explanations == null) {
            return refusal(asked, "refused", List.of("nothing is recorded: keep = 0 in [control]"));
        }
        JsonObject json = answer(asked);
        if (asked.has("txn")) {
            String txn = text(asked, "txn", null);
            if (!txn.matches("[0-9a-fA-F]{1,16}")) {
                throw new Bad("txn is up to 16 hexadecimal digits");
            }
            JsonObject flight = explanations.request(Long.parseUnsignedLong(txn, 16), now);
            if (flight == null) {
                return refusal(
                        asked,
                        "refused",
                        List.of("request " + txn + " is not kept: of those that were"
                                + " served in time at once, one in " + FlightRecorder.SAMPLING_INTERVAL + " is"));
            }
            json.add("flight", flight);
        } else if (asked.has("server")) {
            json.add("reasons", explanations.whyNot(text(asked, "server", null)));
        } else if (asked.has("refused")) {
            json.add("counts", explanations.refused(whole(asked, "refused", -1, 1, MOST_SPAN_MS), now));
        } else {
            json.add("flights", explanations.last((int) whole(asked, "last", 20, 1, Explanations.MOST), now));
        }
        return json.toString();
    }

    private String servers(JsonObject asked) {
        JsonObject json = answer(asked);
        JsonArray all = new JsonArray();
        for (FleetState.Server server : situation.get().servers()) {
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

    private String overrides(JsonObject asked, Now now) {
        JsonObject json = answer(asked);
        JsonArray all = new JsonArray();
        leases.all().forEach(lease -> all.add(lease(lease, now)));
        json.add("list", all);
        return json.toString();
    }

    private static JsonObject lease(Lease lease, Now now) {
        JsonObject json = AuditEntryJson.change(lease.change());
        json.addProperty("number", lease.number());
        json.addProperty("granted", lease.grantedMs());
        json.addProperty("left-ms", Math.max(0, (lease.endUs() - now.us()) / 1_000));
        return json;
    }

    // ---------------------------------------------------------------- reading

    private static OverrideRequest change(String verb, JsonObject asked) {
        OverrideKind kind = OverrideKind.valueOf(verb.toUpperCase(java.util.Locale.ROOT));
        String subject = switch (kind) {
            case DRAIN, WEIGHT -> text(asked, "server", null);
            case SHED -> text(asked, "class", null);
            case FREEZE -> "";
        };
        int perMille = 0;
        if (kind == OverrideKind.WEIGHT || kind == OverrideKind.SHED) {
            double share = number(asked, "share");
            perMille = (int) Math.round(Math.max(-1, Math.min(2, share)) * MILLE);
        }
        return new OverrideRequest(
                kind,
                subject,
                perMille,
                whole(asked, "for", -1, 0, Long.MAX_VALUE),
                text(asked, "owner", null),
                text(asked, "reason", null),
                (int) whole(asked, "priority", 0, 0, Integer.MAX_VALUE),
                text(asked, "key", null),
                flag(asked, "anyway"));
    }

    private static JsonPrimitive primitive(JsonObject asked, String key) {
        JsonElement value = asked.get(key);
        if (value != null && !(value instanceof JsonPrimitive)) {
            throw new Bad(key + " is one value");
        }
        return (JsonPrimitive) value;
    }

    private static String text(JsonObject asked, String key, String otherwise) {
        JsonPrimitive value = primitive(asked, key);
        if (value == null ? otherwise == null : !value.isString()) {
            throw new Bad(key + " is a text, and must be said");
        }
        return value == null ? otherwise : value.getAsString();
    }

    private static double number(JsonObject asked, String key) {
        JsonPrimitive value = primitive(asked, key);
        if (value == null || !value.isNumber()) {
            throw new Bad(key + " is a number, and must be said");
        }
        return value.getAsDouble();
    }

    private static long whole(JsonObject asked, String key, long otherwise, long least, long most) {
        JsonPrimitive value = primitive(asked, key);
        if (value == null && otherwise >= least) {
            return otherwise;
        }
        if (value == null
                || !value.isNumber()
                || !value.getAsString().matches("-?\\d{1,18}")
                || value.getAsLong() < least
                || value.getAsLong() > most) {
            throw new Bad(key + " is a whole number from " + least + (most < Integer.MAX_VALUE ? " to " + most : "")
                    + ", and must be said");
        }
        return value.getAsLong();
    }

    private static boolean flag(JsonObject asked, String key) {
        JsonPrimitive value = primitive(asked, key);
        if (value != null && !value.isBoolean()) {
            throw new Bad(key + " is true or false");
        }
        return value != null && value.getAsBoolean();
    }
}
