package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.Settings;

/** Settings out of range are rejected by name; what README shows works. */
class SettingsTest {

    @Test
    void aSettingOutOfRangeIsNamed() {
        Map<String, Consumer<Settings>> wrong = Map.of(
                "nodes", s -> s.nodes = 0,
                "maxAttempts", s -> s.maxAttempts = 0,
                "classes", s -> s.classes.clear(),
                "myZone", s -> s.myZone = 7,
                "tickUs", s -> s.tickUs = -1,
                "askWithinUs", s -> s.maxListIntervalUs = -1,
                "coldFrom", s -> s.coldStartFraction = 0,
                "fallMultiple", s -> s.coldOverloadMultiple = 0,
                "probePrice", s -> s.probePrice = -1);
        wrong.forEach((field, change) -> {
            Settings set = Node.settings();
            change.accept(set);
            IllegalArgumentException thrown = assertThrows(IllegalArgumentException.class, () -> new Node(set, 1));
            assertTrue(thrown.getMessage().startsWith(field), thrown.getMessage());
        });
    }

    @Test
    void theEmbeddingThatReadmeShowsSendsARequest() {
        Settings settings = new Settings();
        settings.nodes = 12;
        settings.zones = List.of("hall");
        settings.classes.add(new Balancer.RequestClass(
                "view",
                200_000,
                0,
                1_000_000,
                1,
                0,
                Balancer.Idempotency.SAFE,
                Balancer.DeduplicationScope.ALL,
                0,
                false));
        Node actions = new Node();
        Balancer balancer = new ServiceQBalancer(settings, 42, actions);
        balancer.onServers(
                1_000,
                Balancer.ListKind.CACHED,
                List.of(new Balancer.ServerEntry("10.0.0.1:80", 0, 0, Balancer.ServerState.READY, 1, 0)));
        balancer.onRequest(2_000, new Balancer.Request(1, 0, -1, 1_000_000, 0, false));
        assertEquals("10.0.0.1:80", actions.lastAttempt(1).server());
    }
}
