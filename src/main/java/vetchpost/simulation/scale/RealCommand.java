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
 * The command {@code scale real}: replicates the same changes to processes on loopback and to lightweight simulated
 * nodes, and compares the propagation times. Starts {@link ReplicaCommand} in each process.
 */
@Command(
        name = "real",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Starts processes with one replica each, sends them changes over loopback, and " + "simulates the",
            "same changes with lightweight nodes, to show how well these predict real ones."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:all changes were applied", "1:some were not", "2:bad arguments"})
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
            description = "Number of processes, 1 to 64 (${DEFAULT-VALUE}).")
    private int processes;

    @Option(
            names = "--routes",
            paramLabel = "N",
            defaultValue = "1000",
            description = "Routes at the start, 100 to 100000 (${DEFAULT-VALUE}).")
    private int routes;

    @Option(
            names = "--burst",
            paramLabel = "N",
            defaultValue = "1000",
            description = "Changes submitted at once, in ten batches, 10 to 10000 (${DEFAULT-VALUE}).")
    private int burst;

    /** Times from the submission of each version until each process or node applied it, sorted, in microseconds. */
    private record PropagationTimes(List<Long> singles, List<Long> bursts) {
        static PropagationTimes of(
                Map<Long, Long> submittedUs, List<Map<Long, Long>> appliedByNode, long firstVersion) {
            PropagationTimes times = new PropagationTimes(new ArrayList<>(), new ArrayList<>());
            submittedUs.forEach((version, submissionUs) -> appliedByNode.forEach(node -> {
                // A version is applied with the first one that is at least as new.
                long appliedUs = node.entrySet().stream()
                        .filter(e -> e.getKey() >= version)
                        .mapToLong(Map.Entry::getValue)
                        .min()
                        .orElse(Long.MAX_VALUE);
                (version <= firstVersion + SINGLE_CHANGES ? times.singles : times.bursts).add(appliedUs - submissionUs);
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

        private static double percentileMs(List<Long> sorted, double quantile) {
            return sorted.get((int) Math.round(quantile * (sorted.size() - 1))) / 1e3;
        }
    }

    @Override
    public Integer call() throws Exception {
        if (processes < 1 || processes > 64 || routes < 100 || routes > 100_000 || burst < BATCHES || burst > 10_000) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--processes must be from 1 to 64, --routes from 100 to 100000, " + "--burst from 10 to 10000");
        }
        PrintWriter out = spec.commandLine().getOut();
        PropagationTimes real = runProcesses();
        PropagationTimes simulated = runSimulation();
        out.printf("submission to applied     one change p50      p99          burst p50       p99%n");
        out.printf("%d processes on loopback %s%n", processes, real.text());
        out.printf("%d simulated nodes       %s%n", processes, simulated.text());
        out.flush();
        return real.bursts.get(real.bursts.size() - 1) < MAX_PROPAGATION_WAIT_S * 1_000_000 ? 0 : 1;
    }

    private PropagationTimes runSimulation() {
        ConfigurationGenerator generator = new ConfigurationGenerator(1, 10, 0);
        RouteConfiguration initial = generator.generate(routes);
        LightweightFleet fleet = new LightweightFleet();
        fleet.setLinkDelay((from, to) -> 0);
        Machine control = fleet.machine("control", 0);
        control.startPublishing(initial.store(), BUDGET);
        List<Map<Long, Long>> appliedByNode = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            Map<Long, Long> times = new ConcurrentHashMap<>();
            appliedByNode.add(times);
            fleet.machine("node-" + i, 0)
                    .replicateFrom(
                            new Replica(
                                    "node-" + i,
                                    initial.store(),
                                    initial,
                                    false,
                                    (store, index) -> times.put(Version.number(store.version()), fleet.nowUs())),
                            List.of(control),
                            1);
        }
        fleet.runUntil(1_000_000);
        ChangeWriter writer = new ChangeWriter(initial, 1);
        long firstVersion = Version.number(initial.store().version());
        Map<Long, Long> submittedUs = new ConcurrentHashMap<>();
        for (int i = 0; i < SINGLE_CHANGES + BATCHES; i++) {
            submit(writer, generator, i, submittedUs, fleet.nowUs());
            control.publishUpdate(writer.store());
            if (i < SINGLE_CHANGES) {
                fleet.runUntil(fleet.nowUs() + CHANGE_INTERVAL_MS * 1_000);
            }
        }
        fleet.runUntil(fleet.nowUs() + MAX_PROPAGATION_WAIT_S * 1_000_000);
        return PropagationTimes.of(submittedUs, appliedByNode, firstVersion);
    }

    private void submit(
            ChangeWriter writer, ConfigurationGenerator generator, int i, Map<Long, Long> submittedUs, long nowUs) {
        if (!writer.submit(generator.generateChanges(writer.configuration(), i < SINGLE_CHANGES ? 1 : burst / BATCHES))
                .isEmpty()) {
            throw new IllegalStateException("a generated change was rejected");
        }
        submittedUs.put(Version.number(writer.store().version()), nowUs);
    }

    private PropagationTimes runProcesses() throws Exception {
        ConfigurationGenerator generator = new ConfigurationGenerator(1, 10, 0);
        RouteConfiguration initial = generator.generate(routes);
        Path secretFile = Files.createTempFile("secret", "");
        byte[] random = new byte[24];
        new SecureRandom().nextBytes(random);
        Files.writeString(secretFile, java.util.HexFormat.of().formatHex(random) + "\n");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        List<Process> startedProcesses = new ArrayList<>();
        PublisherServer[] publisherServer = new PublisherServer[1];
        try {
            loop.submit(() -> {
                        try {
                            publisherServer[0] = new PublisherServer(
                                    loop,
                                    Network.SYSTEM,
                                    SharedSecret.read(secretFile),
                                    new SecureRandom(),
                                    initial.store(),
                                    new Publisher.Budget(1e7, 1e7, 1e8, 1e7));
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    })
                    .get();
            InetSocketAddress address = (InetSocketAddress) publisherServer[0]
                    .listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel()
                    .localAddress();
            List<Map<Long, Long>> appliedByNode = new ArrayList<>();
            for (int i = 0; i < processes; i++) {
                appliedByNode.add(startProcess(i, address, secretFile, startedProcesses));
            }
            long firstVersion = Version.number(initial.store().version());
            awaitVersion(appliedByNode, firstVersion);
            // All have the initial configuration; from here on the budgets of production nodes apply.
            loop.submit(() -> publisherServer[0].setBudget(BUDGET)).get();
            ChangeWriter writer = new ChangeWriter(initial, 1);
            Map<Long, Long> submittedUs = new ConcurrentHashMap<>();
            for (int i = 0; i < SINGLE_CHANGES + BATCHES; i++) {
                submit(writer, generator, i, submittedUs, System.nanoTime() / 1_000);
                loop.submit(() -> publisherServer[0].publish(writer.store())).get();
                if (i < SINGLE_CHANGES) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CHANGE_INTERVAL_MS));
                }
            }
            awaitVersion(appliedByNode, Version.number(writer.store().version()));
            return PropagationTimes.of(submittedUs, appliedByNode, firstVersion);
        } finally {
            for (Process process : startedProcesses) {
                process.destroy();
            }
            if (publisherServer[0] != null) {
                loop.submit(publisherServer[0]::close).awaitUninterruptibly();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            Files.delete(secretFile);
        }
    }

    private static Map<Long, Long> startProcess(
            int number, InetSocketAddress publisher, Path secretFile, List<Process> startedProcesses)
            throws IOException {
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
                        secretFile.toString(),
                        "--name",
                        "node-" + number)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        startedProcesses.add(process);
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
                        return; // The process has ended.
                    }
                },
                "replica-" + number);
        reader.setDaemon(true);
        reader.start();
        return times;
    }

    private static void awaitVersion(List<Map<Long, Long>> appliedByNode, long version) throws IOException {
        long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_PROPAGATION_WAIT_S);
        while (appliedByNode.stream().anyMatch(node -> node.keySet().stream().noneMatch(v -> v >= version))) {
            if (System.nanoTime() > untilNs) {
                throw new IOException("not all processes applied version " + version);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }
}
