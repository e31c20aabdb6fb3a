package vetchpost.simulation;

import java.io.PrintWriter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/**
 * The events of a run: keeps their digest and the last of them, and writes all to a file if one is given. The
 * digest shows whether two runs had the same events.
 */
final class Trace {
    private static final int MAX_LAST_EVENTS = 40;
    private static final long FNV_PRIME = 0x100000001B3L;

    /** One event; formatted only when it is read. */
    private record Line(long atNs, String event, String subject, String detail, long number) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%10.6f %-9s %s %s %d", atNs / 1e9, event, subject, detail, number);
        }
    }

    private final Deque<Line> lastEvents = new ArrayDeque<>();
    private final PrintWriter out;
    private long digest = 0xCBF29CE484222325L;
    private long events;

    /** Also writes each event to {@code out}, unless it is null. */
    Trace(PrintWriter out) {
        this.out = out;
    }

    void add(long atNs, String event, String subject, String detail, long number) {
        mix(atNs);
        mix(event.hashCode());
        mix(subject.hashCode());
        mix(detail.hashCode());
        mix(number);
        events++;
        Line line = new Line(atNs, event, subject, detail, number);
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

    /** The last events, one line each, oldest first. */
    List<String> lastEvents() {
        return lastEvents.stream().map(Line::toString).toList();
    }
}
