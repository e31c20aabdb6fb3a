package vetchpost.sources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import vetchpost.core.ServerList;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.sources.CheckPlan.Finding;
import vetchpost.sources.SourceDeclaration.Kind;
import vetchpost.sources.SourceDeclaration.Permission;

/** What a node is told: of sources, checks and servers' own words the most careful, and nothing twice. */
class ComposerTest {
    private static final long S = 1_000_000;
    private static final long UNIX_MS = 1_700_000_000_000L;
    private static final CheckRules CHECKS = new CheckRules("", "", 200, 399, 5 * S, S, 2, 3, 100, 3, 1, 0, 0.5);
    private long now = S;
    private final Membership fleet = new Membership(
            List.of(new SourceDeclaration(
                    "a", Kind.FILE, "a", 0, EnumSet.allOf(Permission.class), S, 0, 600 * S, List.of(), List.of())),
            new MergeRules(0.5, 10 * S, 4, 60 * S, 5 * S));
    private final CheckPlan checks = new CheckPlan(CHECKS, 1, now);
    private final SourceMerger composer = new SourceMerger(fleet, checks, 20 * S, UNIX_MS, now);
    private final Map<String, ServerList.Target> node = new HashMap<>();

    private void said(int... ports) {
        List<ReportedServer> servers = new ArrayList<>();
        for (int port : ports) {
            servers.add(ReportedServer.of(new InetSocketAddress("127.0.0.1", port)));
        }
        fleet.serversReported(0, servers, now);
    }

    /** What is told, as the node would know it. */
    private int tell() {
        List<ServerList.Target> changes = composer.pollChanges(now);
        for (ServerList.Target change : changes) {
            node.put(change.id(), change);
        }
        return changes.size();
    }

    private ServerState state(int port) {
        return node.get("127.0.0.1:" + port).state();
    }

    private long boot(int port) {
        return node.get("127.0.0.1:" + port).bootMs();
    }

    private void check(int port, Finding finding, int times) {
        for (int i = 0; i < times; i++) {
            List<String> due = List.of();
            for (int wait = 0; wait < 1_000 && !due.contains("127.0.0.1:" + port); wait++) {
                now += 20_000;
                due = checks.dueChecks(now, 32);
                due.forEach(id -> checks.checkCompleted(id, id.endsWith(":" + port) ? finding : Finding.HEALTHY, now));
            }
        }
    }

    /** An operator's words, as they are at the moment. */
    private static final class Words implements ServerOverrides {
        private String drained = "";
        private boolean held;

        @Override
        public boolean isDraining(String id) {
            return id.equals(drained);
        }

        @Override
        public double weight(String id, double said) {
            return id.endsWith(":2") ? said / 4 : said;
        }

        @Override
        public boolean isListFrozen() {
            return held;
        }
    }

    @Test
    void anOperatorsWordHoldsWhileItStandsAndWhatSourcesSayGoesOnBelowIt() {
        Words words = new Words();
        composer.setOverrides(words);
        said(1, 2, 3);
        tell();
        assertEquals(0.25, node.get("127.0.0.1:2").weight());
        words.drained = "127.0.0.1:3";
        assertEquals(1, tell());
        assertEquals(ServerState.DRAINING, state(3));
        assertEquals(
                false, composer.members().stream().anyMatch(Membership.Member::draining), "sources know nothing of it");
        words.drained = "";
        tell();
        assertEquals(ServerState.READY, state(3));
    }

    @Test
    void aListThatIsHeldLosesNobodyAndTakesInNobodyButADrainCounts() {
        Words words = new Words();
        composer.setOverrides(words);
        said(1, 2, 3);
        tell();
        words.held = true;
        now += S;
        said(1, 4);
        tell();
        assertEquals(0, tell());
        assertEquals(ServerState.READY, state(3));
        assertEquals(false, node.containsKey("127.0.0.1:4"));
        fleet.serversReported(
                0,
                List.of(
                        ReportedServer.of(new InetSocketAddress("127.0.0.1", 1)),
                        new ReportedServer(
                                "",
                                List.of(new InetSocketAddress("127.0.0.1", 2)),
                                ReportedServer.State.DRAINING,
                                1,
                                ""),
                        new ReportedServer(
                                "", List.of(new InetSocketAddress("127.0.0.1", 3)), ReportedServer.State.GONE, 1, "")),
                now);
        tell();
        assertEquals(ServerState.DRAINING, state(2));
        assertEquals(ServerState.DRAINING, state(3), "it has gone, and nothing is sent to what has gone");
        words.held = false;
        said(1, 4);
        tell();
        assertEquals(ServerState.GONE, state(3));
        assertEquals(ServerState.READY, state(4));
    }

    @Test
    void onlyWhatHasChangedIsTold() {
        said(1, 2, 3);
        assertEquals(3, tell());
        assertEquals(0, tell());
        now += S;
        said(1, 2);
        assertEquals(1, tell());
        assertEquals(ServerState.GONE, state(3));
        assertEquals(0, tell());
    }

    @Test
    void whoFailsItsChecksIsOutAndBackCold() {
        said(1, 2, 3, 4);
        tell();
        check(2, Finding.UNHEALTHY, 3);
        assertEquals(1, tell());
        assertEquals(ServerState.DRAINING, state(2));
        check(2, Finding.HEALTHY, 2);
        assertEquals(1, tell());
        assertEquals(ServerState.READY, state(2));
        assertEquals(UNIX_MS + (now - S) / 1_000, boot(2), "it is spared at first");
        assertEquals(0, boot(1));
    }

    @Test
    void aServersOwnWordHoldsForItsLease() {
        said(1, 2, 3);
        tell();
        composer.reportDraining("127.0.0.1:1", now);
        composer.reportDraining("127.0.0.1:9", now);
        tell();
        assertEquals(ServerState.DRAINING, state(1));
        now += SourceMerger.LEASE_US - 1;
        assertEquals(0, tell());
        assertEquals(now + 1, composer.nextUs(now));
        now += 1;
        tell();
        assertEquals(ServerState.READY, state(1));
        assertTrue(boot(1) > 0);
    }

    @Test
    void whereMostAreNewAtOnceNobodyIsSpared() {
        said(1, 2, 3, 4);
        tell();
        now += S;
        said(11, 12, 13, 14);
        tell();
        now += 11 * S;
        tell();
        assertEquals(4, composer.fullList().targets().size());
        long cold = composer.fullList().targets().stream()
                .filter(t -> t.bootMs() > 0)
                .count();
        assertTrue(cold <= 3, "half of the six that there were for a while");
        now += S;
        said(21, 22, 23, 24);
        tell();
        now += 11 * S;
        tell();
        cold = composer.fullList().targets().stream()
                .filter(t -> t.bootMs() > 0)
                .count();
        assertTrue(cold <= 4);
        now += 100 * S;
        said(21, 22, 23, 24, 25);
        tell();
        assertTrue(boot(25) > 0, "one that is new among others is");
    }
}
