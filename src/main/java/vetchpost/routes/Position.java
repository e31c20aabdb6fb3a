package vetchpost.routes;

/**
 * A position in the operator's file, or of a change in a batch.
 *
 * @param file name, or what stands for it in messages
 * @param line from 1
 * @param column from 1
 */
public record Position(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
