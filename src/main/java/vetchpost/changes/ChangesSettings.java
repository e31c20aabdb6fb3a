package vetchpost.changes;

import java.util.List;

/**
 * What an operator's file says of where its node's routes come from.
 *
 * @param publishers addresses of control machines, {@code host:port}
 * @param secretFile path of the file with the secret
 * @param file path of the store on the disk; empty for none
 * @param name by which control machines know the node, and by which it has its own order of them; empty to
 * draw one
 */
public record ChangesSettings(List<String> publishers, String secretFile, String file, String name) {}
