package vetchpost.client;

import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.ByteBuffer;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A body that allows its request to be sent only once. The JDK's client resends GET and HEAD by itself, up to five
 * times, if a connection ends without an answer; this would bypass the retry budget and the backoff and reuse the
 * attempt's id. The JDK's client asks for the length whenever it writes a request head, and the second time this
 * throws.
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
            throw new IllegalStateException("the connection ended without an answer");
        }
        return body.contentLength();
    }

    @Override
    public void subscribe(Flow.Subscriber<? super ByteBuffer> subscriber) {
        body.subscribe(subscriber);
    }
}
