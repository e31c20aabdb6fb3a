package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The current and the peak rate of answers. */
class ServedRateTest {
    private final ServedRate rate = new ServedRate();
    private long now = 1_000_000;

    private void recordAnswers(int count, long gapUs, double totalWeight) {
        for (int i = 0; i < count; i++) {
            now += gapUs;
            rate.recordAnswer(now, totalWeight);
        }
    }

    @Test
    void assumesALongGapWithoutAnswers() {
        assertEquals(1_000_000, rate.meanGapUs());
        assertEquals(10_000_000, rate.gapPerUnitUs(now, 10));
        rate.start(now);
        now += 60_000_000;
        assertTrue(rate.gapPerUnitUs(now, 10) > 10_000_000, "a minute without an answer makes it longer");
    }

    @Test
    void keepsThePeakWhenDemandFalls() {
        rate.start(now);
        recordAnswers(1_000, 10_000, 10);
        recordAnswers(100, 100_000, 10);
        assertTrue(rate.meanGapUs() > 90_000, "now: " + rate.meanGapUs());
        // Ten servers with 100 answers a second: each answers every 100 ms.
        assertEquals(100_000, rate.gapPerUnitUs(now, 10), 10_000);
    }

    @Test
    void decaysThePeakInTheEnd() {
        rate.start(now);
        recordAnswers(1_000, 10_000, 10);
        recordAnswers(20_000, 100_000, 10);
        assertEquals(1_000_000, rate.gapPerUnitUs(now, 10), 1_000);
    }

    @Test
    void ignoresBurstsOfDelayedAnswersForThePeak() {
        rate.start(now);
        for (int i = 0; i < 40; i++) {
            now += 500_000;
            recordAnswers(50, 0, 10);
        }
        assertEquals(100_000, rate.gapPerUnitUs(now + 500_000, 10), 30_000);
    }

    @Test
    void countsAnswersAgainstTheServersInUseAtTheirTime() {
        rate.start(now);
        recordAnswers(1_000, 10_000, 10);
        // Within a window four of five servers go: the remaining ones did not answer all of that.
        recordAnswers(150, 10_000, 10);
        recordAnswers(200, 50_000, 2);
        assertEquals(100_000, rate.gapPerUnitUs(now, 2), 10_000);
    }
}
