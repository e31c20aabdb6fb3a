package vetchpost.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import vetchpost.core.ServerList;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ServerState;

/**
 * The servers of a snapshot that a starting node uses at once, and those that it probes first. A response does not
 * identify its server, so no request may go to an address that another server may have by now; such servers are
 * probed or left to discovery. Computed by {@code Recovery} on the node's event loop.
 *
 * @param usable servers to use at once, with the confidence from 0 to 1 that each still exists
 * @param toProbe servers to identify before any request is sent to them; the likeliest first
 * @param dropped number of servers that are neither
 */
public record RestoredState(Map<Target, Double> usable, List<Target> toProbe, int dropped) {

    /**
     * How servers of a snapshot are judged.
     *
     * @param serverLifetimeMs mean time that a server stays at its address, in milliseconds
     * @param addressReuseMs time after a confirmation within which the address can't have been reassigned, in
     *     milliseconds
     * @param canIdentify whether servers can be probed for their ids
     */
    public record Rules(long serverLifetimeMs, long addressReuseMs, boolean canIdentify) {}

    /**
     * Returns the confidence from 0 to 1 that a server known only from a snapshot is unchanged: that it still exists
     * and has not restarted unseen, which would make it cold. Discovery and all servers may have failed together.
     */
    public static double confidence(ServerRecord server, long nowMs, Rules rules) {
        long ageMs = nowMs - server.confirmedMs();
        return Confidence.ofServer(ageMs, rules.serverLifetimeMs())
                * Confidence.afterAge(ageMs, Confidence.RELATIVE_LATENCY_HALF_LIFE_MS);
    }

    /** Keeps the ready servers; of several at one address, the most recently confirmed. */
    private static List<ServerRecord> newestPerAddress(Snapshot snapshot) {
        Map<Object, ServerRecord> newestByAddress = new LinkedHashMap<>();
        for (ServerRecord server : snapshot.servers()) {
            if (server.target().state() == ServerState.READY) {
                newestByAddress.merge(
                        server.target().address(), server, (a, b) -> b.confirmedMs() > a.confirmedMs() ? b : a);
            }
        }
        return new ArrayList<>(newestByAddress.values());
    }

    /**
     * Classifies the servers of a snapshot.
     *
     * @param snapshot null if there is none
     * @param listed the list that the node starts with; it takes precedence over the snapshot
     * @param nowMs Unix time in milliseconds
     */
    public static RestoredState of(Snapshot snapshot, ServerList listed, long nowMs, Rules rules) {
        Map<Target, Double> usable = new LinkedHashMap<>();
        List<Target> toProbe = new ArrayList<>();
        if (snapshot == null) {
            return new RestoredState(usable, toProbe, 0);
        }
        Set<String> ids = new HashSet<>();
        Set<Object> addresses = new HashSet<>();
        listed.targets().forEach(t -> {
            ids.add(t.id());
            addresses.add(t.address());
        });
        // A list at least as new as the snapshot's is complete: servers that are not in it are gone.
        boolean isOutdated = !listed.targets().isEmpty()
                && listed.revision() >= snapshot.origin().revision();
        Map<String, Double> confidence = new HashMap<>();
        int dropped = 0;
        for (ServerRecord server : newestPerAddress(snapshot)) {
            Target target = server.target();
            long ageMs = nowMs - server.confirmedMs();
            if (ids.contains(target.id())) {
                continue;
            }
            double presence = Confidence.ofServer(ageMs, rules.serverLifetimeMs());
            if (isOutdated || addresses.contains(target.address())) {
                dropped++;
            } else if (presence > 0 && ageMs <= rules.addressReuseMs()) {
                usable.put(target, presence);
            } else if (rules.canIdentify()) {
                confidence.put(target.id(), presence);
                toProbe.add(target);
            } else {
                dropped++;
            }
        }
        toProbe.sort(Comparator.comparingDouble(t -> -confidence.get(t.id())));
        return new RestoredState(usable, toProbe, dropped);
    }
}
