package vetchpost.sourcewatch;

import java.util.List;
import vetchpost.sources.ReportedServer;

/** Hears what a source says; on the node's loop. */
interface SourceListener {
    /** It names these. */
    void serversReported(List<ReportedServer> servers);

    /** It says nothing that can be used. */
    void sourceFailed(String why);
}
