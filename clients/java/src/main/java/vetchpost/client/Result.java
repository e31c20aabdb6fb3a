package vetchpost.client;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How a call has ended: one of six. {@link #match} has each of them handled; what is not handled does not
 * compile.
 */
public sealed interface Result {
    /** The call's id, the field {@code X-Request-Id} of all its sendings: what to ask the servers about. */
    String id();

    /**
     * A whole answer: any status below 500 that is no refusal.
     *
     * @param headers by names in lower case
     * @param attempts how often it was sent
     */
    record Served(String id, int status, Map<String, List<String>> headers, byte[] body, int attempts)
            implements Result {
        /** The body as a text in UTF-8. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /**
     * Refused. Of a keyed or unsafe call: it has not run, and asking again is harmless.
     *
     * @param comeBack when to ask again, counted from now, if anybody has said
     */
    record Refused(String id, Optional<Duration> comeBack, String cause) implements Result {}

    /** Failed, and surely has not run. */
    record NeverRan(String id, String cause) implements Result {}

    /**
     * Failed, and nobody here can know whether it has run.
     *
     * @param key of a keyed call: one sent with it before its window ends has its effect once
     * @param comeBack when to ask again, counted from now, if a node has said
     */
    record MayHaveRun(String id, Optional<String> key, Optional<Duration> comeBack, String cause) implements Result {}

    /** Given up by whoever made it, or by the client's end. */
    record Cancelled(String id, boolean mayHaveRun) implements Result {}

    /** Its deadline has passed. @param key as of {@link MayHaveRun} */
    record Late(String id, boolean mayHaveRun, Optional<String> key) implements Result {}

    /** What to do with each of the six. */
    interface Cases<T> {
        /** It has been answered. */
        T served(Served result);

        /** It has been refused. */
        T refused(Refused result);

        /** It has failed and has not run. */
        T neverRan(NeverRan result);

        /** It has failed and may have run. */
        T mayHaveRun(MayHaveRun result);

        /** It was given up. */
        T cancelled(Cancelled result);

        /** It is late. */
        T late(Late result);
    }

    /** Does what is to be done with this one. */
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
