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
    private static final long KEEP_EVERY_S = 60;

    private static final long STOP_S = 2;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("changes", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService disk = Executors.newSingleThreadExecutor(new DefaultThreadFactory("store", true));
    private final StoreFile file;
    private final ReplicaClient client;
    private final RouteConfiguration first;
    private volatile VersionedStore store;
    private volatile long currentUs = -1;
    private volatile String trouble = "";
    private long keptVersion;
    private boolean diskTold;

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
        keptVersion = store.version();
        first = catalog(settings, store);
        // Nodes of one name would all ask the same control machine first.
        String name = from.name().isEmpty() ? "node-" + Long.toHexString(new SecureRandom().nextLong()) : from.name();
        Replica replica = new Replica(name, store, first, false, (fresh, index) -> {
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

    private static RouteConfiguration catalog(Settings settings, VersionedStore store) {
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
    RouteConfiguration first() {
        return first;
    }

    /** Connects to control machines from now on. */
    void begin() {
        loop.execute(client::start);
        loop.scheduleWithFixedDelay(this::look, 1, 1, TimeUnit.SECONDS);
        loop.scheduleWithFixedDelay(this::keep, KEEP_EVERY_S, KEEP_EVERY_S, TimeUnit.SECONDS);
    }

    private void look() {
        currentUs = client.replica().lastCurrentUs();
        trouble = client.failure();
    }

    private void keep() {
        VersionedStore now = store;
        if (file == null || now.version() == keptVersion) {
            return;
        }
        keptVersion = now.version();
        disk.execute(() -> write(now));
    }

    private void write(VersionedStore now) {
        try {
            file.write(now);
            if (diskTold) {
                LOG.log(Level.INFO, "the store is kept again");
            }
            diskTold = false;
        } catch (IOException | RuntimeException e) {
            if (!diskTold) {
                LOG.log(Level.WARNING, "the store can''t be kept: {0}", e.toString());
            }
            diskTold = true;
        }
    }

    /** What it serves by, and how old that is. */
    String words() {
        VersionedStore now = store;
        String what = now.version() == Version.NONE
                ? "no configuration yet"
                : "configuration " + Version.format(now.version());
        String age = currentUs < 0
                ? ", not confirmed since the start"
                : ", confirmed " + Math.max(0, (client.nowUs() - currentUs) / 1_000_000) + " s ago";
        return what + age + (trouble.isEmpty() ? "" : " (" + trouble + ")");
    }

    /** Keeps what it has now; blocks for a while at most, so not on the requests' loop. */
    void keepNow() {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            keep();
            disk.execute(done::countDown);
        });
        try {
            if (!done.await(STOP_S, TimeUnit.SECONDS)) {
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
            disk.shutdown();
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
