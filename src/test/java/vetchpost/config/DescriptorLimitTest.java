package vetchpost.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** What the system's table of limits is read as. */
class DescriptorLimitTest {
    private static int limit(String... lines) {
        return DescriptorLimit.limit(Stream.of(lines));
    }

    @Test
    void readsSoftLimit() {
        assertEquals(
                256,
                limit(
                        "Limit                     Soft Limit           Hard Limit           Units",
                        "Max processes             95                   95                   processes",
                        "Max open files            256                  4096                 files"));
    }

    @Test
    void returnsMaxValueWithoutLimit() {
        assertEquals(Integer.MAX_VALUE, limit("Max open files  unlimited  unlimited  files"));
        assertEquals(Integer.MAX_VALUE, limit("Max open files"));
        assertEquals(Integer.MAX_VALUE, limit());
    }

    @Test
    void usesLowerOfConfiguredAndSystemLimit() throws Exception {
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT)) {
            NodeConfig config = NodeConfig.parse(Fixture.config(discovery).toString(), Map.of());
            assertEquals(100, config.withMaxDescriptors(100).maxDescriptors());
            assertEquals(
                    config.maxDescriptors(),
                    config.withMaxDescriptors(Integer.MAX_VALUE).maxDescriptors());
        }
        assertTrue(DescriptorLimit.limit() > 0);
    }
}
