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
 * Nodes that keep snapshots on their machines and ask their peers for state at each start. They run the
 * production recovery code; only the disk is replaced, by a list of snapshot chunks.
 */
class StateKeepingNodes implements NodeProcess.Setup {
    static final int HANDOVER_PORT = 8450;
    /** Path under which servers answer with their ids. */
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
     * Setup for a run.
     *
     * @param nodes number of nodes, from 1
     * @param keepsSnapshots whether they keep snapshots
     * @param asksPeers whether they ask each other for state
     */
    StateKeepingNodes(int nodes, boolean keepsSnapshots, boolean asksPeers) {
        this.nodes = nodes;
        this.keepsSnapshots = keepsSnapshots;
        this.asksPeers = asksPeers;
    }

    /** The setup of {@code --recovery}: by the seed, half of the starts after the first have no server list. */
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

    /** The chunks of the snapshot on a machine's disk; null for none. */
    List<byte[]> diskChunks(int number) {
        return disks.get(number);
    }

    void setDiskChunks(int number, List<byte[]> chunks) {
        disks.put(number, chunks);
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress(NodeProcess.addressOf(number).getAddress(), HANDOVER_PORT);
    }

    /** Whether this start of the node, counted from 1, asks its peers. */
    boolean asksPeers(int number, int start) {
        return asksPeers;
    }

    @Override
    public NodeLifecycle lifecycle(NodeProcess.Start start) {
        List<InetSocketAddress> peers = IntStream.range(0, asksPeers(start.number(), start.start()) ? nodes : 0)
                .filter(n -> n != start.number())
                .mapToObj(StateKeepingNodes::address)
                .toList();
        RecoverySettings settings = new RecoverySettings(
                null,
                SNAPSHOT_INTERVAL_MS,
                rules(),
                IDENTITY_PATH,
                asksPeers ? address(start.number()) : null,
                peers,
                null,
                WAIT_MS,
                WITHIN_MS);
        SnapshotKeeper keeper = chunks -> {
            disks.put(start.number(), List.copyOf(chunks));
            return chunks.stream().mapToLong(chunk -> chunk.length).sum();
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
        List<byte[]> chunks = disks.get(number);
        if (chunks == null) {
            return null;
        }
        ChunkAssembler assembler = new ChunkAssembler();
        try {
            for (byte[] chunk : chunks) {
                assembler.add(ChunkCodec.read(chunk));
            }
        } catch (MalformedSnapshotException e) {
            throw new IllegalStateException("a node can't read the snapshot that it wrote", e);
        }
        return assembler.isComplete() ? assembler.snapshot() : null;
    }

    /** A random source that gives the same bytes in the same run. */
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
