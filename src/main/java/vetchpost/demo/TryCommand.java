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
    private static final int BOXES = 6;
    private static final int RACKS = 2;
    private static final int CLIENTS = 12;
    private static final int STOP_S = 5;
    /** As the daemon does: code that has just been loaded is slow, and the first requests would be late. */
    private static final int REHEARSED = 100;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "20", description = "For how long; 20 if not said.")
    private int seconds;

    private final TrialStatistics tally = new TrialStatistics(System::nanoTime);
    private final List<StandInServer> boxes = new ArrayList<>();

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException {
        if (seconds < 4 || seconds > 3_600) {
            throw new ParameterException(spec.commandLine(), "--seconds is not from 4 to 3600");
        }
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (StandInDiscovery discovery = new StandInDiscovery()) {
            for (int i = 0; i < BOXES; i++) {
                StandInServer box = new StandInServer("s-" + i, i % RACKS, tally);
                boxes.add(box);
                discovery.knows(box);
            }
            EventLoop loop = group.next();
            NodeConfig config = NodeConfig.parse(config(discovery), Map.of());
            Node node = loop.submit(() -> new Node(config, loop)).get();
            CountDownLatch ready = new CountDownLatch(1);
            Channel listening = loop.submit(() -> node.start(group, REHEARSED, ready::countDown))
                    .get()
                    .sync()
                    .channel();
            ready.await();
            run(discovery, (InetSocketAddress) listening.localAddress());
            CountDownLatch stopped = new CountDownLatch(1);
            loop.submit(() -> node.stop(stopped::countDown));
            stopped.await(STOP_S, TimeUnit.SECONDS);
            loop.submit(node::close).sync();
        } finally {
            for (StandInServer box : boxes) {
                box.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return report();
    }

    private static String config(StandInDiscovery discovery) {
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
                + "\"rules\":{\"askWithinUs\":10000000,\"drainGraceUs\":" + TrialStatistics.GRACE_NS / 1_000
                + ",\"coldFrom\":"
                + TrialStatistics.COLD_FROM + ",\"coldUs\":" + TrialStatistics.COLD_NS / 1_000 + ",\"overloadFactor\":"
                + TrialStatistics.MULTIPLE
                + ",\"fallUs\":" + TrialStatistics.FALL_NS / 1_000 + "}}}";
    }

    private void run(StandInDiscovery discovery, InetSocketAddress node) throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                "%d boxes, discovery and the node run on loopback ports, the node at %s:%d%n",
                BOXES, node.getAddress().getHostAddress(), node.getPort());
        List<StandInClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        CountDownLatch running = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            StandInClient client = new StandInClient(node, tally, i);
            clients.add(client);
            threads.add(DaemonThreads.start("client-" + i, () -> {
                client.run();
                running.countDown();
            }));
        }
        // They end only when told to, or if something is very wrong: then there is nothing to wait for.
        for (int second = 1; second <= seconds && !running.await(1, TimeUnit.SECONDS); second++) {
            String news = news(discovery, second);
            int[] sums = tally.sums();
            out.printf("%3d s  %6d asked  %6d served%s%n", second, sums[0], sums[1], news);
            out.flush();
        }
        clients.forEach(StandInClient::end);
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(STOP_S));
        }
    }

    private String news(StandInDiscovery discovery, int second) throws IOException {
        StandInServer dies = boxes.get(1);
        StandInServer drains = boxes.get(2);
        if (second == seconds / 4) {
            dies.die();
            return "  " + dies.id() + " has died, and nobody is told";
        }
        if (second == seconds / 2) {
            dies.comeBack();
            discovery.changed(dies, "Ready");
            return "  " + dies.id() + " is back, cold";
        }
        if (second == seconds * 3 / 5) {
            discovery.changed(drains, "Terminating");
            tally.toldToStop(drains.id());
            return "  " + drains.id() + " drains, and discovery says so";
        }
        if (second == seconds * 4 / 5) {
            drains.drain();
            discovery.changed(drains, "Gone");
            return "  " + drains.id() + " is gone";
        }
        return "";
    }

    private int report() {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%n%-12s %7s %7s %8s %7s %9s%n", "class", "asked", "served", "refused", "failed", "mean");
        int asked = 0;
        for (Map.Entry<String, TrialStatistics.Counts> each : new TreeMap<>(tally.classes()).entrySet()) {
            TrialStatistics.Counts counts = each.getValue();
            asked += counts.asked();
            out.printf(
                    Locale.ROOT,
                    "%-12s %7d %6.1f%% %8d %7d %6.1f ms%n",
                    each.getKey(),
                    counts.asked(),
                    100.0 * counts.served() / Math.max(1, counts.asked()),
                    counts.refused(),
                    counts.failed(),
                    counts.meanMs());
        }
        out.printf(Locale.ROOT, "%d requests, %d begun by boxes%n%n", asked, tally.attempts());
        boolean held = true;
        for (Map.Entry<String, List<String>> rule : tally.rules().entrySet()) {
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
