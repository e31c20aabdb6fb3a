package vetchpost.sources;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import vetchpost.sources.ReportedServer.State;
import vetchpost.sources.SourceDeclaration.Permission;

/**
 * Who is in the fleet by all sources together. In this order: a word that a server has gone, by a source that
 * may remove; that it drains, by one that may drain; that it is ready, by one that may add. So the more
 * careful word holds, and who is trusted more decides only on names, sizes and zones. What nobody names any
 * more goes at once, but for more than a share of the fleet, which goes only after it has been left out for a
 * stated time; and whoever comes and goes is held back for a while. Two entries that share an address are
 * one server, whatever they are called.
 */
public final class Membership {
    /** So many may always go at once: of three servers one or two are no slip. */
    private static final int MIN_IMMEDIATE_REMOVALS = 2;
    /** So many of those that went are remembered. */
    private static final int MAX_DEPARTED_SERVERS = 20_000;

    private final MergeRules rules;
    private final List<SourceState> sourceStates = new ArrayList<>();
    private final FlapDamping flapDamping;
    /** The fleet as it stands, by id. */
    private final Map<String, Member> members = new LinkedHashMap<>();

    private final Map<InetSocketAddress, String> idByAddress = new HashMap<>();
    private final Map<String, List<InetSocketAddress>> addressesById = new HashMap<>();
    /** Of those that nobody names: since when. */
    private final Map<String, Long> unnamedSinceUs = new HashMap<>();
    /** When those that are out went, to know who is back. */
    private final Map<String, Long> departedUs = new LinkedHashMap<>();
    /**
     * When those went that have gone lately because nobody names them; one that comes and goes counts once.
     */
    private final Map<String, Long> recentRemovalsUs = new HashMap<>();
    /** Of those that were named last, which some source says have gone. */
    private final Set<String> reportedGone = new HashSet<>();

    private int pendingRemovals;
    private int flappingServers;
    private boolean isStarted;

    /**
     * A server that is in the fleet.
     *
     * @param draining whether it takes no new requests
     * @param sinceUs when it came in, or came back after being away, by the clock of the calls; 0 if it was
     *     there from the start
     */
    public record Member(
            String id, InetSocketAddress address, boolean draining, double weight, String zone, long sinceUs) {}

    /** Nothing said so far; the sources in the order of trust. */
    public Membership(List<SourceDeclaration> sources, MergeRules rules) {
        this.rules = rules;
        sources.forEach(s -> sourceStates.add(new SourceState(s)));
        flapDamping = new FlapDamping(rules.maxFlaps(), rules.flapHalfLifeUs());
    }

    /**
     * Has these be the sources from now on. One that is declared as before keeps what it has said; what only
     * those named that are no more is left out from now on.
     */
    public void reload(List<SourceDeclaration> sources) {
        Map<SourceDeclaration, SourceState> before = new HashMap<>();
        sourceStates.forEach(r -> before.put(r.declared(), r));
        sourceStates.clear();
        sources.forEach(s -> sourceStates.add(before.getOrDefault(s, new SourceState(s))));
    }

    /** A source has named these. */
    public void serversReported(int source, List<ReportedServer> servers, long nowUs) {
        sourceStates.get(source).serversReported(servers, nowUs);
    }

    /** A source says nothing that can be used. */
    public void sourceFailed(int source, String why, long nowUs) {
        sourceStates.get(source).sourceFailed(why, nowUs);
    }

    /** Why what a source said last is old; empty if it is not. */
    public String failure(int source) {
        return sourceStates.get(source).failure();
    }

    /** Whether each source has been heard, so that a server that comes now is a new one. */
    public boolean isStarted() {
        return isStarted;
    }

    /** Has what comes from now on count as new, though a source has not been heard yet. */
    public void start() {
        isStarted = true;
    }

    /** Whether a source that may remove says of this server that it has gone. */
    public boolean isReportedGone(String id) {
        return reportedGone.contains(id);
    }

    /** How many stay though nobody names them any more. */
    public int pendingRemovalCount() {
        return pendingRemovals;
    }

    /** How many are named and held back since they come and go. */
    public int flappingCount() {
        return flappingServers;
    }

    /** What is named, with all that is said of it. */
    private static final class Candidate {
        private final String id;
        private final List<InetSocketAddress> addresses = new ArrayList<>();
        private double weight;
        private String zone = "";
        private boolean isReady;
        private boolean isDraining;
        private boolean isGone;

        Candidate(String id) {
            this.id = id;
        }

        void add(SourceState from, ReportedServer named) {
            for (InetSocketAddress address : named.addresses()) {
                if (!addresses.contains(address)) {
                    addresses.add(address);
                }
            }
            if (weight == 0) {
                weight = named.weight();
            }
            zone = zone.isEmpty() ? named.zone() : zone;
            // A source that says that a server drains names it, too.
            isReady |= named.state() != State.GONE && from.isPermitted(Permission.ADD);
            addState(from, named);
        }

        /** What counts of a word though its source does not name the server any more. */
        void addState(SourceState from, ReportedServer named) {
            isDraining |= named.state() == State.DRAINING && from.acceptsState(State.DRAINING);
            isGone |= named.state() == State.GONE && from.acceptsState(State.GONE);
        }
    }

    /**
     * Makes the fleet of what has been said.
     *
     * @return all that are in it, in no order that means anything
     */
    public Map<String, Member> update(long nowUs) {
        sourceStates.forEach(r -> r.expire(nowUs));
        Map<String, Candidate> candidates = mergeCandidates();
        pendingRemovals = 0;
        flappingServers = 0;
        reportedGone.clear();
        candidates.values().stream().filter(c -> c.isGone).forEach(c -> reportedGone.add(c.id));
        List<String> unnamed = new ArrayList<>();
        for (String id : members.keySet()) {
            Candidate candidate = candidates.get(id);
            if (candidate != null && candidate.isGone) {
                unnamed.add(id);
            } else if (candidate == null || !candidate.isReady) {
                unnamed.add(id);
            } else {
                unnamedSinceUs.remove(id);
            }
        }
        int mayGo = removableCount(nowUs);
        for (String id : unnamed) {
            Candidate candidate = candidates.get(id);
            if (candidate != null && candidate.isGone) {
                removeMember(id, nowUs);
                continue;
            }
            long sinceUs = unnamedSinceUs.computeIfAbsent(id, i -> nowUs);
            boolean confirmed = nowUs - sinceUs >= rules.removalConfirmationUs();
            if (mayGo > 0 || confirmed || recentRemovalsUs.containsKey(id)) {
                if (!confirmed) {
                    mayGo -= recentRemovalsUs.containsKey(id) ? 0 : 1;
                    recentRemovalsUs.put(id, nowUs);
                }
                removeMember(id, nowUs);
            } else {
                pendingRemovals++;
            }
        }
        candidates.values().forEach(candidate -> {
            if (candidate.isReady && !candidate.isGone) {
                addOrUpdateMember(candidate, nowUs);
            }
        });
        isStarted |= sourceStates.stream().allMatch(SourceState::hasReported);
        // In an order of its own: that of Map.copyOf is another in each process, as a seed's run would be.
        return Collections.unmodifiableMap(new LinkedHashMap<>(members));
    }

    /** How many more may go now without having been left out for long. */
    private int removableCount(long nowUs) {
        recentRemovalsUs.values().removeIf(at -> nowUs - at >= rules.removalConfirmationUs());
        int before = members.size();
        for (String id : recentRemovalsUs.keySet()) {
            before += members.containsKey(id) ? 0 : 1;
        }
        return Math.max(MIN_IMMEDIATE_REMOVALS, (int) (rules.maxRemovedFraction() * before)) - recentRemovalsUs.size();
    }

    /** What is named, entries that share an address as one. */
    private Map<String, Candidate> mergeCandidates() {
        Map<String, Candidate> byId = new LinkedHashMap<>();
        Map<InetSocketAddress, Candidate> byAddress = new HashMap<>();
        for (SourceState register : sourceStates) {
            for (ReportedServer named : register.reportedServers()) {
                Candidate candidate = findCandidate(named, byId, byAddress);
                candidate.add(register, named);
                named.addresses().forEach(a -> byAddress.putIfAbsent(a, candidate));
            }
        }
        for (SourceState register : sourceStates) {
            for (ReportedServer last : register.drainingWhenDropped()) {
                for (InetSocketAddress address : last.addresses()) {
                    Candidate candidate = byAddress.get(address);
                    if (candidate != null) {
                        candidate.addState(register, last);
                    }
                }
            }
        }
        return byId;
    }

    private Candidate findCandidate(
            ReportedServer named, Map<String, Candidate> byId, Map<InetSocketAddress, Candidate> byAddress) {
        for (InetSocketAddress address : named.addresses()) {
            Candidate known = byAddress.get(address);
            if (known != null) {
                return known;
            }
        }
        // It keeps the name that it has in the fleet, by whichever source it was brought there: another
        // name would look like another server, and a cold one.
        String id = null;
        for (InetSocketAddress address : named.addresses()) {
            String owner = idByAddress.get(address);
            // But not one that its source calls by the name of another that is there.
            if (owner != null && (named.id().isEmpty() || !members.containsKey(named.id()))) {
                id = owner;
                break;
            }
        }
        if (id == null) {
            id = named.id().isEmpty()
                    ? ReportedServer.formatAddress(named.addresses().get(0))
                    : named.id();
        }
        return byId.computeIfAbsent(id, Candidate::new);
    }

    private void removeMember(String id, long nowUs) {
        members.remove(id);
        setAddresses(id, List.of());
        unnamedSinceUs.remove(id);
        departedUs.put(id, nowUs);
        if (departedUs.size() > MAX_DEPARTED_SERVERS) {
            departedUs.remove(departedUs.keySet().iterator().next());
        }
    }

    private void addOrUpdateMember(Candidate candidate, long nowUs) {
        Member member = members.get(candidate.id);
        InetSocketAddress address = member != null && candidate.addresses.contains(member.address())
                ? member.address()
                : candidate.addresses.get(0);
        long sinceUs = 0;
        if (member == null) {
            Long went = departedUs.get(candidate.id);
            if (went != null) {
                departedUs.remove(candidate.id);
                flapDamping.serverReturned(candidate.id, nowUs);
            }
            if (flapDamping.isSuppressed(candidate.id, nowUs) && !members.isEmpty()) {
                flappingServers++;
                return;
            }
            // What was away for a moment only has hardly been started anew.
            sinceUs = went == null ? isStarted ? nowUs : 0 : nowUs - went >= rules.coldAfterAbsenceUs() ? nowUs : 0;
        } else if (!address.equals(member.address())) {
            sinceUs = nowUs; // Another address is another process.
        } else {
            sinceUs = member.sinceUs();
        }
        members.put(
                candidate.id,
                new Member(
                        candidate.id,
                        address,
                        candidate.isDraining,
                        candidate.weight > 0 ? candidate.weight : 1,
                        candidate.zone,
                        sinceUs));
        setAddresses(candidate.id, candidate.addresses);
    }

    /** Has a server be found by these addresses, and by no others. */
    private void setAddresses(String id, List<InetSocketAddress> now) {
        List<InetSocketAddress> before = now.isEmpty() ? addressesById.remove(id) : addressesById.put(id, now);
        if (before != null && !before.equals(now)) {
            before.forEach(a -> idByAddress.remove(a, id));
        }
        if (!now.equals(before)) {
            now.forEach(a -> idByAddress.put(a, id));
        }
    }

    /** When something changes though nothing is said; the largest number for never. */
    public long nextUpdateUs(long nowUs) {
        long next = Long.MAX_VALUE;
        for (SourceState register : sourceStates) {
            next = Math.min(next, register.nextExpiryUs());
        }
        for (long since : unnamedSinceUs.values()) {
            next = Math.min(next, since + rules.removalConfirmationUs());
        }
        if (flappingServers > 0) {
            // Looked at again once in a while: the counts halve slowly.
            next = Math.min(next, nowUs + Math.max(1, rules.flapHalfLifeUs() / 8));
        }
        return next;
    }
}
