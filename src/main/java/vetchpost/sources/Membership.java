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
    private static final int LEAST_GONE = 2;
    /** So many of those that went are remembered. */
    private static final int MOST_WENT = 20_000;

    private final MergeRules rules;
    private final List<SourceState> registers = new ArrayList<>();
    private final FlapDamping flaps;
    /** The fleet as it stands, by id. */
    private final Map<String, Member> members = new LinkedHashMap<>();

    private final Map<InetSocketAddress, String> owners = new HashMap<>();
    private final Map<String, List<InetSocketAddress>> addresses = new HashMap<>();
    /** Of those that nobody names: since when. */
    private final Map<String, Long> leftOut = new HashMap<>();
    /** When those that are out went, to know who is back. */
    private final Map<String, Long> wentUs = new LinkedHashMap<>();
    /**
     * When those went that have gone lately because nobody names them; one that comes and goes counts once.
     */
    private final Map<String, Long> goneUs = new HashMap<>();
    /** Of those that were named last, which some source says have gone. */
    private final Set<String> gone = new HashSet<>();

    private int heldBack;
    private int flapping;
    private boolean begun;

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
        sources.forEach(s -> registers.add(new SourceState(s)));
        flaps = new FlapDamping(rules.maxFlaps(), rules.flapHalfLifeUs());
    }

    /**
     * Has these be the sources from now on. One that is declared as before keeps what it has said; what only
     * those named that are no more is left out from now on.
     */
    public void reload(List<SourceDeclaration> sources) {
        Map<SourceDeclaration, SourceState> before = new HashMap<>();
        registers.forEach(r -> before.put(r.declared(), r));
        registers.clear();
        sources.forEach(s -> registers.add(before.getOrDefault(s, new SourceState(s))));
    }

    /** A source has named these. */
    public void serversReported(int source, List<ReportedServer> servers, long nowUs) {
        registers.get(source).said(servers, nowUs);
    }

    /** A source says nothing that can be used. */
    public void sourceFailed(int source, String why, long nowUs) {
        registers.get(source).poor(why, nowUs);
    }

    /** Why what a source said last is old; empty if it is not. */
    public String failure(int source) {
        return registers.get(source).trouble();
    }

    /** Whether each source has been heard, so that a server that comes now is a new one. */
    public boolean isStarted() {
        return begun;
    }

    /** Has what comes from now on count as new, though a source has not been heard yet. */
    public void start() {
        begun = true;
    }

    /** Whether a source that may remove says of this server that it has gone. */
    public boolean isReportedGone(String id) {
        return gone.contains(id);
    }

    /** How many stay though nobody names them any more. */
    public int dampedCount() {
        return heldBack;
    }

    /** How many are named and held back since they come and go. */
    public int flappingCount() {
        return flapping;
    }

    /** What is named, with all that is said of it. */
    private static final class Candidate {
        private final String id;
        private final List<InetSocketAddress> addresses = new ArrayList<>();
        private double weight;
        private String zone = "";
        private boolean ready;
        private boolean draining;
        private boolean gone;

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
            ready |= named.state() != State.GONE && from.may(Permission.ADD);
            remember(from, named);
        }

        /** What counts of a word though its source does not name the server any more. */
        void remember(SourceState from, ReportedServer named) {
            draining |= named.state() == State.DRAINING && from.counts(State.DRAINING);
            gone |= named.state() == State.GONE && from.counts(State.GONE);
        }
    }

    /**
     * Makes the fleet of what has been said.
     *
     * @return all that are in it, in no order that means anything
     */
    public Map<String, Member> settle(long nowUs) {
        registers.forEach(r -> r.expire(nowUs));
        Map<String, Candidate> candidates = candidates();
        heldBack = 0;
        flapping = 0;
        gone.clear();
        candidates.values().stream().filter(c -> c.gone).forEach(c -> gone.add(c.id));
        List<String> unnamed = new ArrayList<>();
        for (String id : members.keySet()) {
            Candidate candidate = candidates.get(id);
            if (candidate != null && candidate.gone) {
                unnamed.add(id);
            } else if (candidate == null || !candidate.ready) {
                unnamed.add(id);
            } else {
                leftOut.remove(id);
            }
        }
        int mayGo = mayGo(nowUs);
        for (String id : unnamed) {
            Candidate candidate = candidates.get(id);
            if (candidate != null && candidate.gone) {
                leave(id, nowUs);
                continue;
            }
            long sinceUs = leftOut.computeIfAbsent(id, i -> nowUs);
            boolean confirmed = nowUs - sinceUs >= rules.removalConfirmationUs();
            if (mayGo > 0 || confirmed || goneUs.containsKey(id)) {
                if (!confirmed) {
                    mayGo -= goneUs.containsKey(id) ? 0 : 1;
                    goneUs.put(id, nowUs);
                }
                leave(id, nowUs);
            } else {
                heldBack++;
            }
        }
        candidates.values().forEach(candidate -> {
            if (candidate.ready && !candidate.gone) {
                come(candidate, nowUs);
            }
        });
        begun |= registers.stream().allMatch(SourceState::isHeard);
        // In an order of its own: that of Map.copyOf is another in each process, as a seed's run would be.
        return Collections.unmodifiableMap(new LinkedHashMap<>(members));
    }

    /** How many more may go now without having been left out for long. */
    private int mayGo(long nowUs) {
        goneUs.values().removeIf(at -> nowUs - at >= rules.removalConfirmationUs());
        int before = members.size();
        for (String id : goneUs.keySet()) {
            before += members.containsKey(id) ? 0 : 1;
        }
        return Math.max(LEAST_GONE, (int) (rules.maxRemovedFraction() * before)) - goneUs.size();
    }

    /** What is named, entries that share an address as one. */
    private Map<String, Candidate> candidates() {
        Map<String, Candidate> byId = new LinkedHashMap<>();
        Map<InetSocketAddress, Candidate> byAddress = new HashMap<>();
        for (SourceState register : registers) {
            for (ReportedServer named : register.named()) {
                Candidate candidate = find(named, byId, byAddress);
                candidate.add(register, named);
                named.addresses().forEach(a -> byAddress.putIfAbsent(a, candidate));
            }
        }
        for (SourceState register : registers) {
            for (ReportedServer last : register.lastWords()) {
                for (InetSocketAddress address : last.addresses()) {
                    Candidate candidate = byAddress.get(address);
                    if (candidate != null) {
                        candidate.remember(register, last);
                    }
                }
            }
        }
        return byId;
    }

    private Candidate find(
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
            String owner = owners.get(address);
            // But not one that its source calls by the name of another that is there.
            if (owner != null && (named.id().isEmpty() || !members.containsKey(named.id()))) {
                id = owner;
                break;
            }
        }
        if (id == null) {
            id = named.id().isEmpty() ? ReportedServer.text(named.addresses().get(0)) : named.id();
        }
        return byId.computeIfAbsent(id, Candidate::new);
    }

    private void leave(String id, long nowUs) {
        members.remove(id);
        own(id, List.of());
        leftOut.remove(id);
        wentUs.put(id, nowUs);
        if (wentUs.size() > MOST_WENT) {
            wentUs.remove(wentUs.keySet().iterator().next());
        }
    }

    private void come(Candidate candidate, long nowUs) {
        Member member = members.get(candidate.id);
        InetSocketAddress address = member != null && candidate.addresses.contains(member.address())
                ? member.address()
                : candidate.addresses.get(0);
        long sinceUs = 0;
        if (member == null) {
            Long went = wentUs.get(candidate.id);
            if (went != null) {
                wentUs.remove(candidate.id);
                flaps.returned(candidate.id, nowUs);
            }
            if (flaps.isHeld(candidate.id, nowUs) && !members.isEmpty()) {
                flapping++;
                return;
            }
            // What was away for a moment only has hardly been started anew.
            sinceUs = went == null ? begun ? nowUs : 0 : nowUs - went >= rules.coldAfterAbsenceUs() ? nowUs : 0;
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
                        candidate.draining,
                        candidate.weight > 0 ? candidate.weight : 1,
                        candidate.zone,
                        sinceUs));
        own(candidate.id, candidate.addresses);
    }

    /** Has a server be found by these addresses, and by no others. */
    private void own(String id, List<InetSocketAddress> now) {
        List<InetSocketAddress> before = now.isEmpty() ? addresses.remove(id) : addresses.put(id, now);
        if (before != null && !before.equals(now)) {
            before.forEach(a -> owners.remove(a, id));
        }
        if (!now.equals(before)) {
            now.forEach(a -> owners.put(a, id));
        }
    }

    /** When something changes though nothing is said; the largest number for never. */
    public long nextUs(long nowUs) {
        long next = Long.MAX_VALUE;
        for (SourceState register : registers) {
            next = Math.min(next, register.nextUs());
        }
        for (long since : leftOut.values()) {
            next = Math.min(next, since + rules.removalConfirmationUs());
        }
        if (flapping > 0) {
            // Looked at again once in a while: the counts halve slowly.
            next = Math.min(next, nowUs + Math.max(1, rules.flapHalfLifeUs() / 8));
        }
        return next;
    }
}
