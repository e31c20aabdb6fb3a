package vetchpost.simulation;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Catches exceptions that the node and Netty log as warnings or worse on the thread of one run, since an
 * exception that is only logged is a fault of the node. Keeps the logging of runs off the terminal.
 */
final class LoggedFaults implements AutoCloseable {
    private static final ThreadLocal<LoggedFaults> CURRENT = new ThreadLocal<>();
    /** Strong references, since loggers that are garbage-collected lose their settings. */
    private static final Logger[] LOGGERS = {Logger.getLogger("vetchpost"), Logger.getLogger("io.netty")};

    private String first;

    static {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        for (Logger logger : LOGGERS) {
            logger.addHandler(new FaultHandler());
        }
    }

    private static final class FaultHandler extends Handler {
        @Override
        public void publish(LogRecord record) {
            LoggedFaults faults = CURRENT.get();
            if (faults != null && faults.first == null && isFault(record)) {
                faults.first = record.getLoggerName() + ": " + record.getMessage() + ": " + record.getThrown();
            }
        }

        private static boolean isFault(LogRecord record) {
            return record.getLevel().intValue() >= Level.WARNING.intValue() && record.getThrown() != null;
        }

        @Override
        public void flush() {
            // Nothing is buffered.
        }

        @Override
        public void close() {
            // No resource is open.
        }
    }

    private LoggedFaults() {}

    /** Watches the logging of the calling thread until closed. */
    static LoggedFaults watch() {
        for (Logger logger : LOGGERS) {
            logger.setUseParentHandlers(false);
        }
        LoggedFaults faults = new LoggedFaults();
        CURRENT.set(faults);
        return faults;
    }

    /** The first exception logged, with its logger and message, or null. */
    String first() {
        return first;
    }

    @Override
    public void close() {
        CURRENT.remove();
    }
}
