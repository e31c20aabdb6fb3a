package vetchpost.simulation;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import vetchpost.core.NodeLifecycle;
import vetchpost.handover.SharedSecret;
import vetchpost.node.NodeHooks;
import vetchpost.recovery.Recovery;
import vetchpost.recovery.RecoverySettings;
import vetchpost.recovery.SnapshotKeeper;
import vetchpost.simulation.net.SimLoop;
import vetchpost.simulation.world.NodeProcess;
import vetchpost.state.RestoredState;
import vetchpost.state.Snapshot;
import vetchpost.state.codec.ChunkAssembler;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.codec.MalformedSnapshotException;

/**
 * Nodes that keep what they know on their machines, and ask the others for what those know at each start. The
 * path of all this is the one in service, but that the disk is a list of pieces.
 */
class StateKeepingNodes implements NodeProcess.Setup {
    static final int HANDOVER_PORT = 8450;
    /** Where boxes tell their ids. */
    static final String IDENTITY_PATH = "/who";

    private static final long MAX_SNAPSHOT_AGE_MS = 86_400_000;
    private static final long SNAPSHOT_INTERVAL_MS = 1_000;
    private static final long MAX_UNCONFIRMED_ADDRESS_MS = 30_000;
    private static final long WAIT_MS = 300;
    private static final long WITHIN_MS = 2_000;

    private final int nodes;
    private final boolean keepsSnapshots;
    private final boolean asksPeers;
    private final Map<Integer, List<byte[]>> disks = new HashMap<>();

    /**
     * For a run of so many nodes.
     *
     * @param keeps whether they keep snapshots
     * @param asks whether they ask each other
     */
    StateKeepingNodes(int nodes, boolean keeps, boolean asks) {
        this.nodes = nodes;
        this.keepsSnapshots = keeps;
        this.asksPeers = asks;
    }

    /** As a seed has it: half of all later starts are given no list. */
    static StateKeepingNodes of(Plan plan) {
        return new StateKeepingNodes(plan.nodes(), true, true) {
            @Override
            public boolean startsWithoutList(int number, int start) {
                return start > 1 && new SplittableRandom(plan.seed() * 31 + 7L * number + start).nextBoolean();
            }
        };
    }

    @Override
    public NodeHooks hooks(SimLoop loop) {
        return NodeHooks.NONE;
    }

    /** What lies on a machine's disk, in pieces; null for nothing. */
    List<byte[]> onDisk(int number) {
        return disks.get(number);
    }

    void putOnDisk(int number, List<byte[]> pieces) {
        disks.put(number, pieces);
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress(NodeProcess.addressOf(number).getAddress(), HANDOVER_PORT);
    }

    /** Whether this start of a node's asks the others. */
    boolean asksPeers(int number, int start) {
        return asksPeers;
    }

    @Override
    public NodeLifecycle lifecycle(NodeProcess.Start start) {
        List<InetSocketAddress> others = IntStream.range(0, asksPeers(start.number(), start.start()) ? nodes : 0)
                .filter(n -> n != start.number())
                .mapToObj(StateKeepingNodes::address)
                .toList();
        RecoverySettings settings = new RecoverySettings(
                null,
                SNAPSHOT_INTERVAL_MS,
                rules(),
                IDENTITY_PATH,
                asksPeers ? address(start.number()) : null,
                others,
                null,
                WAIT_MS,
                WITHIN_MS);
        SnapshotKeeper keeper = pieces -> {
            disks.put(start.number(), List.copyOf(pieces));
            return pieces.stream().mapToLong(p -> p.length).sum();
        };
        return new Recovery(
                settings,
                start.settings(),
                start.loop(),
                start.loop(),
                start.network(),
                keepsSnapshots ? read(start.number()) : null,
                asksPeers ? SharedSecret.parse("the secret of a simulated fleet, long " + "enough") : null,
                new SeededRandom(start.seed()),
                keepsSnapshots ? keeper : null,
                Runnable::run);
    }

    RestoredState.Rules rules() {
        return new RestoredState.Rules(MAX_SNAPSHOT_AGE_MS, MAX_UNCONFIRMED_ADDRESS_MS, true);
    }

    private Snapshot read(int number) {
        List<byte[]> pieces = disks.get(number);
        if (pieces == null) {
            return null;
        }
        ChunkAssembler assembly = new ChunkAssembler();
        try {
            for (byte[] piece : pieces) {
                assembly.add(ChunkCodec.read(piece));
            }
        } catch (MalformedSnapshotException e) {
            throw new IllegalStateException("a node wrote what it can't read", e);
        }
        return assembly.isComplete() ? assembly.snapshot() : null;
    }

    /** The same bytes in the same run. */
    private static final class SeededRandom extends SecureRandom {
        private static final long serialVersionUID = 1L;
        private final transient SplittableRandom random;

        SeededRandom(long seed) {
            random = new SplittableRandom(seed);
        }

        @Override
        public void nextBytes(byte[] bytes) {
            random.nextBytes(bytes);
        }

        @Override
        public long nextLong() {
            return random.nextLong();
        }
    }
}
