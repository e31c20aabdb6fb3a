package vetchpost.simulation.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The commands that measure, at small sizes. */
class ScaleCommandTest {
    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();

    private int run(String... arguments) {
        return new CommandLine(new ScaleCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out))
                .execute(arguments);
    }

    @Test
    void smallFleetStaysWithinTheChangeBudgets() {
        run(
                "run",
                "--nodes",
                "60",
                "--controls",
                "4",
                "--routes",
                "2000",
                "--tenants",
                "2000",
                "--services",
                "40",
                "--servers",
                "1000",
                "--cut",
                "20",
                "--burst",
                "500");
        String said = out.toString();
        // Processor time is the machine's affair, also of one that is busy; the rest is virtual.
        assertTrue(said.lines().noneMatch(l -> l.contains("MISSED") && !l.contains("processor")), said);
        assertTrue(said.contains("machines that are not at the newest in the end") && !said.contains("BROKEN"), said);
        assertTrue(said.contains("at the newest again"), said);
    }

    @Test
    void slopesAreMeasuredAndWritten() throws Exception {
        Path json = folder.resolve("slopes.json");
        Path svg = folder.resolve("slopes.svg");
        assertEquals(
                0, run("slopes", "--part", "100", "--json", json.toString(), "--svg", svg.toString()), out::toString);
        assertTrue(
                JsonParser.parseString(Files.readString(json)).getAsJsonArray().size() > 15);
        assertTrue(Files.readString(svg).endsWith("</svg>\n"));
        assertTrue(out.toString().contains("by routes"), out.toString());
    }

    @Test
    void invalidArgumentsAreRejected() {
        assertEquals(2, run("run", "--nodes", "1"));
        assertEquals(2, run("slopes", "--part", "0"));
        assertEquals(2, run("seeds", "--seeds", "0"));
        assertEquals(2, run("real", "--processes", "0"));
        assertEquals(2, run("replica", "--publisher", "127.0.0.1:1", "--secret-file", "/nowhere", "--name", "x"));
        assertEquals(2, run());
    }

    @Test
    void linearFitRecognizesStraightAndQuadraticGrowth() {
        LinearFit line = LinearFit.of(new double[] {1, 10, 100}, new double[] {7, 25, 205});
        assertEquals(5, line.intercept(), 1e-9);
        assertEquals(2, line.slope(), 1e-9);
        assertEquals("straight", line.shape());
        LinearFit square = LinearFit.of(new double[] {1, 10, 100}, new double[] {1, 100, 10_000});
        assertEquals(2, square.power(), 1e-9);
        assertEquals("grows by the power of 2.00", square.shape());
    }
}
