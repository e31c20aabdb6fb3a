package vetchpost.demo;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Simulated discovery on a loopback socket: sends each watch the full list, then every change and heartbeats. Has one
 * thread for accepting, one per watch and one for heartbeats; the list is guarded by this object's lock.
 */
final class DemoDiscovery implements Closeable {
    private static final long HEARTBEAT_MS = 2_000;
    private static final int READ_TIMEOUT_MS = 10_000;

    private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private int revision = 1;

    /** Listens on a port that the system chooses. */
    DemoDiscovery() throws IOException {
        DaemonThreads.start("discovery", () -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                DaemonThreads.start("watch", () -> serveWatch(socket));
            }
        });
        DaemonThreads.start("beat", () -> {
            while (!closed.await(HEARTBEAT_MS, TimeUnit.MILLISECONDS)) {
                broadcast("");
            }
        });
    }

    /** Host and port that it listens on. */
    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serveWatch(Socket socket) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        int lineEnds = 0;
        while (lineEnds < 4) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return;
            }
            lineEnds = next == '\r' || next == '\n' ? lineEnds + 1 : 0;
        }
        synchronized (this) {
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            write(socket, list());
            watches.add(socket);
        }
    }

    /** The current list, as the JSON of a full update. */
    synchronized String list() {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", entries.values()) + "]}";
    }

    /** Adds a ready server without notifying watches; call before the node starts. */
    synchronized void addServer(DemoServer server) {
        entries.put(server.id(), server.listEntry("Ready"));
    }

    /** Notifies all watches of a server's new state; {@code Gone} removes it from the list. */
    synchronized void publishChange(DemoServer server, String state) {
        revision++;
        entries.put(server.id(), server.listEntry(state));
        if (state.equals("Gone")) {
            entries.remove(server.id());
        }
        broadcast("{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + server.listEntry(state) + "]}");
    }

    private synchronized void broadcast(String line) {
        for (Socket watch : watches) {
            try {
                write(watch, line);
            } catch (IOException e) {
                watches.remove(watch);
            }
        }
    }

    private static void write(Socket to, String line) throws IOException {
        to.getOutputStream()
                .write((Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        listener.close();
        for (Socket watch : watches) {
            watch.close();
        }
    }
}
