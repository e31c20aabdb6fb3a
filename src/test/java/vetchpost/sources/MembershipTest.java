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
    private static final long S = 1_000_000;
    private static final MergeRules RULES = new MergeRules(0.5, 10 * S, 4, 60 * S, 5 * S);
    private long now = 100 * S;

    private static InetSocketAddress at(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    private static ReportedServer server(int port) {
        return ReportedServer.of(at(port));
    }

    private static ReportedServer server(String id, State word, int... ports) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int port : ports) {
            addresses.add(at(port));
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
                S,
                0,
                600 * S,
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
                5 * S,
                keepUs,
                600 * S,
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
        return new TreeSet<>(fleet.settle(now).keySet());
    }

    private Set<Integer> ports(Membership fleet) {
        Set<Integer> ports = new TreeSet<>();
        fleet.settle(now).values().forEach(m -> ports.add(m.address().getPort()));
        return ports;
    }

    /** A name that gives half of its servers in turn (round robin) must not have them come and go. */
    @Test
    void halvesInTurnAreTheWhole() {
        Membership fleet = new Membership(List.of(dns(30 * S)), RULES);
        Set<String> first = null;
        for (int i = 0; i < 100; i++) {
            fleet.serversReported(0, i % 2 == 0 ? servers(1, 11) : servers(11, 21), now);
            Set<String> is = ids(fleet);
            if (i == 1) {
                first = is;
                assertEquals(20, first.size());
            } else if (i > 1) {
                assertEquals(first, is);
            }
            now += 5 * S;
        }
        fleet.serversReported(0, servers(1, 11), now);
        now += 26 * S;
        fleet.serversReported(0, servers(1, 11), now);
        assertEquals(10, ids(fleet).size(), "whom no answer has named for the stated time has gone");
    }

    @Test
    void aSourceThatEmptiesOrFallsSilentChangesNothingForTheStatedTime() {
        for (boolean silent : new boolean[] {true, false}) {
            Membership fleet = new Membership(List.of(file("a")), RULES);
            fleet.serversReported(0, servers(1, 6), now);
            assertEquals(5, ids(fleet).size());
            for (int i = 0; i < 60; i++) {
                now += S;
                if (silent) {
                    fleet.sourceFailed(0, "NXDOMAIN", now);
                } else {
                    fleet.serversReported(0, List.of(), now);
                }
                assertEquals(5, ids(fleet).size(), "after " + i + " s");
            }
            assertFalse(fleet.failure(0).isEmpty());
            fleet.serversReported(0, servers(1, 5), now);
            now += 1;
            assertEquals(4, ids(fleet).size(), "its next word counts at once");
            fleet.sourceFailed(0, "it can't be read", now);
            now += 600 * S + 1;
            ids(fleet);
            now += 10 * S + 1;
            assertEquals(0, ids(fleet).size(), "but not for ever: an address may be another's by then");
        }
    }

    /** More than a share of the fleet goes only once it has been left out for a while. */
    @Test
    void aListThatShrinksIsBelievedInParts() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, servers(1, 21), now);
        ids(fleet);
        now += S;
        fleet.serversReported(0, servers(1, 3), now);
        assertEquals(10, ids(fleet).size(), "half of them at once");
        assertEquals(8, fleet.dampedCount());
        now += 9 * S;
        assertEquals(10, ids(fleet).size());
        fleet.serversReported(0, servers(1, 21), now);
        assertEquals(20, ids(fleet).size(), "it was a slip");
        now += 30 * S;
        fleet.serversReported(0, servers(1, 3), now);
        ids(fleet);
        assertTrue(fleet.nextUs(now) <= now + 10 * S, "it asks to be looked at again");
        now += 10 * S;
        assertEquals(2, ids(fleet).size(), "it was meant");
    }

    @Test
    void slipsInARowDoNotEachTakeTheirShare() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, servers(1, 101), now);
        ids(fleet);
        for (int left = 50; left > 3; left /= 2) {
            now += S;
            fleet.serversReported(0, servers(1, left), now);
            ids(fleet);
        }
        assertEquals(50, ids(fleet).size(), "half in all within the stated time, not half each second");
    }

    @Test
    void theMoreCarefulWordHoldsOfThoseThatMaySayIt() {
        Membership fleet = new Membership(List.of(file("a"), file("b"), file("c", Permission.ADD)), RULES);
        fleet.serversReported(0, List.of(server("x", State.READY, 1), server("y", State.READY, 2)), now);
        fleet.serversReported(1, List.of(server("x", State.DRAINING, 1)), now);
        fleet.serversReported(2, List.of(server("y", State.DRAINING, 2), server("z", State.GONE, 2)), now);
        assertTrue(fleet.settle(now).get("x").draining(), "one says that it drains, and may");
        assertFalse(fleet.settle(now).get("y").draining(), "another says so, and may not");
        fleet.serversReported(1, List.of(server("x", State.GONE, 1)), now);
        assertEquals(Set.of("y"), ids(fleet), "gone, by one that may remove, whoever else names it");
        fleet.serversReported(1, List.of(server("q", State.READY, 9)), now);
        assertEquals(Set.of("q", "x", "y"), ids(fleet));
        Membership other = new Membership(List.of(file("only drains", Permission.DRAIN)), RULES);
        other.serversReported(0, List.of(server("x", State.READY, 1)), now);
        assertEquals(Set.of(), ids(other), "who may not add brings nobody in");
    }

    /** One drains a server and then leaves it out, as it has gone; another names it a while longer. */
    @Test
    void whoeverWasDrainedIsNotBackBecauseItIsLeftOut() {
        Membership fleet = new Membership(List.of(file("a"), dns(30 * S)), RULES);
        fleet.serversReported(0, List.of(server(1), server(2)), now);
        fleet.serversReported(1, servers(1, 3), now);
        fleet.settle(now);
        fleet.serversReported(0, List.of(server(1), server("", State.DRAINING, 2)), now);
        assertTrue(fleet.settle(now).get("127.0.0.1:2").draining());
        now += S;
        fleet.serversReported(0, List.of(server(1)), now);
        assertTrue(fleet.settle(now).get("127.0.0.1:2").draining(), "the word stands while the name names it");
        fleet.serversReported(0, servers(1, 3), now + 1);
        now += 2;
        assertFalse(fleet.settle(now).get("127.0.0.1:2").draining(), "until its source takes it back");
    }

    /** By two names, by v4 and v6: whoever shares an address is one server, and keeps its name. */
    @Test
    void entriesThatShareAnAddressAreOneServer() throws Exception {
        Membership fleet = new Membership(List.of(file("a"), dns(30 * S)), RULES);
        fleet.serversReported(0, List.of(server("web-1", State.READY, 1), server("web-2", State.READY, 2, 22)), now);
        fleet.serversReported(1, List.of(server(1), server(22), server(3)), now);
        assertEquals(Set.of("127.0.0.1:3", "web-1", "web-2"), ids(fleet));
        assertEquals(2, fleet.settle(now).get("web-2").address().getPort());
        fleet.serversReported(0, List.of(server("web-2", State.READY, 2, 22)), now + 1);
        now += 2;
        assertTrue(ids(fleet).contains("web-1"), "another source names it still, and its name stays");
        assertEquals(0, fleet.settle(now).get("web-1").sinceUs(), "so it is not taken for a cold one");
    }

    @Test
    void whoeverComesAndGoesIsHeldBackUntilItIsCalm() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        int in = 0;
        for (int i = 0; i < 40; i++) {
            fleet.serversReported(0, i % 2 == 0 ? servers(1, 4) : servers(1, 3), now);
            in += ids(fleet).size() == 3 ? 1 : 0;
            now += S;
        }
        assertTrue(in <= 5, in + " times in the fleet");
        fleet.serversReported(0, servers(1, 4), now);
        assertEquals(2, ids(fleet).size());
        assertEquals(1, fleet.flappingCount());
        long until = now + 300 * S;
        while (now < until && ids(fleet).size() == 2) {
            now = Math.max(now + 1, Math.min(until, fleet.nextUs(now)));
        }
        assertEquals(3, ids(fleet).size(), "and comes back once it has stayed");
        assertTrue(now < until, "within minutes");
    }

    @Test
    void whoIsNewOrBackIsColdAndWhoWasThereIsNot() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, servers(1, 4), now);
        assertTrue(fleet.settle(now).values().stream().allMatch(m -> m.sinceUs() == 0), "there at the start");
        now += S;
        fleet.serversReported(0, servers(1, 5), now);
        assertEquals(now, fleet.settle(now).get("127.0.0.1:4").sinceUs());
        long then = now;
        now += S;
        fleet.serversReported(0, servers(1, 4), now);
        fleet.settle(now);
        now += S;
        fleet.serversReported(0, servers(1, 5), now);
        assertEquals(0, fleet.settle(now).get("127.0.0.1:4").sinceUs(), "a moment's absence is no restart");
        now += S;
        fleet.serversReported(0, servers(2, 5), now);
        fleet.settle(now);
        now += 20 * S;
        fleet.serversReported(0, servers(1, 5), now);
        assertEquals(now, fleet.settle(now).get("127.0.0.1:1").sinceUs(), "but twenty seconds are");
        assertTrue(then < now);
    }

    @Test
    void anIdThatMovesIsAnotherProcess() {
        Membership fleet = new Membership(List.of(file("a")), RULES);
        fleet.serversReported(0, List.of(server("x", State.READY, 1)), now);
        fleet.settle(now);
        now += S;
        fleet.serversReported(0, List.of(server("x", State.READY, 2)), now);
        assertEquals(Set.of(2), ports(fleet));
        assertEquals(now, fleet.settle(now).get("x").sinceUs());
    }

    @Test
    void aNameOfTooManyServersIsCutAndSaidSo() {
        Membership fleet = new Membership(List.of(dns(30 * S)), RULES);
        List<ReportedServer> many = new ArrayList<>();
        for (int i = 0; i < 30_000; i++) {
            many.add(ReportedServer.of(at(1 + i)));
        }
        fleet.serversReported(0, many, now);
        assertEquals(SourceState.MOST, ids(fleet).size());
        fleet.serversReported(0, servers(1, 1_001), now);
        assertEquals(SourceState.MOST, ids(fleet).size());
    }

    @Test
    void otherSourcesTakeOverWithoutAGap() {
        Membership fleet = new Membership(List.of(file("a"), file("b")), RULES);
        fleet.serversReported(0, servers(1, 5), now);
        fleet.serversReported(1, servers(3, 9), now);
        assertEquals(8, ids(fleet).size());
        fleet.reload(List.of(file("b"), file("c")));
        now += 1;
        assertEquals(6, ids(fleet).size(), "what b said holds, what only a said goes");
        fleet.serversReported(1, servers(1, 3), now);
        assertEquals(8, ids(fleet).size());
    }
}
