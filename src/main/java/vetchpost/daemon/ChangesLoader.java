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
 * Receives a node's routes from control machines and keeps a copy on disk. {@link StandaloneNode} owns it; the class is
 * loaded only if the file has {@code [changes]}. Replication runs on an event loop of its own, disk writes on another
 * thread, and each new configuration is passed to the caller as one reference.
 */
final class ChangesLoader implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ChangesLoader.class.getName());
    /** A store has several megabytes; changes since the last save are replicated again at the next start. */
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
     * Restores the configuration from disk, which blocks. Does not connect yet.
     *
     * @param changesSettings the file's table {@code [changes]}
     * @param settings of the node's classes
     * @param onConfiguration called with each new configuration, on the replication thread
     * @throws IllegalArgumentException if the secret can't be read
     */
    ChangesLoader(ChangesSettings changesSettings, Settings settings, Consumer<RouteConfiguration> onConfiguration) {
        SharedSecret secret;
        try {
            secret = SharedSecret.read(Path.of(changesSettings.secretFile()));
        } catch (IOException e) {
            throw new IllegalArgumentException("the secret-file of [changes] can't be read: " + e.getMessage(), e);
        }
        file = changesSettings.file().isEmpty() ? null : new StoreFile(Path.of(changesSettings.file()));
        VersionedStore restored = file == null ? null : file.read(line -> LOG.log(Level.WARNING, line));
        store = restored == null ? VersionedStore.EMPTY : restored;
        savedVersion = store.version();
        initialConfiguration = configurationOf(settings, store);
        // Nodes with the same name would all connect to the same control machine first.
        String name = changesSettings.name().isEmpty()
                ? "node-" + Long.toHexString(new SecureRandom().nextLong())
                : changesSettings.name();
        Replica replica = new Replica(name, store, initialConfiguration, false, (newStore, index) -> {
            store = newStore;
            onConfiguration.accept((RouteConfiguration) index);
        });
        client = new ReplicaClient(
                loop,
                Network.SYSTEM,
                secret,
                new SecureRandom(),
                name,
                changesSettings.publishers().stream()
                        .<InetSocketAddress>map(ServerListParser::address)
                        .toList(),
                replica);
    }

    private static RouteConfiguration configurationOf(Settings settings, VersionedStore store) {
        RouteConfiguration configuration = RouteConfiguration.empty(settings);
        PackedTree live = store.live();
        configuration = configuration.backedBy(live);
        for (Item item = live.ceiling(new byte[0]);
                item != null;
                item = live.ceiling(PackedTree.successor(item.key()))) {
            configuration = configuration.withIndexedEntry(item.key(), item.value());
        }
        return configuration.backedBy(live);
    }

    /** The configuration restored from disk; empty without one. */
    RouteConfiguration initialConfiguration() {
        return initialConfiguration;
    }

    /** Starts to connect to control machines and to save the store periodically. */
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
        VersionedStore currentStore = store;
        if (file == null || currentStore.version() == savedVersion) {
            return;
        }
        savedVersion = currentStore.version();
        diskWriter.execute(() -> writeStore(currentStore));
    }

    private void writeStore(VersionedStore currentStore) {
        try {
            file.write(currentStore);
            if (saveFailureLogged) {
                LOG.log(Level.INFO, "the store is being saved again");
            }
            saveFailureLogged = false;
        } catch (IOException | RuntimeException e) {
            if (!saveFailureLogged) {
                LOG.log(Level.WARNING, "can''t save the store of [changes]: {0}", e.toString());
            }
            saveFailureLogged = true;
        }
    }

    /** Describes the configuration in force, its age and the last failure, for operators. */
    String describeStatus() {
        VersionedStore currentStore = store;
        String configuration = currentStore.version() == Version.NONE
                ? "no configuration yet"
                : "configuration " + Version.format(currentStore.version());
        String age = lastCurrentUs < 0
                ? ", not confirmed since the start"
                : ", confirmed " + Math.max(0, (client.nowUs() - lastCurrentUs) / 1_000_000) + " s ago";
        return configuration + age + (lastFailure.isEmpty() ? "" : " (" + lastFailure + ")");
    }

    /** Saves the store; blocks up to {@link #FINAL_SAVE_TIMEOUT_S} seconds, so not for an event loop. */
    void saveNow() {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            saveIfChanged();
            diskWriter.execute(done::countDown);
        });
        try {
            if (!done.await(FINAL_SAVE_TIMEOUT_S, TimeUnit.SECONDS)) {
                LOG.log(Level.WARNING, "the store of [changes] may not have been saved before the stop");
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
