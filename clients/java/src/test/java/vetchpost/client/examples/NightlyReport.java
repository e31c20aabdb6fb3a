package vetchpost.client.examples;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import vetchpost.client.Client;
import vetchpost.client.Request;
import vetchpost.client.Result;
import vetchpost.client.core.Settings;

/**
 * A batch job that reads every album, one after the other. No user waits for it, so it has a long deadline, waits as
 * long as the nodes ask for, and sends no hedges.
 */
final class NightlyReport {
    private static final Settings LONG_WAITS =
            new Settings(8, 1_000, 30_000, 100, 100, 0, 0, 2, 4, 10, 5, 1_000, 30_000);

    private NightlyReport() {}

    /** Returns the texts of all albums, one per line. */
    static String of(List<String> nodes, List<Integer> albums) {
        Client.Builder builder = Client.builder().settings(LONG_WAITS).within(Duration.ofMinutes(5));
        nodes.forEach(builder::node);
        try (Client client = builder.build()) {
            return albums.stream().map(album -> line(client, album)).collect(Collectors.joining("\n"));
        }
    }

    private static String line(Client client, int album) {
        Result result = client.send(Request.get("/albums/" + album)).join();
        return result instanceof Result.Served served && served.status() == 200
                ? served.text()
                : "album " + album + ": " + result.getClass().getSimpleName();
    }
}
