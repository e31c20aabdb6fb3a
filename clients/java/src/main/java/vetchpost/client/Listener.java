package vetchpost.client;

import java.time.Duration;
import vetchpost.client.core.Ending;

/** Is told of calls, for metrics and logs, on the client's one thread: it must be quick. What it throws is
 * lost. */
public interface Listener {
    /** One that does nothing. */
    Listener NONE = new Listener() {};

    /** A request goes out. @param attempt 0 for the first */
    default void sent(String id, int attempt, String node) {}

    /** An attempt has ended; of one that is given up there is no word. */
    default void ended(String id, int attempt, String node, Ending how) {}

    /** A call is over. */
    default void over(Result result, Duration took) {}
}
