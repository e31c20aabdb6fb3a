package vetchpost.conductor;

import java.util.List;
import vetchpost.sources.Named;

/** Hears what a source says; on the node's loop. */
interface Listener {
    /** It names these. */
    void said(List<Named> servers);

    /** It says nothing that can be used. */
    void silent(String why);
}
