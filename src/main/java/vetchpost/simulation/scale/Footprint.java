package vetchpost.simulation.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import vetchpost.changes.RouteConfiguration;
import vetchpost.decision.Balancer;
import vetchpost.decision.Balancer.Actions;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Outcome;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServiceQBalancer;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.PackedTree;
import vetchpost.store.PackedTree.Item;

/**
 * Measures retained heap and elapsed time for the {@code scale} commands. Run one measurement at a time: heap sizes
 * cover the whole process.
 */
final class Footprint {
    private static final int GC_RUNS = 3;
    private static final long REQUEST_INTERVAL_US = 100;
    private static final long RESPONSE_TIME_US = 5_000;
    private static final long REQUEST_DEADLINE_US = 500_000;

    private static volatile Object strongReference;

    private Footprint() {}

    /** A created value, the time to create it in milliseconds, and the heap that it retains in bytes. */
    record Retained<T>(T value, double creationMs, long retainedBytes) {}

    /** Creates a value and measures the time, and the growth of the heap while the value is referenced. */
    static <T> Retained<T> measureRetained(Supplier<T> factory) {
        strongReference = null;
        long before = usedHeapBytes();
        long startNs = System.nanoTime();
        T value = factory.get();
        double ms = (System.nanoTime() - startNs) / 1e6;
        strongReference = value;
        return new Retained<>(value, ms, Math.max(0, usedHeapBytes() - before));
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        long used = Long.MAX_VALUE;
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
            used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
        }
        return used;
    }

    /** A balancer that is given servers and requests, and whose actions are ignored. */
    static final class StandaloneBalancer implements Actions {
        private final Balancer balancer;
        private long nowUs = 1_000_000;
        private long lastRequestId;
        private boolean isRequestSent;

        StandaloneBalancer() {
            Settings settings = ConfigurationGenerator.settings();
            balancer = new ServiceQBalancer(settings, 1, this);
        }

        void updateServers(List<ServerEntry> servers) {
            balancer.onServers(nowUs, ListKind.FULL, servers);
        }

        /** Sends a request and, if the balancer chose a server, reports success. */
        void serveRequest() {
            nowUs += REQUEST_INTERVAL_US;
            long id = ++lastRequestId;
            isRequestSent = false;
            balancer.onRequest(nowUs, new Request(id, 0, -1, REQUEST_DEADLINE_US, 0, false));
            if (isRequestSent) {
                balancer.onOutcome(
                        nowUs + RESPONSE_TIME_US, new Outcome(id, 0, Result.OK, RESPONSE_TIME_US, true, null));
            }
        }

        @Override
        public void send(long requestId, String serverId, long untilUs) {
            isRequestSent = true;
        }

        @Override
        public void cancel(long requestId, int attempt) {}

        @Override
        public void reject(long requestId, long retryAfterUs) {}

        @Override
        public void fail(long requestId) {}

        @Override
        public void wakeAt(long atUs) {}

        @Override
        public void probe(String serverId) {}

        @Override
        public void subscribe() {}

        @Override
        public void log(String line) {}
    }

    /** The cost of a new server list: the time of the update in milliseconds, and the heap that it retains. */
    record ServerListCost(double updateMs, long retainedBytes) {}

    static List<ServerEntry> servers(int count) {
        List<ServerEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            entries.add(new ServerEntry("server-" + i, 0, i % 40, ServerState.READY, 1, 0));
        }
        return entries;
    }

    /** Measures a new list of {@code count} servers. */
    static ServerListCost measureServerList(int count) {
        List<ServerEntry> entries = servers(count);
        Retained<StandaloneBalancer> made = measureRetained(() -> {
            StandaloneBalancer balancer = new StandaloneBalancer();
            balancer.updateServers(entries);
            return balancer;
        });
        return new ServerListCost(made.creationMs(), made.retainedBytes());
    }

    /** Returns the nanoseconds of a run, the minimum of three rounds of {@code runs} runs after a warm-up round. */
    static double minNsPerRun(int runs, Runnable task) {
        double minNs = Double.MAX_VALUE;
        for (int round = 0; round < 4; round++) {
            long startNs = System.nanoTime();
            for (int i = 0; i < runs; i++) {
                task.run();
            }
            double ns = (System.nanoTime() - startNs) / (double) runs;
            minNs = round == 0 ? minNs : Math.min(minNs, ns);
        }
        return minNs;
    }

    /** Bytes that a node retains for each route, its fraction of the trees and of the route index included. */
    static double bytesPerRoute(RouteConfiguration configuration) {
        return bytesPerEntry(configuration, EntryKind.ROUTE)
                + (double) configuration.indexBytes()
                        / Math.max(1, configuration.routes().size());
    }

    /** Bytes that a node retains for each tenant, its fraction of the trees included. */
    static double bytesPerTenant(RouteConfiguration configuration) {
        return bytesPerEntry(configuration, EntryKind.TENANT);
    }

    private static double bytesPerEntry(RouteConfiguration configuration, EntryKind kind) {
        PackedTree tree = configuration.store().live();
        byte[] first = new EntryKey(kind, "").bytes();
        long totalBytes = 0;
        long kindBytes = 0;
        long count = 0;
        for (Item item = tree.at(0); item != null; item = tree.ceiling(PackedTree.successor(item.key()))) {
            long bytes = item.key().length + item.value().length + Long.BYTES;
            totalBytes += bytes;
            if (item.key()[0] == first[0]) {
                kindBytes += bytes;
                count++;
            }
        }
        return count == 0 ? 0 : (double) kindBytes / count * tree.retainedBytes() / totalBytes;
    }
}
