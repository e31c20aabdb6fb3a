package vetchpost.client.bench;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.function.Supplier;
import vetchpost.client.Client;
import vetchpost.client.Request;
import vetchpost.client.Result;
import vetchpost.client.core.Settings;
import vetchpost.client.testing.ScriptedNode;

/** The client beside the JDK's bare one, in turn in one run: calls a second and the 99th percentile. */
public final class Overhead {
    private static final int CALLS = 20_000;
    private static final int CONCURRENT_CALLS = 16;
    private static final int ROUNDS = 7;

    private Overhead() {}

    /** Plays the rounds. */
    public static void main(String[] args) throws Exception {
        ScriptedNode server = new ScriptedNode(ScriptedNode.answers(200, "hello"));
        String url = server.url();
        HttpClient bare =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest get = HttpRequest.newBuilder(URI.create(url + "/x")).build();
        Settings wide = new Settings(3, 50, 2_000, 10, 100, 0, 950, 64, 256, 1_000, 5, 1_000, 30_000);
        double[] speeds = new double[ROUNDS];
        double[] tails = new double[ROUNDS];
        try (Client client = Client.builder().node(url).settings(wide).build()) {
            for (int round = -1; round < ROUNDS; round++) {
                double[] theirs = measure(() -> bare.sendAsync(get, HttpResponse.BodyHandlers.ofByteArray()));
                double[] ours = measure(() -> client.send(Request.get("/x")).thenApply(Result.Served.class::cast));
                if (round >= 0) {
                    speeds[round] = ours[0] / theirs[0];
                    tails[round] = ours[1] / theirs[1];
                    System.out.printf(
                            "bare %.0f/s, p99 %.2f ms; client %.0f/s, p99 %.2f ms%n",
                            theirs[0], theirs[1], ours[0], ours[1]);
                }
            }
        }
        server.close();
        Arrays.sort(speeds);
        Arrays.sort(tails);
        System.out.printf("median ratios: throughput %.2f, p99 %.2f%n", speeds[ROUNDS / 2], tails[ROUNDS / 2]);
    }

    private static double[] measure(Supplier<CompletableFuture<?>> call) throws InterruptedException {
        Semaphore room = new Semaphore(CONCURRENT_CALLS);
        long[] took = new long[CALLS];
        long began = System.nanoTime();
        for (int i = 0; i < CALLS; i++) {
            int n = i;
            room.acquire();
            long sent = System.nanoTime();
            call.get().whenComplete((r, e) -> {
                took[n] = System.nanoTime() - sent;
                room.release();
                if (e != null) {
                    throw new IllegalStateException(e);
                }
            });
        }
        room.acquire(CONCURRENT_CALLS);
        double seconds = (System.nanoTime() - began) / 1e9;
        Arrays.sort(took);
        return new double[] {CALLS / seconds, took[CALLS * 99 / 100] / 1e6};
    }
}
