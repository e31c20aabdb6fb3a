package vetchpost.recovery;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import vetchpost.state.RestoredState;

/**
 * The operator's settings of snapshots and handovers; docs/state.md has the keys.
 *
 * @param file file of the snapshot; null if none is written
 * @param snapshotIntervalMs interval between snapshots, in milliseconds
 * @param rules how servers of a snapshot are judged
 * @param identityPath path at which a server reports its id; null if servers do not
 * @param listenAddress address at which handovers are served; null for none
 * @param peers nodes to request a handover from at start, in order
 * @param secretFile file with the shared secret; null without handovers
 * @param startWaitMs maximum time that readiness waits for a handover, in milliseconds
 * @param handoverTimeoutMs limit on a whole handover, in milliseconds
 */
public record RecoverySettings(
        Path file,
        long snapshotIntervalMs,
        RestoredState.Rules rules,
        String identityPath,
        InetSocketAddress listenAddress,
        List<InetSocketAddress> peers,
        Path secretFile,
        long startWaitMs,
        long handoverTimeoutMs) {

    /** Copies the list. */
    public RecoverySettings {
        peers = List.copyOf(peers);
    }
}
