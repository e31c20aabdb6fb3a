package vetchpost.control;

import java.util.regex.Pattern;

/**
 * An override as an operator asks for it.
 *
 * @param subject the server's id or the class's name; empty where there is only one
 * @param perMille the amount, where the kind has one; else 0
 * @param lengthMs for how long; never endless
 * @param priority 0 to 9: of several that set one amount the highest counts
 * @param key the same in repeats of one command, which acts once
 * @param anyway to be carried out although it is judged to be harmful
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
    /** A night and a day. */
    public static final long MAX_DURATION_MS = 86_400_000;
    /** A second. */
    public static final long MIN_DURATION_MS = 1_000;

    private static final int MAX_TEXT_LENGTH = 256;
    private static final int MAX_PRIORITY = 9;
    private static final int PER_MILLE = 1_000;
    private static final Pattern TEXT_PATTERN = Pattern.compile("[^\\p{Cntrl}]*");

    /**
     * Checked in itself.
     *
     * @throws IllegalArgumentException with the rule and what would pass
     */
    public OverrideRequest {
        requireText("subject", subject, kind == OverrideKind.FREEZE ? 0 : 1);
        requireText("owner", owner, 1);
        requireText("reason", reason, 1);
        requireText("key", key, 1);
        boolean amount = kind == OverrideKind.WEIGHT || kind == OverrideKind.SHED;
        if (amount ? perMille < 1 || perMille > PER_MILLE : perMille != 0) {
            throw new IllegalArgumentException(
                    amount
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

    private static void requireText(String name, String value, int least) {
        if (value == null
                || value.length() < least
                || value.length() > MAX_TEXT_LENGTH
                || !TEXT_PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException(name + " is a text of " + least + " to " + MAX_TEXT_LENGTH
                    + " characters, none of them a control character");
        }
    }
}
