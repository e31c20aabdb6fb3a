package vetchpost.sources;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import vetchpost.sources.ReportedServer.State;

/**
 * What one source has said, and for how long that holds. An answer that leaves a server out is no word on it
 * where the source never names all; one that is empty, or none at all, changes nothing for a stated time: a
 * slip must not empty a fleet.
 */
final class SourceState {
    /** What is kept of one source at most; the rest is passed over, and said so. */
    static final int MAX_SERVERS = 20_000;

    private final SourceDeclaration declared;
    private final Map<String, Observation> observations = new LinkedHashMap<>();
    /**
     * Who was said to drain when it was named last, and is not named any more. That it is left
     * out then does not take the word back: another source may go on naming it for a while.
     */
    private final Map<String, Observation> drainingWhenDropped = new LinkedHashMap<>();
    /** Since when it has said nothing, or that there is nothing; or -1. */
    private long failingSinceUs = -1;

    private String failure = "";
    private int ignoredCount;
    private boolean hasReported;

    /** A server as it was named last, and when. */
    private record Observation(ReportedServer server, long observedUs) {}

    SourceState(SourceDeclaration declared) {
        this.declared = declared;
    }

    SourceDeclaration declared() {
        return declared;
    }

    /** Whether it has ever said anything that could be used. */
    boolean hasReported() {
        return hasReported;
    }

    /** Why what it said last is old; empty if it is not. */
    String failure() {
        return failure;
    }

    /** Servers that its last answer named beyond what is kept. */
    int ignoredCount() {
        return ignoredCount;
    }

    private static String keyOf(ReportedServer named) {
        return named.id().isEmpty()
                ? ReportedServer.formatAddress(named.addresses().get(0))
                : named.id();
    }

    /** It has named these. */
    void serversReported(List<ReportedServer> servers, long nowUs) {
        if (servers.isEmpty()) {
            sourceFailed("it names no server", nowUs);
            return;
        }
        hasReported = true;
        failingSinceUs = -1;
        failure = "";
        if (declared.retentionUs() == 0) {
            observations.forEach((key, last) -> {
                if (last.server().state() == State.DRAINING && drainingWhenDropped.size() < MAX_SERVERS) {
                    drainingWhenDropped.put(key, new Observation(last.server(), nowUs));
                }
            });
            observations.clear();
        }
        ignoredCount = 0;
        for (ReportedServer named : servers) {
            String key = keyOf(named);
            drainingWhenDropped.remove(key);
            if (observations.size() >= MAX_SERVERS && !observations.containsKey(key)) {
                ignoredCount++;
            } else {
                observations.put(key, new Observation(named, nowUs));
            }
        }
        expire(nowUs);
    }

    /** It says nothing that can be used, or that there is nothing. */
    void sourceFailed(String why, long nowUs) {
        failure = why;
        if (failingSinceUs < 0) {
            failingSinceUs = nowUs;
        }
    }

    /** Lets go of what does not hold any more. */
    void expire(long nowUs) {
        drainingWhenDropped.values().removeIf(last -> nowUs - last.observedUs() >= declared.staleAfterUs());
        if (failingSinceUs >= 0) {
            // While it says nothing, nobody is left out either: all that it said holds, or none of it.
            if (nowUs - failingSinceUs >= declared.staleAfterUs()) {
                observations.clear();
            }
            return;
        }
        if (declared.retentionUs() > 0) {
            for (Iterator<Observation> each = observations.values().iterator(); each.hasNext(); ) {
                if (nowUs - each.next().observedUs() >= declared.retentionUs()) {
                    each.remove();
                }
            }
        }
    }

    /** What it names. */
    List<ReportedServer> reportedServers() {
        List<ReportedServer> all = new ArrayList<>(observations.size());
        observations.values().forEach(s -> all.add(s.server()));
        return all;
    }

    /** Who is not named any more, and was said to drain when it was. */
    List<ReportedServer> drainingWhenDropped() {
        List<ReportedServer> all = new ArrayList<>(drainingWhenDropped.size());
        drainingWhenDropped.values().forEach(s -> all.add(s.server()));
        return all;
    }

    /** When something of it ends, if nothing is said before; the largest number for never. */
    long nextExpiryUs() {
        long next = Long.MAX_VALUE;
        for (Observation each : drainingWhenDropped.values()) {
            next = Math.min(next, each.observedUs() + declared.staleAfterUs());
        }
        if (failingSinceUs >= 0) {
            return observations.isEmpty() ? next : Math.min(next, failingSinceUs + declared.staleAfterUs());
        }
        if (declared.retentionUs() > 0) {
            for (Observation each : observations.values()) {
                next = Math.min(next, each.observedUs() + declared.retentionUs());
            }
        }
        return next;
    }

    /** Whether its word on a server can do this. */
    boolean isPermitted(SourceDeclaration.Permission what) {
        return declared.permissions().contains(what);
    }

    /** Whether a word of it counts: what it may not say is not said. */
    boolean acceptsState(State word) {
        return switch (word) {
            case READY -> isPermitted(SourceDeclaration.Permission.ADD);
            case DRAINING -> isPermitted(SourceDeclaration.Permission.DRAIN);
            case GONE -> isPermitted(SourceDeclaration.Permission.REMOVE);
        };
    }
}
