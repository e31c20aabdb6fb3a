package vetchpost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that the paths in the platform's deploy file exist, which a renamed package or class would break. */
class DeployFileTest {
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");

    @Test
    void namesOneExistingPolicyFile() throws IOException {
        List<String> policy = paths("policy");

        assertEquals(1, policy.size(), policy::toString);
        assertTrue(Files.isRegularFile(Path.of(policy.get(0))), policy::toString);
    }

    @Test
    void namesOnlyExistingNodeSources() throws IOException {
        List<String> node = paths("node");

        assertFalse(node.isEmpty());
        List<String> missing =
                node.stream().filter(path -> !Files.exists(Path.of(path))).toList();
        assertEquals(List.of(), missing);
    }

    private static List<String> paths(String key) throws IOException {
        Matcher list = Pattern.compile("(?ms)^" + key + " = \\[(.*?)\\]").matcher(Files.readString(DEPLOY_FILE));
        assertTrue(list.find(), () -> DEPLOY_FILE + " has no list " + key);
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(list.group(1))
                .results()
                .map((MatchResult path) -> path.group(1))
                .toList();
    }
}
