package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Draws go by the paper's weights, whatever has come, gone and changed before. */
class DrawIndexTest {
    private static final int DRAWS_EACH = 30;
    /** One in a thousand right indexes would fail; seeds are fixed. */
    private static final double QUANTILE = 3.09;

    private static final class Item extends DrawIndex.Member {
        private final int number;

        Item(int number, double size, int errors) {
            this.number = number;
            this.size = size;
            this.errors = errors;
        }
    }

    private final SplittableRandom random = new SplittableRandom(11);
    private final DrawIndex<Item> index = new DrawIndex<>(0);
    private final List<Item> items = new ArrayList<>();

    private void fill(int count, double mostSize, int mostErrors) {
        for (int i = 0; i < count; i++) {
            double size = mostSize == 1 ? 1 : Math.pow(mostSize, random.nextDouble());
            // Few have errors, and of those most have few.
            int errors =
                    mostErrors == 0 || random.nextInt(4) > 0 ? 0 : (int) Math.pow(mostErrors + 1, random.nextDouble());
            Item item = new Item(i, size, errors);
            items.add(item);
            index.put(item);
        }
    }

    /** As the paper has it, summed over all: what the index must come to. */
    private double[] shares() {
        int most = items.stream().mapToInt(i -> i.errors).max().orElse(0);
        double effect = Math.floor(Math.pow(1.0 + most, 1.5));
        double[] shares = new double[items.size()];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            shares[i] = items.get(i).size * Math.ceil(effect / (1 + items.get(i).errors));
            sum += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            shares[i] /= sum;
        }
        return shares;
    }

    /** Pearson's chi-square; what is expected less than five times is taken together. */
    private static void assertDrawnBy(double[] shares, int[] drawn, int draws) {
        double square = 0;
        int cells = 0;
        double expectedRest = 0;
        int drawnRest = 0;
        for (int i = 0; i < shares.length; i++) {
            double expected = shares[i] * draws;
            if (expected < 5) {
                expectedRest += expected;
                drawnRest += drawn[i];
                continue;
            }
            square += (drawn[i] - expected) * (drawn[i] - expected) / expected;
            cells++;
        }
        if (expectedRest >= 5) {
            square += (drawnRest - expectedRest) * (drawnRest - expectedRest) / expectedRest;
            cells++;
        }
        // The limit by Wilson and Hilferty (1931).
        double k = cells - 1;
        double limit = k * Math.pow(1 - 2 / (9 * k) + QUANTILE * Math.sqrt(2 / (9 * k)), 3);
        assertTrue(square < limit, "chi-square " + square + " of " + cells + " cells, limit " + limit);
    }

    private void assertDrawnByWeight() {
        int draws = Math.max(20_000, DRAWS_EACH * items.size());
        int[] drawn = new int[items.size()];
        int[] looked = new int[items.size()];
        boolean all = items.size() <= 1_000;
        for (int i = 0; i < draws; i++) {
            drawn[index.draw(random, index.weightScale()).number]++;
            if (all) {
                looked[index.drawAmong(1_000, random, index.weightScale(), m -> true).number]++;
            }
        }
        assertDrawnBy(shares(), drawn, draws);
        if (all) {
            assertDrawnBy(shares(), looked, draws);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "12, 1, 0",
        "12, 1, 3",
        "12, 8, 3",
        "1000, 1, 0",
        "1000, 1, 40",
        "1000, 1000, 40",
        "10000, 1, 0",
        "10000, 1, 40",
        "10000, 30, 200"
    })
    void drawsGoByWeight(int count, double mostSize, int mostErrors) {
        fill(count, mostSize, mostErrors);
        assertDrawnByWeight();
    }

    @Test
    void whatHasChangedIsDrawnByWhatItIsNow() {
        fill(300, 20, 20);
        for (int i = 0; i < 20_000; i++) {
            Item item = items.get(random.nextInt(items.size()));
            switch (random.nextInt(4)) {
                case 0 -> index.remove(item);
                case 1 -> item.errors = random.nextInt(3) * random.nextInt(6);
                case 2 -> item.size = 1 + 30 * random.nextDouble();
                default -> item.errors = 0;
            }
            index.put(item);
        }
        assertEquals(300, index.size());
        assertDrawnByWeight();
    }

    /** The largest effect jumps to that of a million and back; nothing overflows, nobody is left out. */
    @Test
    void oneWithAMillionErrorsBesideCleanOnes() {
        fill(12, 1, 0);
        Item bad = items.get(4);
        bad.errors = 1_000_000;
        index.put(bad);
        assertEquals(Math.floor(Math.pow(1_000_001.0, 1.5)), index.weightScale());
        for (int i = 0; i < 10_000; i++) {
            assertTrue(index.draw(random, index.weightScale()) != bad, "a share of one in eleven million");
        }
        for (Item item : items) {
            item.errors = 1_000_000;
            index.put(item);
        }
        assertDrawnByWeight();
        bad.errors = Integer.MAX_VALUE;
        index.put(bad);
        assertTrue(Double.isFinite(index.weightScale()));
        assertNotNull(index.draw(random, index.weightScale()));
        for (Item item : items) {
            item.errors = 0;
            index.put(item);
        }
        assertEquals(1, index.weightScale());
        assertDrawnByWeight();
    }

    @Test
    void itEmptiesAndFillsAgain() {
        assertNull(index.draw(random, index.weightScale()));
        fill(50, 5, 30);
        for (Item item : items) {
            index.remove(item);
            index.remove(item);
        }
        assertNull(index.draw(random, index.weightScale()));
        assertNull(index.drawAmong(10, random, 1, m -> true));
        assertEquals(0, index.size());
        index.put(items.get(7));
        assertSame(items.get(7), index.draw(random, index.weightScale()));
        items.forEach(index::put);
        assertDrawnByWeight();
    }

    @Test
    void manyAreLookedThroughInPart() {
        fill(1_000, 1, 5);
        int[] looks = new int[1];
        for (int i = 0; i < 100; i++) {
            looks[0] = 0;
            assertNull(index.drawAmong(64, random, index.weightScale(), m -> {
                looks[0]++;
                return false;
            }));
            assertEquals(64, looks[0]);
        }
        // From anywhere: whoever fits is found before long.
        int tries = 0;
        while (index.drawAmong(64, random, index.weightScale(), m -> m.number == 777) == null) {
            assertTrue(++tries < 1_000);
        }
        for (Item item : items) {
            assertSame(item, index.drawAmong(1_000, random, 1, m -> m == item));
        }
    }

    @Test
    void aRosterKeepsItsOrderButForWhoLeaves() {
        IndexedSet<Server> roster = new IndexedSet<>(0);
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            servers.add(new Server("s" + i, i, 1, 1));
            roster.add(servers.get(i));
            roster.add(servers.get(i));
        }
        roster.remove(servers.get(1));
        roster.remove(servers.get(1));
        assertEquals(4, roster.size());
        assertEquals(-1, roster.indexOf(servers.get(1)));
        List<String> left = new ArrayList<>();
        for (int i = 0; i < roster.size(); i++) {
            assertEquals(i, roster.indexOf(roster.get(i)));
            left.add(roster.get(i).id);
        }
        assertEquals(List.of("s0", "s4", "s2", "s3"), left);
    }
}
