package vetchpost.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The record of all changes, an entry a line, each chained to the last by a SHA-256, so that a line that was
 * changed, taken out or put in is found. It is the state as well: what held before a restart is read off it.
 */
public final class AuditLog {
    /** Before the first entry. */
    public static final String ROOT_HASH = "0".repeat(64);

    private static final int HASH_LENGTH = 64;
    private static final long US_PER_MS = 1_000;

    private AuditLog() {}

    /** What happened. */
    public enum Event {
        /** A lease was granted. */
        GRANTED,
        /** A lease was undone. */
        UNDONE,
        /** A lease has ended by itself. */
        ENDED,
        /** A change was refused. */
        REFUSED
    }

    /**
     * One entry.
     *
     * @param change null but of what was granted or refused
     * @param by who did it; of what ended by itself, nobody
     * @param note how it was judged
     */
    public record Entry(Event event, long number, long unixMs, OverrideRequest change, String operator, String note) {}

    /** A line as it stands in the file: the chain's hash, a space, and the entry's own text. */
    public static String chainedLine(String before, String text) {
        return chainHash(before, text) + " " + text;
    }

    /** The hash that a line begins with, to chain the next to. */
    public static String hashOf(String line) {
        return line.substring(0, HASH_LENGTH);
    }

    /**
     * Checks a trail.
     *
     * @return 0 if it is whole; else the number of the first line, from 1, that does not follow from those
     *     before
     */
    public static int firstBrokenLine(List<String> lines) {
        String before = ROOT_HASH;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            if (line.length() <= HASH_LENGTH || !line.equals(chainedLine(before, line.substring(HASH_LENGTH + 1)))) {
                return i + 1;
            }
            before = hashOf(line);
        }
        return 0;
    }

    /** An entry's own text in a line of the file. */
    public static String textOf(String line) {
        return line.substring(HASH_LENGTH + 1);
    }

    private static String chainHash(String before, String text) {
        return DigestUtils.sha256Hex((before + " " + text).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * The leases that still hold after a restart. What is left of each is counted by the wall clock, which
     * may have been set: it is never taken to be earlier than the trail's own last word, and a lease
     * never gets longer than it was.
     *
     * @param unixMs the wall clock's time now
     */
    public static List<Lease> activeLeases(List<Entry> entries, long unixMs, long nowUs) {
        Map<Long, Entry> granted = new LinkedHashMap<>();
        long atMs = unixMs;
        for (Entry entry : entries) {
            atMs = Math.max(atMs, entry.unixMs());
            switch (entry.event()) {
                case GRANTED -> granted.put(entry.number(), entry);
                case UNDONE, ENDED -> granted.remove(entry.number());
                default -> {}
            }
        }
        List<Lease> held = new ArrayList<>();
        for (Entry entry : granted.values()) {
            long leftMs = Math.min(
                    entry.change().durationMs(), entry.unixMs() + entry.change().durationMs() - atMs);
            if (leftMs > 0) {
                held.add(new Lease(entry.number(), entry.change(), entry.unixMs(), nowUs + leftMs * US_PER_MS));
            }
        }
        return held;
    }
}
