package vetchpost.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * What became of each client's connection and each request, a line an event, for finding one request's way by
 * its id. Off unless the logger {@value #LOGGER_NAME} takes messages of level DEBUG as the node is put together, and
 * then a boolean's test an event; on, it costs more than a request does (docs/request-log.md).
 */
public final class RequestLog {
    /** The logger's name. */
    public static final String LOGGER_NAME = "vetchpost.requests";

    private static final Logger LOG = System.getLogger(LOGGER_NAME);

    private final boolean enabled = LOG.isLoggable(Level.DEBUG);

    /** Whether lines are wanted; to be asked first, so that none is made for nothing. */
    public boolean isEnabled() {
        return enabled;
    }

    /** Writes the parts one behind the other, a space between. */
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
