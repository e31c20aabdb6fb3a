package vetchpost.simulation;

import java.io.PrintWriter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/** What has happened, in order: its digest, the last of it, and all of it where somebody wants to read it. */
final class Trace {
    private static final int MAX_LAST_EVENTS = 40;
    private static final long FNV_PRIME = 0x100000001B3L;

    /** One event; put into words only where it is read. */
    private record Line(long atNs, String what, String who, String detail, long number) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%10.6f %-9s %s %s %d", atNs / 1e9, what, who, detail, number);
        }
    }

    private final Deque<Line> lastEvents = new ArrayDeque<>();
    private final PrintWriter out;
    private long digest = 0xCBF29CE484222325L;
    private long events;

    /** Keeps all of it in this file too, if there is one. */
    Trace(PrintWriter out) {
        this.out = out;
    }

    void add(long atNs, String what, String who, String detail, long number) {
        mix(atNs);
        mix(what.hashCode());
        mix(who.hashCode());
        mix(detail.hashCode());
        mix(number);
        events++;
        Line line = new Line(atNs, what, who, detail, number);
        lastEvents.add(line);
        if (lastEvents.size() > MAX_LAST_EVENTS) {
            lastEvents.poll();
        }
        if (out != null) {
            out.println(line);
        }
    }

    private void mix(long value) {
        digest = (digest ^ value) * FNV_PRIME;
        digest ^= digest >>> 29;
    }

    String digest() {
        return String.format(Locale.ROOT, "%016x", digest);
    }

    long events() {
        return events;
    }

    /** The last events, a line each, the oldest first. */
    List<String> lastEvents() {
        return lastEvents.stream().map(Line::toString).toList();
    }
}
