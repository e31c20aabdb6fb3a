package vetchpost.simulation.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.changes.ChangeWriter;
import vetchpost.changes.RouteConfiguration;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.replication.Publisher;
import vetchpost.replication.Replica;
import vetchpost.replication.net.PublisherServer;
import vetchpost.simulation.scale.LightweightFleet.Machine;
import vetchpost.store.Version;

/**
 * The command {@code scale real}: the same changes to processes on loopback and to hollow nodes, times
 * compared.
 */
@Command(
        name = "real",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Starts some processes with one replica each, tells them changes over loopback, and " + "plays the",
            "same changes to hollow nodes: how well those foretell what real ones do."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:all came into force", "1:some did not", "2:bad arguments"})
final class RealCommand implements Callable<Integer> {
    private static final int SINGLE_CHANGES = 20;
    private static final int BATCHES = 10;
    private static final long CHANGE_INTERVAL_MS = 250;
    private static final long MAX_PROPAGATION_WAIT_S = 60;
    private static final Publisher.Budget BUDGET = new Publisher.Budget(18_000, 4_000, 4_000_000, 400);

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--processes",
            paramLabel = "N",
            defaultValue = "4",
            description = "So many processes, 1 to 64 (${DEFAULT-VALUE}).")
    private int processes;

    @Option(
            names = "--routes",
            paramLabel = "N",
            defaultValue = "1000",
            description = "Routes at the beginning (${DEFAULT-VALUE}).")
    private int routes;

    @Option(
            names = "--burst",
            paramLabel = "N",
            defaultValue = "1000",
            description = "Changes entered at once, in ten batches (${DEFAULT-VALUE}).")
    private int burst;

    /** Times of the versions at each process or hollow node, from their entry, in microseconds. */
    private record PropagationTimes(List<Long> singles, List<Long> bursts) {
        static PropagationTimes of(Map<Long, Long> entered, List<Map<Long, Long>> inForce, long first) {
            PropagationTimes times = new PropagationTimes(new ArrayList<>(), new ArrayList<>());
            entered.forEach((version, at) -> inForce.forEach(node -> {
                // In force with the first version that is no older.
                long there = node.entrySet().stream()
                        .filter(e -> e.getKey() >= version)
                        .mapToLong(Map.Entry::getValue)
                        .min()
                        .orElse(Long.MAX_VALUE);
                (version <= first + SINGLE_CHANGES ? times.singles : times.bursts).add(there - at);
            }));
            Collections.sort(times.singles);
            Collections.sort(times.bursts);
            return times;
        }

        String text() {
            return String.format(
                    Locale.ROOT,
                    "%9.2f ms %9.2f ms   %9.0f ms %9.0f ms",
                    percentileMs(singles, 0.5),
                    percentileMs(singles, 0.99),
                    percentileMs(bursts, 0.5),
                    percentileMs(bursts, 0.99));
        }

        private static double percentileMs(List<Long> sorted, double share) {
            return sorted.get((int) Math.round(share * (sorted.size() - 1))) / 1e3;
        }
    }

    @Override
    public Integer call() throws Exception {
        if (processes < 1 || processes > 64 || routes < 100 || routes > 100_000 || burst < BATCHES || burst > 10_000) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--processes is from 1 to 64, --routes from 100 to 100000, " + "--burst from 10 to 10000");
        }
        PrintWriter out = spec.commandLine().getOut();
        PropagationTimes real = runProcesses();
        PropagationTimes hollow = runSimulation();
        out.printf("from entry to force       one change p50      p99          burst p50       p99%n");
        out.printf("%d processes on loopback %s%n", processes, real.text());
        out.printf("%d hollow nodes          %s%n", processes, hollow.text());
        out.flush();
        return real.bursts.get(real.bursts.size() - 1) < MAX_PROPAGATION_WAIT_S * 1_000_000 ? 0 : 1;
    }

    private PropagationTimes runSimulation() {
        ConfigurationGenerator drawn = new ConfigurationGenerator(1, 10, 0);
        RouteConfiguration start = drawn.generate(routes);
        LightweightFleet net = new LightweightFleet();
        net.setLinkDelay((from, to) -> 0);
        Machine control = net.machine("control", 0);
        control.startPublishing(start.store(), BUDGET);
        List<Map<Long, Long>> inForce = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            Map<Long, Long> times = new ConcurrentHashMap<>();
            inForce.add(times);
            net.machine("node-" + i, 0)
                    .replicateFrom(
                            new Replica(
                                    "node-" + i,
                                    start.store(),
                                    start,
                                    false,
                                    (store, index) -> times.put(Version.number(store.version()), net.nowUs())),
                            List.of(control),
                            1);
        }
        net.runUntil(1_000_000);
        ChangeWriter writer = new ChangeWriter(start, 1);
        long first = Version.number(start.store().version());
        Map<Long, Long> entered = new ConcurrentHashMap<>();
        for (int i = 0; i < SINGLE_CHANGES + BATCHES; i++) {
            submit(writer, drawn, i, entered, net.nowUs());
            control.publishUpdate(writer.store());
            if (i < SINGLE_CHANGES) {
                net.runUntil(net.nowUs() + CHANGE_INTERVAL_MS * 1_000);
            }
        }
        net.runUntil(net.nowUs() + MAX_PROPAGATION_WAIT_S * 1_000_000);
        return PropagationTimes.of(entered, inForce, first);
    }

    private void submit(ChangeWriter writer, ConfigurationGenerator drawn, int i, Map<Long, Long> entered, long nowUs) {
        if (!writer.submit(drawn.generateChanges(writer.configuration(), i < SINGLE_CHANGES ? 1 : burst / BATCHES))
                .isEmpty()) {
            throw new IllegalStateException("what was drawn is refused");
        }
        entered.put(Version.number(writer.store().version()), nowUs);
    }

    private PropagationTimes runProcesses() throws Exception {
        ConfigurationGenerator drawn = new ConfigurationGenerator(1, 10, 0);
        RouteConfiguration start = drawn.generate(routes);
        Path secret = Files.createTempFile("secret", "");
        byte[] random = new byte[24];
        new SecureRandom().nextBytes(random);
        Files.writeString(secret, java.util.HexFormat.of().formatHex(random) + "\n");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        List<Process> started = new ArrayList<>();
        PublisherServer[] server = new PublisherServer[1];
        try {
            loop.submit(() -> {
                        try {
                            server[0] = new PublisherServer(
                                    loop,
                                    Network.SYSTEM,
                                    SharedSecret.read(secret),
                                    new SecureRandom(),
                                    start.store(),
                                    new Publisher.Budget(1e7, 1e7, 1e8, 1e7));
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    })
                    .get();
            InetSocketAddress address = (InetSocketAddress) server[0]
                    .listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel()
                    .localAddress();
            List<Map<Long, Long>> inForce = new ArrayList<>();
            for (int i = 0; i < processes; i++) {
                inForce.add(startProcess(i, address, secret, started));
            }
            long first = Version.number(start.store().version());
            awaitVersion(inForce, first);
            // They have all; from here on with the budgets of nodes, as another publisher at the same place.
            loop.submit(() -> server[0].setBudget(BUDGET)).get();
            ChangeWriter writer = new ChangeWriter(start, 1);
            Map<Long, Long> entered = new ConcurrentHashMap<>();
            for (int i = 0; i < SINGLE_CHANGES + BATCHES; i++) {
                submit(writer, drawn, i, entered, System.nanoTime() / 1_000);
                loop.submit(() -> server[0].publish(writer.store())).get();
                if (i < SINGLE_CHANGES) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CHANGE_INTERVAL_MS));
                }
            }
            awaitVersion(inForce, Version.number(writer.store().version()));
            return PropagationTimes.of(entered, inForce, first);
        } finally {
            for (Process process : started) {
                process.destroy();
            }
            if (server[0] != null) {
                loop.submit(server[0]::close).awaitUninterruptibly();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            Files.delete(secret);
        }
    }

    private static Map<Long, Long> startProcess(
            int number, InetSocketAddress publisher, Path secret, List<Process> started) throws IOException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "vetchpost.daemon.Main",
                        "scale",
                        "replica",
                        "--publisher",
                        "127.0.0.1:" + publisher.getPort(),
                        "--secret-file",
                        secret.toString(),
                        "--name",
                        "node-" + number)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        started.add(process);
        Map<Long, Long> times = new ConcurrentHashMap<>();
        Thread reader = new Thread(
                () -> {
                    try (BufferedReader lines = new BufferedReader(
                            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                            String[] parts = line.split(" ");
                            times.put(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
                        }
                    } catch (IOException e) {
                        return; // It has ended.
                    }
                },
                "replica-" + number);
        reader.setDaemon(true);
        reader.start();
        return times;
    }

    private static void awaitVersion(List<Map<Long, Long>> inForce, long version) throws IOException {
        long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_PROPAGATION_WAIT_S);
        while (inForce.stream().anyMatch(node -> node.keySet().stream().noneMatch(v -> v >= version))) {
            if (System.nanoTime() > untilNs) {
                throw new IOException("not all processes have come to version " + version);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }
}
