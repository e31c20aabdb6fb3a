package vetchpost.routes;

import java.util.Locale;

/** What holds for a route, in words, and the worst course that its attempts can take, as a small picture. */
public final class Explanation {
    private static final int CHART_WIDTH_CHARS = 60;

    private Explanation() {}

    /** Some lines on the route, the last with its end. */
    public static String of(Route route) {
        Limits limits = route.limits();
        StringBuilder text = new StringBuilder("route " + route.name() + "\n");
        appendLine(
                text,
                "attempt-timeout",
                limits.attemptTimeoutUs() == 0
                        ? "with the request"
                        : RouteValidator.formatDuration(limits.attemptTimeoutUs()));
        appendLine(
                text,
                "total-timeout",
                limits.requestTimeoutUs() == 0
                        ? "with the client"
                        : RouteValidator.formatDuration(limits.requestTimeoutUs()));
        appendLine(text, "attempts", limits.maxAttempts() + " that may have run");
        appendLine(
                text,
                "backoff",
                limits.backoffUs() == 0
                        ? "none"
                        : RouteValidator.formatDuration(limits.backoffUs()) + ", doubled each time, up to "
                                + Math.round(100 * limits.jitter()) + "% longer");
        appendLine(
                text,
                "second copy",
                limits.hedgeAfterUs() > 0
                        ? "after " + RouteValidator.formatDuration(limits.hedgeAfterUs()) + ", at the latest "
                                + RouteValidator.formatDuration(limits.latestHedgeUs())
                        : limits.hedgePercentile() > 0
                                ? "after the " + limits.hedgePercentile() + "th percentile of its answers"
                                : "none");
        appendLine(
                text,
                "retry-budget",
                limits.retryBudgetFraction() == 0 ? "none" : limits.retryBudgetFraction() + " of first tries");
        appendLine(
                text,
                "concurrency",
                limits.maxConcurrency() == 0 ? "no limit" : Integer.toString(limits.maxConcurrency()));
        appendLine(text, "max-body", limits.maxBodyBytes() == Long.MAX_VALUE ? "any" : limits.maxBodyBytes() + "B");
        appendLine(
                text,
                "retry-after",
                limits.retryAfterUs() < 0
                        ? "as the module says"
                        : RouteValidator.formatDuration(limits.retryAfterUs()));
        if (limits.attemptTimeoutUs() > 0) {
            appendChart(text, limits);
        }
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String key, String value) {
        text.append(String.format(Locale.ROOT, "  %-16s %s%n", key, value));
    }

    private static void appendChart(StringBuilder text, Limits limits) {
        int shown = Math.min(limits.maxAttempts(), 12);
        long endUs = limits.latestStartUs(shown) + limits.attemptTimeoutUs();
        text.append("the latest course of its attempts, if none is answered:\n");
        for (int attempt = 1; attempt <= shown; attempt++) {
            long from = limits.latestStartUs(attempt);
            int before = (int) (CHART_WIDTH_CHARS * from / endUs);
            int bars = Math.max(1, (int) (CHART_WIDTH_CHARS * limits.attemptTimeoutUs() / endUs));
            text.append(String.format(
                    Locale.ROOT,
                    "  %2d |%s%s%s| from %s to %s%n",
                    attempt,
                    " ".repeat(before),
                    "=".repeat(bars),
                    " ".repeat(Math.max(0, CHART_WIDTH_CHARS - before - bars)),
                    RouteValidator.formatDuration(from),
                    RouteValidator.formatDuration(from + limits.attemptTimeoutUs())));
        }
        if (limits.maxAttempts() > shown) {
            text.append("  and ").append(limits.maxAttempts() - shown).append(" more\n");
        }
    }
}
