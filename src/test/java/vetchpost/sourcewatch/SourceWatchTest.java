package vetchpost.sourcewatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.dns.DnsResponseCode;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import vetchpost.net.Network;
import vetchpost.sources.ReportedServer;
import vetchpost.sources.SourceDeclaration;
import vetchpost.sources.SourceDeclaration.Kind;
import vetchpost.sources.SourceDeclaration.Permission;
import vetchpost.testing.FakePeer;

/** A watched file and a name server, as they are met: half written, replaced, cut, empty, silent. */
@Timeout(60)
class SourceWatchTest {
    private static final long MS = 1_000;
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final SourceListener listener = new SourceListener() {
        @Override
        public void serversReported(List<ReportedServer> servers) {
            events.add(servers.stream()
                    .map(s -> (s.id().isEmpty() ? "" : s.id() + "=")
                            + ReportedServer.formatAddress(s.addresses().get(0))
                            + (s.weight() == 1 ? "" : "*" + (int) s.weight()))
                    .sorted()
                    .collect(Collectors.joining(" ")));
        }

        @Override
        public void sourceFailed(String why) {
            events.add("silent");
        }
    };
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private MultiThreadIoEventLoopGroup group;
    private EventLoop loop;

    @TempDir
    private Path folder;

    @BeforeEach
    void open() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
    }

    @AfterEach
    void close() {
        thread.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static SourceDeclaration source(Kind kind, String where, long everyUs, InetSocketAddress... resolvers) {
        return new SourceDeclaration(
                where,
                kind,
                where,
                80,
                EnumSet.allOf(Permission.class),
                everyUs,
                0,
                600_000 * MS,
                List.of(),
                List.of(resolvers));
    }

    private String next() throws InterruptedException {
        return FakePeer.takeWithTimeout(events);
    }

    /** What it says once, and maybe again, until it says this. */
    private void awaitEvent(String said) throws InterruptedException {
        String last = next();
        while (!last.equals(said)) {
            last = next();
        }
    }

    @Test
    void rereadsChangedFileAndRejectsIncompleteOne() throws Exception {
        Path file = folder.resolve("servers.json");
        Files.writeString(file, "[\"127.0.0.1:1\", {\"address\": \"127.0.0.1:2\", \"weight\": 3, \"id\": \"b\"}]");
        try (FileWatch watch = new FileWatch(source(Kind.FILE, file.toString(), 5 * MS), thread, loop, listener)) {
            assertNotNull(watch);
            assertEquals("127.0.0.1:1 b=127.0.0.1:2*3", next());
            Files.writeString(file, "{\"servers\": [\"127.0.0.1:1\",");
            awaitEvent("silent");
            Files.writeString(file, "{\"servers\": [\"127.0.0.1:1\", \"[::1]:5\"]}");
            awaitEvent("127.0.0.1:1 [0:0:0:0:0:0:0:1]:5");
            Files.delete(file);
            awaitEvent("silent");
            Files.writeString(file, "[]");
            awaitEvent("");
        }
    }

    /** A file that is replaced without pause is read as often as it is looked at, and ends as it ends. */
    @Test
    void readsConstantlyReplacedFileOncePerPoll() throws Exception {
        Path file = folder.resolve("servers.toml");
        Files.writeString(file, "servers = [\"127.0.0.1:1\"]");
        try (FileWatch watch = new FileWatch(source(Kind.FILE, file.toString(), 100 * MS), thread, loop, listener)) {
            assertNotNull(watch);
            assertEquals("127.0.0.1:1", next());
            Path fresh = folder.resolve("fresh");
            for (int i = 2; i <= 500; i++) {
                Files.writeString(fresh, "servers = [\"127.0.0.1:" + i + "\"]");
                Files.move(fresh, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            }
            int times = 1;
            for (String last = next(); !last.equals("127.0.0.1:500"); last = next()) {
                times++;
            }
            assertTrue(times < 100, times + " times for 500 files");
        }
    }

    @Test
    void rejectsInvalidServerLists() {
        for (String bad : List.of(
                "{",
                "7",
                "{\"servers\": 7}",
                "[7]",
                "[\"localhost:1\"]",
                "[\"127.0.0.1\"]",
                "[\"127.0.0.1:99999\"]",
                "[\"999.0.0.1:1\"]",
                "[{\"adress\": \"127.0.0.1:1\"}]",
                "[{\"address\": \"127.0.0.1:1\", \"weight\": -1}]",
                "[{\"address\": \"127.0.0.1:1\", \"weight\": \"2\"}]",
                "[{\"address\": \"127.0.0.1:1\", \"state\": \"gon\"}]",
                "[{\"addresses\": []}]",
                "[null]")) {
            assertThrows(IllegalArgumentException.class, () -> FileWatch.parse("x.json", bad), bad);
        }
        assertThrows(IllegalArgumentException.class, () -> FileWatch.parse("x.toml", "server = [\"127.0.0.1:1\"]"));
        assertThrows(IllegalArgumentException.class, () -> FileWatch.parse("x.toml", "servers = [\"127.0.0.1:1\""));
        assertEquals(
                ReportedServer.State.DRAINING,
                FileWatch.parse("x.toml", "servers = [{ address = \"127.0.0.1:1\", state = \"draining\" }]")
                        .get(0)
                        .state());
    }

    private NameWatch watch(FakeNameServer server, Kind kind, String name) throws Exception {
        return loop.submit(() ->
                        new NameWatch(source(kind, name, 60_000_000, server.address()), loop, Network.SYSTEM, listener))
                .get();
    }

    @Test
    void requeriesNameWhenTtlExpires() throws Exception {
        try (FakeNameServer server = new FakeNameServer(group)) {
            server.setAddresses("web.test", 0, "127.0.0.1", "127.0.0.2");
            NameWatch watch = watch(server, Kind.DNS, "web.test");
            assertEquals("127.0.0.1:80 127.0.0.2:80", next());
            long began = System.nanoTime();
            server.setAddresses("web.test", 1, "127.0.0.3");
            assertEquals("127.0.0.3:80", next());
            assertTrue(
                    System.nanoTime() - began > TimeUnit.MILLISECONDS.toNanos(500),
                    "a time to live of 0 is no leave to ask without pause");
            server.setFailure("web.test", DnsResponseCode.NXDOMAIN);
            assertEquals("silent", next());
            server.setFailure("web.test", DnsResponseCode.SERVFAIL);
            assertEquals("silent", next());
            server.setAddresses("web.test", 1, "127.0.0.4");
            awaitEvent("127.0.0.4:80");
            loop.submit(watch::close).get();
        }
    }

    @Test
    void retriesTruncatedAnswerOverTcp() throws Exception {
        try (FakeNameServer server = new FakeNameServer(group)) {
            String[] many = new String[1_000];
            for (int i = 0; i < many.length; i++) {
                many[i] = "127.1." + i / 200 + "." + (1 + i % 200);
            }
            server.setAddresses("many.test", 60, many);
            NameWatch watch = watch(server, Kind.DNS, "many.test");
            assertEquals(1_000, next().split(" ").length);
            assertTrue(server.tcpQueryCount.get() > 0);
            loop.submit(watch::close).get();
        }
    }

    @Test
    void fallsBackToIpv6Addresses() throws Exception {
        try (FakeNameServer server = new FakeNameServer(group)) {
            server.setAddresses("six.test", 60, "::1");
            NameWatch watch = watch(server, Kind.DNS, "six.test");
            assertEquals("[0:0:0:0:0:0:0:1]:80", next());
            loop.submit(watch::close).get();
        }
    }

    @Test
    void usesPortsWeightsAndPrioritiesOfServices() throws Exception {
        try (FakeNameServer server = new FakeNameServer(group)) {
            server.setServices(
                    "_http._tcp.test",
                    60,
                    new Object[] {10, 5, 8001, "a.test"},
                    new Object[] {10, 0, 8002, "b.test"},
                    new Object[] {20, 1, 8003, "c.test"},
                    new Object[] {10, 1, 8004, "nowhere.test"});
            server.setAddresses("a.test", 60, "127.0.0.1");
            server.setAddresses("b.test", 60, "127.0.0.2");
            server.setAddresses("c.test", 60, "127.0.0.3");
            server.setFailure("nowhere.test", DnsResponseCode.NXDOMAIN);
            NameWatch watch = watch(server, Kind.SRV, "_http._tcp.test");
            assertEquals(
                    "a.test.:8001=127.0.0.1:8001*5 b.test.:8002=127.0.0.2:8002",
                    next(),
                    "the lowest number first, those alone, and whoever has an address");
            loop.submit(watch::close).get();
        }
    }
}
