package vetchpost.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Collects an answer's body in memory, up to a maximum; a longer one fails and closes its connection. The JDK's HTTP
 * client calls it on its own threads, one call at a time.
 */
final class BoundedBody implements BodySubscriber<byte[]> {
    private final int maxBytes;
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Flow.Subscription subscription;

    BoundedBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        newSubscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (buffer.remaining() > maxBytes - bytes.size()) {
                subscription.cancel();
                body.completeExceptionally(new IOException("the answer has more than " + maxBytes + " bytes"));
                return;
            }
            byte[] chunk = new byte[buffer.remaining()];
            buffer.get(chunk);
            bytes.write(chunk, 0, chunk.length);
        }
    }

    @Override
    public void onError(Throwable cause) {
        body.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        body.complete(bytes.toByteArray());
    }
}
