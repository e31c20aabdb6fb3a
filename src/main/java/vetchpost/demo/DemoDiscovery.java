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

/** Discovery on a loopback socket: the list to each watch at once, and then every change. */
final class DemoDiscovery implements Closeable {
    private static final long HEARTBEAT_MS = 2_000;
    private static final int READ_TIMEOUT_MS = 10_000;

    private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private int revision = 1;

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

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serveWatch(Socket socket) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        int ends = 0;
        while (ends < 4) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return;
            }
            ends = next == '\r' || next == '\n' ? ends + 1 : 0;
        }
        synchronized (this) {
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            write(socket, list());
            watches.add(socket);
        }
    }

    /** The whole list as it stands. */
    synchronized String list() {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", entries.values()) + "]}";
    }

    /** Knows of a server from the beginning. */
    synchronized void addServer(DemoServer box) {
        entries.put(box.id(), box.listEntry("Ready"));
    }

    /** Tells a change. */
    synchronized void publishChange(DemoServer box, String state) {
        revision++;
        entries.put(box.id(), box.listEntry(state));
        if (state.equals("Gone")) {
            entries.remove(box.id());
        }
        broadcast("{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + box.listEntry(state) + "]}");
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
