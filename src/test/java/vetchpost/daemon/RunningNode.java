package vetchpost.daemon;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import vetchpost.node.Node;
import vetchpost.testing.FakePeer;

/**
 * Test fixture: a standalone node on a free loopback port with an event loop of its own, and helpers for clients that
 * write raw bytes. Tests call it from their own thread.
 */
final class RunningNode implements AutoCloseable {
    private static final int TIMEOUT_MS = 30_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final StandaloneNode node;
    private final Channel listener;

    /** Starts a node from a file with this text after {@code listen} and {@code seed} in its table {@code [node]}. */
    RunningNode(String text) throws Exception {
        this(text, 0);
    }

    /** Starts a node that rehearses this many requests, and waits until it is ready. */
    RunningNode(String text, int rehearsalRequests) throws Exception {
        CountDownLatch ready = new CountDownLatch(1);
        ValidatedFile loaded = StandaloneNode.load(file("127.0.0.1:0", text));
        node = callOnLoop(() -> new StandaloneNode(loaded, group, loop));
        listener = callOnLoop(() -> node.start(rehearsalRequests, ready::countDown))
                .sync()
                .channel();
        if (!ready.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("not ready within " + TIMEOUT_MS + " ms");
        }
    }

    /** The text of the table {@code [pool]} with these servers. */
    static String pool(FakePeer... servers) {
        return pool("", servers);
    }

    /** The table {@code [pool]} with these servers and further keys. */
    static String pool(String moreKeys, FakePeer... servers) {
        return "[pool]\nservers = ["
                + Arrays.stream(servers).map(s -> "\"" + s.address() + "\"").collect(Collectors.joining(", "))
                + "]\nconnect-timeout = \"2s\"\n" + moreKeys;
    }

    /** Writes a file; the text may begin with further keys of the table {@code [node]}. */
    private static Path file(String listen, String text) throws IOException {
        Path file = Files.createTempFile("alone", ".toml");
        file.toFile().deleteOnExit();
        return Files.writeString(file, "[node]\nlisten = \"" + listen + "\"\nseed = \"1\"\n" + text);
    }

    /** Runs a task on the node's event loop and waits for its result. */
    <T> T callOnLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Reloads with another file, waits until it is in force and returns the listen address. */
    InetSocketAddress reload(String listen, String text) throws Exception {
        ValidatedFile loaded = StandaloneNode.load(file(listen, text), callOnLoop(node::activeFile));
        Future<SocketAddress> applied = callOnLoop(() -> node.reload(loaded));
        InetSocketAddress address = (InetSocketAddress) applied.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        // The system closes a socket only after the event loop has selected again.
        loop.schedule(() -> null, 1, TimeUnit.MILLISECONDS).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return address;
    }

    InetSocketAddress reload(String text) throws Exception {
        return reload("127.0.0.1:0", text);
    }

    ValidatedFile activeFile() throws Exception {
        return callOnLoop(node::activeFile);
    }

    /** The note in {@code /ready} and {@code ctl status}. */
    String statusNote() throws Exception {
        return callOnLoop(() -> node.statusNote(true));
    }

    Node.PendingWork pendingWork() throws Exception {
        return callOnLoop(() -> node.node().pendingWork());
    }

    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    Socket connect() throws IOException {
        return connect(port());
    }

    static Socket connect(int port) throws IOException {
        return connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    static Socket connect(InetSocketAddress to) throws IOException {
        Socket socket = new Socket(to.getAddress(), to.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends a request on a new connection and reads until it is closed, so the request should ask for that. */
    String sendAndReadAll(String request) throws IOException {
        try (Socket socket = connect()) {
            FakePeer.write(socket, request);
            return readUntilClosed(socket);
        }
    }

    /** Reads until the connection is closed; appends {@code <broken>} if it is reset. */
    static String readUntilClosed(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[8_192];
        try {
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                text.append(new String(buffer, 0, read, StandardCharsets.ISO_8859_1));
            }
        } catch (java.net.SocketException e) {
            text.append("<broken>");
        }
        return text.toString();
    }

    /** Reads one response with a length from a connection that stays open. */
    static String readResponse(Socket socket) throws IOException {
        return FakePeer.read(socket);
    }

    static String get(String path, String headers) {
        return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + headers + "\r\n";
    }

    @Override
    public void close() {
        node.saveRoutes();
        loop.submit(node::close).awaitUninterruptibly(TIMEOUT_MS);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
