package vetchpost.routes;

/** What was meant by a word that is not known. */
final class ClosestMatch {
    /** How far a misspelt word may be from the one that was meant. */
    private static final int MAX_EDIT_DISTANCE = 3;
    /**
     * Among more than this nobody looks: each word costs some microseconds, and a file may have many wrong
     * ones.
     */
    private static final int MAX_CANDIDATES = 1_000;

    private ClosestMatch() {}

    /** The known word that is nearest, or all of them where none is near. */
    static String of(String text, Iterable<String> known) {
        String best = "";
        int least = MAX_EDIT_DISTANCE + 1;
        int seen = 0;
        for (String each : known) {
            if (++seen > MAX_CANDIDATES) {
                return "";
            }
            int distance = editDistance(text, each);
            if (distance < least) {
                least = distance;
                best = each;
            }
        }
        return best.isEmpty() ? "one of " + String.join(", ", known) : "'" + best + "'";
    }

    /** Edits between two words (Wagner and Fischer, 1974). */
    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int edit = Math.min(
                        Math.min(row[j], row[j - 1]) + 1, diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1));
                diagonal = row[j];
                row[j] = edit;
            }
        }
        return row[b.length()];
    }
}
