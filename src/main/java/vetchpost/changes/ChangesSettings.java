package vetchpost.changes;

import java.util.List;

/**
 * The settings of a node that receives its routes from control machines, as read from the operator's file.
 *
 * @param publishers addresses of the control machines, {@code host:port}
 * @param secretFile path of the file with the shared secret
 * @param file path of the store on disk; empty for none
 * @param name of the node, known to control machines and used to order them differently on each node; empty for a
 *     random name
 */
public record ChangesSettings(List<String> publishers, String secretFile, String file, String name) {}
