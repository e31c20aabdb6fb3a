package vetchpost.simulation.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import vetchpost.admission.AdmissionValidator;
import vetchpost.admission.FairAdmission;
import vetchpost.changes.ChangeWriter;
import vetchpost.changes.RouteConfiguration;
import vetchpost.control.ControlApi;
import vetchpost.control.FleetState;
import vetchpost.control.Leases;
import vetchpost.control.SafetyCheck;
import vetchpost.core.ClientRequest;
import vetchpost.core.ServerList;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;
import vetchpost.discovery.ServerListParser;
import vetchpost.replication.Frame;
import vetchpost.replication.FrameCodec;
import vetchpost.replication.Publisher;
import vetchpost.routes.FileRoutePolicy;
import vetchpost.routes.RouteCodec;
import vetchpost.routes.RouteValidation;
import vetchpost.routes.RouteValidator;
import vetchpost.routes.Section;
import vetchpost.routes.Violation;
import vetchpost.routes.file.FileIndex;
import vetchpost.simulation.scale.Footprint.Retained;
import vetchpost.simulation.scale.ReplicationRun.ReplicaFactory;
import vetchpost.state.ClassState;
import vetchpost.state.ConfirmationSource;
import vetchpost.state.SelfFault;
import vetchpost.state.ServerRecord;
import vetchpost.state.SnapshotOrigin;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.FieldCodec;
import vetchpost.store.PackedTree;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/**
 * Measures the state, messages, CPU time and memory of each role by what they grow with, at five sizes over two
 * decades. {@link SlopesCommand} calls it, on one thread; heap figures cover the whole process. The names of figures,
 * units and variables are keys of the JSON output.
 */
final class GrowthMeasurements {
    private static final int[] SIZE_DIVISORS = {100, 32, 10, 3, 1};
    private static final int SERVERS_PER_SERVICE = 54;
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final vetchpost.core.Headers NO_HEADERS = new vetchpost.core.Headers() {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {
            // No headers.
        }
    };

    private final List<Series> series = new ArrayList<>();
    private final int sizeDivisor;
    private final Consumer<String> progress;

    /**
     * The measurements of one figure.
     *
     * @param variable the variable that the figure grows with
     * @param x sizes, ascending
     * @param y measured values, in the order of {@code x}
     * @param targetSize the size to plan for
     */
    record Series(String role, String figure, String unit, String variable, double[] x, double[] y, double targetSize) {
        LinearFit fit() {
            return LinearFit.of(x, y);
        }
    }

    /** Measures one or several figures at one size. */
    private interface Measurement {
        double[] measure(int size);
    }

    /**
     * Creates the measurements without running them.
     *
     * @param sizeDivisor the largest measured size is the target size over this, at least 1
     * @param progress is given a description of each measurement before it runs
     */
    GrowthMeasurements(int sizeDivisor, Consumer<String> progress) {
        this.sizeDivisor = sizeDivisor;
        this.progress = progress;
    }

    List<Series> measureAll() {
        measureServers();
        measureServices();
        measureRoutes();
        measureTenants();
        measureNodes();
        measureChanges();
        return series;
    }

    /** Measures at five sizes, the smallest first, and adds one series per figure. */
    private void measure(
            String role, String variable, int targetSize, Measurement measurement, String... namesAndUnits) {
        double[] x = new double[SIZE_DIVISORS.length];
        double[][] y = new double[namesAndUnits.length / 2][SIZE_DIVISORS.length];
        for (int i = 0; i < SIZE_DIVISORS.length; i++) {
            int size = Math.max(1, targetSize / sizeDivisor / SIZE_DIVISORS[i]);
            x[i] = size;
            progress.accept(role + ", " + namesAndUnits[0] + ", " + size + " " + variable);
            double[] figures = measurement.measure(size);
            for (int figureIndex = 0; figureIndex < y.length; figureIndex++) {
                y[figureIndex][i] = figures[figureIndex];
            }
        }
        for (int figureIndex = 0; figureIndex < y.length; figureIndex++) {
            series.add(new Series(
                    role,
                    namesAndUnits[2 * figureIndex],
                    namesAndUnits[2 * figureIndex + 1],
                    variable,
                    x,
                    y[figureIndex],
                    targetSize));
        }
    }

    private static double elapsedMs(Runnable task) {
        long startNs = System.nanoTime();
        task.run();
        return (System.nanoTime() - startNs) / 1e6;
    }

    private static double minElapsedMs(int times, Runnable task) {
        double minMs = Double.MAX_VALUE;
        for (int i = 0; i < times; i++) {
            minMs = Math.min(minMs, elapsedMs(task));
        }
        return minMs;
    }

    // ---------------------------------------------------------------- by servers

    private void measureServers() {
        Footprint.measureServerList(2_000); // Warm-up.
        measure(
                "node",
                "servers",
                200_000,
                n -> {
                    List<ServerEntry> entries = Footprint.servers(n);
                    Retained<Footprint.StandaloneBalancer> retained = Footprint.measureRetained(() -> {
                        Footprint.StandaloneBalancer balancer = new Footprint.StandaloneBalancer();
                        balancer.updateServers(entries);
                        return balancer;
                    });
                    double repeatedMs = minElapsedMs(3, () -> retained.value().updateServers(entries));
                    double newMs = minElapsedMs(2, () -> new Footprint.StandaloneBalancer().updateServers(entries));
                    double decisionNs = Footprint.minNsPerRun(50_000, retained.value()::serveRequest);
                    return new double[] {retained.retainedBytes() / 1e6, newMs, repeatedMs, decisionNs};
                },
                "a list told to the module, kept",
                "MB",
                "the same, when new: the loop",
                "ms",
                "the same again: the loop",
                "ms",
                "a request decided",
                "ns");
        measure(
                "discovery's side",
                "servers",
                200_000,
                n -> {
                    String json = serverListJson(n);
                    ServerList[] read = new ServerList[1];
                    double ms = minElapsedMs(2, () -> read[0] = ServerListParser.parse(json));
                    return new double[] {json.length() / 1e6, ms};
                },
                "a whole list as a message (4 MiB is the most)",
                "MB",
                "the same, read by a node",
                "ms");
        measure(
                "state on disk",
                "servers",
                200_000,
                n -> {
                    int serverCount = Math.min(n, 100_000);
                    double[] bytes = new double[1];
                    double ms = minElapsedMs(2, () -> bytes[0] = snapshotBytes(serverCount));
                    return new double[] {bytes[0] / 1e6, ms};
                },
                "a snapshot of servers (100,000 is the most)",
                "MB",
                "the same, encoded off the loop",
                "ms");
        measure(
                "operators' tools",
                "servers",
                200_000,
                n -> {
                    ControlApi api = controlApi(n);
                    double[] bytes = new double[1];
                    double ms = minElapsedMs(
                            2,
                            () -> api.handle(
                                    "{\"v\":1,\"do\":\"servers\"}",
                                    () -> new ControlApi.Now(1, 1),
                                    reply -> bytes[0] = reply.length()));
                    return new double[] {bytes[0] / 1e6, ms};
                },
                "the reply to ctl servers",
                "MB",
                "the same: the loop",
                "ms");
    }

    private static String serverListJson(int servers) {
        StringBuilder text = new StringBuilder("{\"rev\":1,\"all\":true,\"targets\":[");
        for (int i = 0; i < servers; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"server-")
                    .append(i)
                    .append("\",\"endpoint\":\"10.")
                    .append(i >> 16)
                    .append('.')
                    .append(i >> 8 & 255)
                    .append('.')
                    .append(i & 255)
                    .append(":9000\",\"az\":\"zone-")
                    .append(i % 10)
                    .append("\",\"pod_group\":")
                    .append(i % 40)
                    .append(",\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return text.append("]}").toString();
    }

    private static double snapshotBytes(int serverCount) {
        SnapshotOrigin origin = new SnapshotOrigin(1, 1, 1, 1, EnumSet.noneOf(SelfFault.class));
        List<ClassState> classes = List.of(new ClassState("read", 50, 20_000, 15_000));
        int chunkCount = ChunkCodec.chunkCount(serverCount);
        double bytes = 0;
        for (int chunk = 0; chunk < chunkCount; chunk++) {
            List<ServerRecord> chunkRecords = new ArrayList<>();
            for (int i = chunk * ChunkCodec.SERVERS_PER_CHUNK;
                    i < Math.min(serverCount, (chunk + 1) * ChunkCodec.SERVERS_PER_CHUNK);
                    i++) {
                chunkRecords.add(new ServerRecord(
                        new ServerList.Target(
                                "server-" + i,
                                new java.net.InetSocketAddress("10.0.0.1", 9_000),
                                "zone-1",
                                1,
                                ServerState.READY,
                                1,
                                0),
                        1,
                        ConfirmationSource.LIST,
                        0,
                        null));
            }
            bytes += ChunkCodec.write(chunk, chunkCount, origin, classes, chunkRecords).length;
        }
        return bytes;
    }

    private static ControlApi controlApi(int servers) {
        List<FleetState.Server> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(new FleetState.Server("server-" + i, "zone-" + i % 10, 1, false));
        }
        FleetState state = new FleetState(all, List.of("read", "write"));
        return new ControlApi(
                new Leases(new SafetyCheck(0.5, 0.9)),
                () -> state,
                Map::of,
                (text, done) -> done.accept(null),
                () -> {});
    }

    // ---------------------------------------------------------------- by services

    private void measureServices() {
        List<ServerEntry> serviceServers = Footprint.servers(SERVERS_PER_SERVICE);
        measure(
                "node",
                "services",
                3_700,
                n -> {
                    Retained<List<Footprint.StandaloneBalancer>> retained = Footprint.measureRetained(() -> {
                        List<Footprint.StandaloneBalancer> balancers = new ArrayList<>();
                        for (int i = 0; i < n; i++) {
                            Footprint.StandaloneBalancer balancer = new Footprint.StandaloneBalancer();
                            balancer.updateServers(serviceServers);
                            balancers.add(balancer);
                        }
                        return balancers;
                    });
                    return new double[] {retained.retainedBytes() / 1e6, retained.creationMs()};
                },
                "a module of its own for each service of 54 servers, kept",
                "MB",
                "the same, made and told: the loop",
                "ms");
    }

    // ---------------------------------------------------------------- by routes

    private void measureRoutes() {
        measure(
                "node",
                "routes",
                220_000,
                n -> {
                    RouteConfiguration configuration = new ConfigurationGenerator(1, 3_700, 1).generate(n);
                    long retainedBytes = configuration.store().live().retainedBytes() + configuration.indexBytes();
                    FileRoutePolicy policy =
                            new FileRoutePolicy(configuration.routes(), ConfigurationGenerator.settings(), 1);
                    String[] targets = new String[1_024];
                    for (int i = 0; i < targets.length; i++) {
                        int route = (int) (i * 7_919L % n);
                        targets[i] = String.format(Locale.ROOT, "/s%04d/r%06d/%d?x=1", route % 3_700, route, i);
                    }
                    int[] next = new int[1];
                    double findNs = Footprint.minNsPerRun(
                            50_000, () -> policy.limitsOf(request(targets[next[0]++ & targets.length - 1])));
                    ChangeWriter writer = new ChangeWriter(configuration, 1);
                    ConfigurationGenerator generator = new ConfigurationGenerator(2, 3_700, 1);
                    generator.generate(n);
                    List<List<EntryChange>> batches = new ArrayList<>();
                    for (int i = 0; i < 400; i++) {
                        batches.add(generator.generateChanges(configuration, 1));
                    }
                    int[] nextIndex = new int[1];
                    double validateUs = Footprint.minNsPerRun(
                                    100, () -> writer.submit(batches.get(nextIndex[0]++ % batches.size())))
                            / 1e3;
                    List<PackedTree.Item> routeItems =
                            configuration.store().live().range(new EntryKey(EntryKind.ROUTE, "").bytes(), null, 400);
                    double applyUs = Footprint.minNsPerRun(100, () -> {
                                PackedTree.Item item = routeItems.get(nextIndex[0]++ % routeItems.size());
                                configuration.withEntry(
                                        item.key(),
                                        item.value(),
                                        configuration.store().live().put(item.key(), item.value(), item.stamp() + 1));
                            })
                            / 1e3;
                    double replaceUs = Footprint.minNsPerRun(
                                    1_000,
                                    () -> policy.replaceTable(
                                            configuration.routes(), ConfigurationGenerator.settings()))
                            / 1e3;
                    return new double[] {retainedBytes / 1e6, findNs, applyUs, replaceUs, validateUs};
                },
                "entries of routes, with the way to find them, kept",
                "MB",
                "a request's route found, with what it has counted",
                "ns",
                "one change put together, off the loop",
                "us",
                "one change in force: the loop",
                "us",
                "one change proved, at the control machine",
                "us");
        measure(
                "operators' tools",
                "routes",
                220_000,
                n -> measureFile(n),
                "a file read and proved",
                "ms",
                "the same read again, one route changed: off the loop",
                "ms",
                "kept to do so",
                "MB");
        measure(
                "control machine",
                "routes",
                220_000,
                n -> {
                    RouteConfiguration configuration = new ConfigurationGenerator(1, 3_700, 1).generate(n);
                    EntryKey defaults = new EntryKey(EntryKind.LIMITS, "");
                    ChangeWriter writer = new ChangeWriter(configuration, 1);
                    byte[] value = RouteCodec.encode(new Section(
                            Section.Kind.DEFAULTS,
                            "",
                            new vetchpost.routes.Position("x", 1, 1),
                            Map.of("retry-budget", new Section.Entry(0.2, new vetchpost.routes.Position("x", 1, 1)))));
                    double ms = elapsedMs(() -> require(writer.submit(List.of(EntryChange.put(defaults, value)))
                            .isEmpty()));
                    return new double[] {ms};
                },
                "the defaults changed: all routes proved",
                "ms");
    }

    private static ClientRequest request(String target) {
        return new ClientRequest(1, 0, -1, 0, 0, false, "GET", target, NO_HEADERS, EMPTY_BODY);
    }

    private static void require(boolean isValid) {
        if (!isValid) {
            throw new IllegalStateException("a generated change or configuration was rejected");
        }
    }

    /** Measures reading a route file such as operators write. */
    private static double[] measureFile(int routes) {
        try {
            Path file = Files.createTempFile("slopes", ".toml");
            try {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < routes; i++) {
                    text.append(String.format(
                            Locale.ROOT,
                            "[[route]]%npath = \"/s%04d/r%06d/{id}\"%nclass "
                                    + "= \"read\"%n"
                                    + "attempts = 2%nattempt-timeout = \"300ms\"%ntotal-timeout = "
                                    + "\"5s\"%nconcurrency = 100%n",
                            i % 3_700,
                            i));
                }
                Files.writeString(file, text);
                LoadedRouteFile[] read = new LoadedRouteFile[1];
                double readMs = elapsedMs(() -> read[0] = new LoadedRouteFile(file));
                Files.writeString(file, text.toString().replaceFirst("concurrency = 100", "concurrency = 101"));
                double repeatedMs = minElapsedMs(2, () -> require(read[0].rereadChangedRoutes(file) == 1));
                return new double[] {readMs, repeatedMs, read[0].index.retainedBytes() / 1e6};
            } finally {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A route file that was read and validated. */
    private static final class LoadedRouteFile implements FileIndex.SectionHandler {
        private final FileIndex index;
        private RouteValidator validator;
        private final RouteValidation validation;

        LoadedRouteFile(Path file) {
            List<Violation> violations = new ArrayList<>();
            try {
                index = FileIndex.read(file, this, violations::add);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            validation = validator.finish();
            require(violations.isEmpty() && validation.isValid());
        }

        @Override
        public void acceptOtherSections(List<Section> sections) {
            validator = RouteValidator.begin(sections, ConfigurationGenerator.settings(), true, null, 1);
        }

        @Override
        public void acceptRoute(Section section) {
            validator.addRoute(section);
        }

        /** Rereads the file, validates its changes, and returns the number of changed routes. */
        int rereadChangedRoutes(Path file) {
            try {
                FileIndex.Difference difference = index.reread(file);
                List<RouteValidator.RouteChange> changes = difference.changedRoutes().stream()
                        .map(s -> new RouteValidator.RouteChange(
                                EntryChange.Op.REPLACE, RouteCodec.nameOf(s), s, s.position()))
                        .toList();
                require(RouteValidator.validateChanges(validation.table(), changes, 2)
                        .isValid());
                return changes.size();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    // ---------------------------------------------------------------- by tenants

    private void measureTenants() {
        measure(
                "node",
                "tenants",
                420_000,
                n -> {
                    PackedTree[] tree = {PackedTree.EMPTY};
                    for (int i = 0; i < n; i++) {
                        FieldCodec.Encoder encoder = new FieldCodec.Encoder();
                        encoder.add(0, 1.0 + i % 7);
                        tree[0] = tree[0].put(
                                new EntryKey(EntryKind.TENANT, String.format(Locale.ROOT, "t%06d", i)).bytes(),
                                encoder.bytes(),
                                Version.of(1, 1));
                    }
                    Retained<Settings> settings = Footprint.measureRetained(() -> {
                        Settings retained = ConfigurationGenerator.settings();
                        for (int i = 0; i < n; i++) {
                            retained.tenants.add(new Tenant(String.format(Locale.ROOT, "t%06d", i), 1 + i % 7));
                        }
                        return retained;
                    });
                    Retained<FairAdmission> admission = Footprint.measureRetained(() ->
                            new FairAdmission(AdmissionValidator.defaults(settings.value()), settings.value(), 1));
                    return new double[] {
                        tree[0].retainedBytes() / 1e6,
                        settings.retainedBytes() / 1e6,
                        admission.retainedBytes() / 1e6,
                        admission.creationMs()
                    };
                },
                "entries of tenants, kept",
                "MB",
                "the module's settings of them, kept",
                "MB",
                "the door's shares of them, kept",
                "MB",
                "the same, made anew: the loop",
                "ms");
    }

    // ---------------------------------------------------------------- by nodes and by changes

    private void measureNodes() {
        measure(
                "control machine",
                "nodes",
                2_200 / 18,
                n -> {
                    FrameCodec codec = new FrameCodec();
                    VersionedStore[] store = {
                        new ConfigurationGenerator(1, 10, 1).generate(2_000).store()
                    };
                    long[] nowUs = {0};
                    Publisher publisher =
                            new Publisher(store[0], codec, new Publisher.Budget(18_000, 4_000, 4e6, 400), 5_000_000, 0);
                    double[] bytes = new double[1];
                    for (int i = 0; i < n; i++) {
                        Publisher.Peer peer = new Publisher.Peer() {
                            @Override
                            public void send(byte[] frame) {
                                bytes[0] += frame.length;
                            }

                            @Override
                            public boolean isWritable() {
                                return true;
                            }
                        };
                        publisher.connected(peer, 0);
                        try {
                            publisher.receive(peer, codec.read(codec.write(helloFrame(store[0]))), 0, 0);
                        } catch (vetchpost.replication.MalformedFrameException e) {
                            throw new IllegalStateException(e);
                        }
                    }
                    publisher.sendPending(0);
                    bytes[0] = 0;
                    int[] changes = new int[1];
                    double us = Footprint.minNsPerRun(200, () -> {
                                nowUs[0] += 1_000_000;
                                store[0] = store[0].with(
                                        List.of(EntryChange.replace(new EntryKey(EntryKind.ROUTE, "/x"), new byte[60])),
                                        store[0].version() + 1);
                                publisher.publish(store[0]);
                                publisher.sendPending(nowUs[0]);
                                changes[0]++;
                            })
                            / 1e3;
                    return new double[] {us, bytes[0] / changes[0] / 1e3};
                },
                "a change told to its nodes",
                "us",
                "the same, sent",
                "kB");
    }

    private static Frame helloFrame(VersionedStore store) {
        return new Frame(
                Frame.Type.HELLO, store.version(), 0, 0, false, store.live().sum(), List.of(), "n", List.of());
    }

    private void measureChanges() {
        IntFunction<double[]> run = hundredths -> {
            ConfigurationGenerator generator = new ConfigurationGenerator(3, 100, 100);
            ReplicationRun replicationRun = new ReplicationRun(
                    3,
                    generator,
                    generator.generate(5_000),
                    4,
                    40,
                    new Publisher.Budget(18_000, 4_000, 4e6, 400),
                    ReplicaFactory.DEFAULT,
                    false);
            LightweightFleet fleet = replicationRun.fleet();
            fleet.runUntil(5_000_000);
            replicationRun.scheduleChanges(hundredths / 100.0, 25_000_000);
            fleet.runUntil(25_000_000);
            double nodes = replicationRun.nodes().size();
            double bytes = 0;
            double ns = 0;
            for (LightweightFleet.Machine node : replicationRun.nodes()) {
                bytes += node.usage().sumBytes(5_000_000, 25_000_000) / nodes / 20;
                ns += node.usage().sumCpuNs(5_000_000, 25_000_000) / nodes / 20;
            }
            return new double[] {bytes / 1e3, ns / 1e6};
        };
        run.apply(1_000); // Warm-up.
        measure(
                "node",
                "hundredths of a change a second",
                5_700 * sizeDivisor,
                run::apply,
                "messages of changes, a second",
                "kB",
                "processor time of changes, a second",
                "ms");
    }
}
