package vetchpost.sources;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import vetchpost.sources.ReportedServer.State;

/**
 * What one source has said, and for how long that holds. An answer that leaves a server out is no word on it
 * where the source never names all; one that is empty, or none at all, changes nothing for a stated time: a
 * slip must not empty a fleet.
 */
final class SourceState {
    /** What is kept of one source at most; the rest is passed over, and said so. */
    static final int MOST = 20_000;

    private final SourceDeclaration declared;
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
    private record Seen(ReportedServer named, long atUs) {}

    SourceState(SourceDeclaration declared) {
        this.declared = declared;
    }

    SourceDeclaration declared() {
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

    private static String keyOf(ReportedServer named) {
        return named.id().isEmpty() ? ReportedServer.text(named.addresses().get(0)) : named.id();
    }

    /** It has named these. */
    void said(List<ReportedServer> servers, long nowUs) {
        if (servers.isEmpty()) {
            poor("it names no server", nowUs);
            return;
        }
        heard = true;
        poorSinceUs = -1;
        trouble = "";
        if (declared.retentionUs() == 0) {
            seen.forEach((key, last) -> {
                if (last.named().state() == State.DRAINING && lastWords.size() < MOST) {
                    lastWords.put(key, new Seen(last.named(), nowUs));
                }
            });
            seen.clear();
        }
        passedOver = 0;
        for (ReportedServer named : servers) {
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
        lastWords.values().removeIf(last -> nowUs - last.atUs() >= declared.staleAfterUs());
        if (poorSinceUs >= 0) {
            // While it says nothing, nobody is left out either: all that it said holds, or none of it.
            if (nowUs - poorSinceUs >= declared.staleAfterUs()) {
                seen.clear();
            }
            return;
        }
        if (declared.retentionUs() > 0) {
            for (Iterator<Seen> each = seen.values().iterator(); each.hasNext(); ) {
                if (nowUs - each.next().atUs() >= declared.retentionUs()) {
                    each.remove();
                }
            }
        }
    }

    /** What it names. */
    List<ReportedServer> named() {
        List<ReportedServer> all = new ArrayList<>(seen.size());
        seen.values().forEach(s -> all.add(s.named()));
        return all;
    }

    /** Who is not named any more, and was said to drain when it was. */
    List<ReportedServer> lastWords() {
        List<ReportedServer> all = new ArrayList<>(lastWords.size());
        lastWords.values().forEach(s -> all.add(s.named()));
        return all;
    }

    /** When something of it ends, if nothing is said before; the largest number for never. */
    long nextUs() {
        long next = Long.MAX_VALUE;
        for (Seen each : lastWords.values()) {
            next = Math.min(next, each.atUs() + declared.staleAfterUs());
        }
        if (poorSinceUs >= 0) {
            return seen.isEmpty() ? next : Math.min(next, poorSinceUs + declared.staleAfterUs());
        }
        if (declared.retentionUs() > 0) {
            for (Seen each : seen.values()) {
                next = Math.min(next, each.atUs() + declared.retentionUs());
            }
        }
        return next;
    }

    /** Whether its word on a server can do this. */
    boolean may(SourceDeclaration.Permission what) {
        return declared.permissions().contains(what);
    }

    /** Whether a word of it counts: what it may not say is not said. */
    boolean counts(State word) {
        return switch (word) {
            case READY -> may(SourceDeclaration.Permission.ADD);
            case DRAINING -> may(SourceDeclaration.Permission.DRAIN);
            case GONE -> may(SourceDeclaration.Permission.REMOVE);
        };
    }
}
