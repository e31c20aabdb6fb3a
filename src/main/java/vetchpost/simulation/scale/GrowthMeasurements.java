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
 * Measures each role's state, messages, processor time and memory by what it grows with, at five sizes of two
 * decades.
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
            // There are none.
        }
    };

    private final List<Series> series = new ArrayList<>();
    private final int sizeDivisor;
    private final Consumer<String> progress;

    /**
     * What was measured.
     *
     * @param coming the size that is coming
     */
    record Series(String role, String figure, String unit, String variable, double[] x, double[] y, double targetSize) {
        LinearFit fit() {
            return LinearFit.of(x, y);
        }
    }

    /** A figure or several of one size. */
    private interface Measurement {
        double[] measure(int size);
    }

    /**
     * Not measured yet.
     *
     * @param largest one so many-th of the coming size is the largest that is measured; 1 for all of it
     * @param progress hears what is being measured
     */
    GrowthMeasurements(int largest, Consumer<String> progress) {
        this.sizeDivisor = largest;
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

    /** Measures at five sizes, the smallest first; each figure a row of its own. */
    private void measure(String role, String by, int coming, Measurement measure, String... namesAndUnits) {
        double[] x = new double[SIZE_DIVISORS.length];
        double[][] y = new double[namesAndUnits.length / 2][SIZE_DIVISORS.length];
        for (int i = 0; i < SIZE_DIVISORS.length; i++) {
            int size = Math.max(1, coming / sizeDivisor / SIZE_DIVISORS[i]);
            x[i] = size;
            progress.accept(role + ", " + namesAndUnits[0] + ", " + size + " " + by);
            double[] figures = measure.measure(size);
            for (int f = 0; f < y.length; f++) {
                y[f][i] = figures[f];
            }
        }
        for (int f = 0; f < y.length; f++) {
            series.add(new Series(role, namesAndUnits[2 * f], namesAndUnits[2 * f + 1], by, x, y[f], coming));
        }
    }

    private static double elapsedMs(Runnable work) {
        long began = System.nanoTime();
        work.run();
        return (System.nanoTime() - began) / 1e6;
    }

    private static double minElapsedMs(int times, Runnable work) {
        double least = Double.MAX_VALUE;
        for (int i = 0; i < times; i++) {
            least = Math.min(least, elapsedMs(work));
        }
        return least;
    }

    // ---------------------------------------------------------------- by servers

    private void measureServers() {
        Footprint.measureServerList(2_000); // Warm.
        measure(
                "node",
                "servers",
                200_000,
                n -> {
                    List<ServerEntry> entries = Footprint.servers(n);
                    Retained<Footprint.StandaloneBalancer> made = Footprint.measureRetained(() -> {
                        Footprint.StandaloneBalancer module = new Footprint.StandaloneBalancer();
                        module.updateServers(entries);
                        return module;
                    });
                    double again = minElapsedMs(3, () -> made.value().updateServers(entries));
                    double fresh = minElapsedMs(2, () -> new Footprint.StandaloneBalancer().updateServers(entries));
                    double decision = Footprint.minNsPerRun(50_000, made.value()::serveRequest);
                    return new double[] {made.retainedBytes() / 1e6, fresh, again, decision};
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
                    int boxes = Math.min(n, 100_000);
                    double[] bytes = new double[1];
                    double ms = minElapsedMs(2, () -> bytes[0] = snapshotBytes(boxes));
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
                    ControlApi desk = controlApi(n);
                    double[] bytes = new double[1];
                    double ms = minElapsedMs(
                            2,
                            () -> desk.handle(
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

    private static double snapshotBytes(int boxes) {
        SnapshotOrigin origin = new SnapshotOrigin(1, 1, 1, 1, EnumSet.noneOf(SelfFault.class));
        List<ClassState> classes = List.of(new ClassState("read", 50, 20_000, 15_000));
        int pieces = ChunkCodec.chunkCount(boxes);
        double bytes = 0;
        for (int piece = 0; piece < pieces; piece++) {
            List<ServerRecord> some = new ArrayList<>();
            for (int i = piece * ChunkCodec.SERVERS_PER_CHUNK;
                    i < Math.min(boxes, (piece + 1) * ChunkCodec.SERVERS_PER_CHUNK);
                    i++) {
                some.add(new ServerRecord(
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
            bytes += ChunkCodec.write(piece, pieces, origin, classes, some).length;
        }
        return bytes;
    }

    private static ControlApi controlApi(int servers) {
        List<FleetState.Server> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(new FleetState.Server("server-" + i, "zone-" + i % 10, 1, false));
        }
        FleetState situation = new FleetState(all, List.of("read", "write"));
        return new ControlApi(
                new Leases(new SafetyCheck(0.5, 0.9)),
                () -> situation,
                Map::of,
                (text, done) -> done.accept(null),
                () -> {});
    }

    // ---------------------------------------------------------------- by services

    private void measureServices() {
        List<ServerEntry> own = Footprint.servers(SERVERS_PER_SERVICE);
        measure(
                "node",
                "services",
                3_700,
                n -> {
                    Retained<List<Footprint.StandaloneBalancer>> made = Footprint.measureRetained(() -> {
                        List<Footprint.StandaloneBalancer> modules = new ArrayList<>();
                        for (int i = 0; i < n; i++) {
                            Footprint.StandaloneBalancer module = new Footprint.StandaloneBalancer();
                            module.updateServers(own);
                            modules.add(module);
                        }
                        return modules;
                    });
                    return new double[] {made.retainedBytes() / 1e6, made.creationMs()};
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
                    RouteConfiguration catalog = new ConfigurationGenerator(1, 3_700, 1).generate(n);
                    long kept = catalog.store().live().retainedBytes() + catalog.indexBytes();
                    FileRoutePolicy policy =
                            new FileRoutePolicy(catalog.routes(), ConfigurationGenerator.settings(), 1);
                    String[] targets = new String[1_024];
                    for (int i = 0; i < targets.length; i++) {
                        int route = (int) (i * 7_919L % n);
                        targets[i] = String.format(Locale.ROOT, "/s%04d/r%06d/%d?x=1", route % 3_700, route, i);
                    }
                    int[] next = new int[1];
                    double find = Footprint.minNsPerRun(
                            50_000, () -> policy.limitsOf(request(targets[next[0]++ & targets.length - 1])));
                    ChangeWriter writer = new ChangeWriter(catalog, 1);
                    ConfigurationGenerator drawn = new ConfigurationGenerator(2, 3_700, 1);
                    drawn.generate(n);
                    List<List<EntryChange>> batches = new ArrayList<>();
                    for (int i = 0; i < 400; i++) {
                        batches.add(drawn.generateChanges(catalog, 1));
                    }
                    int[] at = new int[1];
                    double prove =
                            Footprint.minNsPerRun(100, () -> writer.submit(batches.get(at[0]++ % batches.size())))
                                    / 1e3;
                    List<PackedTree.Item> some =
                            catalog.store().live().range(new EntryKey(EntryKind.ROUTE, "").bytes(), null, 400);
                    double settle = Footprint.minNsPerRun(100, () -> {
                                PackedTree.Item item = some.get(at[0]++ % some.size());
                                catalog.withEntry(
                                        item.key(),
                                        item.value(),
                                        catalog.store().live().put(item.key(), item.value(), item.stamp() + 1));
                            })
                            / 1e3;
                    double swap = Footprint.minNsPerRun(
                                    1_000,
                                    () -> policy.replaceTable(catalog.routes(), ConfigurationGenerator.settings()))
                            / 1e3;
                    return new double[] {kept / 1e6, find, settle, swap, prove};
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
                    RouteConfiguration catalog = new ConfigurationGenerator(1, 3_700, 1).generate(n);
                    EntryKey defaults = new EntryKey(EntryKind.LIMITS, "");
                    ChangeWriter writer = new ChangeWriter(catalog, 1);
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

    private static void require(boolean holds) {
        if (!holds) {
            throw new IllegalStateException("what was drawn is refused");
        }
    }

    /** A file of routes as operators write them. */
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
                double whole = elapsedMs(() -> read[0] = new LoadedRouteFile(file));
                Files.writeString(file, text.toString().replaceFirst("concurrency = 100", "concurrency = 101"));
                double again = minElapsedMs(2, () -> require(read[0].rereadChangedRoutes(file) == 1));
                return new double[] {whole, again, read[0].index.retainedBytes() / 1e6};
            } finally {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A file that was read. */
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

        /** How many routes have changed. */
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
                        FieldCodec.Encoder packer = new FieldCodec.Encoder();
                        packer.add(0, 1.0 + i % 7);
                        tree[0] = tree[0].put(
                                new EntryKey(EntryKind.TENANT, String.format(Locale.ROOT, "t%06d", i)).bytes(),
                                packer.bytes(),
                                Version.of(1, 1));
                    }
                    Retained<Settings> settings = Footprint.measureRetained(() -> {
                        Settings made = ConfigurationGenerator.settings();
                        for (int i = 0; i < n; i++) {
                            made.tenants.add(new Tenant(String.format(Locale.ROOT, "t%06d", i), 1 + i % 7));
                        }
                        return made;
                    });
                    Retained<FairAdmission> door = Footprint.measureRetained(() ->
                            new FairAdmission(AdmissionValidator.defaults(settings.value()), settings.value(), 1));
                    return new double[] {
                        tree[0].retainedBytes() / 1e6,
                        settings.retainedBytes() / 1e6,
                        door.retainedBytes() / 1e6,
                        door.creationMs()
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
            ConfigurationGenerator drawn = new ConfigurationGenerator(3, 100, 100);
            ReplicationRun played = new ReplicationRun(
                    3,
                    drawn,
                    drawn.generate(5_000),
                    4,
                    40,
                    new Publisher.Budget(18_000, 4_000, 4e6, 400),
                    ReplicaFactory.DEFAULT,
                    false);
            LightweightFleet hollow = played.fleet();
            hollow.runUntil(5_000_000);
            played.scheduleChanges(hundredths / 100.0, 25_000_000);
            hollow.runUntil(25_000_000);
            double nodes = played.nodes().size();
            double bytes = 0;
            double ns = 0;
            for (LightweightFleet.Machine node : played.nodes()) {
                bytes += node.usage().sumBytes(5_000_000, 25_000_000) / nodes / 20;
                ns += node.usage().sumCpuNs(5_000_000, 25_000_000) / nodes / 20;
            }
            return new double[] {bytes / 1e3, ns / 1e6};
        };
        run.apply(1_000); // Warm.
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
