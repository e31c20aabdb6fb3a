package vetchpost.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import vetchpost.changes.ChangesSettings;
import vetchpost.changes.RouteConfiguration;
import vetchpost.decision.Balancer.Settings;
import vetchpost.discovery.ServerListParser;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.replication.Replica;
import vetchpost.replication.disk.StoreFile;
import vetchpost.replication.net.ReplicaClient;
import vetchpost.store.PackedTree;
import vetchpost.store.PackedTree.Item;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/**
 * A node's routes from control machines, put together; loaded only where the file has {@code [changes]}. It
 * works on a thread of its own and gives the requests' loop one reference at a time.
 */
final class ChangesLoader implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ChangesLoader.class.getName());
    /** A store is some megabytes: what was missed since is told again at the start. */
    private static final long SAVE_INTERVAL_S = 60;

    private static final long FINAL_SAVE_TIMEOUT_S = 2;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("changes", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService diskWriter =
            Executors.newSingleThreadExecutor(new DefaultThreadFactory("store", true));
    private final StoreFile file;
    private final ReplicaClient client;
    private final RouteConfiguration initialConfiguration;
    private volatile VersionedStore store;
    private volatile long lastCurrentUs = -1;
    private volatile String lastFailure = "";
    private long savedVersion;
    private boolean saveFailureLogged;

    /**
     * Begins with what is on the disk; blocks while that is read. Connects to nobody yet.
     *
     * @param settings of the node's classes
     * @param inForce hears of what holds from then on, on a thread of its own
     * @throws IllegalArgumentException if the secret can't be read
     */
    ChangesLoader(ChangesSettings from, Settings settings, Consumer<RouteConfiguration> inForce) {
        SharedSecret secret;
        try {
            secret = SharedSecret.read(Path.of(from.secretFile()));
        } catch (IOException e) {
            throw new IllegalArgumentException("the secret of [changes]: " + e.getMessage(), e);
        }
        file = from.file().isEmpty() ? null : new StoreFile(Path.of(from.file()));
        VersionedStore kept = file == null ? null : file.read(line -> LOG.log(Level.WARNING, line));
        store = kept == null ? VersionedStore.EMPTY : kept;
        savedVersion = store.version();
        initialConfiguration = configurationOf(settings, store);
        // Nodes of one name would all ask the same control machine first.
        String name = from.name().isEmpty() ? "node-" + Long.toHexString(new SecureRandom().nextLong()) : from.name();
        Replica replica = new Replica(name, store, initialConfiguration, false, (fresh, index) -> {
            store = fresh;
            inForce.accept((RouteConfiguration) index);
        });
        client = new ReplicaClient(
                loop,
                Network.SYSTEM,
                secret,
                new SecureRandom(),
                name,
                from.publishers().stream()
                        .<InetSocketAddress>map(ServerListParser::address)
                        .toList(),
                replica);
    }

    private static RouteConfiguration configurationOf(Settings settings, VersionedStore store) {
        RouteConfiguration catalog = RouteConfiguration.empty(settings);
        PackedTree live = store.live();
        catalog = catalog.backedBy(live);
        for (Item item = live.ceiling(new byte[0]);
                item != null;
                item = live.ceiling(PackedTree.successor(item.key()))) {
            catalog = catalog.withIndexedEntry(item.key(), item.value());
        }
        return catalog.backedBy(live);
    }

    /** What holds at the start. */
    RouteConfiguration initialConfiguration() {
        return initialConfiguration;
    }

    /** Connects to control machines from now on. */
    void start() {
        loop.execute(client::start);
        loop.scheduleWithFixedDelay(this::refreshStatus, 1, 1, TimeUnit.SECONDS);
        loop.scheduleWithFixedDelay(this::saveIfChanged, SAVE_INTERVAL_S, SAVE_INTERVAL_S, TimeUnit.SECONDS);
    }

    private void refreshStatus() {
        lastCurrentUs = client.replica().lastCurrentUs();
        lastFailure = client.failure();
    }

    private void saveIfChanged() {
        VersionedStore now = store;
        if (file == null || now.version() == savedVersion) {
            return;
        }
        savedVersion = now.version();
        diskWriter.execute(() -> writeStore(now));
    }

    private void writeStore(VersionedStore now) {
        try {
            file.write(now);
            if (saveFailureLogged) {
                LOG.log(Level.INFO, "the store is kept again");
            }
            saveFailureLogged = false;
        } catch (IOException | RuntimeException e) {
            if (!saveFailureLogged) {
                LOG.log(Level.WARNING, "the store can''t be kept: {0}", e.toString());
            }
            saveFailureLogged = true;
        }
    }

    /** What it serves by, and how old that is. */
    String describeStatus() {
        VersionedStore now = store;
        String what = now.version() == Version.NONE
                ? "no configuration yet"
                : "configuration " + Version.format(now.version());
        String age = lastCurrentUs < 0
                ? ", not confirmed since the start"
                : ", confirmed " + Math.max(0, (client.nowUs() - lastCurrentUs) / 1_000_000) + " s ago";
        return what + age + (lastFailure.isEmpty() ? "" : " (" + lastFailure + ")");
    }

    /** Keeps what it has now; blocks for a while at most, so not on the requests' loop. */
    void saveNow() {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            saveIfChanged();
            diskWriter.execute(done::countDown);
        });
        try {
            if (!done.await(FINAL_SAVE_TIMEOUT_S, TimeUnit.SECONDS)) {
                LOG.log(Level.WARNING, "the store may not have been kept");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        loop.execute(() -> {
            client.close();
            diskWriter.shutdown();
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
