package vetchpost.replication;

import vetchpost.store.PackedTree.Item;
import vetchpost.store.VersionedStore;

/** Replicas with an injected fault, to show that tests and simulations detect it. */
public final class InjectedFaults {
    private InjectedFaults() {}

    /** Accepts older versions, such as those of a writer that was replaced. */
    public static Replica unfenced(
            String name, VersionedStore store, Index index, boolean tracksRemovals, Replica.Listener listener) {
        return new Replica(name, store, index, tracksRemovals, listener) {
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

    /** Applies each part of a batch as it arrives. */
    public static Replica applyingPartialBatches(
            String name, VersionedStore store, Index index, boolean tracksRemovals, Replica.Listener listener) {
        return new Replica(name, store, index, tracksRemovals, listener) {
            @Override
            boolean isComplete(Frame frame) {
                return true;
            }
        };
    }

    /** Does not remove keys that a comparison of ranges finds missing at the publisher. */
    public static Replica ignoringRemovals(
            String name, VersionedStore store, Index index, boolean tracksRemovals, Replica.Listener listener) {
        return new Replica(name, store, index, tracksRemovals, listener) {
            @Override
            void removeMissing(Item item) {
                // The injected fault: the item stays.
            }
        };
    }
}
