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

/** One fleet out of several sources' words. */
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

    private static ReportedServer server(String id, State word, int... ports) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int port : ports) {
            addresses.add(address(port));
        }
        return new ReportedServer(id, addresses, word, 1, "");
    }

    private static SourceDeclaration file(String name, Permission... may) {
        return new SourceDeclaration(
                name,
                Kind.FILE,
                name,
                0,
                may.length == 0 ? EnumSet.allOf(Permission.class) : Set.of(may),
                SECOND_US,
                0,
                600 * SECOND_US,
                List.of(),
                List.of());
    }

    private static SourceDeclaration dns(long keepUs) {
        return new SourceDeclaration(
                "dns",
                Kind.DNS,
                "web",
                80,
                EnumSet.allOf(Permission.class),
                5 * SECOND_US,
                keepUs,
                600 * SECOND_US,
                List.of(),
                List.of());
    }

    private static List<ReportedServer> servers(int from, int to) {
        List<ReportedServer> all = new ArrayList<>();
        for (int port = from; port < to; port++) {
            all.add(server(port));
        }
        return all;
    }

    private Set<String> ids(Membership fleet) {
        return new TreeSet<>(fleet.update(nowUs).keySet());
    }

    private Set<Integer> ports(Membership fleet) {
        Set<Integer> ports = new TreeSet<>();
        fleet.update(nowUs).values().forEach(m -> ports.add(m.address().getPort()));
        return ports;
    }

    /** A name that gives half of its servers in turn (round robin) must not have them come and go. */
    @Test
    void keepsServersOfAlternatingPartialAnswers() {
        Membership fleet = new Membership(List.of(dns(30 * SECOND_US)), RULES);
        Set<String> first = null;
        for (int i = 0; i < 100; i++) {
            fleet.serversReported(0, i % 2 == 0 ? servers(1, 11) : servers(11, 21), nowUs);
            Set<String> is = ids(fleet);
            if (i == 1) {
                first = is;
                assertEquals(20, first.size());
            } else if (i > 1) {
                assertEquals(first, is);
            }
            nowUs += 5 * SECOND_US;
        }
        fleet.serversReported(0, servers(1, 11), nowUs);
        nowUs += 26 * SECOND_US;
        fleet.serversReported(0, servers(1, 11), nowUs);
        assertEquals(10, ids(fleet).size(), "whom no answer has named for the stated time has gone");
    }

    @Test
    void emptyOrFailedSourceKeepsServersUntilStale() {
        for (boolean silent : new boolean[] {true, false}) {
            Membership fleet = new Membership(List.of(file("a")), RULES);
            fleet.serversReported(0, servers(1, 6), nowUs);
            assertEquals(5, ids(fleet).size());
            for (int i = 0; i < 60; i++) {
                nowUs += SECOND_US;
                if (silent) {
                    fleet.sourceFailed(0, "NXDOMAIN", nowUs);
                } else {
                    fleet.serversReported(0, List.of(), nowUs);
                }
                assertEquals(5, ids(fleet).size(), "after " + i + " s");
            }
            assertFalse(fleet.failure(0).isEmpty());
            fleet.serversReported(0, servers(1, 5), nowUs);
            nowUs += 1;
            assertEquals(4, ids(fleet).size(), "its next word counts at once");
            fleet.sourceFailed(0, "it can't be read", nowUs);
            nowUs += 600 * SECOND_US + 1;
            ids(fleet);
            nowUs += 10 * SECOND_US + 1;
            assertEquals(0, ids(fleet).size(), "but not for ever: an address may be another's by then");
        }
    }

    /** More than a share of the fleet goes only once it has been left out for a while. */
    @Test
    void limitsImmediateRemovalsUntilConfirmed() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, servers(1, 21), nowUs);
        ids(fleet);
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(1, 3), nowUs);
        assertEquals(10, ids(fleet).size(), "half of them at once");
        assertEquals(8, fleet.pendingRemovalCount());
        nowUs += 9 * SECOND_US;
        assertEquals(10, ids(fleet).size());
        fleet.serversReported(0, servers(1, 21), nowUs);
        assertEquals(20, ids(fleet).size(), "it was a slip");
        nowUs += 30 * SECOND_US;
        fleet.serversReported(0, servers(1, 3), nowUs);
        ids(fleet);
        assertTrue(fleet.nextUpdateUs(nowUs) <= nowUs + 10 * SECOND_US, "it asks to be looked at again");
        nowUs += 10 * SECOND_US;
        assertEquals(2, ids(fleet).size(), "it was meant");
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
        assertEquals(50, ids(fleet).size(), "half in all within the stated time, not half each second");
    }

    @Test
    void mostRestrictivePermittedStateWins() {
        Membership fleet = new Membership(List.of(file("a"), file("b"), file("c", Permission.ADD)), RULES);
        fleet.serversReported(0, List.of(server("x", State.READY, 1), server("y", State.READY, 2)), nowUs);
        fleet.serversReported(1, List.of(server("x", State.DRAINING, 1)), nowUs);
        fleet.serversReported(2, List.of(server("y", State.DRAINING, 2), server("z", State.GONE, 2)), nowUs);
        assertTrue(fleet.update(nowUs).get("x").draining(), "one says that it drains, and may");
        assertFalse(fleet.update(nowUs).get("y").draining(), "another says so, and may not");
        fleet.serversReported(1, List.of(server("x", State.GONE, 1)), nowUs);
        assertEquals(Set.of("y"), ids(fleet), "gone, by one that may remove, whoever else names it");
        fleet.serversReported(1, List.of(server("q", State.READY, 9)), nowUs);
        assertEquals(Set.of("q", "x", "y"), ids(fleet));
        Membership other = new Membership(List.of(file("only drains", Permission.DRAIN)), RULES);
        other.serversReported(0, List.of(server("x", State.READY, 1)), nowUs);
        assertEquals(Set.of(), ids(other), "who may not add brings nobody in");
    }

    /** One drains a server and then leaves it out, as it has gone; another names it a while longer. */
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
        assertTrue(fleet.update(nowUs).get("127.0.0.1:2").draining(), "the word stands while the name names it");
        fleet.serversReported(0, servers(1, 3), nowUs + 1);
        nowUs += 2;
        assertFalse(fleet.update(nowUs).get("127.0.0.1:2").draining(), "until its source takes it back");
    }

    /** By two names, by v4 and v6: whoever shares an address is one server, and keeps its name. */
    @Test
    void entriesThatShareAnAddressAreOneServer() throws Exception {
        Membership fleet = new Membership(List.of(file("a"), dns(30 * SECOND_US)), RULES);
        fleet.serversReported(0, List.of(server("web-1", State.READY, 1), server("web-2", State.READY, 2, 22)), nowUs);
        fleet.serversReported(1, List.of(server(1), server(22), server(3)), nowUs);
        assertEquals(Set.of("127.0.0.1:3", "web-1", "web-2"), ids(fleet));
        assertEquals(2, fleet.update(nowUs).get("web-2").address().getPort());
        fleet.serversReported(0, List.of(server("web-2", State.READY, 2, 22)), nowUs + 1);
        nowUs += 2;
        assertTrue(ids(fleet).contains("web-1"), "another source names it still, and its name stays");
        assertEquals(0, fleet.update(nowUs).get("web-1").sinceUs(), "so it is not taken for a cold one");
    }

    @Test
    void suppressesFlappingServerUntilItSettles() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        int in = 0;
        for (int i = 0; i < 40; i++) {
            fleet.serversReported(0, i % 2 == 0 ? servers(1, 4) : servers(1, 3), nowUs);
            in += ids(fleet).size() == 3 ? 1 : 0;
            nowUs += SECOND_US;
        }
        assertTrue(in <= 5, in + " times in the fleet");
        fleet.serversReported(0, servers(1, 4), nowUs);
        assertEquals(2, ids(fleet).size());
        assertEquals(1, fleet.flappingCount());
        long until = nowUs + 300 * SECOND_US;
        while (nowUs < until && ids(fleet).size() == 2) {
            nowUs = Math.max(nowUs + 1, Math.min(until, fleet.nextUpdateUs(nowUs)));
        }
        assertEquals(3, ids(fleet).size(), "and comes back once it has stayed");
        assertTrue(nowUs < until, "within minutes");
    }

    @Test
    void onlyNewAndReturningServersAreCold() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, servers(1, 4), nowUs);
        assertTrue(fleet.update(nowUs).values().stream().allMatch(m -> m.sinceUs() == 0), "there at the start");
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(1, 5), nowUs);
        assertEquals(nowUs, fleet.update(nowUs).get("127.0.0.1:4").sinceUs());
        long then = nowUs;
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(1, 4), nowUs);
        fleet.update(nowUs);
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(1, 5), nowUs);
        assertEquals(0, fleet.update(nowUs).get("127.0.0.1:4").sinceUs(), "a moment's absence is no restart");
        nowUs += SECOND_US;
        fleet.serversReported(0, servers(2, 5), nowUs);
        fleet.update(nowUs);
        nowUs += 20 * SECOND_US;
        fleet.serversReported(0, servers(1, 5), nowUs);
        assertEquals(nowUs, fleet.update(nowUs).get("127.0.0.1:1").sinceUs(), "but twenty seconds are");
        assertTrue(then < nowUs);
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
        assertEquals(6, ids(fleet).size(), "what b said holds, what only a said goes");
        fleet.serversReported(1, servers(1, 3), nowUs);
        assertEquals(8, ids(fleet).size());
    }
}
