package vetchpost.changes;

import java.util.List;
import vetchpost.changes.Catalog.Outcome;
import vetchpost.routes.Violation;
import vetchpost.store.Change;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/**
 * Gives batches of changes their versions, one after the other, once each has been proved. It alone writes in
 * its epoch; who takes over begins a later one, and nodes that have seen that take nothing more of this
 * one's.
 */
public final class Writer {
    private final long epoch;
    private Catalog catalog;

    /**
     * Goes on where a configuration is.
     *
     * @param epoch over that of the last version there, unless that is this writer's own
     */
    public Writer(Catalog catalog, long epoch) {
        if (epoch < Version.epoch(catalog.store().version())) {
            throw new IllegalArgumentException(
                    "epoch " + epoch + " after " + Version.text(catalog.store().version()));
        }
        this.catalog = catalog;
        this.epoch = epoch;
    }

    /**
     * Takes a batch in, as one or not at all.
     *
     * @return what it breaks; empty if it has a version now
     */
    public List<Violation> submit(List<Change> batch) {
        long before = catalog.store().version();
        Outcome outcome = catalog.prove(batch, Version.epoch(before) == epoch ? before + 1 : Version.of(epoch, 1));
        catalog = outcome.catalog() == null ? catalog : outcome.catalog();
        return outcome.violations();
    }

    /** What is there now. */
    public Catalog catalog() {
        return catalog;
    }

    /** The same, to be told. */
    public VersionedStore store() {
        return catalog.store();
    }
}
