package vetchpost.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import vetchpost.decision.ServerStatistics;

/** Whose word on the health of boxes is taken. */
class SelfFaultDetectorTest {
    private static final long NOW = TestSnapshots.NOW_MS;
    private static final long HOUR_MS = 3_600_000;

    private static ServerStatistics ownStatistics(int ready, int ejected, boolean throttled) {
        return new ServerStatistics(List.of(), List.of(), ready, ejected, throttled);
    }

    @Test
    void detectsFaultsInOwnStatistics() {
        assertEquals(Set.of(), SelfFaultDetector.inOwnStatistics(ownStatistics(12, 5, false), 0, HOUR_MS));
        assertEquals(
                Set.of(SelfFault.MOST_SERVERS_FAILING),
                SelfFaultDetector.inOwnStatistics(ownStatistics(12, 6, false), 0, HOUR_MS));
        assertEquals(
                Set.of(SelfFault.THROTTLED), SelfFaultDetector.inOwnStatistics(ownStatistics(12, 0, true), 0, HOUR_MS));
        assertEquals(
                Set.of(SelfFault.STALLED),
                SelfFaultDetector.inOwnStatistics(ownStatistics(12, 0, false), 150_000, HOUR_MS));
        assertEquals(
                Set.of(SelfFault.JUST_STARTED),
                SelfFaultDetector.inOwnStatistics(ownStatistics(12, 0, false), 0, 5_000));
        assertEquals(Set.of(), SelfFaultDetector.inOwnStatistics(ownStatistics(0, 0, false), 0, HOUR_MS));
    }

    @Test
    void includesFaultsReportedByTheOrigin() {
        assertEquals(Set.of(), SelfFaultDetector.inSnapshot(TestSnapshots.of(12, 3, NOW), NOW));
        assertEquals(
                Set.of(SelfFault.STALLED),
                SelfFaultDetector.inSnapshot(
                        TestSnapshots.snapshot(NOW, TestSnapshots.of(12, 0, NOW).servers(), SelfFault.STALLED), NOW));
    }

    /** A giver just after a mass failure that finds nothing odd in it. */
    @Test
    void distrustsASnapshotWithHalfOfItsServersFailing() {
        assertEquals(Set.of(), SelfFaultDetector.inSnapshot(TestSnapshots.of(12, 5, NOW), NOW));
        assertEquals(
                Set.of(SelfFault.MOST_SERVERS_FAILING),
                SelfFaultDetector.inSnapshot(TestSnapshots.of(12, 6, NOW), NOW));
        assertEquals(
                Set.of(SelfFault.MOST_SERVERS_FAILING), SelfFaultDetector.inSnapshot(TestSnapshots.of(1, 1, NOW), NOW));
    }

    /** Boxes of which nothing is known are no evidence that most are well. */
    @Test
    void countsOnlyServersWithSamples() {
        List<ServerRecord> boxes = new ArrayList<>(TestSnapshots.of(4, 2, NOW).servers());
        for (int i = 4; i < 40; i++) {
            boxes.add(TestSnapshots.server(i, NOW, null));
        }
        assertEquals(
                Set.of(SelfFault.MOST_SERVERS_FAILING),
                SelfFaultDetector.inSnapshot(TestSnapshots.snapshot(NOW, boxes), NOW));
    }

    @Test
    void distrustsASnapshotFromTheFuture() {
        assertTrue(SelfFaultDetector.inSnapshot(TestSnapshots.of(12, 0, NOW + 60_000), NOW)
                .contains(SelfFault.FUTURE));
        assertEquals(
                Set.of(),
                SelfFaultDetector.inSnapshot(TestSnapshots.of(12, 0, NOW + 1_000), NOW),
                "clocks differ a little");
    }
}
