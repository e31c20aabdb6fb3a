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

/** Compares validating random changes one batch after the other with validating the whole file with them in it. */
class ChangesProperty {
    private static final Settings SETTINGS = RouteValidatorTest.settings();
    private static final List<String> CLASSES = List.of("view-page", "add-photo", "place-order", "nothing");
    private static final List<String> TAILS = List.of("/a", "/{n}", "/*", "/a/{n}", "/{x}/b", "/a/../b", "");
    private static final List<String> TARGETS = List.of("/a", "/b", "/a/1", "/1/b", "/a/b", "", "/a/b/c");
    private static int accepted;
    private static int rejected;

    private final Position position = new Position("f", 1, 1);

    private Section randomRoute(SplittableRandom random, String name, boolean standalone) {
        Map<String, Object> values = new LinkedHashMap<>();
        String cls = CLASSES.get(random.nextInt(random.nextInt(20) == 0 ? 4 : 3));
        values.put("name", name);
        if (random.nextInt(10) > 0) {
            values.put("path", "/" + cls + TAILS.get(random.nextInt(random.nextInt(20) == 0 ? 7 : 5)));
        }
        if (!values.containsKey("path") || random.nextInt(4) == 0) {
            values.put("class", standalone && random.nextInt(3) == 0 ? CLASSES.get(random.nextInt(3)) : cls);
        }
        if (random.nextInt(3) == 0) {
            values.put("tenant", random.nextInt(20) == 0 ? "nobody" : random.nextBoolean() ? "school-a" : "school-b");
        }
        if (random.nextInt(5) == 0) {
            values.put("method", random.nextInt(3) == 0 ? "POST" : "GET");
        }
        if (random.nextInt(2) == 0) {
            values.put("concurrency", (long) random.nextInt(30));
        }
        if (random.nextInt(3) == 0) {
            values.put("attempts", (long) random.nextInt(1, 4));
        }
        if (random.nextInt(3) == 0) {
            values.put("attempt-timeout", random.nextInt(20, 700) + "ms");
        }
        if (random.nextInt(30) == 0) {
            values.put("retry-after", 3L);
        }
        Map<String, Entry> entries = new LinkedHashMap<>();
        values.forEach((key, value) -> entries.put(key, new Entry(value, position)));
        return new Section(Kind.ROUTE, "", position, entries);
    }

    private static RouteValidation validateWholeFile(List<Section> sections, boolean standalone) {
        return standalone
                ? RouteValidator.validateStandalone(sections, SETTINGS)
                : RouteValidator.validate(sections, SETTINGS);
    }

    /** Which of two conflicting routes is reported depends on their order in the file, so both rules count as one. */
    private static Set<String> brokenRules(RouteValidation validation) {
        Set<String> rules = new TreeSet<>();
        validation
                .violations()
                .forEach(v -> rules.add(
                        v.rule() == Rule.SAME_MATCH || v.rule() == Rule.SAME_NAME
                                ? "SAME"
                                : v.rule().name()));
        return rules;
    }

    @Property(tries = 10_000, seed = "45", shrinking = ShrinkingMode.OFF)
    boolean validatingChangesEqualsValidatingTheWholeFile(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean standalone = random.nextBoolean();
        Section defaults = new Section(Kind.DEFAULTS, "", position, Map.of("retry-budget", new Entry(0.2, position)));
        Map<String, Section> file = new LinkedHashMap<>();
        RouteTable table = validateWholeFile(List.of(defaults), standalone).table();
        for (int version = 1; version <= 6; version++) {
            Map<String, RouteChange> batch = new LinkedHashMap<>();
            boolean allExist = true;
            for (int i = random.nextInt(1, 4); i > 0; i--) {
                String name = "r" + random.nextInt(8);
                Op op = !file.containsKey(name)
                        ? random.nextInt(20) == 0 ? Op.REPLACE : Op.PUT
                        : random.nextInt(20) == 0 ? Op.PUT : random.nextBoolean() ? Op.REPLACE : Op.DELETE;
                batch.put(
                        name,
                        new RouteChange(
                                op, name, op == Op.DELETE ? null : randomRoute(random, name, standalone), position));
            }
            Map<String, Section> newFile = new LinkedHashMap<>(file);
            List<Section> duplicates = new ArrayList<>();
            for (RouteChange change : batch.values()) {
                allExist &= change.op() == Op.PUT || file.containsKey(change.name());
                if (change.section() == null) {
                    newFile.remove(change.name());
                } else if (change.op() == Op.PUT && file.containsKey(change.name())) {
                    duplicates.add(change.section());
                } else {
                    newFile.put(change.name(), change.section());
                }
            }
            List<Section> sections = new ArrayList<>(List.of(defaults));
            sections.addAll(newFile.values());
            sections.addAll(duplicates);
            RouteValidation expected = validateWholeFile(sections, standalone);
            RouteValidation actual = RouteValidator.validateChanges(table, new ArrayList<>(batch.values()), version);
            if (!allExist) {
                assertTrue(brokenRules(actual).contains("UNKNOWN_ENTRY"));
                rejected++;
                continue;
            }
            assertEquals(
                    brokenRules(expected),
                    brokenRules(actual),
                    () -> sections + "\n" + expected.violations() + "\n" + actual.violations());
            if (!expected.isValid()) {
                rejected++;
                continue;
            }
            accepted++;
            table = actual.table();
            file = newFile;
            assertSameTable(expected.table(), table);
            RouteTable replicaTable = table;
            PackedTree live = table.entries();
            // Applying the changes without validation, in any order, gives the same table.
            for (RouteChange change : batch.values()) {
                live = live.remove(new EntryKey(vetchpost.store.EntryKind.ROUTE, change.name()).bytes());
                replicaTable = replicaTable.withRoute(change.name(), null, live);
            }
            for (RouteChange change : batch.values()) {
                if (change.section() != null) {
                    byte[] bytes = RouteCodec.encode(change.section());
                    live = live.put(
                            new EntryKey(vetchpost.store.EntryKind.ROUTE, change.name()).bytes(), bytes, version);
                    replicaTable = replicaTable.withRoute(change.name(), bytes, live);
                }
            }
            assertSameTable(table, replicaTable);
        }
        return true;
    }

    private static void assertSameTable(RouteTable expected, RouteTable actual) {
        assertEquals(expected.allRoutes(), actual.allRoutes());
        for (String cls : CLASSES.subList(0, 3)) {
            for (String tail : TARGETS) {
                for (int tenant = -1; tenant < 2; tenant++) {
                    String target = "/" + cls + tail;
                    assertEquals(expected.find(cls, "GET", target, tenant), actual.find(cls, "GET", target, tenant));
                }
            }
        }
    }

    @AfterContainer
    static void bothOutcomesOccur() {
        System.out.println("batches of changes: " + accepted + " accepted, " + rejected + " rejected");
        assertTrue(accepted > 1_000 && rejected > 1_000, accepted + " and " + rejected);
    }
}
