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

/** Runs the subcommands of {@code scale} at small sizes. */
class ScaleCommandTest {
    @TempDir
    private Path directory;

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
        String output = out.toString();
        // CPU time depends on the machine and its load; all other figures are on virtual time.
        assertTrue(output.lines().noneMatch(line -> line.contains("MISSED") && !line.contains("processor")), output);
        assertTrue(
                output.contains("machines that are not at the newest in the end") && !output.contains("BROKEN"),
                output);
        assertTrue(output.contains("at the newest again"), output);
    }

    @Test
    void slopesAreMeasuredAndWritten() throws Exception {
        Path json = directory.resolve("slopes.json");
        Path svg = directory.resolve("slopes.svg");
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
        LinearFit straight = LinearFit.of(new double[] {1, 10, 100}, new double[] {7, 25, 205});
        assertEquals(5, straight.intercept(), 1e-9);
        assertEquals(2, straight.slope(), 1e-9);
        assertEquals("straight", straight.shape());
        LinearFit quadratic = LinearFit.of(new double[] {1, 10, 100}, new double[] {1, 100, 10_000});
        assertEquals(2, quadratic.power(), 1e-9);
        assertEquals("grows by the power of 2.00", quadratic.shape());
    }
}
