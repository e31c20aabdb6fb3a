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

/** Compares the client with the JDK's bare one, alternating in one run: calls per second and the 99th percentile. */
public final class Overhead {
    private static final int CALLS = 20_000;
    private static final int CONCURRENT_CALLS = 16;
    private static final int ROUNDS = 7;

    private Overhead() {}

    /** Runs the rounds and prints their figures. */
    public static void main(String[] args) throws Exception {
        ScriptedNode server = new ScriptedNode(ScriptedNode.answers(200, "hello"));
        String url = server.url();
        HttpClient bare =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest get = HttpRequest.newBuilder(URI.create(url + "/x")).build();
        Settings highLimit = new Settings(3, 50, 2_000, 10, 100, 0, 950, 64, 256, 1_000, 5, 1_000, 30_000);
        double[] throughputRatios = new double[ROUNDS];
        double[] p99Ratios = new double[ROUNDS];
        try (Client client = Client.builder().node(url).settings(highLimit).build()) {
            for (int round = -1; round < ROUNDS; round++) {
                double[] bareFigures = measure(() -> bare.sendAsync(get, HttpResponse.BodyHandlers.ofByteArray()));
                double[] clientFigures =
                        measure(() -> client.send(Request.get("/x")).thenApply(Result.Served.class::cast));
                if (round >= 0) {
                    throughputRatios[round] = clientFigures[0] / bareFigures[0];
                    p99Ratios[round] = clientFigures[1] / bareFigures[1];
                    System.out.printf(
                            "bare %.0f/s, p99 %.2f ms; client %.0f/s, p99 %.2f ms%n",
                            bareFigures[0], bareFigures[1], clientFigures[0], clientFigures[1]);
                }
            }
        }
        server.close();
        Arrays.sort(throughputRatios);
        Arrays.sort(p99Ratios);
        System.out.printf(
                "median ratios: throughput %.2f, p99 %.2f%n", throughputRatios[ROUNDS / 2], p99Ratios[ROUNDS / 2]);
    }

    /** Returns calls per second and the 99th percentile of their times in milliseconds. */
    private static double[] measure(Supplier<CompletableFuture<?>> call) throws InterruptedException {
        Semaphore permits = new Semaphore(CONCURRENT_CALLS);
        long[] timesNs = new long[CALLS];
        long startedNs = System.nanoTime();
        for (int i = 0; i < CALLS; i++) {
            int index = i;
            permits.acquire();
            long sentNs = System.nanoTime();
            call.get().whenComplete((r, e) -> {
                timesNs[index] = System.nanoTime() - sentNs;
                permits.release();
                if (e != null) {
                    throw new IllegalStateException(e);
                }
            });
        }
        permits.acquire(CONCURRENT_CALLS);
        double seconds = (System.nanoTime() - startedNs) / 1e9;
        Arrays.sort(timesNs);
        return new double[] {CALLS / seconds, timesNs[CALLS * 99 / 100] / 1e6};
    }
}
