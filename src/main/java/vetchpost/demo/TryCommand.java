package vetchpost.demo;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.config.NodeConfig;
import vetchpost.node.Node;

/** The command {@code try}: a first run without a platform. */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Starts stand-in boxes, a stand-in discovery and the node on loopback ports, "
                    + "and has clients ask while one box dies and another drains.",
            "Then prints the service by class and whether the four rules held."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:all four rules held", "1:one was broken", "2:bad arguments"})
public final class TryCommand implements Callable<Integer> {
    private static final int SERVERS = 6;
    private static final int RACKS = 2;
    private static final int CLIENTS = 12;
    private static final int STOP_TIMEOUT_S = 5;
    /** As the daemon does: code that has just been loaded is slow, and the first requests would be late. */
    private static final int WARM_UP_REQUESTS = 100;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "20", description = "For how long; 20 if not said.")
    private int seconds;

    private final DemoStatistics statistics = new DemoStatistics(System::nanoTime);
    private final List<DemoServer> servers = new ArrayList<>();

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException {
        if (seconds < 4 || seconds > 3_600) {
            throw new ParameterException(spec.commandLine(), "--seconds is not from 4 to 3600");
        }
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (DemoDiscovery discovery = new DemoDiscovery()) {
            for (int i = 0; i < SERVERS; i++) {
                DemoServer box = new DemoServer("s-" + i, i % RACKS, statistics);
                servers.add(box);
                discovery.addServer(box);
            }
            EventLoop loop = group.next();
            NodeConfig config = NodeConfig.parse(config(discovery), Map.of());
            Node node = loop.submit(() -> new Node(config, loop)).get();
            CountDownLatch ready = new CountDownLatch(1);
            Channel listening = loop.submit(() -> node.start(group, WARM_UP_REQUESTS, ready::countDown))
                    .get()
                    .sync()
                    .channel();
            ready.await();
            runDemo(discovery, (InetSocketAddress) listening.localAddress());
            CountDownLatch stopped = new CountDownLatch(1);
            loop.submit(() -> node.stop(stopped::countDown));
            stopped.await(STOP_TIMEOUT_S, TimeUnit.SECONDS);
            loop.submit(node::close).sync();
        } finally {
            for (DemoServer box : servers) {
                box.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return printReport();
    }

    private static String config(DemoDiscovery discovery) {
        return "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.address() + "\",\"seed\":\"1\","
                + "\"limits\":{\"sockets\":512},\"known\":" + discovery.list()
                + ",\"settings\":{\"balancers\":1,"
                + "\"zones\":[\"room\"],\"myZone\":\"room\",\"membershipMode\":\"on_request\",\"classes\":["
                + "{\"name\":\"view-page\",\"repeat\":\"safe\",\"onTimeUs\":250000,\"giveUpUs\":500000},"
                + "{\"name\":\"add-photo\",\"repeat\":\"keyed\",\"group\":\"cell\",\"windowUs\":1200000,"
                + "\"importance\":5,\"onTimeUs\":300000,\"giveUpUs\":600000},"
                + "{\"name\":\"place-order\",\"repeat\":\"unsafe\",\"importance\":5,\"onTimeUs\":500000,"
                + "\"giveUpUs\":1000000}],\"realms\":[{\"name\":\"school\",\"quotaPerS\":1000,\"share\":1}],"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterUs\":1000000,\"dialTimeoutUs\":200000,\"connIdleUs\":60000000},"
                + "\"rules\":{\"askWithinUs\":10000000,\"drainGraceUs\":" + DemoStatistics.DRAIN_GRACE_NS / 1_000
                + ",\"coldFrom\":"
                + DemoStatistics.COLD_CAPACITY_FRACTION + ",\"coldUs\":" + DemoStatistics.WARM_UP_NS / 1_000
                + ",\"overloadFactor\":"
                + DemoStatistics.OVERLOAD_FACTOR
                + ",\"fallUs\":" + DemoStatistics.OVERLOAD_WINDOW_NS / 1_000 + "}}}";
    }

    private void runDemo(DemoDiscovery discovery, InetSocketAddress node) throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                "%d boxes, discovery and the node run on loopback ports, the node at %s:%d%n",
                SERVERS, node.getAddress().getHostAddress(), node.getPort());
        List<DemoClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        CountDownLatch running = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            DemoClient client = new DemoClient(node, statistics, i);
            clients.add(client);
            threads.add(DaemonThreads.start("client-" + i, () -> {
                client.run();
                running.countDown();
            }));
        }
        // They end only when told to, or if something is very wrong: then there is nothing to wait for.
        for (int second = 1; second <= seconds && !running.await(1, TimeUnit.SECONDS); second++) {
            String news = applyEvent(discovery, second);
            int[] sums = statistics.totals();
            out.printf("%3d s  %6d asked  %6d served%s%n", second, sums[0], sums[1], news);
            out.flush();
        }
        clients.forEach(DemoClient::stop);
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(STOP_TIMEOUT_S));
        }
    }

    private String applyEvent(DemoDiscovery discovery, int second) throws IOException {
        DemoServer dies = servers.get(1);
        DemoServer drains = servers.get(2);
        if (second == seconds / 4) {
            dies.crash();
            return "  " + dies.id() + " has died, and nobody is told";
        }
        if (second == seconds / 2) {
            dies.restart();
            discovery.publishChange(dies, "Ready");
            return "  " + dies.id() + " is back, cold";
        }
        if (second == seconds * 3 / 5) {
            discovery.publishChange(drains, "Terminating");
            statistics.recordDrain(drains.id());
            return "  " + drains.id() + " drains, and discovery says so";
        }
        if (second == seconds * 4 / 5) {
            drains.drain();
            discovery.publishChange(drains, "Gone");
            return "  " + drains.id() + " is gone";
        }
        return "";
    }

    private int printReport() {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%n%-12s %7s %7s %8s %7s %9s%n", "class", "asked", "served", "refused", "failed", "mean");
        int asked = 0;
        for (Map.Entry<String, DemoStatistics.Counts> each : new TreeMap<>(statistics.classes()).entrySet()) {
            DemoStatistics.Counts counts = each.getValue();
            asked += counts.requests();
            out.printf(
                    Locale.ROOT,
                    "%-12s %7d %6.1f%% %8d %7d %6.1f ms%n",
                    each.getKey(),
                    counts.requests(),
                    100.0 * counts.served() / Math.max(1, counts.requests()),
                    counts.rejected(),
                    counts.failed(),
                    counts.meanMs());
        }
        out.printf(Locale.ROOT, "%d requests, %d begun by boxes%n%n", asked, statistics.attempts());
        boolean held = true;
        for (Map.Entry<String, List<String>> rule :
                statistics.violationsByRule().entrySet()) {
            List<String> broken = rule.getValue();
            held &= broken.isEmpty();
            out.printf(
                    "%-34s %s%n",
                    rule.getKey(),
                    broken.isEmpty() ? "kept" : "BROKEN " + broken.size() + " times, first: " + broken.get(0));
        }
        out.flush();
        return held ? 0 : 1;
    }
}
