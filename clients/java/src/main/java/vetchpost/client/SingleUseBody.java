package vetchpost.client;

import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.ByteBuffer;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A body that lets its request out once. The JDK's client sends GET and HEAD again by itself, up to five
 * times, where a connection ends without an answer: past the budget, past the back-off, and under the same
 * number. It asks for the length whenever it writes a head; the second time it is stopped.
 */
final class SingleUseBody implements BodyPublisher {
    private final BodyPublisher body;
    private final AtomicBoolean used = new AtomicBoolean();

    SingleUseBody(byte[] bytes) {
        body = bytes.length == 0 ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(bytes);
    }

    @Override
    public long contentLength() {
        if (!used.compareAndSet(false, true)) {
            throw new IllegalStateException("the connection has ended without an answer");
        }
        return body.contentLength();
    }

    @Override
    public void subscribe(Flow.Subscriber<? super ByteBuffer> subscriber) {
        body.subscribe(subscriber);
    }
}
