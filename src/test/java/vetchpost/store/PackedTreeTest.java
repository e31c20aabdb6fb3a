package vetchpost.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.store.PackedTree.Item;
import vetchpost.store.PackedTree.Sum;

/** The tree against a sorted map, whatever is done to it. */
class PackedTreeTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private record ExpectedEntry(String value, long stamp) {}

    private static void assertSameEntries(TreeMap<String, ExpectedEntry> map, PackedTree tree) {
        assertEquals(map.size(), tree.size());
        List<Item> items = tree.range(null, null, Integer.MAX_VALUE);
        assertEquals(map.size(), items.size());
        int i = 0;
        long hash = 0;
        for (Map.Entry<String, ExpectedEntry> each : map.entrySet()) {
            Item item = items.get(i);
            assertEquals(each.getKey(), text(item.key()));
            assertEquals(each.getValue(), new ExpectedEntry(text(item.value()), item.stamp()));
            assertArrayEquals(item.key(), tree.at(i).key());
            assertEquals(each.getValue().value, text(tree.get(item.key()).value()));
            hash += PackedTree.hash(item);
            i++;
        }
        assertEquals(new Sum(map.size(), hash), tree.sum());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void treeEqualsASortedMap(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TreeMap<String, ExpectedEntry> map = new TreeMap<>();
        PackedTree tree = PackedTree.EMPTY;
        int keys = 20 << random.nextInt(8);
        for (int step = 1; step <= 6_000; step++) {
            String key = "k" + (random.nextInt(4) == 0 ? "" : "/deep/") + random.nextInt(keys);
            // Now it grows and now it shrinks to nothing.
            if (random.nextInt(10) < (step / 1_500 % 2 == 0 ? 8 : 2)) {
                String value = "v".repeat(random.nextInt(step % 500 == 0 ? 3_000 : 60));
                map.put(key, new ExpectedEntry(value, step));
                tree = tree.put(bytes(key), bytes(value), step);
            } else {
                PackedTree before = tree;
                tree = tree.remove(bytes(key));
                assertEquals(map.containsKey(key), before.contains(bytes(key)), key);
                assertEquals(map.remove(key) == null, tree == before, key);
            }
            if (step % 500 == 0) {
                assertSameEntries(map, tree);
                assertSameRanges(map, tree, random, keys);
            }
        }
    }

    private static void assertSameRanges(
            TreeMap<String, ExpectedEntry> map, PackedTree tree, SplittableRandom random, int keys) {
        for (int i = 0; i < 20; i++) {
            String from = "k/deep/" + random.nextInt(keys);
            String to = "k/deep/" + random.nextInt(keys);
            long over = random.nextInt(6_000);
            if (from.compareTo(to) < 0) {
                long[] sum = new long[2];
                map.subMap(from, to).forEach((k, v) -> {
                    sum[0]++;
                    sum[1] += PackedTree.hash(new Item(bytes(k), bytes(v.value), v.stamp));
                });
                assertEquals(new Sum(sum[0], sum[1]), tree.sum(bytes(from), bytes(to)));
                assertEquals(
                        Math.min(3, sum[0]),
                        tree.range(bytes(from), bytes(to), 3).size());
            }
            String next = map.tailMap(from).entrySet().stream()
                    .filter(e -> e.getValue().stamp > over)
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .orElse(null);
            Item found = tree.nextNewer(bytes(from), over);
            assertEquals(next, found == null ? null : text(found.key()));
            Item ceiling = tree.ceiling(bytes(from));
            assertEquals(map.ceilingKey(from), ceiling == null ? null : text(ceiling.key()));
        }
    }

    @Test
    void changeLeavesEarlierTreesUnchanged() {
        List<PackedTree> trees = new ArrayList<>(List.of(PackedTree.EMPTY));
        List<Sum> sums = new ArrayList<>(List.of(PackedTree.EMPTY.sum()));
        for (int i = 1; i < 2_000; i++) {
            PackedTree last = trees.get(i - 1);
            trees.add(i % 3 == 0 ? last.remove(bytes("k" + i / 3)) : last.put(bytes("k" + i), bytes("v" + i), i));
            sums.add(trees.get(i).sum());
        }
        for (int i = 0; i < trees.size(); i++) {
            assertEquals(sums.get(i), trees.get(i).sum());
        }
        assertNull(trees.get(0).get(bytes("k1")));
        assertSame(PackedTree.EMPTY, trees.get(1).remove(bytes("k1")));
    }

    /** However it came to be, and also where a stamp alone differs. */
    @Test
    void equalEntriesHaveEqualSumsAndOthersDiffer() {
        PackedTree up = PackedTree.EMPTY;
        PackedTree down = PackedTree.EMPTY;
        for (int i = 0; i < 500; i++) {
            up = up.put(bytes("k" + i), bytes("v"), 1);
            down = down.put(bytes("k" + (499 - i)), bytes("v"), 1);
        }
        assertEquals(up.sum(), down.sum());
        assertTrue(!up.put(bytes("k7"), bytes("v"), 2).sum().equals(up.sum()));
        assertTrue(!up.remove(bytes("k7")).sum().equals(up.sum()));
        assertEquals(
                up.sum(), up.put(bytes("x"), bytes(""), 9).remove(bytes("x")).sum());
    }

    @Test
    void entryOverheadIsSmall() {
        PackedTree tree = PackedTree.EMPTY;
        long own = 0;
        for (int i = 0; i < 50_000; i++) {
            String key = String.format("/s%04d/r%06d", i % 3_700, i);
            tree = tree.put(bytes(key), new byte[40], i);
            own += key.length() + 40;
        }
        double times = (double) tree.retainedBytes() / own;
        assertTrue(times < 1.8, times + " times its own bytes");
    }

    @Test
    void versionsOfALaterEpochAreGreater() {
        assertTrue(Version.of(2, 0) > Version.of(1, (1L << 40) - 1));
        assertEquals(3, Version.epoch(Version.of(3, 9)));
        assertEquals(9, Version.number(Version.of(3, 9)));
        assertThrows(IllegalArgumentException.class, () -> Version.of(Version.EPOCH_LIMIT, 0));
    }

    @Test
    void batchAppliesAtomicallyAndRemovedKeysAreKeptUntilForgotten() {
        EntryKey a = new EntryKey(EntryKind.ROUTE, "a");
        EntryKey b = new EntryKey(EntryKind.TENANT, "b");
        VersionedStore one =
                VersionedStore.EMPTY.with(List.of(EntryChange.put(a, bytes("1")), EntryChange.put(b, bytes("1"))), 5);
        VersionedStore two = one.with(List.of(EntryChange.delete(a), EntryChange.replace(b, bytes("2"))), 6);
        assertEquals("1", text(one.get(a).value()), "who reads the one before still does");
        assertNull(two.get(a));
        assertEquals(6, two.get(b).stamp());
        assertEquals(1, two.removed().size());
        assertThrows(IllegalArgumentException.class, () -> two.with(List.of(), 6));
        assertEquals(0, two.forgetRemovals(0).removed().size());
        assertEquals(6, two.forgetRemovals(0).horizon());
        assertEquals(a, EntryKey.of(a.bytes()));
        VersionedStore again = two.with(List.of(EntryChange.put(a, bytes("3"))), 7);
        assertEquals(0, again.removed().size(), "what is back has not gone");
    }
}
