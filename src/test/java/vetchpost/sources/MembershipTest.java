package vetchpost.sources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import vetchpost.sources.ReportedServer.State;
import vetchpost.sources.SourceDeclaration.Kind;
import vetchpost.sources.SourceDeclaration.Permission;

/**
 * One fleet from the reports of several sources. Guards against faulty, partial or flapping reports that would empty
 * the fleet or restart warm servers as cold.
 */
class MembershipTest {
    private static final long SECOND_US = 1_000_000;
    private static final MergeRules RULES = new MergeRules(0.5, 10 * SECOND_US, 4, 60 * SECOND_US, 5 * SECOND_US);
    private long nowUs = 100 * SECOND_US;

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    private static ReportedServer server(int port) {
        return ReportedServer.of(address(port));
    }

    private static ReportedServer server(String id, State state, int... ports) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int port : ports) {
            addresses.add(address(port));
        }
        return new ReportedServer(id, addresses, state, 1, "");
    }

    private static SourceDeclaration file(String name, Permission... permissions) {
        return new SourceDeclaration(
                name,
                Kind.FILE,
                name,
                0,
                permissions.length == 0 ? EnumSet.allOf(Permission.class) : Set.of(permissions),
                SECOND_US,
                0,
                600 * SECOND_US,
                List.of(),
                List.of());
    }

    private static SourceDeclaration dns(long retentionUs) {
        return new SourceDeclaration(
                "dns",
                Kind.DNS,
                "web",
                80,
                EnumSet.allOf(Permission.class),
                5 * SECOND_US,
                retentionUs,
                600 * SECOND_US,
                List.of(),
                List.of());
    }

    private static List<ReportedServer> servers(int from, int to) {
        List<ReportedServer> servers = new ArrayList<>();
        for (int port = from; port < to; port++) {
            servers.add(server(port));
        }
        return servers;
    }

    private Set<String> ids(Membership fleet) {
        return new TreeSet<>(fleet.update(nowUs).keySet());
    }

    private Set<Integer> ports(Membership fleet) {
        Set<Integer> ports = new TreeSet<>();
        fleet.update(nowUs)
                .values()
                .forEach(member -> ports.add(member.address().getPort()));
        return ports;
    }

    /** A name that alternates between two halves of its servers (round robin) must not make them come and go. */
    @Test
    void keepsServersOfAlternatingPartialAnswers() {
        Membership fleet = new Membership(List.of(dns(30 * SECOND_US)), RULES);
        Set<String> initialIds = null;
        for (int i = 0; i < 100; i++) {
            fleet.serversReported(0, i % 2 == 0 ? servers(1, 11) : servers(11, 21), nowUs);
            Set<String> currentIds = ids(fleet);
            if (i == 1) {
                initialIds = currentIds;
                assertEquals(20, initialIds.size());
            } else if (i > 1) {
                assertEquals(initialIds, currentIds);
            }
            nowUs += 5 * SECOND_US;
        }
        fleet.serversReported(0, servers(1, 11), nowUs);
        nowUs += 26 * SECOND_US;
        fleet.serversReported(0, servers(1, 11), nowUs);
        assertEquals(10, ids(fleet).size(), "servers that no answer has named for the retention time leave");
    }

    @Test
    void emptyOrFailedSourceKeepsServersUntilStale() {
        for (boolean fails : new boolean[] {true, false}) {
            Membership fleet = new Membership(List.of(file("a")), RULES);
            fleet.serversReported(0, servers(1, 6), nowUs);
            assertEquals(5, ids(fleet).size());
            for (int i = 0; i < 60; i++) {
                nowUs += SECOND_US;
                if (fails) {
                    fleet.sourceFailed(0, "NXDOMAIN", nowUs);
                } else {
                    fleet.serversReported(0, List.of(), nowUs);
                }
                assertEquals(5, ids(fleet).size(), "after " + i + " s");
            }
            assertFalse(fleet.failure(0).isEmpty());
            fleet.serversReported(0, servers(1, 5), nowUs);
            nowUs += 1;
            assertEquals(4, ids(fleet).size(), "its next report applies at once");
            fleet.sourceFailed(0, "unreadable", nowUs);
            nowUs += 600 * SECOND_US + 1;
            ids(fleet);
            nowUs += 10 * SECOND_US + 1;
            assertEquals(0, ids(fleet).size(), "stale servers leave: their addresses may belong to others by then");
        }
    }

    /** More than a fraction of the fleet leaves only after it has been missing for the confirmation time. */
    @Test
    void limitsImmediateRemovalsUntilConfirmed() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, servers(1, 21), nowUs);
        ids(fleet);
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(1, 3), nowUs);
        assertEquals(10, ids(fleet).size(), "half of them leave at once");
        assertEquals(8, fleet.pendingRemovalCount());
        nowUs += 9 * SECOND_US;
        assertEquals(10, ids(fleet).size());
        fleet.serversReported(0, servers(1, 21), nowUs);
        assertEquals(20, ids(fleet).size(), "servers that are named again stay");
        nowUs += 30 * SECOND_US;
        fleet.serversReported(0, servers(1, 3), nowUs);
        ids(fleet);
        assertTrue(fleet.nextUpdateUs(nowUs) <= nowUs + 10 * SECOND_US, "an update is due by the confirmation time");
        nowUs += 10 * SECOND_US;
        assertEquals(2, ids(fleet).size(), "missing servers leave once confirmed");
    }

    @Test
    void consecutiveShrinksShareOneRemovalLimit() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, servers(1, 101), nowUs);
        ids(fleet);
        for (int left = 50; left > 3; left /= 2) {
            nowUs += SECOND_US;
            fleet.serversReported(0, servers(1, left), nowUs);
            ids(fleet);
        }
        assertEquals(50, ids(fleet).size(), "half in all within the confirmation time, not half each second");
    }

    @Test
    void mostRestrictivePermittedStateWins() {
        Membership fleet = new Membership(List.of(file("a"), file("b"), file("c", Permission.ADD)), RULES);
        fleet.serversReported(0, List.of(server("x", State.READY, 1), server("y", State.READY, 2)), nowUs);
        fleet.serversReported(1, List.of(server("x", State.DRAINING, 1)), nowUs);
        fleet.serversReported(2, List.of(server("y", State.DRAINING, 2), server("z", State.GONE, 2)), nowUs);
        assertTrue(fleet.update(nowUs).get("x").draining(), "reported as draining with permission");
        assertFalse(fleet.update(nowUs).get("y").draining(), "reported as draining without permission");
        fleet.serversReported(1, List.of(server("x", State.GONE, 1)), nowUs);
        assertEquals(Set.of("y"), ids(fleet), "gone by a source that may remove, although others name it");
        fleet.serversReported(1, List.of(server("q", State.READY, 9)), nowUs);
        assertEquals(Set.of("q", "x", "y"), ids(fleet));
        Membership other = new Membership(List.of(file("only drains", Permission.DRAIN)), RULES);
        other.serversReported(0, List.of(server("x", State.READY, 1)), nowUs);
        assertEquals(Set.of(), ids(other), "a source without permission to add adds nothing");
    }

    /** One source drains a server and then drops it; another still names it for a while. */
    @Test
    void drainingServerStaysDrainingWhenDropped() {
        Membership fleet = new Membership(List.of(file("a"), dns(30 * SECOND_US)), RULES);
        fleet.serversReported(0, List.of(server(1), server(2)), nowUs);
        fleet.serversReported(1, servers(1, 3), nowUs);
        fleet.update(nowUs);
        fleet.serversReported(0, List.of(server(1), server("", State.DRAINING, 2)), nowUs);
        assertTrue(fleet.update(nowUs).get("127.0.0.1:2").draining());
        nowUs += SECOND_US;
        fleet.serversReported(0, List.of(server(1)), nowUs);
        assertTrue(fleet.update(nowUs).get("127.0.0.1:2").draining(), "it drains while the DNS source names it");
        fleet.serversReported(0, servers(1, 3), nowUs + 1);
        nowUs += 2;
        assertFalse(fleet.update(nowUs).get("127.0.0.1:2").draining(), "until its source reports it as ready");
    }

    /** Entries that share an address, by two ids or by IPv4 and IPv6, are one server and keep its id. */
    @Test
    void entriesThatShareAnAddressAreOneServer() throws Exception {
        Membership fleet = new Membership(List.of(file("a"), dns(30 * SECOND_US)), RULES);
        fleet.serversReported(0, List.of(server("web-1", State.READY, 1), server("web-2", State.READY, 2, 22)), nowUs);
        fleet.serversReported(1, List.of(server(1), server(22), server(3)), nowUs);
        assertEquals(Set.of("127.0.0.1:3", "web-1", "web-2"), ids(fleet));
        assertEquals(2, fleet.update(nowUs).get("web-2").address().getPort());
        fleet.serversReported(0, List.of(server("web-2", State.READY, 2, 22)), nowUs + 1);
        nowUs += 2;
        assertTrue(ids(fleet).contains("web-1"), "another source still names it, and its id stays");
        assertEquals(0, fleet.update(nowUs).get("web-1").sinceUs(), "it does not count as cold");
    }

    @Test
    void suppressesFlappingServerUntilItSettles() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        int timesComplete = 0;
        for (int i = 0; i < 40; i++) {
            fleet.serversReported(0, i % 2 == 0 ? servers(1, 4) : servers(1, 3), nowUs);
            timesComplete += ids(fleet).size() == 3 ? 1 : 0;
            nowUs += SECOND_US;
        }
        assertTrue(timesComplete <= 5, timesComplete + " times in the fleet");
        fleet.serversReported(0, servers(1, 4), nowUs);
        assertEquals(2, ids(fleet).size());
        assertEquals(1, fleet.flappingCount());
        long limitUs = nowUs + 300 * SECOND_US;
        while (nowUs < limitUs && ids(fleet).size() == 2) {
            nowUs = Math.max(nowUs + 1, Math.min(limitUs, fleet.nextUpdateUs(nowUs)));
        }
        assertEquals(3, ids(fleet).size(), "it returns once it has stayed");
        assertTrue(nowUs < limitUs, "within minutes");
    }

    @Test
    void onlyNewAndReturningServersAreCold() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, servers(1, 4), nowUs);
        assertTrue(fleet.update(nowUs).values().stream().allMatch(m -> m.sinceUs() == 0), "present at the start");
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(1, 5), nowUs);
        assertEquals(nowUs, fleet.update(nowUs).get("127.0.0.1:4").sinceUs());
        long joinedUs = nowUs;
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(1, 4), nowUs);
        fleet.update(nowUs);
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(1, 5), nowUs);
        assertEquals(0, fleet.update(nowUs).get("127.0.0.1:4").sinceUs(), "a short absence is no restart");
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(2, 5), nowUs);
        fleet.update(nowUs);
        nowUs += 20 * SECOND_US;
        fleet.serversReported(0, servers(1, 5), nowUs);
        assertEquals(
                nowUs,
                fleet.update(nowUs).get("127.0.0.1:1").sinceUs(),
                "twenty seconds of absence count as a restart");
        assertTrue(joinedUs < nowUs);
    }

    @Test
    void changedAddressCountsAsNewProcess() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, List.of(server("x", State.READY, 1)), nowUs);
        fleet.update(nowUs);
        nowUs += SECOND_US;
        fleet.serversReported(0, List.of(server("x", State.READY, 2)), nowUs);
        assertEquals(Set.of(2), ports(fleet));
        assertEquals(nowUs, fleet.update(nowUs).get("x").sinceUs());
    }

    @Test
    void boundsServersOfOneSource() {
        Membership fleet = new Membership(List.of(dns(30 * SECOND_US)), RULES);
        List<ReportedServer> many = new ArrayList<>();
        for (int i = 0; i < 30_000; i++) {
            many.add(ReportedServer.of(address(1 + i)));
        }
        fleet.serversReported(0, many, nowUs);
        assertEquals(SourceState.MAX_SERVERS, ids(fleet).size());
        fleet.serversReported(0, servers(1, 1_001), nowUs);
        assertEquals(SourceState.MAX_SERVERS, ids(fleet).size());
    }

    @Test
    void reloadKeepsServersOfRemainingSources() {
        Membership fleet = new Membership(List.of(file("a"), file("b")), RULES);
        fleet.serversReported(0, servers(1, 5), nowUs);
        fleet.serversReported(1, servers(3, 9), nowUs);
        assertEquals(8, ids(fleet).size());
        fleet.reload(List.of(file("b"), file("c")));
        nowUs += 1;
        assertEquals(6, ids(fleet).size(), "servers of b stay, those that only a named leave");
        fleet.serversReported(1, servers(1, 3), nowUs);
        assertEquals(8, ids(fleet).size());
    }
}
