package vetchpost.client;

import java.time.Duration;
import vetchpost.client.core.Ending;

/**
 * Observes calls, for metrics and logs. It is called on the client's one thread and must not block; exceptions that it
 * throws are discarded.
 */
public interface Listener {
    /** A listener that does nothing. */
    Listener NONE = new Listener() {};

    /** An attempt is sent. @param attempt its number, 0 for the first */
    default void sent(String id, int attempt, String node) {}

    /** An attempt has ended; not called for an abandoned one. */
    default void ended(String id, int attempt, String node, Ending ending) {}

    /** A call is over. @param took the time since it was made */
    default void over(Result result, Duration took) {}
}
