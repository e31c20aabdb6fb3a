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

/** Draws follow the paper's weights, whatever members were added, removed and changed before. */
class DrawIndexTest {
    private static final int DRAWS_PER_ITEM = 30;
    /** Normal quantile at which one correct index in a thousand would fail; seeds are fixed. */
    private static final double CHI_SQUARE_QUANTILE = 3.09;

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

    private void fill(int count, double maxSize, int maxErrors) {
        for (int i = 0; i < count; i++) {
            double size = maxSize == 1 ? 1 : Math.pow(maxSize, random.nextDouble());
            // Few members have errors, and most of those have few.
            int errors =
                    maxErrors == 0 || random.nextInt(4) > 0 ? 0 : (int) Math.pow(maxErrors + 1, random.nextDouble());
            Item item = new Item(i, size, errors);
            items.add(item);
            index.put(item);
        }
    }

    /** Returns the members' probabilities by the paper's formula, summed over all members. */
    private double[] probabilities() {
        int max = items.stream().mapToInt(i -> i.errors).max().orElse(0);
        double weightScale = Math.floor(Math.pow(1.0 + max, 1.5));
        double[] probabilities = new double[items.size()];
        double sum = 0;
        for (int i = 0; i < probabilities.length; i++) {
            probabilities[i] = items.get(i).size * Math.ceil(weightScale / (1 + items.get(i).errors));
            sum += probabilities[i];
        }
        for (int i = 0; i < probabilities.length; i++) {
            probabilities[i] /= sum;
        }
        return probabilities;
    }

    /** Pearson's chi-square test; members expected less than five times are pooled. */
    private static void assertDrawnBy(double[] probabilities, int[] drawn, int draws) {
        double chiSquare = 0;
        int cells = 0;
        double pooledExpected = 0;
        int pooledDrawn = 0;
        for (int i = 0; i < probabilities.length; i++) {
            double expected = probabilities[i] * draws;
            if (expected < 5) {
                pooledExpected += expected;
                pooledDrawn += drawn[i];
                continue;
            }
            chiSquare += (drawn[i] - expected) * (drawn[i] - expected) / expected;
            cells++;
        }
        if (pooledExpected >= 5) {
            chiSquare += (pooledDrawn - pooledExpected) * (pooledDrawn - pooledExpected) / pooledExpected;
            cells++;
        }
        // The critical value by Wilson and Hilferty (1931).
        double degreesOfFreedom = cells - 1;
        double limit = degreesOfFreedom
                * Math.pow(
                        1 - 2 / (9 * degreesOfFreedom) + CHI_SQUARE_QUANTILE * Math.sqrt(2 / (9 * degreesOfFreedom)),
                        3);
        assertTrue(chiSquare < limit, "chi-square " + chiSquare + " of " + cells + " cells, limit " + limit);
    }

    private void assertDrawnByWeight() {
        int draws = Math.max(20_000, DRAWS_PER_ITEM * items.size());
        int[] drawn = new int[items.size()];
        int[] scanned = new int[items.size()];
        boolean all = items.size() <= 1_000;
        for (int i = 0; i < draws; i++) {
            drawn[index.draw(random, index.weightScale()).number]++;
            if (all) {
                scanned[index.drawAmong(1_000, random, index.weightScale(), m -> true).number]++;
            }
        }
        assertDrawnBy(probabilities(), drawn, draws);
        if (all) {
            assertDrawnBy(probabilities(), scanned, draws);
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
    void drawsByWeight(int count, double maxSize, int maxErrors) {
        fill(count, maxSize, maxErrors);
        assertDrawnByWeight();
    }

    @Test
    void drawsChangedMembersByTheirCurrentWeight() {
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

    /** The weight scale jumps to that of a million errors and back; nothing overflows and every member can be drawn. */
    @Test
    void drawsAMemberWithAMillionErrorsAlmostNever() {
        fill(12, 1, 0);
        Item bad = items.get(4);
        bad.errors = 1_000_000;
        index.put(bad);
        assertEquals(Math.floor(Math.pow(1_000_001.0, 1.5)), index.weightScale());
        for (int i = 0; i < 10_000; i++) {
            assertTrue(index.draw(random, index.weightScale()) != bad, "a probability of one in eleven million");
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
    void canBeEmptiedAndRefilled() {
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
    void scansAtMostTheGivenNumberOfMembers() {
        fill(1_000, 1, 5);
        int[] scannedCount = new int[1];
        for (int i = 0; i < 100; i++) {
            scannedCount[0] = 0;
            assertNull(index.drawAmong(64, random, index.weightScale(), m -> {
                scannedCount[0]++;
                return false;
            }));
            assertEquals(64, scannedCount[0]);
        }
        // Scans start at random positions, so that a matching member is found before long.
        int tries = 0;
        while (index.drawAmong(64, random, index.weightScale(), m -> m.number == 777) == null) {
            assertTrue(++tries < 1_000);
        }
        for (Item item : items) {
            assertSame(item, index.drawAmong(1_000, random, 1, m -> m == item));
        }
    }

    @Test
    void indexedSetKeepsItsOrderExceptForRemovals() {
        IndexedSet<Server> set = new IndexedSet<>(0);
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            servers.add(new Server("s" + i, i, 1, 1));
            set.add(servers.get(i));
            set.add(servers.get(i));
        }
        set.remove(servers.get(1));
        set.remove(servers.get(1));
        assertEquals(4, set.size());
        assertEquals(-1, set.indexOf(servers.get(1)));
        List<String> remaining = new ArrayList<>();
        for (int i = 0; i < set.size(); i++) {
            assertEquals(i, set.indexOf(set.get(i)));
            remaining.add(set.get(i).id);
        }
        assertEquals(List.of("s0", "s4", "s2", "s3"), remaining);
    }
}
