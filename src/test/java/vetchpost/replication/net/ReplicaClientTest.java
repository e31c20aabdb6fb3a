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
        BlockingQueue<VersionedStore> applied = new LinkedBlockingQueue<>();
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
                                    (store, index) -> applied.add(store)));
                    clients.add(client);
                    client.start();
                })
                .get(30, TimeUnit.SECONDS);
        return applied;
    }

    private static VersionedStore next(BlockingQueue<VersionedStore> applied) throws Exception {
        VersionedStore store = applied.poll(30, TimeUnit.SECONDS);
        assertNotNull(store, "no version was applied");
        return store;
    }

    @Test
    void publishesChangesOnlyToReplicasThatKnowTheSecret() throws Exception {
        VersionedStore first = store(1, 3_000);
        try (TestPublisher control = new TestPublisher(first, TestPublisher.SECRET, 0)) {
            BlockingQueue<VersionedStore> firstReplica = follow(TestPublisher.SECRET, control.address());
            BlockingQueue<VersionedStore> secondReplica = follow(TestPublisher.SECRET, control.address());
            BlockingQueue<VersionedStore> stranger =
                    follow("another secret that is as long as the one", control.address());
            assertEquals(first.live().sum(), next(firstReplica).live().sum());
            assertEquals(first.live().sum(), next(secondReplica).live().sum());
            VersionedStore second = withOneMoreEntry(first);
            control.publish(second);
            assertEquals(second.live().sum(), next(firstReplica).live().sum());
            assertEquals(second.live().sum(), next(secondReplica).live().sum());
            assertNull(stranger.poll());
            assertEquals(2, control.replicaCount());
        }
    }

    @Test
    void failsOverToAnotherPublisherWhenOneDies() throws Exception {
        VersionedStore first = store(1, 100);
        VersionedStore second = withOneMoreEntry(first);
        TestPublisher[] publishers = {
            new TestPublisher(first, TestPublisher.SECRET, 0), new TestPublisher(first, TestPublisher.SECRET, 0)
        };
        try {
            BlockingQueue<VersionedStore> applied =
                    follow(TestPublisher.SECRET, publishers[0].address(), publishers[1].address());
            next(applied);
            int connected = publishers[0].replicaCount() == 1 ? 0 : 1;
            assertEquals(1, publishers[0].replicaCount() + publishers[1].replicaCount());
            publishers[1 - connected].publish(second);
            publishers[connected].close();
            assertEquals(second.live().sum(), next(applied).live().sum());
        } finally {
            publishers[0].close();
            publishers[1].close();
        }
    }

    /** A proxy flips a bit of a frame, drops it or sends it twice; the replica must reject the connection. */
    @Test
    void detectsFramesAlteredDroppedOrReplayedInTransit() throws Exception {
        VersionedStore first = store(1, 10);
        for (int fault = 0; fault < 3; fault++) {
            int injectedFault = fault;
            try (TestPublisher control = new TestPublisher(first, TestPublisher.SECRET, 0);
                    ServerSocket proxy = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                Thread thread = new Thread(() -> forwardWithFault(proxy, control.address(), injectedFault));
                thread.setDaemon(true);
                thread.start();
                BlockingQueue<VersionedStore> applied = follow(
                        TestPublisher.SECRET,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.getLocalPort()));
                // Only the first connection has the fault.
                assertEquals(first.live().sum(), next(applied).live().sum());
                assertTrue(clients.get(clients.size() - 1).replica().appliedBatches() == 1);
            }
        }
    }

    private static void forwardWithFault(ServerSocket proxy, InetSocketAddress to, int fault) {
        boolean first = true;
        while (true) {
            try (Socket replica = proxy.accept();
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
                    // Frames 0 and 1 authenticate; frame 2 is the first with content.
                    boolean isFaulty = first && frame == 2;
                    if (isFaulty && fault == 0) {
                        bytes[bytes.length / 2] ^= 1;
                    }
                    for (int copies = isFaulty ? fault == 1 ? 0 : fault == 2 ? 2 : 1 : 1; copies > 0; copies--) {
                        out.writeInt(bytes.length);
                        out.write(bytes);
                    }
                    if (isFaulty) {
                        first = false;
                        if (fault == 1) {
                            // A dropped frame is detected at the next frame or by silence; here the connection ends.
                            break;
                        }
                    }
                }
            } catch (IOException e) {
                if (proxy.isClosed()) {
                    return;
                }
            }
        }
    }
}
