package vetchpost.client.examples;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import vetchpost.client.Client;
import vetchpost.client.Request;
import vetchpost.client.Result;

/**
 * Imports a folder's photos. It starts all uploads at once, since the client limits the attempts in flight. Each upload
 * has its own key, so that one whose outcome is unknown can be sent once more with that key and takes effect only once.
 */
final class PhotoImport {
    private static final Duration WINDOW = Duration.ofMinutes(10);

    private final Client client;

    PhotoImport(Client client) {
        this.client = client;
    }

    /** The outcome of one photo's upload: "stored", or the reason why not. */
    private record Upload(String photo, String outcome) {}

    /** Uploads all photos and returns the number of uploads for each outcome. */
    Map<String, Integer> run(Map<String, byte[]> photos) {
        List<CompletableFuture<Upload>> uploads = new ArrayList<>();
        photos.forEach((name, bytes) -> uploads.add(upload(name, bytes, Optional.empty())));
        Map<String, Integer> outcomes = new TreeMap<>();
        uploads.forEach(upload -> outcomes.merge(upload.join().outcome(), 1, Integer::sum));
        return outcomes;
    }

    private CompletableFuture<Upload> upload(String name, byte[] bytes, Optional<String> key) {
        Request request = Request.keyed("POST", "/add-photo?name=" + name, WINDOW)
                .body("image/jpeg", bytes)
                .within(Duration.ofSeconds(20));
        return client.send(key.map(request::key).orElse(request))
                .thenCompose(result -> retryOnceIfUnknown(name, bytes, key.isPresent(), result));
    }

    private CompletableFuture<Upload> retryOnceIfUnknown(String name, byte[] bytes, boolean isRetry, Result result) {
        return result.match(new Result.Cases<>() {
            @Override
            public CompletableFuture<Upload> served(Result.Served served) {
                return done(served.status() == 200 ? "stored" : "rejected with " + served.status());
            }

            @Override
            public CompletableFuture<Upload> refused(Result.Refused refused) {
                return done("refused");
            }

            @Override
            public CompletableFuture<Upload> neverRan(Result.NeverRan failed) {
                return done("no node");
            }

            @Override
            public CompletableFuture<Upload> mayHaveRun(Result.MayHaveRun failed) {
                return isRetry ? done("unknown, ask about " + failed.id()) : upload(name, bytes, failed.key());
            }

            @Override
            public CompletableFuture<Upload> cancelled(Result.Cancelled cancelled) {
                return done("cancelled");
            }

            @Override
            public CompletableFuture<Upload> late(Result.Late late) {
                return isRetry ? done("late") : upload(name, bytes, late.key());
            }

            private CompletableFuture<Upload> done(String outcome) {
                return CompletableFuture.completedFuture(new Upload(name, outcome));
            }
        });
    }
}
