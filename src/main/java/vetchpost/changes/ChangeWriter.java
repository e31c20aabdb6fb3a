package vetchpost.changes;

import java.util.List;
import vetchpost.changes.RouteConfiguration.Outcome;
import vetchpost.routes.Violation;
import vetchpost.store.EntryChange;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/**
 * Gives batches of changes their versions, one after the other, once each has been proved. It alone writes in
 * its epoch; who takes over begins a later one, and nodes that have seen that take nothing more of this
 * one's.
 */
public final class ChangeWriter {
    private final long epoch;
    private RouteConfiguration configuration;

    /**
     * Goes on where a configuration is.
     *
     * @param epoch over that of the last version there, unless that is this writer's own
     */
    public ChangeWriter(RouteConfiguration catalog, long epoch) {
        if (epoch < Version.epoch(catalog.store().version())) {
            throw new IllegalArgumentException("epoch " + epoch + " after "
                    + Version.format(catalog.store().version()));
        }
        this.configuration = catalog;
        this.epoch = epoch;
    }

    /**
     * Takes a batch in, as one or not at all.
     *
     * @return what it breaks; empty if it has a version now
     */
    public List<Violation> submit(List<EntryChange> batch) {
        long before = configuration.store().version();
        Outcome outcome =
                configuration.apply(batch, Version.epoch(before) == epoch ? before + 1 : Version.of(epoch, 1));
        configuration = outcome.configuration() == null ? configuration : outcome.configuration();
        return outcome.violations();
    }

    /** What is there now. */
    public RouteConfiguration configuration() {
        return configuration;
    }

    /** The same, to be told. */
    public VersionedStore store() {
        return configuration.store();
    }
}
