package vetchpost.sources;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import vetchpost.core.ServerList;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.sources.Membership.Member;

/**
 * Merges what sources report, checks find, servers report of themselves and operators override into one list of
 * servers. Gone takes precedence over draining, and draining over ready, whoever reports it; {@code docs/servers.md}
 * has the table. The source watcher calls it on the event loop; it has no clock or socket of its own.
 */
public final class SourceMerger {
    /** How long a server's own report that it drains applies, unless its address or process changes. */
    public static final long SELF_DRAIN_LEASE_US = 60_000_000;

    private final Membership membership;
    private final CheckPlan checks;
    private final long unixOriginMs;
    private final long originUs;
    /** The target last reported to the node for each server. */
    private final Map<String, ServerList.Target> reportedTargets = new LinkedHashMap<>();
    /** Until when each server counts as draining by its own report. */
    private final Map<String, Long> selfDrainUntilUs = new HashMap<>();
    /** When servers returned that checks or their own reports had excluded. */
    private final Map<String, Long> returnedUs = new HashMap<>();
    /** When each server counts as started, in microseconds of the caller's clock; 0 for long ago. */
    private final Map<String, Start> starts = new HashMap<>();

    private final long coldUs;
    private Set<String> excludedServers = new HashSet<>();
    /** The list as sources and a freeze make it. */
    private Map<String, Member> lastMembers = Map.of();

    private ServerOverrides overrides = ServerOverrides.NONE;
    /** The list since it was frozen; null while it is not. */
    private Map<String, Member> frozenMembers;

    /** When a server started, and whether slow start applies to it. */
    private record Start(long sinceUs, boolean usesSlowStart) {}

    /**
     * Creates a merger that has reported nothing.
     *
     * @param checks null where servers are not checked
     * @param coldUs how long a new or returned server counts as cold, in microseconds
     * @param unixMs Unix time in milliseconds at {@code nowUs}
     * @param nowUs monotonic time in microseconds
     */
    public SourceMerger(Membership membership, CheckPlan checks, long coldUs, long unixMs, long nowUs) {
        this.coldUs = coldUs;
        this.membership = membership;
        this.checks = checks;
        unixOriginMs = unixMs;
        originUs = nowUs;
    }

    /** Applies these overrides from now on. */
    public void setOverrides(ServerOverrides newOverrides) {
        overrides = newOverrides;
    }

    /** The current servers without the operators' overrides of single servers. */
    public List<Member> members() {
        return lastMembers.values().stream()
                .map(member -> !excludedServers.contains(member.id())
                        ? member
                        : new Member(
                                member.id(), member.address(), true, member.weight(), member.zone(), member.sinceUs()))
                .toList();
    }

    /** A server has reported that it accepts no new requests. */
    public void reportDraining(String id, long nowUs) {
        if (reportedTargets.containsKey(id)) {
            selfDrainUntilUs.put(id, nowUs + SELF_DRAIN_LEASE_US);
        }
    }

    /**
     * Computes what has changed since the last call.
     *
     * @param nowUs monotonic time in microseconds
     * @return the changes to report to the node; empty if there are none
     */
    public List<ServerList.Target> pollChanges(long nowUs) {
        Map<String, Member> members = applyFreeze(membership.update(nowUs));
        lastMembers = members;
        selfDrainUntilUs.values().removeIf(until -> until <= nowUs);
        Set<String> nowExcluded = new HashSet<>(selfDrainUntilUs.keySet());
        if (checks != null) {
            checks.setServers(members.keySet(), nowUs);
            nowExcluded.addAll(checks.ejectedServers());
        }
        for (String id : excludedServers) {
            if (!nowExcluded.contains(id)) {
                returnedUs.put(id, nowUs);
            }
        }
        excludedServers = nowExcluded;
        returnedUs.keySet().retainAll(members.keySet());
        selfDrainUntilUs.keySet().retainAll(members.keySet());
        List<ServerList.Target> changes = new ArrayList<>();
        for (String id : List.copyOf(reportedTargets.keySet())) {
            if (!members.containsKey(id)) {
                ServerList.Target gone = reportedTargets.remove(id);
                changes.add(new ServerList.Target(
                        id, gone.address(), gone.zone(), gone.cell(), ServerState.GONE, gone.weight(), gone.bootMs()));
            }
        }
        starts.keySet().retainAll(members.keySet());
        long coldCount = starts.values().stream()
                .filter(start -> start.usesSlowStart() && nowUs - start.sinceUs() < coldUs)
                .count();
        for (Member member : members.values()) {
            long sinceUs = Math.max(member.sinceUs(), returnedUs.getOrDefault(member.id(), 0L));
            Start start = starts.get(member.id());
            if (start == null || start.sinceUs() != sinceUs) {
                // No slow start where most servers are new: no warm server could take the load.
                boolean usesSlowStart = sinceUs > 0 && coldCount + 1 <= members.size() / 2;
                coldCount += usesSlowStart ? 1 : 0;
                starts.put(member.id(), new Start(sinceUs, usesSlowStart));
            }
            ServerList.Target target = toTarget(member);
            if (!target.equals(reportedTargets.put(target.id(), target))) {
                changes.add(target);
            }
        }
        return changes;
    }

    /**
     * The frozen list while a freeze is active: new servers wait, missing ones stay, those that a source reports as
     * gone drain, and draining ones drain.
     */
    private Map<String, Member> applyFreeze(Map<String, Member> current) {
        if (!overrides.isListFrozen()) {
            frozenMembers = null;
            return current;
        }
        if (frozenMembers == null) {
            frozenMembers = new LinkedHashMap<>(lastMembers.isEmpty() ? current : lastMembers);
        }
        // A server that is no longer named keeps its last reported state, draining included.
        frozenMembers.replaceAll((id, frozen) -> {
            Member latest = current.getOrDefault(id, frozen);
            return new Member(
                    id,
                    latest.address(),
                    latest.draining() || membership.isReportedGone(id),
                    latest.weight(),
                    latest.zone(),
                    latest.sinceUs());
        });
        return Collections.unmodifiableMap(new LinkedHashMap<>(frozenMembers));
    }

    private ServerList.Target toTarget(Member member) {
        boolean isDraining =
                member.draining() || excludedServers.contains(member.id()) || overrides.isDraining(member.id());
        Start start = starts.get(member.id());
        return new ServerList.Target(
                member.id(),
                member.address(),
                member.zone(),
                0,
                isDraining ? ServerState.DRAINING : ServerState.READY,
                overrides.weight(member.id(), member.weight()),
                start.usesSlowStart() ? unixOriginMs + (start.sinceUs() - originUs) / 1_000 : 0);
    }

    /** All reported servers, as a full list. */
    public ServerList fullList() {
        return new ServerList(0, true, List.copyOf(reportedTargets.values()));
    }

    /** When to poll again without a new report, in microseconds; {@link Long#MAX_VALUE} for never. */
    public long nextUpdateUs(long nowUs) {
        long nextUs = membership.nextUpdateUs(nowUs);
        for (long untilUs : selfDrainUntilUs.values()) {
            nextUs = Math.min(nextUs, untilUs);
        }
        return nextUs;
    }
}
