package vetchpost.replication.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.replication.Index;
import vetchpost.replication.Replica;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/** Replicas and publishers over loopback connections. */
class ReplicaClientTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<ReplicaClient> clients = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        loop.submit(() -> clients.forEach(ReplicaClient::close)).get(30, TimeUnit.SECONDS);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static VersionedStore store(long number, int entries) {
        List<EntryChange> changes = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            changes.add(EntryChange.put(new EntryKey(EntryKind.ROUTE, "/route/" + i), new byte[40]));
        }
        return VersionedStore.EMPTY.with(changes, Version.of(1, number));
    }

    private static VersionedStore withOneMoreEntry(VersionedStore store) {
        return store.with(
                List.of(EntryChange.put(new EntryKey(EntryKind.ROUTE, "/more/" + store.version()), new byte[9])),
                store.version() + 1);
    }

    private BlockingQueue<VersionedStore> follow(String secret, InetSocketAddress... publishers) throws Exception {
        BlockingQueue<VersionedStore> inForce = new LinkedBlockingQueue<>();
        loop.submit(() -> {
                    ReplicaClient client = new ReplicaClient(
                            loop,
                            Network.SYSTEM,
                            SharedSecret.parse(secret),
                            new SecureRandom(),
                            "node",
                            List.of(publishers),
                            new Replica(
                                    "node",
                                    VersionedStore.EMPTY,
                                    Index.NONE,
                                    false,
                                    (store, index) -> inForce.add(store)));
                    clients.add(client);
                    client.start();
                })
                .get(30, TimeUnit.SECONDS);
        return inForce;
    }

    private static VersionedStore next(BlockingQueue<VersionedStore> inForce) throws Exception {
        VersionedStore store = inForce.poll(30, TimeUnit.SECONDS);
        assertNotNull(store, "nothing came into force");
        return store;
    }

    @Test
    void publishesChangesOnlyToReplicasThatKnowTheSecret() throws Exception {
        VersionedStore first = store(1, 3_000);
        try (TestPublisher control = new TestPublisher(first, TestPublisher.SECRET, 0)) {
            BlockingQueue<VersionedStore> one = follow(TestPublisher.SECRET, control.address());
            BlockingQueue<VersionedStore> two = follow(TestPublisher.SECRET, control.address());
            BlockingQueue<VersionedStore> stranger =
                    follow("another secret that is as long as the one", control.address());
            assertEquals(first.live().sum(), next(one).live().sum());
            assertEquals(first.live().sum(), next(two).live().sum());
            VersionedStore second = withOneMoreEntry(first);
            control.publish(second);
            assertEquals(second.live().sum(), next(one).live().sum());
            assertEquals(second.live().sum(), next(two).live().sum());
            assertNull(stranger.poll());
            assertEquals(2, control.replicaCount());
        }
    }

    @Test
    void failsOverToAnotherPublisherWhenOneDies() throws Exception {
        VersionedStore first = store(1, 100);
        VersionedStore second = withOneMoreEntry(first);
        TestPublisher[] both = {
            new TestPublisher(first, TestPublisher.SECRET, 0), new TestPublisher(first, TestPublisher.SECRET, 0)
        };
        try {
            BlockingQueue<VersionedStore> inForce = follow(TestPublisher.SECRET, both[0].address(), both[1].address());
            next(inForce);
            int used = both[0].replicaCount() == 1 ? 0 : 1;
            assertEquals(1, both[0].replicaCount() + both[1].replicaCount());
            both[1 - used].publish(second);
            both[used].close();
            assertEquals(second.live().sum(), next(inForce).live().sum());
        } finally {
            both[0].close();
            both[1].close();
        }
    }

    /** Somebody in between who changes a byte, leaves a frame out or sends one again is found at once. */
    @Test
    void detectsFramesAlteredDroppedOrReplayedInTransit() throws Exception {
        VersionedStore first = store(1, 10);
        for (int harm = 0; harm < 3; harm++) {
            int what = harm;
            try (TestPublisher control = new TestPublisher(first, TestPublisher.SECRET, 0);
                    ServerSocket between = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                Thread thread = new Thread(() -> forwardWithFault(between, control.address(), what));
                thread.setDaemon(true);
                thread.start();
                BlockingQueue<VersionedStore> inForce = follow(
                        TestPublisher.SECRET,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), between.getLocalPort()));
                // The first connection is harmed, those after it are not.
                assertEquals(first.live().sum(), next(inForce).live().sum());
                assertTrue(clients.get(clients.size() - 1).replica().appliedBatches() == 1);
            }
        }
    }

    private static void forwardWithFault(ServerSocket between, InetSocketAddress to, int harm) {
        boolean first = true;
        while (true) {
            try (Socket replica = between.accept();
                    Socket publisher = new Socket(to.getAddress(), to.getPort())) {
                Thread up = new Thread(() -> {
                    try {
                        replica.getInputStream().transferTo(publisher.getOutputStream());
                    } catch (IOException e) {
                        return;
                    }
                });
                up.setDaemon(true);
                up.start();
                DataInputStream in = new DataInputStream(publisher.getInputStream());
                DataOutputStream out = new DataOutputStream(replica.getOutputStream());
                for (int frame = 0; ; frame++) {
                    byte[] bytes = new byte[in.readInt()];
                    in.readFully(bytes);
                    // Two to greet, then the first that tells something.
                    boolean harmed = first && frame == 2;
                    if (harmed && harm == 0) {
                        bytes[bytes.length / 2] ^= 1;
                    }
                    for (int times = harmed ? harm == 1 ? 0 : harm == 2 ? 2 : 1 : 1; times > 0; times--) {
                        out.writeInt(bytes.length);
                        out.write(bytes);
                    }
                    if (harmed) {
                        first = false;
                        if (harm == 1) {
                            // What is left out shows at the next frame, or by silence: here by an end.
                            break;
                        }
                    }
                }
            } catch (IOException e) {
                if (between.isClosed()) {
                    return;
                }
            }
        }
    }
}
