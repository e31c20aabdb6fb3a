package vetchpost.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.RouteValidator.RouteChange;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.Violation.Rule;
import vetchpost.store.EntryChange.Op;
import vetchpost.store.EntryKey;
import vetchpost.store.PackedTree;

/** Changes one after the other, proved by themselves, against the proof of the whole file with them in it. */
class ChangesProperty {
    private static final Settings SETTINGS = RouteValidatorTest.settings();
    private static final List<String> CLASSES = List.of("view-page", "add-photo", "place-order", "nothing");
    private static final List<String> TAILS = List.of("/a", "/{n}", "/*", "/a/{n}", "/{x}/b", "/a/../b", "");
    private static final List<String> TARGETS = List.of("/a", "/b", "/a/1", "/1/b", "/a/b", "", "/a/b/c");
    private static int accepted;
    private static int rejected;

    private final Position position = new Position("f", 1, 1);

    private Section randomRoute(SplittableRandom random, String name, boolean alone) {
        Map<String, Object> said = new LinkedHashMap<>();
        String cls = CLASSES.get(random.nextInt(random.nextInt(20) == 0 ? 4 : 3));
        said.put("name", name);
        if (random.nextInt(10) > 0) {
            said.put("path", "/" + cls + TAILS.get(random.nextInt(random.nextInt(20) == 0 ? 7 : 5)));
        }
        if (!said.containsKey("path") || random.nextInt(4) == 0) {
            said.put("class", alone && random.nextInt(3) == 0 ? CLASSES.get(random.nextInt(3)) : cls);
        }
        if (random.nextInt(3) == 0) {
            said.put("tenant", random.nextInt(20) == 0 ? "nobody" : random.nextBoolean() ? "school-a" : "school-b");
        }
        if (random.nextInt(5) == 0) {
            said.put("method", random.nextInt(3) == 0 ? "POST" : "GET");
        }
        if (random.nextInt(2) == 0) {
            said.put("concurrency", (long) random.nextInt(30));
        }
        if (random.nextInt(3) == 0) {
            said.put("attempts", (long) random.nextInt(1, 4));
        }
        if (random.nextInt(3) == 0) {
            said.put("attempt-timeout", random.nextInt(20, 700) + "ms");
        }
        if (random.nextInt(30) == 0) {
            said.put("retry-after", 3L);
        }
        Map<String, Entry> entries = new LinkedHashMap<>();
        said.forEach((key, value) -> entries.put(key, new Entry(value, position)));
        return new Section(Kind.ROUTE, "", position, entries);
    }

    private static RouteValidation validateWholeFile(List<Section> all, boolean alone) {
        return alone ? RouteValidator.validateStandalone(all, SETTINGS) : RouteValidator.validate(all, SETTINGS);
    }

    /** Which of two that are the same is named depends on their order in the file. */
    private static Set<String> brokenRules(RouteValidation proof) {
        Set<String> rules = new TreeSet<>();
        proof.violations()
                .forEach(v -> rules.add(
                        v.rule() == Rule.SAME_MATCH || v.rule() == Rule.SAME_NAME
                                ? "SAME"
                                : v.rule().name()));
        return rules;
    }

    @Property(tries = 10_000, seed = "45", shrinking = ShrinkingMode.OFF)
    boolean validatingChangesEqualsValidatingTheWholeFile(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean alone = random.nextBoolean();
        Section defaults = new Section(Kind.DEFAULTS, "", position, Map.of("retry-budget", new Entry(0.2, position)));
        Map<String, Section> file = new LinkedHashMap<>();
        RouteTable table = validateWholeFile(List.of(defaults), alone).table();
        for (int version = 1; version <= 6; version++) {
            Map<String, RouteChange> batch = new LinkedHashMap<>();
            boolean known = true;
            for (int i = random.nextInt(1, 4); i > 0; i--) {
                String name = "r" + random.nextInt(8);
                Op op = !file.containsKey(name)
                        ? random.nextInt(20) == 0 ? Op.REPLACE : Op.PUT
                        : random.nextInt(20) == 0 ? Op.PUT : random.nextBoolean() ? Op.REPLACE : Op.DELETE;
                batch.put(
                        name,
                        new RouteChange(op, name, op == Op.DELETE ? null : randomRoute(random, name, alone), position));
            }
            Map<String, Section> after = new LinkedHashMap<>(file);
            List<Section> twice = new ArrayList<>();
            for (RouteChange change : batch.values()) {
                known &= change.op() == Op.PUT || file.containsKey(change.name());
                if (change.section() == null) {
                    after.remove(change.name());
                } else if (change.op() == Op.PUT && file.containsKey(change.name())) {
                    twice.add(change.section());
                } else {
                    after.put(change.name(), change.section());
                }
            }
            List<Section> sections = new ArrayList<>(List.of(defaults));
            sections.addAll(after.values());
            sections.addAll(twice);
            RouteValidation whole = validateWholeFile(sections, alone);
            RouteValidation changed = RouteValidator.validateChanges(table, new ArrayList<>(batch.values()), version);
            if (!known) {
                assertTrue(brokenRules(changed).contains("UNKNOWN_ENTRY"));
                rejected++;
                continue;
            }
            assertEquals(
                    brokenRules(whole),
                    brokenRules(changed),
                    () -> sections + "\n" + whole.violations() + "\n" + changed.violations());
            if (!whole.isValid()) {
                rejected++;
                continue;
            }
            accepted++;
            table = changed.table();
            file = after;
            assertSameTable(whole.table(), table);
            RouteTable settled = table;
            PackedTree live = table.entries();
            // And who takes them in without a proof, in any order, comes to the same.
            for (RouteChange change : batch.values()) {
                live = live.remove(new EntryKey(vetchpost.store.EntryKind.ROUTE, change.name()).bytes());
                settled = settled.withRoute(change.name(), null, live);
            }
            for (RouteChange change : batch.values()) {
                if (change.section() != null) {
                    byte[] bytes = RouteCodec.encode(change.section());
                    live = live.put(
                            new EntryKey(vetchpost.store.EntryKind.ROUTE, change.name()).bytes(), bytes, version);
                    settled = settled.withRoute(change.name(), bytes, live);
                }
            }
            assertSameTable(table, settled);
        }
        return true;
    }

    private static void assertSameTable(RouteTable whole, RouteTable changed) {
        assertEquals(whole.allRoutes(), changed.allRoutes());
        for (String cls : CLASSES.subList(0, 3)) {
            for (String tail : TARGETS) {
                for (int tenant = -1; tenant < 2; tenant++) {
                    String target = "/" + cls + tail;
                    assertEquals(whole.find(cls, "GET", target, tenant), changed.find(cls, "GET", target, tenant));
                }
            }
        }
    }

    @AfterContainer
    static void bothOutcomesOccur() {
        System.out.println("batches of changes: " + accepted + " held, " + rejected + " refused");
        assertTrue(accepted > 1_000 && rejected > 1_000, accepted + " and " + rejected);
    }
}
