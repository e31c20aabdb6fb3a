package vetchpost.recovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import vetchpost.core.Clock;
import vetchpost.core.Dispatcher;
import vetchpost.core.EventLoopDelay;
import vetchpost.core.ServerList;
import vetchpost.core.ServerList.Target;
import vetchpost.core.ServerTransport;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServerStatistics;
import vetchpost.decision.ServiceQBalancer;
import vetchpost.state.ConfirmationSource;
import vetchpost.state.PriorStatistics;
import vetchpost.state.ServerRecord;
import vetchpost.state.Snapshot;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.disk.StateFile;

/**
 * What a snapshot costs: of the loop, one turn of collecting and one piece for another node; off it, encoding
 * and writing; at a start, reading and taking it in.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class SnapshotBenchmark {
    private static final long NOW_MS = 1_767_225_600_000L;
    private static final int SERVERS_PER_TURN = 500;

    @Param({"12", "1000", "10000"})
    private int boxes;

    private Dispatcher dispatcher;
    private ServerObservations observations;
    private List<ServerRecord> records;
    private Snapshot snapshot;
    private List<byte[]> chunks;
    private ServerStatistics prior;
    private Path file;
    private StateFile stateFile;
    private List<String> classNames;

    /** Nothing is sent and no time passes. */
    private static final class InertEnvironment implements Clock, ServerTransport {
        @Override
        public long nowUs() {
            return 1_000 * NOW_MS;
        }

        @Override
        public Timer schedule(long us, Runnable task) {
            return () -> {};
        }

        @Override
        public void update(ServerList list) {}

        @Override
        public Attempt send(String serverId, OutgoingRequest sending) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Attempt probe(String serverId, AttemptListener report) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {}
    }

    private Settings settings() {
        Settings settings = new Settings();
        settings.zones.add("a");
        for (String name : classNames) {
            settings.classes.add(new RequestClass(
                    name, 200_000, 0, 1_000_000, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        }
        return settings;
    }

    private Dispatcher dispatcher() {
        InertEnvironment still = new InertEnvironment();
        return new Dispatcher(
                still,
                new EventLoopDelay(still),
                still,
                List.of("a"),
                () -> {},
                () -> {},
                1,
                actions -> new ServiceQBalancer(settings(), 1, actions));
    }

    /** A node that knows so many boxes, and its snapshot. */
    @Setup(Level.Trial)
    public void setUp() throws IOException {
        classNames = List.of("view-page", "add-photo", "place-order");
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            targets.add(new Target(
                    "s-" + Integer.toHexString(0x5be20000 + i),
                    new InetSocketAddress("10." + (1 + i / 65_000) + "." + i / 250 % 250 + "." + (1 + i % 250), 8443),
                    "a",
                    i % 8,
                    ServerState.READY,
                    1,
                    NOW_MS - 1_000_000));
        }
        dispatcher = dispatcher();
        dispatcher.onCachedList(new ServerList(1, true, targets));
        observations = new ServerObservations(settings().classes);
        observations.onFullList(NOW_MS, 1);
        records = new ArrayList<>();
        for (Target target : targets) {
            records.add(new ServerRecord(
                    target,
                    NOW_MS,
                    ConfirmationSource.LIST,
                    NOW_MS,
                    new ServerStatistics.PerServer(
                            target.id(),
                            1_000 * target.bootMs(),
                            5_000,
                            1_000 * NOW_MS,
                            1_000 * NOW_MS,
                            0,
                            1,
                            0.01,
                            1.1,
                            2.5,
                            false,
                            List.of(0, 0, 0))));
        }
        ServerStatistics knowledge = dispatcher.statistics(List.of());
        snapshot = new Snapshot(
                observations.origin(7, NOW_MS, NOW_MS - 60_000, Set.of()), observations.classes(knowledge), records);
        chunks = Recovery.encode(snapshot.origin(), snapshot.classes(), records);
        prior = PriorStatistics.of(snapshot, classNames, NOW_MS, true, Map.of());
        file = Files.createTempDirectory("snapshot").resolve("boxes");
        stateFile = new StateFile(file);
        System.out.println(
                "# " + boxes + " boxes: " + stateFile.write(chunks) + " bytes in " + chunks.size() + " pieces");
    }

    @TearDown(Level.Trial)
    public void tearDown() throws IOException {
        for (String name : List.of("boxes", "boxes.old")) {
            Files.deleteIfExists(file.resolveSibling(name));
        }
        Files.delete(file.getParent());
    }

    /** The longest turn of the loop for a snapshot that is kept: up to 500 boxes. */
    @Benchmark
    public Object loopCollectOneTurn() {
        return observations.new Cursor(dispatcher, () -> NOW_MS, SERVERS_PER_TURN).next();
    }

    /** All turns together. */
    @Benchmark
    public Object loopCollectAll() {
        Iterator<List<ServerRecord>> cursor = observations.new Cursor(dispatcher, () -> NOW_MS, SERVERS_PER_TURN);
        int count = 0;
        while (cursor.hasNext()) {
            count += cursor.next().size();
        }
        return count;
    }

    /** One turn of a handover: a piece of up to 100 boxes. */
    @Benchmark
    public Object loopHandOverOnePiece() {
        ServerStatistics knowledge = dispatcher.statistics(List.of());
        return ServerObservations.chunks(
                        observations.new Cursor(dispatcher, () -> NOW_MS, ChunkCodec.SERVERS_PER_CHUNK),
                        snapshot.origin(),
                        observations.classes(knowledge))
                .next();
    }

    /** Off the loop. */
    @Benchmark
    public Object encode() {
        return Recovery.encode(snapshot.origin(), snapshot.classes(), records);
    }

    /** Off the loop, with all that forces it to the disk. */
    @Benchmark
    public long write() throws IOException {
        return stateFile.write(chunks);
    }

    /** Before the start. */
    @Benchmark
    public Object read() {
        return stateFile.read(NOW_MS, line -> {});
    }

    /** At the start, by the module: all that is believed. */
    @Benchmark
    public Object takeIn() {
        dispatcher.restore(prior);
        return dispatcher;
    }
}
