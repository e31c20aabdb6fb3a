package vetchpost.sources;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import vetchpost.sources.ReportedServer.State;

/**
 * What one source has reported, and how long that stays valid. Where a source never names all its servers, one that an
 * answer leaves out stays for a retention time. An empty or failed answer changes nothing until the source counts as
 * stale, because a short fault must not empty the fleet. Used by {@link Membership} on the event loop.
 */
final class SourceState {
    /** Servers kept of one source; further ones are ignored and counted. */
    static final int MAX_SERVERS = 20_000;

    private final SourceDeclaration declared;
    private final Map<String, Observation> observations = new LinkedHashMap<>();
    /**
     * Servers that were draining when they were last named, and are not named any more. Leaving a server out does not
     * end its drain, because another source may keep naming it for a while.
     */
    private final Map<String, Observation> drainingWhenDropped = new LinkedHashMap<>();
    /** Since when it has failed or reported no servers; -1 if it has not. */
    private long failingSinceUs = -1;

    private String failure = "";
    private int ignoredCount;
    private boolean hasReported;

    /** A server as it was last reported, and when. */
    private record Observation(ReportedServer server, long observedUs) {}

    SourceState(SourceDeclaration declared) {
        this.declared = declared;
    }

    SourceDeclaration declared() {
        return declared;
    }

    /** Whether it has ever given a usable report. */
    boolean hasReported() {
        return hasReported;
    }

    /** Why its last report is out of date; empty if it is current. */
    String failure() {
        return failure;
    }

    /** Servers of its last report beyond the limit. */
    int ignoredCount() {
        return ignoredCount;
    }

    private static String keyOf(ReportedServer server) {
        return server.id().isEmpty()
                ? ReportedServer.formatAddress(server.addresses().get(0))
                : server.id();
    }

    /** The source has reported these servers. */
    void serversReported(List<ReportedServer> servers, long nowUs) {
        if (servers.isEmpty()) {
            sourceFailed("it reports no servers", nowUs);
            return;
        }
        hasReported = true;
        failingSinceUs = -1;
        failure = "";
        if (declared.retentionUs() == 0) {
            observations.forEach((key, observation) -> {
                if (observation.server().state() == State.DRAINING && drainingWhenDropped.size() < MAX_SERVERS) {
                    drainingWhenDropped.put(key, new Observation(observation.server(), nowUs));
                }
            });
            observations.clear();
        }
        ignoredCount = 0;
        for (ReportedServer server : servers) {
            String key = keyOf(server);
            drainingWhenDropped.remove(key);
            if (observations.size() >= MAX_SERVERS && !observations.containsKey(key)) {
                ignoredCount++;
            } else {
                observations.put(key, new Observation(server, nowUs));
            }
        }
        expire(nowUs);
    }

    /** The source has failed, or reported no servers. */
    void sourceFailed(String reason, long nowUs) {
        failure = reason;
        if (failingSinceUs < 0) {
            failingSinceUs = nowUs;
        }
    }

    /** Discards what is no longer valid. */
    void expire(long nowUs) {
        drainingWhenDropped
                .values()
                .removeIf(observation -> nowUs - observation.observedUs() >= declared.staleAfterUs());
        if (failingSinceUs >= 0) {
            // While the source fails, no single server expires: its whole last report stays, or none of it.
            if (nowUs - failingSinceUs >= declared.staleAfterUs()) {
                observations.clear();
            }
            return;
        }
        if (declared.retentionUs() > 0) {
            for (Iterator<Observation> iterator = observations.values().iterator(); iterator.hasNext(); ) {
                if (nowUs - iterator.next().observedUs() >= declared.retentionUs()) {
                    iterator.remove();
                }
            }
        }
    }

    /** The servers that it currently names. */
    List<ReportedServer> reportedServers() {
        List<ReportedServer> servers = new ArrayList<>(observations.size());
        observations.values().forEach(observation -> servers.add(observation.server()));
        return servers;
    }

    /** The servers that are not named any more and were draining when they last were. */
    List<ReportedServer> drainingWhenDropped() {
        List<ReportedServer> servers = new ArrayList<>(drainingWhenDropped.size());
        drainingWhenDropped.values().forEach(observation -> servers.add(observation.server()));
        return servers;
    }

    /** When part of the report expires without a new one, in microseconds; {@link Long#MAX_VALUE} for never. */
    long nextExpiryUs() {
        long nextUs = Long.MAX_VALUE;
        for (Observation observation : drainingWhenDropped.values()) {
            nextUs = Math.min(nextUs, observation.observedUs() + declared.staleAfterUs());
        }
        if (failingSinceUs >= 0) {
            return observations.isEmpty() ? nextUs : Math.min(nextUs, failingSinceUs + declared.staleAfterUs());
        }
        if (declared.retentionUs() > 0) {
            for (Observation observation : observations.values()) {
                nextUs = Math.min(nextUs, observation.observedUs() + declared.retentionUs());
            }
        }
        return nextUs;
    }

    /** Whether its reports have this permission. */
    boolean isPermitted(SourceDeclaration.Permission permission) {
        return declared.permissions().contains(permission);
    }

    /** Whether it is permitted to report this state; otherwise the state is ignored. */
    boolean acceptsState(State state) {
        return switch (state) {
            case READY -> isPermitted(SourceDeclaration.Permission.ADD);
            case DRAINING -> isPermitted(SourceDeclaration.Permission.DRAIN);
            case GONE -> isPermitted(SourceDeclaration.Permission.REMOVE);
        };
    }
}
