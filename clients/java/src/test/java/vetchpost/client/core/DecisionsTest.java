package vetchpost.client.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Runs the conformance suite's scenarios against this package. */
class DecisionsTest {
    private static final Path SUITE = Path.of("..", "conformance");

    private static JsonArray read(Path file) {
        try {
            return JsonParser.parseString(Files.readString(file)).getAsJsonArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @TestFactory
    List<DynamicTest> decisions() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        try (Stream<Path> files = Files.list(SUITE.resolve("decisions")).sorted()) {
            files.forEach(file -> read(file).forEach(each -> {
                JsonObject scenario = each.getAsJsonObject();
                tests.add(dynamicTest(
                        file.getFileName() + ": " + scenario.get("about").getAsString(),
                        () -> DecisionScenario.play(scenario)));
            }));
        }
        assertTrue(tests.size() > 50, "too few scenarios were found");
        return tests;
    }

    @TestFactory
    List<DynamicTest> answers() {
        List<DynamicTest> tests = new ArrayList<>();
        for (JsonElement each : read(SUITE.resolve("answers.json"))) {
            JsonObject row = each.getAsJsonObject();
            tests.add(dynamicTest(row.toString(), () -> {
                Ending ending = Answers.of(
                        row.get("status").getAsInt(),
                        text(row, "ran"),
                        text(row, "retryAfter"),
                        text(row, "date"),
                        row.has("unixMs") ? row.get("unixMs").getAsLong() : 0,
                        row.has("plain"));
                assertEquals(
                        row.get("then").getAsString(),
                        DecisionScenario.kindName(ending.kind())
                                + (ending.retryAfterMs() < 0 ? "" : " " + ending.retryAfterMs()));
                assertTrue(ending.answered());
            }));
        }
        return tests;
    }

    private static String text(JsonObject row, String key) {
        return row.has(key) ? row.get(key).getAsString() : null;
    }

    @TestFactory
    List<DynamicTest> loadScenarios() {
        List<DynamicTest> tests = new ArrayList<>();
        for (JsonElement each : read(SUITE.resolve("storms.json"))) {
            JsonObject scenario = each.getAsJsonObject();
            tests.add(dynamicTest(scenario.get("about").getAsString(), () -> {
                String summary = LoadScenario.play(scenario);
                Matcher found = Pattern.compile("sent again (\\d+), most in 100 ms (\\d+)")
                        .matcher(summary);
                assertTrue(found.find(), summary);
                assertTrue(
                        Integer.parseInt(found.group(1))
                                <= scenario.get("resentMost").getAsInt(),
                        summary);
                assertTrue(
                        Integer.parseInt(found.group(2))
                                <= scenario.get("per100msMost").getAsInt(),
                        summary);
                assertEquals(scenario.has("then") ? scenario.get("then").getAsString() : "not written yet", summary);
            }));
        }
        return tests;
    }

    @Test
    void rejectsSettingsOutOfRange() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Settings(0, 50, 2_000, 10, 100, 0, 950, 16, 256, 1_000, 5, 1_000, 30_000));
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> new Settings(3, 50, 2_000, 10, 100, 0, 950, 300, 256, 1_000, 5, 1_000, 30_000));
        assertEquals("limit is 300, not 1 to 256", e.getMessage());
    }
}
