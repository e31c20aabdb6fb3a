package vetchpost.routes;

import java.util.Locale;

/**
 * Describes the limits of a route as text, with a chart of the latest possible schedule of its attempts. Used by
 * {@code vetchpost check}. Stateless.
 */
public final class Explanation {
    private static final int CHART_WIDTH_CHARS = 60;

    private Explanation() {}

    /** The description, in several lines of which each ends with a line break. */
    public static String of(Route route) {
        Limits limits = route.limits();
        StringBuilder text = new StringBuilder("route " + route.name() + "\n");
        appendLine(
                text,
                "attempt-timeout",
                limits.attemptTimeoutUs() == 0
                        ? "none, ends with the request"
                        : RouteValidator.formatDuration(limits.attemptTimeoutUs()));
        appendLine(
                text,
                "total-timeout",
                limits.requestTimeoutUs() == 0
                        ? "none, ends when the client gives up"
                        : RouteValidator.formatDuration(limits.requestTimeoutUs()));
        appendLine(text, "attempts", limits.maxAttempts() + " at most");
        appendLine(
                text,
                "backoff",
                limits.backoffUs() == 0
                        ? "none"
                        : RouteValidator.formatDuration(limits.backoffUs()) + ", doubled each time, up to "
                                + Math.round(100 * limits.jitter()) + "% longer");
        appendLine(
                text,
                "hedged request",
                limits.hedgeAfterUs() > 0
                        ? "after " + RouteValidator.formatDuration(limits.hedgeAfterUs()) + ", at the latest "
                                + RouteValidator.formatDuration(limits.latestHedgeUs())
                        : limits.hedgePercentile() > 0
                                ? "after the " + limits.hedgePercentile() + "th percentile of its latencies"
                                : "none");
        appendLine(
                text,
                "retry-budget",
                limits.retryBudgetFraction() == 0 ? "none" : limits.retryBudgetFraction() + " of first attempts");
        appendLine(
                text,
                "concurrency",
                limits.maxConcurrency() == 0 ? "no limit" : Integer.toString(limits.maxConcurrency()));
        appendLine(text, "max-body", limits.maxBodyBytes() == Long.MAX_VALUE ? "any" : limits.maxBodyBytes() + "B");
        appendLine(
                text,
                "retry-after",
                limits.retryAfterUs() < 0
                        ? "as the balancer advises"
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
        text.append("the latest schedule of its attempts, if none is answered:\n");
        for (int attempt = 1; attempt <= shown; attempt++) {
            long startUs = limits.latestStartUs(attempt);
            int leadingSpaces = (int) (CHART_WIDTH_CHARS * startUs / endUs);
            int barChars = Math.max(1, (int) (CHART_WIDTH_CHARS * limits.attemptTimeoutUs() / endUs));
            text.append(String.format(
                    Locale.ROOT,
                    "  %2d |%s%s%s| from %s to %s%n",
                    attempt,
                    " ".repeat(leadingSpaces),
                    "=".repeat(barChars),
                    " ".repeat(Math.max(0, CHART_WIDTH_CHARS - leadingSpaces - barChars)),
                    RouteValidator.formatDuration(startUs),
                    RouteValidator.formatDuration(startUs + limits.attemptTimeoutUs())));
        }
        if (limits.maxAttempts() > shown) {
            text.append("  and ").append(limits.maxAttempts() - shown).append(" more\n");
        }
    }
}
