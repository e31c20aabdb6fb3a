package vetchpost.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import vetchpost.decision.ServerStatistics;

/** Whose word on the health of boxes is taken. */
class DoubtTest {
    private static final long NOW = States.NOW_MS;
    private static final long HOUR_MS = 3_600_000;

    private static ServerStatistics self(int ready, int ejected, boolean throttled) {
        return new ServerStatistics(List.of(), List.of(), ready, ejected, throttled);
    }

    @Test
    void aNodeSaysWhatIsWrongWithIt() {
        assertEquals(Set.of(), Doubt.ofSelf(self(12, 5, false), 0, HOUR_MS));
        assertEquals(Set.of(Trouble.MOST_ILL), Doubt.ofSelf(self(12, 6, false), 0, HOUR_MS));
        assertEquals(Set.of(Trouble.THROTTLED), Doubt.ofSelf(self(12, 0, true), 0, HOUR_MS));
        assertEquals(Set.of(Trouble.STALLED), Doubt.ofSelf(self(12, 0, false), 150_000, HOUR_MS));
        assertEquals(Set.of(Trouble.JUST_STARTED), Doubt.ofSelf(self(12, 0, false), 0, 5_000));
        assertEquals(Set.of(), Doubt.ofSelf(self(0, 0, false), 0, HOUR_MS));
    }

    @Test
    void whatItSaysIsHeard() {
        assertEquals(Set.of(), Doubt.of(States.of(12, 3, NOW), NOW));
        assertEquals(
                Set.of(Trouble.STALLED),
                Doubt.of(States.snapshot(NOW, States.of(12, 0, NOW).boxes(), Trouble.STALLED), NOW));
    }

    /** A giver just after a mass failure that finds nothing odd in it. */
    @Test
    void whatWouldLeaveTooFewIsNotBelievedWhateverItSays() {
        assertEquals(Set.of(), Doubt.of(States.of(12, 5, NOW), NOW));
        assertEquals(Set.of(Trouble.MOST_ILL), Doubt.of(States.of(12, 6, NOW), NOW));
        assertEquals(Set.of(Trouble.MOST_ILL), Doubt.of(States.of(1, 1, NOW), NOW));
    }

    /** Boxes of which nothing is known are no evidence that most are well. */
    @Test
    void onlyBoxesThatHaveAnsweredCount() {
        List<BoxState> boxes = new ArrayList<>(States.of(4, 2, NOW).boxes());
        for (int i = 4; i < 40; i++) {
            boxes.add(States.box(i, NOW, null));
        }
        assertEquals(Set.of(Trouble.MOST_ILL), Doubt.of(States.snapshot(NOW, boxes), NOW));
    }

    @Test
    void aSnapshotFromTheFutureIsNotBelieved() {
        assertTrue(Doubt.of(States.of(12, 0, NOW + 60_000), NOW).contains(Trouble.FUTURE));
        assertEquals(Set.of(), Doubt.of(States.of(12, 0, NOW + 1_000), NOW), "clocks differ a little");
    }
}
