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
class SourceMergerTest {
    private static final long SECOND_US = 1_000_000;
    private static final long UNIX_MS = 1_700_000_000_000L;
    private static final CheckRules CHECKS =
            new CheckRules("", "", 200, 399, 5 * SECOND_US, SECOND_US, 2, 3, 100, 3, 1, 0, 0.5);
    private long nowUs = SECOND_US;
    private final Membership fleet = new Membership(
            List.of(new SourceDeclaration(
                    "a",
                    Kind.FILE,
                    "a",
                    0,
                    EnumSet.allOf(Permission.class),
                    SECOND_US,
                    0,
                    600 * SECOND_US,
                    List.of(),
                    List.of())),
            new MergeRules(0.5, 10 * SECOND_US, 4, 60 * SECOND_US, 5 * SECOND_US));
    private final CheckPlan checks = new CheckPlan(CHECKS, 1, nowUs);
    private final SourceMerger merger = new SourceMerger(fleet, checks, 20 * SECOND_US, UNIX_MS, nowUs);
    private final Map<String, ServerList.Target> nodeTargets = new HashMap<>();

    private void report(int... ports) {
        List<ReportedServer> servers = new ArrayList<>();
        for (int port : ports) {
            servers.add(ReportedServer.of(new InetSocketAddress("127.0.0.1", port)));
        }
        fleet.serversReported(0, servers, nowUs);
    }

    /** What is told, as the node would know it. */
    private int pollChanges() {
        List<ServerList.Target> changes = merger.pollChanges(nowUs);
        for (ServerList.Target change : changes) {
            nodeTargets.put(change.id(), change);
        }
        return changes.size();
    }

    private ServerState state(int port) {
        return nodeTargets.get("127.0.0.1:" + port).state();
    }

    private long bootMs(int port) {
        return nodeTargets.get("127.0.0.1:" + port).bootMs();
    }

    private void check(int port, Finding finding, int times) {
        for (int i = 0; i < times; i++) {
            List<String> due = List.of();
            for (int wait = 0; wait < 1_000 && !due.contains("127.0.0.1:" + port); wait++) {
                nowUs += 20_000;
                due = checks.dueChecks(nowUs, 32);
                due.forEach(
                        id -> checks.checkCompleted(id, id.endsWith(":" + port) ? finding : Finding.HEALTHY, nowUs));
            }
        }
    }

    /** An operator's words, as they are at the moment. */
    private static final class TestOverrides implements ServerOverrides {
        private String drainedId = "";
        private boolean isFrozen;

        @Override
        public boolean isDraining(String id) {
            return id.equals(drainedId);
        }

        @Override
        public double weight(String id, double said) {
            return id.endsWith(":2") ? said / 4 : said;
        }

        @Override
        public boolean isListFrozen() {
            return isFrozen;
        }
    }

    @Test
    void overridesApplyOnTopOfSources() {
        TestOverrides words = new TestOverrides();
        merger.setOverrides(words);
        report(1, 2, 3);
        pollChanges();
        assertEquals(0.25, nodeTargets.get("127.0.0.1:2").weight());
        words.drainedId = "127.0.0.1:3";
        assertEquals(1, pollChanges());
        assertEquals(ServerState.DRAINING, state(3));
        assertEquals(
                false, merger.members().stream().anyMatch(Membership.Member::draining), "sources know nothing of it");
        words.drainedId = "";
        pollChanges();
        assertEquals(ServerState.READY, state(3));
    }

    @Test
    void frozenListKeepsItsServersButAppliesDrains() {
        TestOverrides words = new TestOverrides();
        merger.setOverrides(words);
        report(1, 2, 3);
        pollChanges();
        words.isFrozen = true;
        nowUs += SECOND_US;
        report(1, 4);
        pollChanges();
        assertEquals(0, pollChanges());
        assertEquals(ServerState.READY, state(3));
        assertEquals(false, nodeTargets.containsKey("127.0.0.1:4"));
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
                nowUs);
        pollChanges();
        assertEquals(ServerState.DRAINING, state(2));
        assertEquals(ServerState.DRAINING, state(3), "it has gone, and nothing is sent to what has gone");
        words.isFrozen = false;
        report(1, 4);
        pollChanges();
        assertEquals(ServerState.GONE, state(3));
        assertEquals(ServerState.READY, state(4));
    }

    @Test
    void reportsOnlyChanges() {
        report(1, 2, 3);
        assertEquals(3, pollChanges());
        assertEquals(0, pollChanges());
        nowUs += SECOND_US;
        report(1, 2);
        assertEquals(1, pollChanges());
        assertEquals(ServerState.GONE, state(3));
        assertEquals(0, pollChanges());
    }

    @Test
    void ejectedServerReturnsWithSlowStart() {
        report(1, 2, 3, 4);
        pollChanges();
        check(2, Finding.UNHEALTHY, 3);
        assertEquals(1, pollChanges());
        assertEquals(ServerState.DRAINING, state(2));
        check(2, Finding.HEALTHY, 2);
        assertEquals(1, pollChanges());
        assertEquals(ServerState.READY, state(2));
        assertEquals(UNIX_MS + (nowUs - SECOND_US) / 1_000, bootMs(2), "it is spared at first");
        assertEquals(0, bootMs(1));
    }

    @Test
    void selfReportedDrainLastsForItsLease() {
        report(1, 2, 3);
        pollChanges();
        merger.reportDraining("127.0.0.1:1", nowUs);
        merger.reportDraining("127.0.0.1:9", nowUs);
        pollChanges();
        assertEquals(ServerState.DRAINING, state(1));
        nowUs += SourceMerger.SELF_DRAIN_LEASE_US - 1;
        assertEquals(0, pollChanges());
        assertEquals(nowUs + 1, merger.nextUpdateUs(nowUs));
        nowUs += 1;
        pollChanges();
        assertEquals(ServerState.READY, state(1));
        assertTrue(bootMs(1) > 0);
    }

    @Test
    void noSlowStartWhenMostServersAreNew() {
        report(1, 2, 3, 4);
        pollChanges();
        nowUs += SECOND_US;
        report(11, 12, 13, 14);
        pollChanges();
        nowUs += 11 * SECOND_US;
        pollChanges();
        assertEquals(4, merger.fullList().targets().size());
        long cold =
                merger.fullList().targets().stream().filter(t -> t.bootMs() > 0).count();
        assertTrue(cold <= 3, "half of the six that there were for a while");
        nowUs += SECOND_US;
        report(21, 22, 23, 24);
        pollChanges();
        nowUs += 11 * SECOND_US;
        pollChanges();
        cold = merger.fullList().targets().stream().filter(t -> t.bootMs() > 0).count();
        assertTrue(cold <= 4);
        nowUs += 100 * SECOND_US;
        report(21, 22, 23, 24, 25);
        pollChanges();
        assertTrue(bootMs(25) > 0, "one that is new among others is");
    }
}
