package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;
import vetchpost.simulation.check.Violation.Rule;
import vetchpost.simulation.world.NodeProcess;

/** The command line, scripts and shrinking of the simulate command. */
@Timeout(300)
class SimulateCommandTest {
    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        return run(false, arguments);
    }

    private int run(boolean showsProgress, String... arguments) {
        return new CommandLine(new SimulateCommand(showsProgress))
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(arguments);
    }

    @Test
    void manySeedsPrintASummary() {
        assertEquals(0, run("--seeds", "1..6", "--jobs", "2"));
        assertTrue(out.toString().startsWith("6 seeds, 0 failed, "), out.toString());
        assertEquals("", err.toString());
    }

    @Test
    void progressIsShownOnATerminal() {
        assertEquals(0, run(true, "--seeds", "1..2", "--jobs", "1"));
        assertTrue(out.toString().startsWith("2 seeds, 0 failed, "), out.toString());
        assertTrue(err.toString().contains("2 of 2 seeds"), err.toString());
    }

    /** A run that threw had been counted as passed. */
    @Test
    void aRunThatThrowsCountsAsFailedAndNamesItsSeed() throws Exception {
        Result good = Simulation.run(Plan.of(1));
        SeedRuns runs = new SeedRuns(1, 3, 1, seed -> {
            if (seed == 2) {
                throw new IllegalStateException("injected");
            }
            return good;
        });
        List<Long> failed = new ArrayList<>();
        runs.run((done, of, failing) -> failed.add(done * 10 + failing));
        assertEquals(List.of(10L, 21L, 31L), failed);
        assertFalse(runs.haveAllPassed());
        assertEquals(Set.of(2L), runs.thrown().keySet());
        assertTrue(runs.summary().startsWith("3 seeds, 1 failed, "), runs.summary());
        SeedRunException thrown = assertThrows(
                SeedRunException.class,
                () -> SeedRunException.withSeed(7, () -> {
                    throw new IllegalStateException("injected");
                }));
        assertTrue(thrown.getMessage().startsWith("seed 7: "), thrown.getMessage());
    }

    /** There had been no addresses beyond 250 nodes, so larger runs failed. */
    @Test
    void hundredsOfNodesHaveDistinctAddresses() {
        Set<Object> addresses = new HashSet<>();
        for (int i = 0; i < 2_048; i++) {
            assertFalse(NodeProcess.addressOf(i).isUnresolved());
            assertTrue(addresses.add(NodeProcess.addressOf(i)), "node " + i + " has the address of another node");
        }
        assertEquals(0, run("--nodes", "400", "--seeds", "1..1"), out::toString);
        assertTrue(out.toString().startsWith("1 seeds, 0 failed, "), out.toString());
    }

    @Test
    void oneSeedPrintsItsDigestAndWritesItsTrace() throws Exception {
        Path trace = folder.resolve("trace.txt");
        assertEquals(0, run("--seed", "5", "--trace", trace.toString()));
        assertTrue(out.toString().contains("seed 5: no rule broken"), out.toString());
        assertTrue(out.toString().contains(Simulation.run(Plan.of(5)).digest()), out.toString());
        assertTrue(Files.readAllLines(trace).size() > 100);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "--seeds 5",
                "--seeds 9..3",
                "--seed x",
                "--seed 1 --seeds 1..2",
                "--jobs 0 --seed 1",
                "--nodes 0 --seed 1",
                "--nodes 2 --script /nowhere",
                "--seeds 1..2 --shrink",
                "--unheard-of",
                "--script /nowhere/at/all"
            })
    void badArgumentsExitWithTwo(String arguments) {
        assertEquals(2, run(arguments.isEmpty() ? new String[0] : arguments.split(" ")));
        assertTrue(err.toString().contains("Usage:"), err.toString());
    }

    @Test
    void aBadScriptIsReportedWithItsLine() throws Exception {
        Path script = Files.writeString(folder.resolve("bad.txt"), "seed 1\n\nat 1s drown box 3\n");
        assertEquals(2, run("--script", script.toString()));
        assertTrue(err.toString().contains("line 3: unknown fault 'drown box'"), err.toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "at 1 kill box 1",
                "at 1s kill",
                "at -1s kill box 1",
                "boxes 0",
                "boxes many",
                "rate 1e9",
                "colour blue",
                "only 1,x",
                "list half",
                "at 99999s kill box 1",
                "seconds"
            })
    void invalidScriptLinesAreRejected(String line) {
        assertThrows(PlanText.ScriptException.class, () -> PlanText.parse(List.of(line)));
    }

    @Test
    void aWrittenPlanGivesTheSameRun() throws Exception {
        for (long seed = 1; seed <= 5; seed++) {
            Plan plan =
                    PlanText.parse(Arrays.asList(PlanText.write(Plan.of(seed)).split("\n")));
            Plan reread = PlanText.parse(Arrays.asList(PlanText.write(plan).split("\n")));
            assertEquals(plan, reread);
            assertEquals(Simulation.run(plan).digest(), Simulation.run(reread).digest());
        }
    }

    @Test
    void aFailingPlanIsShrunk() {
        // The first seed that finds the fault, independent of how plans are drawn.
        long seed = 1;
        while (seed < 200
                && Simulation.run(Plan.of(seed), InjectedFaults.RESENT_AFTER_RESET, null)
                        .isGood()) {
            seed++;
        }
        Plan failing = Plan.of(seed);
        Result first = Simulation.run(failing, InjectedFaults.RESENT_AFTER_RESET, null);
        assertEquals(Rule.TWICE, first.violation().rule());
        Shrinker shrinker = new Shrinker(p -> Simulation.run(p, InjectedFaults.RESENT_AFTER_RESET, null), Rule.TWICE);
        Plan shrunk = shrinker.shrink(failing);
        Result shrunkResult = Simulation.run(shrunk, InjectedFaults.RESENT_AFTER_RESET, null);
        assertEquals(Rule.TWICE, shrunkResult.violation().rule());
        assertTrue(shrunk.faults().size() < failing.faults().size(), shrunk.toString());
        assertTrue(
                shrunkResult.requestsSent() < first.requestsSent() / 2,
                shrunkResult.requestsSent() + " of " + first.requestsSent());
    }
}
