package vetchpost.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Reads the descriptor limit of this process, which may be lower than the configured one. Called at the start. */
public final class DescriptorLimit {
    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final String LIMIT_NAME = "Max open files";

    private DescriptorLimit() {}

    /** Returns the soft limit of open files, or {@link Integer#MAX_VALUE} if the system does not report one. */
    public static int limit() {
        try (Stream<String> lines = Files.lines(LIMITS_FILE)) {
            return limit(lines);
        } catch (IOException e) {
            // This system has no such file, so only the configured limit applies.
            return Integer.MAX_VALUE;
        }
    }

    /** Finds the limit in a table whose columns are name, soft limit, hard limit and unit. */
    static int limit(Stream<String> lines) {
        return lines.filter(line -> line.startsWith(LIMIT_NAME))
                .map(line -> line.substring(LIMIT_NAME.length()).trim().split(" +")[0])
                .filter(value -> value.matches("\\d{1,9}"))
                .mapToInt(Integer::parseInt)
                .findFirst()
                .orElse(Integer.MAX_VALUE);
    }
}
