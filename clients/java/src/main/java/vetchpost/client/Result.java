package vetchpost.client;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How a call has ended: one of six kinds. Code that uses {@link #match} does not compile unless it handles them all.
 */
public sealed interface Result {
    /**
     * Returns the call's id, the header {@code X-Request-Id} of all its attempts; it identifies the call at the
     * servers.
     */
    String id();

    /**
     * A complete answer: any status below 500 that is no refusal.
     *
     * @param headers the answer's headers, by names in lower case
     * @param attempts the number of attempts that were sent
     */
    record Served(String id, int status, Map<String, List<String>> headers, byte[] body, int attempts)
            implements Result {
        /** Returns the body decoded as UTF-8. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /**
     * Refused. A keyed or unsafe call has not run, and a retry is harmless.
     *
     * @param comeBack the time from now after which to retry, if a node sent a Retry-After
     */
    record Refused(String id, Optional<Duration> comeBack, String cause) implements Result {}

    /** Failed, and certainly has not run. */
    record NeverRan(String id, String cause) implements Result {}

    /**
     * Failed, and it is unknown whether it has run.
     *
     * @param key the key of a keyed call: a call with the same key within its window takes effect only once
     * @param comeBack the time from now after which to retry, if a node sent a Retry-After
     */
    record MayHaveRun(String id, Optional<String> key, Optional<Duration> comeBack, String cause) implements Result {}

    /** Cancelled by its caller, or by closing the client. */
    record Cancelled(String id, boolean mayHaveRun) implements Result {}

    /** Its deadline has passed. @param key as of {@link MayHaveRun} */
    record Late(String id, boolean mayHaveRun, Optional<String> key) implements Result {}

    /** One handler for each kind of result. */
    interface Cases<T> {
        /** Handles a complete answer. */
        T served(Served result);

        /** Handles a refusal. */
        T refused(Refused result);

        /** Handles a failure of a call that has not run. */
        T neverRan(NeverRan result);

        /** Handles a failure of a call that may have run. */
        T mayHaveRun(MayHaveRun result);

        /** Handles a cancelled call. */
        T cancelled(Cancelled result);

        /** Handles a call whose deadline has passed. */
        T late(Late result);
    }

    /** Calls the handler for this result and returns its value. */
    default <T> T match(Cases<T> cases) {
        if (this instanceof Served served) {
            return cases.served(served);
        } else if (this instanceof Refused refused) {
            return cases.refused(refused);
        } else if (this instanceof NeverRan never) {
            return cases.neverRan(never);
        } else if (this instanceof MayHaveRun may) {
            return cases.mayHaveRun(may);
        } else if (this instanceof Cancelled cancelled) {
            return cases.cancelled(cancelled);
        }
        return cases.late((Late) this);
    }
}
