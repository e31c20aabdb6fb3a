package vetchpost.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Writes one line for each event of a client connection or a request, so that a request can be followed by its id. Off
 * unless the logger {@value #LOGGER_NAME} accepts level DEBUG when the node is created. Off, it costs a boolean test
 * for each event; on, it costs more than serving a request (docs/request-log.md).
 */
public final class RequestLog {
    /** The name of the logger. */
    public static final String LOGGER_NAME = "vetchpost.requests";

    private static final Logger LOG = System.getLogger(LOGGER_NAME);

    private final boolean enabled = LOG.isLoggable(Level.DEBUG);

    /** Whether lines are written; to be asked before {@link #write}, so that no arguments are built in vain. */
    public boolean isEnabled() {
        return enabled;
    }

    /** Writes the parts as one line, separated by spaces. */
    public void write(Object... parts) {
        StringBuilder text = new StringBuilder();
        for (Object part : parts) {
            text.append(text.length() == 0 ? "" : " ").append(part);
        }
        LOG.log(Level.DEBUG, text.toString());
    }

    /** A request's id as clients write it. */
    public static String id(long requestId) {
        return "txn " + String.format("%016x", requestId);
    }
}
