package vetchpost.recovery;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import vetchpost.state.RestoredState;

/**
 * What an operator has said about state and handovers; docs/state.md has the keys.
 *
 * @param file where the snapshot is kept; null for nowhere
 * @param everyMs how often it is written
 * @param rules how old knowledge is met
 * @param identify the path at which a box tells its id; null if boxes don't
 * @param give where to hand over to others; null for nowhere
 * @param ask whom to ask at the start, in turn
 * @param secretFile the file with the secret; null where there is neither of the two before
 * @param waitMs readiness waits so long for a handover at most
 * @param withinMs a handover may go on so long
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

    /** Lists don't change once they are here. */
    public RecoverySettings {
        peers = List.copyOf(peers);
    }
}
