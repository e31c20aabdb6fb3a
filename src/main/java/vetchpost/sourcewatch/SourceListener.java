package vetchpost.sourcewatch;

import java.util.List;
import vetchpost.sources.ReportedServer;

/**
 * Receives the reports of one source, on the node's event loop. Implemented by {@link SourceWatcher} for each source.
 */
interface SourceListener {
    /** The source has reported these servers; maybe none. */
    void serversReported(List<ReportedServer> servers);

    /**
     * The source has failed to give a usable list.
     *
     * @param reason a short reason for the log
     */
    void sourceFailed(String reason);
}
