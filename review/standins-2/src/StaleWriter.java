import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import vetchpost.changes.ChangeWriter;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.routes.RouteCodec;
import vetchpost.changes.RouteConfiguration;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.replication.Publisher;
import vetchpost.replication.net.PublisherServer;
import vetchpost.routes.Position;
import vetchpost.routes.Section;
import vetchpost.store.VersionedStore;

/**
 * A node that has its routes from two control machines. The writer of epoch 1 is replaced by one of epoch 2, and the node
 * has taken the routes of epoch 2. Then the node is killed and started again while only the first control machine can be
 * reached, which still has the replaced writer's routes.
 */
final class StaleWriter {
    private static final String SECRET = "0123456789abcdef0123456789abcdef0123456789abcdef";

    private StaleWriter() {}

    /** A control machine, made of the project's own parts. */
    private static final class ControlMachine implements AutoCloseable {
        private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final EventLoop loop = group.next();
        private final PublisherServer server;

        ControlMachine(VersionedStore store, int port) throws Exception {
            server = onLoop(() -> new PublisherServer(
                    loop,
                    Network.SYSTEM,
                    SharedSecret.parse(SECRET),
                    new SecureRandom(),
                    store,
                    new Publisher.Budget(1e6, 1e6, 1e7, 1e6)));
            onLoop(() -> server.listen(group, new InetSocketAddress(Lab.LOOPBACK, port))).sync();
        }

        private <T> T onLoop(Callable<T> task) throws Exception {
            return loop.submit(task).get(10, TimeUnit.SECONDS);
        }

        @Override
        public void close() {
            loop.submit(server::close).awaitUninterruptibly(5, TimeUnit.SECONDS);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(3, TimeUnit.SECONDS);
        }
    }

    public static void main(String[] args) throws IOException {
        Lab.main(args, StaleWriter::run);
    }

    private static Settings settings() {
        Settings settings = new Settings();
        settings.classes.add(requestClass("read", Idempotency.SAFE));
        settings.classes.add(requestClass("write", Idempotency.UNSAFE));
        return settings;
    }

    private static RequestClass requestClass(String name, Idempotency idempotency) {
        return new RequestClass(
                name, 1_000_000, 0, 30_000_000, 1, 0.5, idempotency, DeduplicationScope.ALL, 0, false);
    }

    private static void write(ChangeWriter writer, EntryChange.Op op, String maxBody) {
        Position at = new Position("x", 1, 1);
        Map<String, Section.Entry> entries = new LinkedHashMap<>();
        entries.put("path", new Section.Entry("/photos/*", at));
        entries.put("max-body", new Section.Entry(maxBody, at));
        List<?> violations = writer.submit(List.of(new EntryChange(
                op,
                new EntryKey(EntryKind.ROUTE, "/photos/*"),
                RouteCodec.encode(new Section(Section.Kind.ROUTE, "", at, entries)))));
        if (!violations.isEmpty()) {
            throw new IllegalStateException("the change is refused: " + violations);
        }
    }

    private static int post(int port) throws IOException {
        try (Socket socket = Lab.connect(port)) {
            socket.setSoTimeout(5_000);
            Lab.write(socket, "POST /photos/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nabcde");
            return Lab.read(socket.getInputStream(), false).status();
        }
    }

    private static boolean await(Lab lab, int port, int status, int seconds) throws IOException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        int last = post(port);
        while (last != status && System.nanoTime() - endNs < 0) {
            Lab.sleep(100);
            last = post(port);
        }
        lab.record("POST /photos/1 with 5 bytes: " + last);
        return last == status;
    }

    private static void run(Lab lab) throws Exception {
        ServerSocket server = lab.listen(0, 64, socket -> {
            Lab.readRequest(socket.getInputStream());
            Lab.write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone");
        });
        ChangeWriter first = new ChangeWriter(RouteConfiguration.empty(settings()), 1);
        write(first, EntryChange.Op.PUT, "4B");
        ChangeWriter second = new ChangeWriter(first.configuration(), 2);
        write(second, EntryChange.Op.REPLACE, "9B");
        int firstPort = Lab.freePort();
        int secondPort = Lab.freePort();
        int port = Lab.freePort();
        Path secret = Files.writeString(lab.temp.resolve("secret"), SECRET + "\n");
        Path file = Files.writeString(
                lab.temp.resolve("node.toml"),
                "[node]\nlisten = \"127.0.0.1:" + port + "\"\n\n[pool]\nservers = [\"127.0.0.1:" + server.getLocalPort()
                        + "\"]\n\n[changes]\npublishers = [\"127.0.0.1:" + firstPort + "\", \"127.0.0.1:" + secondPort
                        + "\"]\nsecret-file = \"" + secret + "\"\nfile = \"" + lab.temp.resolve("store")
                        + "\"\nname = \"n0\"\n");
        ControlMachine old = new ControlMachine(first.store(), firstPort);
        lab.record("control machine 1 publishes 1.1: bodies of up to 4 bytes");
        Process node = lab.startNode("a", " serve " + file, Map.of());
        lab.awaitReady(port, 30);
        if (!await(lab, port, 413, 20)) {
            lab.finish(Lab.COULD_NOT_RUN, "the node does not take the routes of epoch 1");
        }
        old.close();
        ControlMachine current = new ControlMachine(second.store(), secondPort);
        lab.record("the writer of epoch 1 is replaced; control machine 2 publishes 2.1: bodies of up to 9 bytes");
        if (!await(lab, port, 200, 30)) {
            lab.finish(Lab.COULD_NOT_RUN, "the node does not take the routes of epoch 2");
        }
        lab.record("the node has seen epoch 2");
        current.close();
        old = new ControlMachine(first.store(), firstPort);
        lab.record("control machine 2 is away; control machine 1 is back with the routes of the replaced writer, 1.1");
        if (lab.trouble) {
            lab.signal(node, "KILL");
            node.waitFor();
            lab.startNode("a", " serve " + file, Map.of());
            lab.awaitReady(port, 30);
        }
        // Long enough for the node to ask control machine 1 several times. With no routes at all it would answer 200.
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            Lab.sleep(500);
            int status = post(port);
            lab.record("POST /photos/1 with 5 bytes: " + status);
            refused += status == 413 ? 1 : 0;
        }
        String what = refused + " of 40 requests refused by the routes of the replaced writer";
        boolean stale = refused > 0;
        old.close();
        lab.finish(stale ? Lab.BROKEN : Lab.HELD, what);
    }
}
