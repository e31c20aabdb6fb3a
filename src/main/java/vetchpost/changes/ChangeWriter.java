package vetchpost.changes;

import java.util.List;
import vetchpost.changes.RouteConfiguration.Outcome;
import vetchpost.routes.Violation;
import vetchpost.store.EntryChange;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/**
 * Validates batches of changes and assigns their versions, one after the other. It is the only writer of its epoch:
 * a successor begins a later epoch, and nodes that have seen that one accept no more changes of this one. The
 * control machine that publishes the configuration has one. Not thread-safe.
 */
public final class ChangeWriter {
    private final long epoch;
    private RouteConfiguration configuration;

    /**
     * Continues from a configuration.
     *
     * @param epoch greater than that of the last version in the configuration, or equal if that is this writer's own
     * @throws IllegalArgumentException if the epoch is lower
     */
    public ChangeWriter(RouteConfiguration configuration, long epoch) {
        if (epoch < Version.epoch(configuration.store().version())) {
            throw new IllegalArgumentException("writer epoch " + epoch + " is below that of the last version "
                    + Version.format(configuration.store().version()));
        }
        this.configuration = configuration;
        this.epoch = epoch;
    }

    /**
     * Validates a batch and applies it as a whole, or not at all.
     *
     * @return every violation; empty if the batch was applied
     */
    public List<Violation> submit(List<EntryChange> batch) {
        long before = configuration.store().version();
        Outcome outcome =
                configuration.apply(batch, Version.epoch(before) == epoch ? before + 1 : Version.of(epoch, 1));
        configuration = outcome.configuration() == null ? configuration : outcome.configuration();
        return outcome.violations();
    }

    /** The configuration with all batches so far. */
    public RouteConfiguration configuration() {
        return configuration;
    }

    /** The entries of the configuration, to be published to replicas. */
    public VersionedStore store() {
        return configuration.store();
    }
}
