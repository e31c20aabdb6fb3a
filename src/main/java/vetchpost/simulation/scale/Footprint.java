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

/** What things keep on the heap, and what they take of the processor. */
final class Footprint {
    private static final int GC_RUNS = 3;
    private static final long REQUEST_INTERVAL_US = 100;
    private static final long RESPONSE_TIME_US = 5_000;
    private static final long REQUEST_DEADLINE_US = 500_000;

    private static volatile Object strongReference;

    private Footprint() {}

    /** Something that was made. */
    record Retained<T>(T value, double creationMs, long retainedBytes) {}

    /** Bytes on the heap that something needs as long as it is kept, and how long it took to make. */
    static <T> Retained<T> measureRetained(Supplier<T> making) {
        strongReference = null;
        long before = usedHeapBytes();
        long began = System.nanoTime();
        T thing = making.get();
        double ms = (System.nanoTime() - began) / 1e6;
        strongReference = thing;
        return new Retained<>(thing, ms, Math.max(0, usedHeapBytes() - before));
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

    /** A module that is told servers and asked for them, and carries out nothing. */
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

        /** A request that is served. */
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

    /** A list that a module was told. */
    record ServerListCost(double updateMs, long retainedBytes) {}

    static List<ServerEntry> servers(int count) {
        List<ServerEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            entries.add(new ServerEntry("server-" + i, 0, i % 40, ServerState.READY, 1, 0));
        }
        return entries;
    }

    /** What a list of so many servers comes to, when new. */
    static ServerListCost measureServerList(int count) {
        List<ServerEntry> entries = servers(count);
        Retained<StandaloneBalancer> made = measureRetained(() -> {
            StandaloneBalancer module = new StandaloneBalancer();
            module.updateServers(entries);
            return module;
        });
        return new ServerListCost(made.creationMs(), made.retainedBytes());
    }

    /** Nanoseconds of this thread for each of so many runs, the least of three rounds after one. */
    static double minNsPerRun(int runs, Runnable work) {
        double least = Double.MAX_VALUE;
        for (int round = 0; round < 4; round++) {
            long began = System.nanoTime();
            for (int i = 0; i < runs; i++) {
                work.run();
            }
            double ns = (System.nanoTime() - began) / (double) runs;
            least = round == 0 ? least : Math.min(least, ns);
        }
        return least;
    }

    /** Bytes that a node keeps for each route, with its part of the trees and of the way to find it. */
    static double bytesPerRoute(RouteConfiguration catalog) {
        return bytesPerEntry(catalog, EntryKind.ROUTE)
                + (double) catalog.indexBytes() / Math.max(1, catalog.routes().size());
    }

    /** The same for a tenant. */
    static double bytesPerTenant(RouteConfiguration catalog) {
        return bytesPerEntry(catalog, EntryKind.TENANT);
    }

    private static double bytesPerEntry(RouteConfiguration catalog, EntryKind kind) {
        PackedTree live = catalog.store().live();
        byte[] first = new EntryKey(kind, "").bytes();
        long all = 0;
        long own = 0;
        long count = 0;
        for (Item item = live.at(0); item != null; item = live.ceiling(PackedTree.successor(item.key()))) {
            long bytes = item.key().length + item.value().length + Long.BYTES;
            all += bytes;
            if (item.key()[0] == first[0]) {
                own += bytes;
                count++;
            }
        }
        return count == 0 ? 0 : (double) own / count * live.retainedBytes() / all;
    }
}
