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
 * Decides with which boxes a node begins that knows of some from before: those that are surely still who they
 * were are used at once, others are asked first, and the rest is left to discovery. An answer doesn't name
 * who made it, so a request must not go to an address that may be somebody else's by now.
 *
 * @param use to be sent to at once, with how far each is believed to be there still
 * @param ask to be asked who they are before anything is sent; the likeliest first
 * @param dropped how many are neither
 */
public record RestoredState(Map<Target, Double> usable, List<Target> toProbe, int dropped) {

    /**
     * How old knowledge is met.
     *
     * @param lifeMs how long a box stays where it is, on average
     * @param unidentifiedMs an address whose box was confirmed less long ago has not changed hands
     * @param identifies whether boxes can be asked who they are
     */
    public record Rules(long serverLifetimeMs, long addressReuseMs, boolean canIdentify) {}

    /**
     * How far a box is believed to be as it was, from 0 to 1, where nothing but its old entry speaks for it:
     * that it is there, and that it has not started anew unseen, which would have it cold. Discovery and all
     * boxes may have gone down together.
     */
    public static double confidence(ServerRecord box, long nowMs, Rules rules) {
        long ageMs = nowMs - box.confirmedMs();
        return Confidence.ofServer(ageMs, rules.serverLifetimeMs())
                * Confidence.afterAge(ageMs, Confidence.RELATIVE_LATENCY_HALF_LIFE_MS);
    }

    /** No box at an address that another one's entry, at least as new, holds too. */
    private static List<ServerRecord> newestPerAddress(Snapshot snapshot) {
        Map<Object, ServerRecord> holders = new LinkedHashMap<>();
        for (ServerRecord box : snapshot.servers()) {
            if (box.target().state() == ServerState.READY) {
                holders.merge(box.target().address(), box, (a, b) -> b.confirmedMs() > a.confirmedMs() ? b : a);
            }
        }
        return new ArrayList<>(holders.values());
    }

    /**
     * Weighs a snapshot.
     *
     * @param snapshot null if there is none
     * @param listed the list that the node is given at its start; what it names is not the snapshot's affair
     */
    public static RestoredState of(Snapshot snapshot, ServerList listed, long nowMs, Rules rules) {
        Map<Target, Double> use = new LinkedHashMap<>();
        List<Target> ask = new ArrayList<>();
        if (snapshot == null) {
            return new RestoredState(use, ask, 0);
        }
        Set<String> ids = new HashSet<>();
        Set<Object> addresses = new HashSet<>();
        listed.targets().forEach(t -> {
            ids.add(t.id());
            addresses.add(t.address());
        });
        // A list at least as new as the snapshot's has said all: what it leaves out has gone.
        boolean isOutdated = !listed.targets().isEmpty()
                && listed.revision() >= snapshot.origin().revision();
        Map<String, Double> confidence = new HashMap<>();
        int dropped = 0;
        for (ServerRecord box : newestPerAddress(snapshot)) {
            Target target = box.target();
            long ageMs = nowMs - box.confirmedMs();
            if (ids.contains(target.id())) {
                continue;
            }
            double sure = Confidence.ofServer(ageMs, rules.serverLifetimeMs());
            if (isOutdated || addresses.contains(target.address())) {
                dropped++;
            } else if (sure > 0 && ageMs <= rules.addressReuseMs()) {
                use.put(target, sure);
            } else if (rules.canIdentify()) {
                confidence.put(target.id(), sure);
                ask.add(target);
            } else {
                dropped++;
            }
        }
        ask.sort(Comparator.comparingDouble(t -> -confidence.get(t.id())));
        return new RestoredState(use, ask, dropped);
    }
}
