package vetchpost.state;

import vetchpost.core.ServerList.Target;
import vetchpost.decision.ServerStatistics.PerServer;

/**
 * A snapshot's record of one server.
 *
 * @param target the server as last listed
 * @param confirmedMs when its presence was last confirmed, Unix time in milliseconds
 * @param confirmedBy how it was confirmed
 * @param statisticsMs when the statistics were captured, Unix time in milliseconds; 0 if there are none
 * @param statistics statistics of its answers, with failure streaks in the order of the snapshot's classes; or null
 */
public record ServerRecord(
        Target target, long confirmedMs, ConfirmationSource confirmedBy, long statisticsMs, PerServer statistics) {}
