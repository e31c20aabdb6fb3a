package vetchpost.replication;

import vetchpost.store.PackedTree.Item;
import vetchpost.store.VersionedStore;

/** Replicas with a fault, to see that it is found. */
public final class InjectedFaults {
    private InjectedFaults() {}

    /** Takes what comes before what it has, as of a writer that was replaced. */
    public static Replica unfenced(
            String name, VersionedStore store, Index index, boolean relay, Replica.Listener listener) {
        return new Replica(name, store, index, relay, listener) {
            @Override
            boolean isNotNewer(long version) {
                return false;
            }

            @Override
            boolean startsAtCurrentVersion(Frame frame) {
                return true;
            }

            @Override
            boolean isWithinDelta(Frame.Entry entry, Frame frame) {
                return true;
            }

            @Override
            boolean isOlder(long stamp, Item own) {
                return false;
            }
        };
    }

    /** Has each part of a batch in force as it comes. */
    public static Replica applyingPartialBatches(
            String name, VersionedStore store, Index index, boolean relay, Replica.Listener listener) {
        return new Replica(name, store, index, relay, listener) {
            @Override
            boolean isComplete(Frame frame) {
                return true;
            }
        };
    }

    /** Passes over what went away when ranges are compared. */
    public static Replica ignoringRemovals(
            String name, VersionedStore store, Index index, boolean relay, Replica.Listener listener) {
        return new Replica(name, store, index, relay, listener) {
            @Override
            void removeMissing(Item item) {
                // It stays.
            }
        };
    }
}
