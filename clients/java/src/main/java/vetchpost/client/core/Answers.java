package vetchpost.client.core;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.time.format.ResolverStyle;
import java.util.Locale;
import java.util.regex.Pattern;

/** Interprets answers of nodes, as {@code docs/client-protocol.md} defines them. Stateless; any thread may call it. */
public final class Answers {
    /** The header in which a standalone node says whether a request that it has not served has run. */
    public static final String RAN = "Vetchpost-Ran";

    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,10}(\\.[0-9]{1,9})?");
    private static final Pattern DATE = Pattern.compile(
            "(Mon|Tue|Wed|Thu|Fri|Sat|Sun), [0-9]{2} [A-Z][a-z]{2} [0-9]{4} [0-9]{2}:[0-9]{2}:[0-9]{2} GMT");
    private static final double MS_PER_SECOND = 1_000;

    private Answers() {}

    /**
     * Returns the ending of an attempt whose answer has arrived completely.
     *
     * @param ran the header {@link #RAN}, or null
     * @param retryAfter the header Retry-After, or null
     * @param date the header Date, or null
     * @param unixMs this machine's wall clock, used if the node sent no readable Date
     * @param plainRefusals whether every 429 and 503 is a node's refusal, as on the platform
     */
    public static Ending of(
            int status, String ran, String retryAfter, String date, long unixMs, boolean plainRefusals) {
        boolean neverRan = "no".equals(ran);
        if (status == 429 || status == 503) {
            if (neverRan || plainRefusals) {
                return new Ending(
                        Ending.Kind.REFUSED, true, retryAfterMs(retryAfter, date, unixMs), "refused with " + status);
            }
            return new Ending(Ending.Kind.MAY_HAVE_RUN, true, -1, "answered " + status);
        }
        if (neverRan && (status >= 500 || status == 408)) {
            return new Ending(Ending.Kind.NEVER_RAN, true, -1, "answered " + status);
        }
        if (status >= 500) {
            return new Ending(Ending.Kind.MAY_HAVE_RUN, true, -1, "answered " + status);
        }
        return new Ending(Ending.Kind.SERVED, true, -1, "answered " + status);
    }

    /**
     * Returns the milliseconds that a Retry-After (RFC 9110, section 10.2.3; decimals are accepted too) asks for,
     * rounded up; -1 if it is missing or malformed. A date is relative to the node's own Date, so that an error of this
     * machine's clock does not shorten the wait.
     */
    public static long retryAfterMs(String retryAfter, String date, long unixMs) {
        if (retryAfter == null) {
            return -1;
        }
        if (SECONDS.matcher(retryAfter).matches()) {
            return (long) Math.ceil(Double.parseDouble(retryAfter) * MS_PER_SECOND);
        }
        long retryAtMs = dateMs(retryAfter);
        if (retryAtMs < 0) {
            return -1;
        }
        long nodeTimeMs = date == null ? -1 : dateMs(date);
        return Math.max(0, retryAtMs - (nodeTimeMs < 0 ? unixMs : nodeTimeMs));
    }

    private static long dateMs(String date) {
        if (!DATE.matcher(date).matches()) {
            return -1;
        }
        try {
            Instant instant = ZonedDateTime.parse(
                            date,
                            DateTimeFormatter.RFC_1123_DATE_TIME
                                    .withLocale(Locale.ROOT)
                                    .withResolverStyle(ResolverStyle.STRICT))
                    .toInstant();
            return Math.max(-1, instant.toEpochMilli());
        } catch (DateTimeException e) {
            return -1;
        }
    }
}
