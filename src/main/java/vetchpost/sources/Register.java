package vetchpost.sources;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import vetchpost.sources.Named.Word;

/**
 * What one source has said, and for how long that holds. An answer that leaves a server out is no word on it
 * where the source never names all; one that is empty, or none at all, changes nothing for a stated time: a
 * slip must not empty a fleet.
 */
final class Register {
    /** What is kept of one source at most; the rest is passed over, and said so. */
    static final int MOST = 20_000;

    private final Declared declared;
    private final Map<String, Seen> seen = new LinkedHashMap<>();
    /**
     * Who was said to drain when it was named last, and is not named any more. That it is left
     * out then does not take the word back: another source may go on naming it for a while.
     */
    private final Map<String, Seen> lastWords = new LinkedHashMap<>();
    /** Since when it has said nothing, or that there is nothing; or -1. */
    private long poorSinceUs = -1;

    private String trouble = "";
    private int passedOver;
    private boolean heard;

    /** A server as it was named last, and when. */
    private record Seen(Named named, long atUs) {}

    Register(Declared declared) {
        this.declared = declared;
    }

    Declared declared() {
        return declared;
    }

    /** Whether it has ever said anything that could be used. */
    boolean isHeard() {
        return heard;
    }

    /** Why what it said last is old; empty if it is not. */
    String trouble() {
        return trouble;
    }

    /** Servers that its last answer named beyond what is kept. */
    int passedOver() {
        return passedOver;
    }

    private static String keyOf(Named named) {
        return named.id().isEmpty() ? Named.text(named.addresses().get(0)) : named.id();
    }

    /** It has named these. */
    void said(List<Named> servers, long nowUs) {
        if (servers.isEmpty()) {
            poor("it names no server", nowUs);
            return;
        }
        heard = true;
        poorSinceUs = -1;
        trouble = "";
        if (declared.keepUs() == 0) {
            seen.forEach((key, last) -> {
                if (last.named().word() == Word.DRAINING && lastWords.size() < MOST) {
                    lastWords.put(key, new Seen(last.named(), nowUs));
                }
            });
            seen.clear();
        }
        passedOver = 0;
        for (Named named : servers) {
            String key = keyOf(named);
            lastWords.remove(key);
            if (seen.size() >= MOST && !seen.containsKey(key)) {
                passedOver++;
            } else {
                seen.put(key, new Seen(named, nowUs));
            }
        }
        expire(nowUs);
    }

    /** It says nothing that can be used, or that there is nothing. */
    void poor(String why, long nowUs) {
        trouble = why;
        if (poorSinceUs < 0) {
            poorSinceUs = nowUs;
        }
    }

    /** Lets go of what does not hold any more. */
    void expire(long nowUs) {
        lastWords.values().removeIf(last -> nowUs - last.atUs() >= declared.staleUs());
        if (poorSinceUs >= 0) {
            // While it says nothing, nobody is left out either: all that it said holds, or none of it.
            if (nowUs - poorSinceUs >= declared.staleUs()) {
                seen.clear();
            }
            return;
        }
        if (declared.keepUs() > 0) {
            for (Iterator<Seen> each = seen.values().iterator(); each.hasNext(); ) {
                if (nowUs - each.next().atUs() >= declared.keepUs()) {
                    each.remove();
                }
            }
        }
    }

    /** What it names. */
    List<Named> named() {
        List<Named> all = new ArrayList<>(seen.size());
        seen.values().forEach(s -> all.add(s.named()));
        return all;
    }

    /** Who is not named any more, and was said to drain when it was. */
    List<Named> lastWords() {
        List<Named> all = new ArrayList<>(lastWords.size());
        lastWords.values().forEach(s -> all.add(s.named()));
        return all;
    }

    /** When something of it ends, if nothing is said before; the largest number for never. */
    long nextUs() {
        long next = Long.MAX_VALUE;
        for (Seen each : lastWords.values()) {
            next = Math.min(next, each.atUs() + declared.staleUs());
        }
        if (poorSinceUs >= 0) {
            return seen.isEmpty() ? next : Math.min(next, poorSinceUs + declared.staleUs());
        }
        if (declared.keepUs() > 0) {
            for (Seen each : seen.values()) {
                next = Math.min(next, each.atUs() + declared.keepUs());
            }
        }
        return next;
    }

    /** Whether its word on a server can do this. */
    boolean may(Declared.May what) {
        return declared.may().contains(what);
    }

    /** Whether a word of it counts: what it may not say is not said. */
    boolean counts(Word word) {
        return switch (word) {
            case READY -> may(Declared.May.ADD);
            case DRAINING -> may(Declared.May.DRAIN);
            case GONE -> may(Declared.May.REMOVE);
        };
    }
}
