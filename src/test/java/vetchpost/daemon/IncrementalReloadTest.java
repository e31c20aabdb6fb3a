package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files that are read again for what has changed, against the same files read as at a start. */
class IncrementalReloadTest {
    @TempDir
    private Path folder;

    private int incrementalReloads;
    private int rejectedFiles;

    private static String route(SplittableRandom random, int name) {
        StringBuilder text = new StringBuilder("[[route]]\n");
        if (random.nextInt(4) == 0) {
            text.append("name = \"r").append(name).append("\"\n");
        }
        text.append("path = \"/p")
                .append(random.nextInt(12) == 0 ? random.nextInt(6) : name)
                .append("\"\n");
        if (random.nextInt(3) == 0) {
            text.append("class = \"")
                    .append(random.nextInt(15) == 0 ? "nothing" : "read")
                    .append("\"\n");
        }
        if (random.nextInt(3) == 0) {
            text.append("concurrency = ").append(random.nextInt(15)).append('\n');
        }
        if (random.nextInt(5) == 0) {
            text.append("tenant = \"")
                    .append(random.nextInt(6) == 0 ? "x" : "ann")
                    .append("\"\n");
        }
        return random.nextInt(8) == 0 ? text + "# " + random.nextInt(9) + "\n" : text.toString();
    }

    private static String file(String head, List<String> routes) {
        return head + String.join("", routes);
    }

    private static Set<String> violatedRules(ValidatedFile file) {
        Set<String> said = new TreeSet<>();
        // Which of two that are the same is named depends on which was there before.
        file.violations()
                .forEach(v ->
                        said.add(v.rule().name().replace("SAME_NAME", "SAME").replace("SAME_MATCH", "SAME")));
        return said;
    }

    @Test
    void incrementalReloadMatchesFullRead() throws Exception {
        String usual = "[node]\nlisten = \"127.0.0.1:0\"\n[tenants.ann]\n[pool]\nservers = " + "[\"127.0.0.1:9\"]\n";
        Path path = folder.resolve("f.toml");
        Path other = folder.resolve("g.toml");
        for (int seed = 0; seed < 150; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<String> routes = new ArrayList<>();
            ValidatedFile held = null;
            for (int step = 0; step < 12; step++) {
                List<String> next = new ArrayList<>(routes);
                for (int i = random.nextInt(1, 4); i > 0; i--) {
                    int what = random.nextInt(5);
                    if (what < 2 || next.isEmpty()) {
                        next.add(random.nextInt(next.size() + 1), route(random, random.nextInt(40)));
                    } else if (what == 2) {
                        next.remove(random.nextInt(next.size()));
                    } else if (what == 3) {
                        next.set(random.nextInt(next.size()), route(random, random.nextInt(40)));
                    } else {
                        next.add(next.remove(0));
                    }
                }
                String head = random.nextInt(8) == 0
                        ? "[defaults]\nretry-budget = 0." + random.nextInt(1, 9) + "\n" + usual
                        : usual;
                Files.writeString(path, file(head, next));
                Files.writeString(other, file(head, next));
                ValidatedFile whole = ValidatedFile.read(other, sections -> null, null);
                ValidatedFile again =
                        held == null ? ValidatedFile.read(path, sections -> null, null) : held.reread(path);
                incrementalReloads += held != null && again.node() == held.node() ? 1 : 0;
                assertEquals(
                        violatedRules(whole),
                        violatedRules(again),
                        () -> "\n" + file(head, next) + whole.violations() + "\n" + again.violations());
                if (!whole.isValid()) {
                    rejectedFiles++;
                    continue;
                }
                assertEquals(whole.routes().routes(), again.routes().routes());
                assertEquals(
                        whole.routes().table().matchSum(),
                        again.routes().table().matchSum());
                held = again;
                routes = next;
            }
        }
        assertTrue(
                incrementalReloads > 300 && rejectedFiles > 100,
                incrementalReloads + " by their routes alone, " + rejectedFiles + " refused");
    }
}
