package vetchpost.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** An answer's body in memory, up to a bound; one that is longer breaks its connection. */
final class BoundedBody implements BodySubscriber<byte[]> {
    private final int maxBytes;
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Flow.Subscription subscription;

    BoundedBody(int most) {
        this.maxBytes = most;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription given) {
        subscription = given;
        given.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> some) {
        for (ByteBuffer buffer : some) {
            if (buffer.remaining() > maxBytes - bytes.size()) {
                subscription.cancel();
                body.completeExceptionally(new IOException("an answer of more than " + maxBytes + " bytes"));
                return;
            }
            byte[] part = new byte[buffer.remaining()];
            buffer.get(part);
            bytes.write(part, 0, part.length);
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
