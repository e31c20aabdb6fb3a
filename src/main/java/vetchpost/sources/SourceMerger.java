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
 * One list of servers out of what sources say, checks find and servers say of themselves. Gone comes before
 * draining, and draining before ready, whoever says it; {@code docs/servers.md} has the table. Nothing in it
 * keeps a clock or a socket.
 */
public final class SourceMerger {
    /** For so long a server's own word that it drains holds, unless its address or process changes. */
    public static final long SELF_DRAIN_LEASE_US = 60_000_000;

    private final Membership membership;
    private final CheckPlan checks;
    private final long unixOriginMs;
    private final long originUs;
    /** What was told last of each. */
    private final Map<String, ServerList.Target> reportedTargets = new LinkedHashMap<>();
    /** By their own word: until when. */
    private final Map<String, Long> selfDrainUntilUs = new HashMap<>();
    /** When those came back that checks, or their own word, had taken out. */
    private final Map<String, Long> returnedUs = new HashMap<>();
    /** When a server is to be taken for started, by the clock of the calls; 0 for long ago. */
    private final Map<String, Start> starts = new HashMap<>();

    private final long coldUs;
    private Set<String> excludedServers = new HashSet<>();
    /** The list as sources and a hold make it. */
    private Map<String, Member> lastMembers = Map.of();

    private ServerOverrides overrides = ServerOverrides.NONE;
    /** The list as it was when it began to be held; null while it is not. */
    private Map<String, Member> frozenMembers;

    /** Since when it is there, and whether it is spared for that. */
    private record Start(long sinceUs, boolean usesSlowStart) {}

    /**
     * Nothing told so far.
     *
     * @param checks null where there are none
     * @param coldUs for so long a server is cold that is new or back
     * @param unixMs Unix time at {@code nowUs}
     */
    public SourceMerger(Membership membership, CheckPlan checks, long coldUs, long unixMs, long nowUs) {
        this.coldUs = coldUs;
        this.membership = membership;
        this.checks = checks;
        unixOriginMs = unixMs;
        originUs = nowUs;
    }

    /** Has operators' words count from now on. */
    public void setOverrides(ServerOverrides other) {
        overrides = other;
    }

    /** The servers as they are but for what operators say of each. */
    public List<Member> members() {
        return lastMembers.values().stream()
                .map(m -> !excludedServers.contains(m.id())
                        ? m
                        : new Member(m.id(), m.address(), true, m.weight(), m.zone(), m.sinceUs()))
                .toList();
    }

    /** A server says of itself that it takes no new requests. */
    public void reportDraining(String id, long nowUs) {
        if (reportedTargets.containsKey(id)) {
            selfDrainUntilUs.put(id, nowUs + SELF_DRAIN_LEASE_US);
        }
    }

    /** What has changed since it was asked last, to be told to a node; empty if nothing has. */
    public List<ServerList.Target> pollChanges(long nowUs) {
        Map<String, Member> members = applyFreeze(membership.update(nowUs));
        lastMembers = members;
        selfDrainUntilUs.values().removeIf(until -> until <= nowUs);
        Set<String> outNow = new HashSet<>(selfDrainUntilUs.keySet());
        if (checks != null) {
            checks.setServers(members.keySet(), nowUs);
            outNow.addAll(checks.ejectedServers());
        }
        for (String id : excludedServers) {
            if (!outNow.contains(id)) {
                returnedUs.put(id, nowUs);
            }
        }
        excludedServers = outNow;
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
        long cold = starts.values().stream()
                .filter(s -> s.usesSlowStart() && nowUs - s.sinceUs() < coldUs)
                .count();
        for (Member member : members.values()) {
            long since = Math.max(member.sinceUs(), returnedUs.getOrDefault(member.id(), 0L));
            Start start = starts.get(member.id());
            if (start == null || start.sinceUs() != since) {
                // Where most are new at once there is nobody warm to take what they are spared.
                boolean spared = since > 0 && cold + 1 <= members.size() / 2;
                cold += spared ? 1 : 0;
                starts.put(member.id(), new Start(since, spared));
            }
            ServerList.Target target = toTarget(member);
            if (!target.equals(reportedTargets.put(target.id(), target))) {
                changes.add(target);
            }
        }
        return changes;
    }

    /**
     * The list as it was told last, while it is held: who has come waits, who is left out stays, who has gone
     * by a source's own word drains, and who drains does.
     */
    private Map<String, Member> applyFreeze(Map<String, Member> now) {
        if (!overrides.isListFrozen()) {
            frozenMembers = null;
            return now;
        }
        if (frozenMembers == null) {
            frozenMembers = new LinkedHashMap<>(lastMembers.isEmpty() ? now : lastMembers);
        }
        // Who is not named any more stays as it was when it was named last: also draining.
        frozenMembers.replaceAll((id, old) -> {
            Member fresh = now.getOrDefault(id, old);
            return new Member(
                    id,
                    fresh.address(),
                    fresh.draining() || membership.isReportedGone(id),
                    fresh.weight(),
                    fresh.zone(),
                    fresh.sinceUs());
        });
        return Collections.unmodifiableMap(new LinkedHashMap<>(frozenMembers));
    }

    private ServerList.Target toTarget(Member member) {
        boolean drains =
                member.draining() || excludedServers.contains(member.id()) || overrides.isDraining(member.id());
        Start start = starts.get(member.id());
        return new ServerList.Target(
                member.id(),
                member.address(),
                member.zone(),
                0,
                drains ? ServerState.DRAINING : ServerState.READY,
                overrides.weight(member.id(), member.weight()),
                start.usesSlowStart() ? unixOriginMs + (start.sinceUs() - originUs) / 1_000 : 0);
    }

    /** All that is told, as a whole list. */
    public ServerList fullList() {
        return new ServerList(0, true, List.copyOf(reportedTargets.values()));
    }

    /** When to ask again though nothing has happened; the largest number for never. */
    public long nextUpdateUs(long nowUs) {
        long next = membership.nextUpdateUs(nowUs);
        for (long until : selfDrainUntilUs.values()) {
            next = Math.min(next, until);
        }
        return next;
    }
}
