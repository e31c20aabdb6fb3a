package vetchpost.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import vetchpost.decision.Balancer.Settings;

/** What a node takes itself for where the settings' numbers of nodes don't fit. */
class SettingsReaderTest {
    @ParameterizedTest
    @CsvSource({"3, 100, 3, 100", "100, 100, 0, 100", "119, 100, 19, 100", "57, , 0, 1", ", 100, 0, 100", ", , 0, 1"})
    void wrapsNodeNumberBeyondNodeCount(String me, String balancers, int node, int nodes) {
        Map<String, String> values = new HashMap<>(Map.of(
                "classes.count",
                "1",
                "classes.0.name",
                "view",
                "classes.0.onTimeUs",
                "100000",
                "classes.0.giveUpUs",
                "400000",
                "classes.0.repeat",
                "safe"));
        if (me != null) {
            values.put("me", me);
        }
        if (balancers != null) {
            values.put("balancers", balancers);
        }
        Settings settings = SettingsReader.read(values);
        assertEquals(node, settings.node);
        assertEquals(nodes, settings.nodes);
    }
}
