package vetchpost.routes;

import java.util.Locale;

/** What holds for a route, in words, and the worst course that its attempts can take, as a small picture. */
public final class Explanation {
    private static final int WIDTH = 60;

    private Explanation() {}

    /** Some lines on the route, the last with its end. */
    public static String of(Route route) {
        Limits limits = route.limits();
        StringBuilder text = new StringBuilder("route " + route.name() + "\n");
        line(text, "attempt-timeout", limits.attemptUs() == 0 ? "with the request" : Prover.ms(limits.attemptUs()));
        line(text, "total-timeout", limits.totalUs() == 0 ? "with the client" : Prover.ms(limits.totalUs()));
        line(text, "attempts", limits.attempts() + " that may have run");
        line(
                text,
                "backoff",
                limits.backoffUs() == 0
                        ? "none"
                        : Prover.ms(limits.backoffUs()) + ", doubled each time, up to "
                                + Math.round(100 * limits.jitter()) + "% longer");
        line(
                text,
                "second copy",
                limits.copyUs() > 0
                        ? "after " + Prover.ms(limits.copyUs()) + ", at the latest " + Prover.ms(limits.latestCopyUs())
                        : limits.copyPercentile() > 0
                                ? "after the " + limits.copyPercentile() + "th percentile of its answers"
                                : "none");
        line(text, "retry-budget", limits.retryBudget() == 0 ? "none" : limits.retryBudget() + " of first tries");
        line(text, "concurrency", limits.concurrency() == 0 ? "no limit" : Integer.toString(limits.concurrency()));
        line(text, "max-body", limits.bodyBytes() == Long.MAX_VALUE ? "any" : limits.bodyBytes() + "B");
        line(text, "retry-after", limits.retryAfterUs() < 0 ? "as the module says" : Prover.ms(limits.retryAfterUs()));
        if (limits.attemptUs() > 0) {
            picture(text, limits);
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String key, String value) {
        text.append(String.format(Locale.ROOT, "  %-16s %s%n", key, value));
    }

    private static void picture(StringBuilder text, Limits limits) {
        int shown = Math.min(limits.attempts(), 12);
        long endUs = limits.latestStartUs(shown) + limits.attemptUs();
        text.append("the latest course of its attempts, if none is answered:\n");
        for (int attempt = 1; attempt <= shown; attempt++) {
            long from = limits.latestStartUs(attempt);
            int before = (int) (WIDTH * from / endUs);
            int bars = Math.max(1, (int) (WIDTH * limits.attemptUs() / endUs));
            text.append(String.format(
                    Locale.ROOT,
                    "  %2d |%s%s%s| from %s to %s%n",
                    attempt,
                    " ".repeat(before),
                    "=".repeat(bars),
                    " ".repeat(Math.max(0, WIDTH - before - bars)),
                    Prover.ms(from),
                    Prover.ms(from + limits.attemptUs())));
        }
        if (limits.attempts() > shown) {
            text.append("  and ").append(limits.attempts() - shown).append(" more\n");
        }
    }
}
