package vetchpost.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** What the system lets this process open, which may be less than the configuration promises. */
public final class DescriptorLimit {
    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final String LIMIT_NAME = "Max open files";

    private DescriptorLimit() {}

    /** The limit that holds now; the largest number where the system doesn't tell. */
    public static int limit() {
        try (Stream<String> lines = Files.lines(LIMITS_FILE)) {
            return limit(lines);
        } catch (IOException e) {
            // No such file on this system: the configuration has to be believed.
            return Integer.MAX_VALUE;
        }
    }

    /** Of the lines of a table whose columns are name, limit that holds, limit that can be set, unit. */
    static int limit(Stream<String> lines) {
        return lines.filter(line -> line.startsWith(LIMIT_NAME))
                .map(line -> line.substring(LIMIT_NAME.length()).trim().split(" +")[0])
                .filter(value -> value.matches("\\d{1,9}"))
                .mapToInt(Integer::parseInt)
                .findFirst()
                .orElse(Integer.MAX_VALUE);
    }
}
