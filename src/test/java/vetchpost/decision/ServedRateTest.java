package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ServedRateTest {
    private final ServedRate rate = new ServedRate();
    private long now = 1_000_000;

    private void answers(int count, long gapUs, double fleetSize) {
        for (int i = 0; i < count; i++) {
            now += gapUs;
            rate.recordAnswer(now, fleetSize);
        }
    }

    @Test
    void withoutAnswersNothingIsPromised() {
        assertEquals(1_000_000, rate.meanGapUs());
        assertEquals(10_000_000, rate.gapPerUnitUs(now, 10));
        rate.start(now);
        now += 60_000_000;
        assertTrue(rate.gapPerUnitUs(now, 10) > 10_000_000, "a minute without an answer makes it longer");
    }

    @Test
    void theBestStaysWhenLessIsAsked() {
        rate.start(now);
        answers(1_000, 10_000, 10);
        answers(100, 100_000, 10);
        assertTrue(rate.meanGapUs() > 90_000, "now: " + rate.meanGapUs());
        // Ten servers, 100 answers a second: each has one in 100 ms.
        assertEquals(100_000, rate.gapPerUnitUs(now, 10), 10_000);
    }

    @Test
    void theBestIsForgottenInTheEnd() {
        rate.start(now);
        answers(1_000, 10_000, 10);
        answers(20_000, 100_000, 10);
        assertEquals(1_000_000, rate.gapPerUnitUs(now, 10), 1_000);
    }

    @Test
    void answersThatAStallHeldBackMakeNoBest() {
        rate.start(now);
        for (int i = 0; i < 40; i++) {
            now += 500_000;
            answers(50, 0, 10);
        }
        assertEquals(100_000, rate.gapPerUnitUs(now + 500_000, 10), 30_000);
    }

    @Test
    void answersOfServersThatHaveGoneCountAsTheirs() {
        rate.start(now);
        answers(1_000, 10_000, 10);
        // In the midst of a span four of five servers go: what is left did not do all that by itself.
        answers(150, 10_000, 10);
        answers(200, 50_000, 2);
        assertEquals(100_000, rate.gapPerUnitUs(now, 2), 10_000);
    }
}
