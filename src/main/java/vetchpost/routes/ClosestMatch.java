package vetchpost.routes;

/** Suggests what an unknown word in the operator's file was meant to be. Stateless. */
final class ClosestMatch {
    /** Maximum edit distance of a misspelt word from the word that is suggested. */
    private static final int MAX_EDIT_DISTANCE = 3;
    /** No suggestion among more words: each costs some microseconds, and a file may have many unknown words. */
    private static final int MAX_CANDIDATES = 1_000;

    private ClosestMatch() {}

    /**
     * The known word closest to a text in single quotes, or a list of all known words where none is close.
     *
     * @return empty if there are more than 1,000 known words
     */
    static String of(String text, Iterable<String> known) {
        String closest = "";
        int minDistance = MAX_EDIT_DISTANCE + 1;
        int candidates = 0;
        for (String word : known) {
            if (++candidates > MAX_CANDIDATES) {
                return "";
            }
            int distance = editDistance(text, word);
            if (distance < minDistance) {
                minDistance = distance;
                closest = word;
            }
        }
        return closest.isEmpty() ? "one of " + String.join(", ", known) : "'" + closest + "'";
    }

    /** The number of edits between two words (Wagner and Fischer, 1974). */
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
