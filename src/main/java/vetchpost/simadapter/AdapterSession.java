package vetchpost.simadapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchpost.config.SettingsReader;
import vetchpost.decision.Balancer;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Outcome;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServiceQBalancer;

/** Carries events from the wire to the instances and their actions back. It decides nothing. */
final class AdapterSession {
    private static final int MAX_ROSTERS = 16;

    /** One node's module with what is needed to translate for it. */
    private record Instance(
            Balancer balancer,
            Map<String, Integer> classes,
            Map<String, Integer> tenants,
            Map<String, Integer> zones) {}

    /** A roster's line; its zone is still a name, since instances number zones by their own settings. */
    private record RosterEntry(String id, String zone, int cell, ServerState state, double weight, long startedAt) {}

    private final LineReader line;
    private final ActionWriter reply;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<RosterEntry>> rosters = new ArrayList<>();
    private long now;

    AdapterSession(InputStream in, OutputStream out) {
        line = new LineReader(in);
        reply = new ActionWriter(out);
        for (int i = 0; i < MAX_ROSTERS; i++) {
            rosters.add(null);
        }
    }

    /** Answers batch after batch until the input ends. */
    void run() throws IOException, WireException {
        while (line.next()) {
            if (line.name().isEmpty()) {
                continue;
            }
            if (!line.is("begin_batch")) {
                throw line.malformed("a batch must open with begin_batch, not " + line.name());
            }
            now = line.wholeNumber("timeUs");
            nextLine();
            while (!line.is("eob")) {
                handleEvent();
                nextLine();
            }
            reply.flush();
        }
    }

    private void nextLine() throws IOException, WireException {
        if (!line.next()) {
            throw line.malformed("the input ends inside a batch");
        }
    }

    private void handleEvent() throws IOException, WireException {
        if (line.is("roster")) {
            readRoster();
            return;
        }
        String node = line.text("node");
        reply.setNode(node);
        if (line.is("boot")) {
            startInstance(node);
            return;
        }
        Instance instance = instances.get(node);
        if (instance == null) {
            throw line.malformed("node", "names an instance that was never started: " + node);
        }
        if (line.is("shutdown")) {
            instances.remove(node);
            return;
        }
        Runnable call = translate(instance);
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.reportFault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private Runnable translate(Instance to) throws WireException {
        Balancer balancer = to.balancer;
        long at = now;
        if (line.is("resolved")) {
            Outcome outcome = new Outcome(
                    line.requestId("handle"),
                    (int) line.wholeNumber("seqNo"),
                    readResult(),
                    line.wholeNumber("latencyUs", 0),
                    line.flag("ended"),
                    line.decimals("metrics"));
            return () -> balancer.onOutcome(at, outcome);
        }
        if (line.is("work_item")) {
            String tenant = line.textOrNull("realm");
            boolean anyTenant = tenant != null && !tenant.equals("0");
            Request request = new Request(
                    line.requestId("handle"),
                    requireIndex(to.classes, "lane", line.text("lane")),
                    anyTenant ? requireIndex(to.tenants, "realm", tenant) : -1,
                    line.wholeNumber("patienceLeftUs"),
                    line.wholeNumber("workUs", 0),
                    line.flag("resent"));
            return () -> balancer.onRequest(at, request);
        }
        if (line.is("bell")) {
            return () -> balancer.onWake(at);
        }
        if (line.is("topology")) {
            return translateTopology(to);
        }
        if (line.is("client_gone")) {
            long id = line.requestId("handle");
            return () -> balancer.onClientDisconnected(at, id);
        }
        if (line.is("first_byte")) {
            long id = line.requestId("handle");
            int attempt = (int) line.wholeNumber("seqNo");
            return () -> balancer.onFirstByte(at, id, attempt);
        }
        if (line.is("echo")) {
            String server = line.text("server");
            Result result = readResult();
            long latency = line.wholeNumber("latencyUs", 0);
            double[] report = line.decimals("metrics");
            return () -> balancer.onProbe(at, server, result, latency, report);
        }
        if (line.is("memo")) {
            return () -> {};
        }
        throw line.malformed("unknown event " + line.name());
    }

    private void startInstance(String node) throws WireException {
        long seed = line.wholeNumber("initSeed");
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < line.fieldCount(); i++) {
            values.put(line.key(i), line.value(i));
        }
        Settings settings;
        try {
            settings = SettingsReader.read(values);
        } catch (IllegalArgumentException e) {
            throw line.malformed("boot: field " + e.getMessage());
        }
        Map<String, Integer> classes = new HashMap<>();
        settings.classes.forEach(c -> classes.put(c.name(), classes.size()));
        Map<String, Integer> tenants = new HashMap<>();
        settings.tenants.forEach(t -> tenants.put(t.name(), tenants.size()));
        Map<String, Integer> zones = new HashMap<>();
        settings.zones.forEach(z -> zones.put(z, zones.size()));
        try {
            Balancer balancer = new ServiceQBalancer(settings, seed, reply);
            instances.put(node, new Instance(balancer, classes, tenants, zones));
        } catch (IllegalArgumentException e) {
            throw line.malformed("boot: " + e.getMessage());
        }
    }

    private void readRoster() throws IOException, WireException {
        int number = readRosterNumber();
        long count = line.wholeNumber("nodesList", 0);
        List<RosterEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            nextLine();
            if (!line.is("server")) {
                throw line.malformed("a roster's line must be server, not " + line.name());
            }
            String state = line.text("lifecycle");
            entries.add(new RosterEntry(
                    line.text("server"),
                    line.textOrNull("site"),
                    (int) line.wholeNumber("block", 0),
                    switch (state) {
                        case "Running" -> ServerState.READY;
                        case "Stopping" -> ServerState.DRAINING;
                        case "Deleted" -> ServerState.GONE;
                        default -> throw line.malformed("lifecycle", "is unknown: " + state);
                    },
                    line.decimal("scale", 1),
                    line.wholeNumber("sinceUs", 0)));
        }
        rosters.set(number, entries);
    }

    private int readRosterNumber() throws WireException {
        long number = line.wholeNumber("setId");
        if (number < 0 || number >= MAX_ROSTERS) {
            throw line.malformed("setId", "is not from 0 to " + (MAX_ROSTERS - 1));
        }
        return (int) number;
    }

    private Runnable translateTopology(Instance to) throws WireException {
        long at = now;
        String kind = line.text("kind");
        if (kind.equals("broken")) {
            return () -> to.balancer.onListFailed(at);
        }
        ListKind listKind = switch (kind) {
            case "patch" -> ListKind.CHANGES;
            case "whole" -> ListKind.FULL;
            case "stale_copy" -> ListKind.CACHED;
            default -> throw line.malformed("kind", "is unknown: " + kind);
        };
        List<RosterEntry> roster = rosters.get(readRosterNumber());
        if (roster == null) {
            throw line.malformed("setId", "names a roster that was never given");
        }
        List<ServerEntry> entries = new ArrayList<>(roster.size());
        for (RosterEntry entry : roster) {
            entries.add(new ServerEntry(
                    entry.id,
                    to.zones.getOrDefault(entry.zone, -1),
                    entry.cell,
                    entry.state,
                    entry.weight,
                    entry.startedAt));
        }
        return () -> to.balancer.onServers(at, listKind, entries);
    }

    private int requireIndex(Map<String, Integer> names, String field, String name) throws WireException {
        Integer index = names.get(name);
        if (index == null) {
            throw line.malformed(field, "is not in the settings: " + name);
        }
        return index;
    }

    private Result readResult() throws WireException {
        long code = line.wholeNumber("rc");
        return switch ((int) code) {
            case 10 -> Result.OK;
            case 20 -> Result.ERROR;
            case 30 -> Result.FULL;
            case 40 -> Result.TIMEOUT;
            case 50 -> Result.CONNECT_FAILED;
            case 60 -> Result.RESET;
            case 70 -> Result.CANCELLED;
            case 80 -> Result.MOOT;
            default -> throw line.malformed("rc", "is unknown: " + code);
        };
    }
}
