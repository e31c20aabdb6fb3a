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
        line(
                text,
                "attempt-timeout",
                limits.attemptTimeoutUs() == 0 ? "with the request" : RouteValidator.ms(limits.attemptTimeoutUs()));
        line(
                text,
                "total-timeout",
                limits.requestTimeoutUs() == 0 ? "with the client" : RouteValidator.ms(limits.requestTimeoutUs()));
        line(text, "attempts", limits.maxAttempts() + " that may have run");
        line(
                text,
                "backoff",
                limits.backoffUs() == 0
                        ? "none"
                        : RouteValidator.ms(limits.backoffUs()) + ", doubled each time, up to "
                                + Math.round(100 * limits.jitter()) + "% longer");
        line(
                text,
                "second copy",
                limits.hedgeAfterUs() > 0
                        ? "after " + RouteValidator.ms(limits.hedgeAfterUs()) + ", at the latest "
                                + RouteValidator.ms(limits.latestCopyUs())
                        : limits.hedgePercentile() > 0
                                ? "after the " + limits.hedgePercentile() + "th percentile of its answers"
                                : "none");
        line(
                text,
                "retry-budget",
                limits.retryBudgetFraction() == 0 ? "none" : limits.retryBudgetFraction() + " of first tries");
        line(
                text,
                "concurrency",
                limits.maxConcurrency() == 0 ? "no limit" : Integer.toString(limits.maxConcurrency()));
        line(text, "max-body", limits.maxBodyBytes() == Long.MAX_VALUE ? "any" : limits.maxBodyBytes() + "B");
        line(
                text,
                "retry-after",
                limits.retryAfterUs() < 0 ? "as the module says" : RouteValidator.ms(limits.retryAfterUs()));
        if (limits.attemptTimeoutUs() > 0) {
            picture(text, limits);
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String key, String value) {
        text.append(String.format(Locale.ROOT, "  %-16s %s%n", key, value));
    }

    private static void picture(StringBuilder text, Limits limits) {
        int shown = Math.min(limits.maxAttempts(), 12);
        long endUs = limits.latestStartUs(shown) + limits.attemptTimeoutUs();
        text.append("the latest course of its attempts, if none is answered:\n");
        for (int attempt = 1; attempt <= shown; attempt++) {
            long from = limits.latestStartUs(attempt);
            int before = (int) (WIDTH * from / endUs);
            int bars = Math.max(1, (int) (WIDTH * limits.attemptTimeoutUs() / endUs));
            text.append(String.format(
                    Locale.ROOT,
                    "  %2d |%s%s%s| from %s to %s%n",
                    attempt,
                    " ".repeat(before),
                    "=".repeat(bars),
                    " ".repeat(Math.max(0, WIDTH - before - bars)),
                    RouteValidator.ms(from),
                    RouteValidator.ms(from + limits.attemptTimeoutUs())));
        }
        if (limits.maxAttempts() > shown) {
            text.append("  and ").append(limits.maxAttempts() - shown).append(" more\n");
        }
    }
}
