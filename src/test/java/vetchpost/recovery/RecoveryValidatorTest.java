package vetchpost.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import vetchpost.routes.file.RouteFile;

/** What an operator can say of state and handovers, and how a slip is told. */
class RecoveryValidatorTest {
    private static RecoveryValidator.Validation validate(String text) {
        RouteFile file = RouteFile.parse("v.toml", text);
        assertEquals(List.of(), file.violations());
        return RecoveryValidator.validate(file.sections());
    }

    private static String violationsOf(String text) {
        RecoveryValidator.Validation proof = validate(text);
        assertNull(proof.settings());
        return proof.violations().stream().map(Object::toString).collect(Collectors.joining("\n"));
    }

    @Test
    void withoutTablesThereAreNoSettings() {
        assertNull(validate("[defaults]\nattempts = 1\n").settings());
        assertEquals(List.of(), validate("").violations());
    }

    @Test
    void readsEveryKey() {
        RecoverySettings settings = validate("""
                [state]
                file = "state/boxes"
                every = "2s"
                box-life = "12h"
                address-kept = "0s"
                identify = "/who"
                [handover]
                listen = "127.0.0.1:8450"
                ask = ["127.0.0.2:8450", "[::1]:8450"]
                secret-file = "secret"
                wait = "100ms"
                within = "1s"
                """).settings();
        assertEquals(Path.of("state/boxes"), settings.file());
        assertEquals(2_000, settings.snapshotIntervalMs());
        assertEquals(12 * 3_600_000, settings.rules().serverLifetimeMs());
        assertEquals(0, settings.rules().addressReuseMs());
        assertTrue(settings.rules().canIdentify());
        assertEquals(8450, settings.listenAddress().getPort());
        assertEquals(2, settings.peers().size());
        assertEquals(100, settings.startWaitMs());
        assertEquals(1_000, settings.handoverTimeoutMs());
    }

    @Test
    void appliesDefaults() {
        RecoverySettings settings = validate("[state]\nfile = \"b\"\n").settings();
        assertEquals(5_000, settings.snapshotIntervalMs());
        assertEquals(86_400_000, settings.rules().serverLifetimeMs());
        assertEquals(30_000, settings.rules().addressReuseMs());
        assertNull(settings.identityPath());
        assertNull(settings.listenAddress());
    }

    @Test
    void reportsViolationsWithTheirPositions() {
        assertEquals(
                "v.toml:2:1: state: unknown key 'fil' [UNKNOWN_KEY: keys are known]; one of file, "
                        + "every, "
                        + "box-life, address-kept, identify would pass\n"
                        + "v.toml:1:1: state: it does not say file [OUT_OF_RANGE: figures make sense]; "
                        + "file = \"...\" "
                        + "would pass",
                violationsOf("[state]\nfil = \"b\"\n"));
        assertTrue(
                violationsOf("[state]\nfile = \"b\"\nevery = \"5\"\n").startsWith("v.toml:3:1: state: every = \"5\""));
        assertTrue(violationsOf("[state]\nfile = \"b\"\nevery = \"1ms\"\n").contains("from 1000ms to 600s"));
        assertTrue(violationsOf("[state]\nfile = \"b\"\nevery = 5\n").contains("every is no text"));
        assertTrue(violationsOf("[state]\nfile = \"b\"\nidentify = \"who\"\n").contains("is no path"));
        assertTrue(violationsOf("[handover]\nlisten = \"127.0.0.1:1\"\n").contains("a false snapshot could steer"));
        assertTrue(violationsOf("[handover]\nsecret-file = \"s\"\n").contains("neither listen nor ask"));
        assertTrue(violationsOf("[handover]\nsecret-file = \"s\"\nlisten = \"node:1\"\n")
                .contains("not an address and port: node:1"));
        assertTrue(violationsOf("[handover]\nsecret-file = \"s\"\nask = \"127.0.0.1:1\"\n")
                .contains("ask is no list"));
        assertTrue(violationsOf("[handover]\nsecret-file = \"s\"\nask = [7]\n").contains("ask is no address"));
        assertTrue(violationsOf("[handover]\nsecret-file = \"s\"\nask = [\"1.2.3.4:5\"]\nwait = \"3s\"\n")
                .contains("wait is over within"));
    }
}
