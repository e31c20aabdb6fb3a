package vetchpost.decision;

/** Hash ring on which every node computes the same positions for servers. Stateless. */
public final class HashRing {
    private HashRing() {}

    /** Returns the position of a name: 64 well-mixed bits (FNV-1a, and the finalizer of MurmurHash3 by Appleby). */
    public static long position(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
