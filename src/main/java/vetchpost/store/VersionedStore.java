package vetchpost.store;

import java.util.List;
import vetchpost.store.PackedTree.Item;

/**
 * The entries of a configuration at one version, and the keys that were removed lately. It is immutable and may be
 * read by any thread. A batch of changes makes another store that shares what did not change, and takes effect
 * as a whole when one reference is replaced. Each entry's stamp is the version of its last change. Writers,
 * replicas and publishers of the configuration use it.
 */
public final class VersionedStore {
    /** The store without entries, at {@link Version#NONE}. */
    public static final VersionedStore EMPTY =
            new VersionedStore(PackedTree.EMPTY, PackedTree.EMPTY, Version.NONE, Version.NONE);

    private static final byte[] EMPTY_VALUE = new byte[0];

    private final PackedTree live;
    private final PackedTree removed;
    private final long version;
    private final long horizon;

    private VersionedStore(PackedTree live, PackedTree removed, long version, long horizon) {
        this.live = live;
        this.removed = removed;
        this.version = version;
        this.horizon = horizon;
    }

    /**
     * A store of entries received from another node. Its removed keys are not known.
     *
     * @param live entries by the bytes of their keys
     * @param version of the last change; also the horizon
     */
    public static VersionedStore of(PackedTree live, long version) {
        return new VersionedStore(live, PackedTree.EMPTY, version, version);
    }

    /** A store as it was saved, with the keys that were removed after the horizon. */
    public static VersionedStore restored(PackedTree live, PackedTree removed, long version, long horizon) {
        return new VersionedStore(live, removed, version, horizon);
    }

    /**
     * A store with a batch of changes; of several changes of one key the last counts. The caller validates the
     * changes.
     *
     * @param newVersion of the batch
     * @throws IllegalArgumentException if the version is not greater than this store's
     */
    public VersionedStore with(List<EntryChange> batch, long newVersion) {
        if (newVersion <= version) {
            throw new IllegalArgumentException(
                    "version " + Version.format(newVersion) + " is not after the store's " + Version.format(version));
        }
        PackedTree entries = live;
        PackedTree removedKeys = removed;
        for (EntryChange change : batch) {
            byte[] key = change.key().bytes();
            if (change.value() == null) {
                entries = entries.remove(key);
                removedKeys = removedKeys.put(key, EMPTY_VALUE, newVersion);
            } else {
                entries = entries.put(key, change.value(), newVersion);
                removedKeys = removedKeys.remove(key);
            }
        }
        return new VersionedStore(entries, removedKeys, newVersion, horizon);
    }

    /** A store with entries and removed keys that were brought to that version one by one. */
    public VersionedStore withEntries(PackedTree entries, PackedTree removedKeys, long newVersion) {
        return new VersionedStore(entries, removedKeys, newVersion, horizon);
    }

    /**
     * Forgets the oldest removed keys until at most {@code maxRemovals} are left. A replica at a version before
     * {@link #horizon} then cannot learn by versions which keys were removed.
     */
    public VersionedStore forgetRemovals(long maxRemovals) {
        if (removed.size() <= maxRemovals) {
            return this;
        }
        long[] stamps = removed.range(null, null, Integer.MAX_VALUE).stream()
                .mapToLong(Item::stamp)
                .sorted()
                .toArray();
        long newHorizon = stamps[(int) (stamps.length - maxRemovals - 1)];
        PackedTree kept = PackedTree.EMPTY;
        for (Item item = removed.nextNewer(EMPTY_VALUE, newHorizon);
                item != null;
                item = removed.nextNewer(PackedTree.successor(item.key()), newHorizon)) {
            kept = kept.put(item.key(), EMPTY_VALUE, item.stamp());
        }
        return new VersionedStore(live, kept, version, Math.max(horizon, newHorizon));
    }

    /** The entry of a key, or null. */
    public Item get(EntryKey key) {
        return live.get(key.bytes());
    }

    /** All entries, by the bytes of their keys. */
    public PackedTree live() {
        return live;
    }

    /** The keys of removed entries, stamped with the version of their removal. */
    public PackedTree removed() {
        return removed;
    }

    /** The version of the last batch. */
    public long version() {
        return version;
    }

    /** The version after which all removals are known. */
    public long horizon() {
        return horizon;
    }
}
