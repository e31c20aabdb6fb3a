package vetchpost.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The format of the audit log: all changes, one entry per line, each chained to the previous line by a SHA-256 hash, so
 * that a changed, removed or inserted line is detected. The log is also the stored state: the leases that were active
 * before a restart are restored from it. Called by the audit file and at start; stateless, without I/O.
 */
public final class AuditLog {
    /** The hash that the first entry is chained to. */
    public static final String ROOT_HASH = "0".repeat(64);

    private static final int HASH_LENGTH = 64;
    private static final long US_PER_MS = 1_000;

    private AuditLog() {}

    /** What happened. The constants are written to the log by name. */
    public enum Event {
        /** A lease was granted. */
        GRANTED,
        /** A lease was undone. */
        UNDONE,
        /** A lease has expired. */
        ENDED,
        /** A change was rejected. */
        REFUSED
    }

    /**
     * One entry.
     *
     * @param number the lease's number; 0 for a rejected change
     * @param unixMs Unix time in milliseconds
     * @param change the requested change; null unless it was granted or rejected
     * @param operator who made the change; empty for a lease that has expired
     * @param note the safety check's objections; empty if none
     */
    public record Entry(Event event, long number, long unixMs, OverrideRequest change, String operator, String note) {}

    /**
     * Formats a line of the file: the chained hash, a space, and the entry's text.
     *
     * @param previousHash the hash of the line before, or {@link #ROOT_HASH}
     */
    public static String chainedLine(String previousHash, String text) {
        return chainHash(previousHash, text) + " " + text;
    }

    /** The hash that a line begins with, which the next line is chained to. */
    public static String hashOf(String line) {
        return line.substring(0, HASH_LENGTH);
    }

    /**
     * Verifies the chain of a whole log.
     *
     * @return 0 if it is intact; else the number, from 1, of the first line that does not follow from those before it
     */
    public static int firstBrokenLine(List<String> lines) {
        String previousHash = ROOT_HASH;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            if (line.length() <= HASH_LENGTH
                    || !line.equals(chainedLine(previousHash, line.substring(HASH_LENGTH + 1)))) {
                return i + 1;
            }
            previousHash = hashOf(line);
        }
        return 0;
    }

    /** The entry's text in a line of the file. */
    public static String textOf(String line) {
        return line.substring(HASH_LENGTH + 1);
    }

    private static String chainHash(String previousHash, String text) {
        return DigestUtils.sha256Hex((previousHash + " " + text).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * The leases that are still active after a restart. The time left is computed from the wall clock, which may have
     * been set: it is never taken to be earlier than the log's latest entry, and a lease never becomes longer than it
     * was.
     *
     * @param unixMs the wall clock's time now, in milliseconds
     * @param nowUs the monotonic clock's time now, in microseconds
     */
    public static List<Lease> activeLeases(List<Entry> entries, long unixMs, long nowUs) {
        Map<Long, Entry> granted = new LinkedHashMap<>();
        long currentMs = unixMs;
        for (Entry entry : entries) {
            currentMs = Math.max(currentMs, entry.unixMs());
            switch (entry.event()) {
                case GRANTED -> granted.put(entry.number(), entry);
                case UNDONE, ENDED -> granted.remove(entry.number());
                default -> {}
            }
        }
        List<Lease> activeLeases = new ArrayList<>();
        for (Entry entry : granted.values()) {
            long remainingMs = Math.min(
                    entry.change().durationMs(), entry.unixMs() + entry.change().durationMs() - currentMs);
            if (remainingMs > 0) {
                activeLeases.add(
                        new Lease(entry.number(), entry.change(), entry.unixMs(), nowUs + remainingMs * US_PER_MS));
            }
        }
        return activeLeases;
    }
}
