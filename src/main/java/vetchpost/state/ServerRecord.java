package vetchpost.state;

import vetchpost.core.ServerList.Target;
import vetchpost.decision.ServerStatistics.PerServer;

/**
 * What is known of one box.
 *
 * @param target as the list had it last
 * @param confirmedMs when it was last known to be there, Unix time in milliseconds
 * @param by how
 * @param knownMs when the knowledge was taken down; 0 if there is none
 * @param knowledge what answers have told, with misses in the order of the snapshot's classes; or null
 */
public record ServerRecord(
        Target target, long confirmedMs, ConfirmationSource confirmedBy, long statisticsMs, PerServer statistics) {}
