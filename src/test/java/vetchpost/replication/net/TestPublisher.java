package vetchpost.replication.net;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.replication.Publisher;
import vetchpost.store.VersionedStore;

/** A control machine's publisher on a port of its own. */
public final class TestPublisher implements AutoCloseable {
    public static final String SECRET = "a secret that is long enough for anybody";
    private static final long TIMEOUT_S = 30;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final PublisherServer server;
    private final InetSocketAddress address;

    /** Tells this, to whoever knows that secret. */
    public TestPublisher(VersionedStore store, String secret, int port) throws Exception {
        server = onLoop(() -> new PublisherServer(
                loop,
                Network.SYSTEM,
                SharedSecret.parse(secret),
                new SecureRandom(),
                store,
                new Publisher.Budget(1e6, 1e6, 1e7, 1e6)));
        address = (InetSocketAddress) onLoop(
                        () -> server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port)))
                .sync()
                .channel()
                .localAddress();
    }

    public InetSocketAddress address() {
        return address;
    }

    public String text() {
        return "127.0.0.1:" + address.getPort();
    }

    public void publish(VersionedStore store) throws Exception {
        onLoop(() -> {
            server.publish(store);
            return null;
        });
    }

    public int replicaCount() throws Exception {
        return onLoop(() -> server.publisher().replicaCount());
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        if (group.isShuttingDown()) {
            return;
        }
        loop.submit(server::close).awaitUninterruptibly(TIMEOUT_S, TimeUnit.SECONDS);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
