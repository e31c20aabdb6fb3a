package vetchpost.sourcewatch;

import java.util.List;
import vetchpost.sources.ReportedServer;

/** Hears what a source says; on the node's loop. */
interface SourceListener {
    /** It names these. */
    void said(List<ReportedServer> servers);

    /** It says nothing that can be used. */
    void silent(String why);
}
