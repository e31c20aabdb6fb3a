package vetchpost.store;

import java.util.List;
import vetchpost.store.PackedTree.Item;

/**
 * The entries of a configuration at one version, and which went away lately. It never changes: a batch of
 * changes makes another one that shares all but what changed, and comes into force by the exchange of one
 * reference, all of it or nothing. Each entry's stamp is the version of its last change.
 */
public final class VersionedStore {
    /** Of no version. */
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
     * Entries that somebody else told, at that version. Which went away before is not known.
     *
     * @param live by the bytes of their keys
     */
    public static VersionedStore of(PackedTree live, long version) {
        return new VersionedStore(live, PackedTree.EMPTY, version, version);
    }

    /** As it was kept: with what went away after that horizon. */
    public static VersionedStore restored(PackedTree live, PackedTree removed, long version, long horizon) {
        return new VersionedStore(live, removed, version, horizon);
    }

    /**
     * With a batch of changes, at that version; of several of one key the last counts. Whether the changes
     * make sense is for whoever proves them.
     *
     * @throws IllegalArgumentException if the version is not past this one's
     */
    public VersionedStore with(List<EntryChange> batch, long at) {
        if (at <= version) {
            throw new IllegalArgumentException("version " + Version.format(at) + " after " + Version.format(version));
        }
        PackedTree entries = live;
        PackedTree gone = removed;
        for (EntryChange change : batch) {
            byte[] key = change.key().bytes();
            if (change.value() == null) {
                entries = entries.remove(key);
                gone = gone.put(key, EMPTY_VALUE, at);
            } else {
                entries = entries.put(key, change.value(), at);
                gone = gone.remove(key);
            }
        }
        return new VersionedStore(entries, gone, at, horizon);
    }

    /** As it is, with entries and removed keys that were brought to that version one by one. */
    public VersionedStore withEntries(PackedTree entries, PackedTree gone, long at) {
        return new VersionedStore(entries, gone, at, horizon);
    }

    /**
     * Forgets the oldest removed keys until so many are left. Whoever is at a version before {@link #horizon}
     * then can't be told by versions what went away.
     */
    public VersionedStore forgetRemovals(long most) {
        if (removed.size() <= most) {
            return this;
        }
        long[] stamps = removed.range(null, null, Integer.MAX_VALUE).stream()
                .mapToLong(Item::stamp)
                .sorted()
                .toArray();
        long past = stamps[(int) (stamps.length - most - 1)];
        PackedTree kept = PackedTree.EMPTY;
        for (Item item = removed.nextNewer(EMPTY_VALUE, past);
                item != null;
                item = removed.nextNewer(PackedTree.successor(item.key()), past)) {
            kept = kept.put(item.key(), EMPTY_VALUE, item.stamp());
        }
        return new VersionedStore(live, kept, version, Math.max(horizon, past));
    }

    /** The entry of a key, or null. */
    public Item get(EntryKey key) {
        return live.get(key.bytes());
    }

    /** All entries, by the bytes of their keys. */
    public PackedTree live() {
        return live;
    }

    /** Keys of entries that went away, with the version at which they did. */
    public PackedTree removed() {
        return removed;
    }

    /** The version of the last batch. */
    public long version() {
        return version;
    }

    /** From this version on it is known what went away. */
    public long horizon() {
        return horizon;
    }
}
