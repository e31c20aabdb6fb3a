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
    static final int PORT = 8450;
    /** Where boxes tell their ids. */
    static final String IDENTIFY = "/who";

    private static final long DAY_MS = 86_400_000;
    private static final long EVERY_MS = 1_000;
    private static final long ADDRESS_KEPT_MS = 30_000;
    private static final long WAIT_MS = 300;
    private static final long WITHIN_MS = 2_000;

    private final int nodes;
    private final boolean keeps;
    private final boolean asks;
    private final Map<Integer, List<byte[]>> disks = new HashMap<>();

    /**
     * For a run of so many nodes.
     *
     * @param keeps whether they keep snapshots
     * @param asks whether they ask each other
     */
    StateKeepingNodes(int nodes, boolean keeps, boolean asks) {
        this.nodes = nodes;
        this.keeps = keeps;
        this.asks = asks;
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
    public NodeHooks seams(SimLoop loop) {
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
        return new InetSocketAddress(NodeProcess.addressOf(number).getAddress(), PORT);
    }

    /** Whether this start of a node's asks the others. */
    boolean asks(int number, int start) {
        return asks;
    }

    @Override
    public NodeLifecycle companion(NodeProcess.Start start) {
        List<InetSocketAddress> others = IntStream.range(0, asks(start.number(), start.start()) ? nodes : 0)
                .filter(n -> n != start.number())
                .mapToObj(StateKeepingNodes::address)
                .toList();
        RecoverySettings settings = new RecoverySettings(
                null,
                EVERY_MS,
                rules(),
                IDENTIFY,
                asks ? address(start.number()) : null,
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
                keeps ? read(start.number()) : null,
                asks ? SharedSecret.parse("the secret of a simulated fleet, long " + "enough") : null,
                new Chance(start.seed()),
                keeps ? keeper : null,
                Runnable::run);
    }

    RestoredState.Rules rules() {
        return new RestoredState.Rules(DAY_MS, ADDRESS_KEPT_MS, true);
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
    private static final class Chance extends SecureRandom {
        private static final long serialVersionUID = 1L;
        private final transient SplittableRandom random;

        Chance(long seed) {
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
