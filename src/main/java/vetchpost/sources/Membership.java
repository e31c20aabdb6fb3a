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
 * Decides which servers are in the fleet by combining all sources. In this order: a server is gone if a source that may
 * remove says so, draining if one that may drain says so, and ready if one that may add says so. The most restrictive
 * state therefore wins; the order of trust decides only names, weights and zones.
 *
 * <p>A server that no source names any more leaves at once, unless more than a fraction of the fleet would leave: those
 * leave only after they have been missing for a configured time. A server that comes and goes repeatedly is kept out
 * for a while. Entries that share an address are one server, whatever their ids.
 *
 * <p>{@link SourceMerger} and the source watcher call it on the node's event loop.
 */
public final class Membership {
    /**
     * This many may always leave at once: in a fleet of three, one or two missing servers are no sign of a faulty list.
     */
    private static final int MIN_IMMEDIATE_REMOVALS = 2;
    /** Servers that have left and whose time of leaving is remembered. */
    private static final int MAX_DEPARTED_SERVERS = 20_000;

    private final MergeRules rules;
    private final List<SourceState> sourceStates = new ArrayList<>();
    private final FlapDamping flapDamping;
    /** Current members by id. */
    private final Map<String, Member> members = new LinkedHashMap<>();

    private final Map<InetSocketAddress, String> idByAddress = new HashMap<>();
    private final Map<String, List<InetSocketAddress>> addressesById = new HashMap<>();
    /** Since when members that no source names have been missing, in microseconds. */
    private final Map<String, Long> unnamedSinceUs = new HashMap<>();
    /** When former members left, to recognize the ones that return. */
    private final Map<String, Long> departedUs = new LinkedHashMap<>();
    /**
     * When members were removed recently because no source named them; each id counts once, however often it comes and
     * goes.
     */
    private final Map<String, Long> recentRemovalsUs = new HashMap<>();
    /** Servers that a permitted source reported as gone at the last update. */
    private final Set<String> reportedGone = new HashSet<>();

    private int pendingRemovals;
    private int flappingServers;
    private boolean isStarted;

    /**
     * A server in the fleet.
     *
     * @param draining whether it accepts no new requests
     * @param weight its relative capacity
     * @param zone empty if unknown
     * @param sinceUs when it joined, or returned after an absence, in microseconds of the caller's clock; 0 if it was
     *     there from the start
     */
    public record Member(
            String id, InetSocketAddress address, boolean draining, double weight, String zone, long sinceUs) {}

    /**
     * Creates an empty fleet.
     *
     * @param sources the declared sources, the most trusted first
     */
    public Membership(List<SourceDeclaration> sources, MergeRules rules) {
        this.rules = rules;
        sources.forEach(source -> sourceStates.add(new SourceState(source)));
        flapDamping = new FlapDamping(rules.maxFlaps(), rules.flapHalfLifeUs());
    }

    /**
     * Replaces the sources. A source whose declaration is unchanged keeps what it has reported; servers that only
     * removed sources named count as missing from now on.
     */
    public void reload(List<SourceDeclaration> sources) {
        Map<SourceDeclaration, SourceState> previousStates = new HashMap<>();
        sourceStates.forEach(state -> previousStates.put(state.declared(), state));
        sourceStates.clear();
        sources.forEach(source -> sourceStates.add(previousStates.getOrDefault(source, new SourceState(source))));
    }

    /**
     * A source has reported its list of servers.
     *
     * @param source index of the source in the declared order
     * @param nowUs time in microseconds
     */
    public void serversReported(int source, List<ReportedServer> servers, long nowUs) {
        sourceStates.get(source).serversReported(servers, nowUs);
    }

    /**
     * A source has failed to give a usable list.
     *
     * @param source index of the source in the declared order
     */
    public void sourceFailed(int source, String why, long nowUs) {
        sourceStates.get(source).sourceFailed(why, nowUs);
    }

    /** Why a source's last list is out of date; empty if it is current. */
    public String failure(int source) {
        return sourceStates.get(source).failure();
    }

    /** Whether every source has reported, so that a server that appears now is a new one. */
    public boolean isStarted() {
        return isStarted;
    }

    /** Treats servers that appear from now on as new, even if a source has not reported yet. */
    public void start() {
        isStarted = true;
    }

    /** Whether a source that may remove reports this server as gone. */
    public boolean isReportedGone(String id) {
        return reportedGone.contains(id);
    }

    /** How many servers remain members although no source names them. */
    public int pendingRemovalCount() {
        return pendingRemovals;
    }

    /** How many servers are named but kept out because they come and go. */
    public int flappingCount() {
        return flappingServers;
    }

    /** A server named by sources, with everything reported about it. */
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

        void add(SourceState source, ReportedServer named) {
            for (InetSocketAddress address : named.addresses()) {
                if (!addresses.contains(address)) {
                    addresses.add(address);
                }
            }
            if (weight == 0) {
                weight = named.weight();
            }
            zone = zone.isEmpty() ? named.zone() : zone;
            // A source that reports a server as draining names it too.
            isReady |= named.state() != State.GONE && source.isPermitted(Permission.ADD);
            addState(source, named);
        }

        /** Adds a reported state; it may count although its source no longer names the server. */
        void addState(SourceState source, ReportedServer named) {
            isDraining |= named.state() == State.DRAINING && source.acceptsState(State.DRAINING);
            isGone |= named.state() == State.GONE && source.acceptsState(State.GONE);
        }
    }

    /**
     * Recomputes the fleet from the sources' reports.
     *
     * @param nowUs time in microseconds
     * @return all members by id
     */
    public Map<String, Member> update(long nowUs) {
        sourceStates.forEach(source -> source.expire(nowUs));
        Map<String, Candidate> candidates = mergeCandidates();
        pendingRemovals = 0;
        flappingServers = 0;
        reportedGone.clear();
        candidates.values().stream().filter(c -> c.isGone).forEach(c -> reportedGone.add(c.id));
        List<String> missing = new ArrayList<>();
        for (String id : members.keySet()) {
            Candidate candidate = candidates.get(id);
            if (candidate != null && candidate.isGone) {
                missing.add(id);
            } else if (candidate == null || !candidate.isReady) {
                missing.add(id);
            } else {
                unnamedSinceUs.remove(id);
            }
        }
        int removable = removableCount(nowUs);
        for (String id : missing) {
            Candidate candidate = candidates.get(id);
            if (candidate != null && candidate.isGone) {
                removeMember(id, nowUs);
                continue;
            }
            long sinceUs = unnamedSinceUs.computeIfAbsent(id, i -> nowUs);
            boolean isConfirmed = nowUs - sinceUs >= rules.removalConfirmationUs();
            if (removable > 0 || isConfirmed || recentRemovalsUs.containsKey(id)) {
                if (!isConfirmed) {
                    removable -= recentRemovalsUs.containsKey(id) ? 0 : 1;
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
        // Insertion order: the order of Map.copyOf differs between processes, so a run with the same seed would too.
        return Collections.unmodifiableMap(new LinkedHashMap<>(members));
    }

    /** How many more may leave now without having been missing for the confirmation time. */
    private int removableCount(long nowUs) {
        recentRemovalsUs.values().removeIf(removedUs -> nowUs - removedUs >= rules.removalConfirmationUs());
        int fleetSize = members.size();
        for (String id : recentRemovalsUs.keySet()) {
            fleetSize += members.containsKey(id) ? 0 : 1;
        }
        return Math.max(MIN_IMMEDIATE_REMOVALS, (int) (rules.maxRemovedFraction() * fleetSize))
                - recentRemovalsUs.size();
    }

    /** Everything that sources name; entries that share an address are merged. */
    private Map<String, Candidate> mergeCandidates() {
        Map<String, Candidate> byId = new LinkedHashMap<>();
        Map<InetSocketAddress, Candidate> byAddress = new HashMap<>();
        for (SourceState source : sourceStates) {
            for (ReportedServer server : source.reportedServers()) {
                Candidate candidate = findCandidate(server, byId, byAddress);
                candidate.add(source, server);
                server.addresses().forEach(address -> byAddress.putIfAbsent(address, candidate));
            }
        }
        for (SourceState source : sourceStates) {
            for (ReportedServer server : source.drainingWhenDropped()) {
                for (InetSocketAddress address : server.addresses()) {
                    Candidate candidate = byAddress.get(address);
                    if (candidate != null) {
                        candidate.addState(source, server);
                    }
                }
            }
        }
        return byId;
    }

    private Candidate findCandidate(
            ReportedServer server, Map<String, Candidate> byId, Map<InetSocketAddress, Candidate> byAddress) {
        for (InetSocketAddress address : server.addresses()) {
            Candidate candidate = byAddress.get(address);
            if (candidate != null) {
                return candidate;
            }
        }
        // A member keeps its id, whichever source it came from: under another id it would look like a new, cold
        // server.
        String id = null;
        for (InetSocketAddress address : server.addresses()) {
            String owner = idByAddress.get(address);
            // Unless its source gives it the id of another current member.
            if (owner != null && (server.id().isEmpty() || !members.containsKey(server.id()))) {
                id = owner;
                break;
            }
        }
        if (id == null) {
            id = server.id().isEmpty()
                    ? ReportedServer.formatAddress(server.addresses().get(0))
                    : server.id();
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
            Long leftUs = departedUs.get(candidate.id);
            if (leftUs != null) {
                departedUs.remove(candidate.id);
                flapDamping.serverReturned(candidate.id, nowUs);
            }
            if (flapDamping.isSuppressed(candidate.id, nowUs) && !members.isEmpty()) {
                flappingServers++;
                return;
            }
            // A short absence is hardly a restart.
            sinceUs = leftUs == null ? isStarted ? nowUs : 0 : nowUs - leftUs >= rules.coldAfterAbsenceUs() ? nowUs : 0;
        } else if (!address.equals(member.address())) {
            sinceUs = nowUs; // A new address means a new process.
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

    /** Replaces the addresses by which a server is found. */
    private void setAddresses(String id, List<InetSocketAddress> newAddresses) {
        List<InetSocketAddress> oldAddresses =
                newAddresses.isEmpty() ? addressesById.remove(id) : addressesById.put(id, newAddresses);
        if (oldAddresses != null && !oldAddresses.equals(newAddresses)) {
            oldAddresses.forEach(address -> idByAddress.remove(address, id));
        }
        if (!newAddresses.equals(oldAddresses)) {
            newAddresses.forEach(address -> idByAddress.put(address, id));
        }
    }

    /** When the fleet may change without a new report, in microseconds; {@link Long#MAX_VALUE} for never. */
    public long nextUpdateUs(long nowUs) {
        long nextUs = Long.MAX_VALUE;
        for (SourceState source : sourceStates) {
            nextUs = Math.min(nextUs, source.nextExpiryUs());
        }
        for (long missingSinceUs : unnamedSinceUs.values()) {
            nextUs = Math.min(nextUs, missingSinceUs + rules.removalConfirmationUs());
        }
        if (flappingServers > 0) {
            // Checked again from time to time: the counts halve slowly.
            nextUs = Math.min(nextUs, nowUs + Math.max(1, rules.flapHalfLifeUs() / 8));
        }
        return nextUs;
    }
}
