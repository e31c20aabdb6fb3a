package vetchpost.control;

import java.util.regex.Pattern;

/**
 * An override as an operator requests it.
 *
 * @param subject the server's id or the class's name; empty for a freeze
 * @param perMille the amount in thousandths, 1 to 1,000, where the kind has one; else 0
 * @param durationMs how long it lasts, from {@link #MIN_DURATION_MS} to {@link #MAX_DURATION_MS}
 * @param priority 0 to 9: of several overrides of the same amount the highest applies
 * @param key idempotency key, the same in repeats of one command, which takes effect once
 * @param force whether to grant it in spite of the safety check's objections
 */
public record OverrideRequest(
        OverrideKind kind,
        String subject,
        int perMille,
        long durationMs,
        String owner,
        String reason,
        int priority,
        String key,
        boolean force) {
    /** 24 hours: no override lasts without end. */
    public static final long MAX_DURATION_MS = 86_400_000;

    public static final long MIN_DURATION_MS = 1_000;

    private static final int MAX_TEXT_LENGTH = 256;
    private static final int MAX_PRIORITY = 9;
    private static final int PER_MILLE = 1_000;
    private static final Pattern TEXT_PATTERN = Pattern.compile("[^\\p{Cntrl}]*");

    /**
     * Validates each field.
     *
     * @throws IllegalArgumentException with the rule that is broken and what would pass
     */
    public OverrideRequest {
        requireText("subject", subject, kind == OverrideKind.FREEZE ? 0 : 1);
        requireText("owner", owner, 1);
        requireText("reason", reason, 1);
        requireText("key", key, 1);
        boolean hasAmount = kind == OverrideKind.WEIGHT || kind == OverrideKind.SHED;
        if (hasAmount ? perMille < 1 || perMille > PER_MILLE : perMille != 0) {
            throw new IllegalArgumentException(
                    hasAmount
                            ? kind.commandName() + " is more than 0 and at most 100 %"
                            : kind.commandName() + " has no amount");
        }
        if (durationMs < MIN_DURATION_MS || durationMs > MAX_DURATION_MS) {
            throw new IllegalArgumentException("an override ends: it lasts from 1s to 24h");
        }
        if (priority < 0 || priority > MAX_PRIORITY) {
            throw new IllegalArgumentException("a priority is 0 to " + MAX_PRIORITY);
        }
    }

    private static void requireText(String name, String value, int minLength) {
        if (value == null
                || value.length() < minLength
                || value.length() > MAX_TEXT_LENGTH
                || !TEXT_PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException(name + " is a text of " + minLength + " to " + MAX_TEXT_LENGTH
                    + " characters, none of them a control character");
        }
    }
}
