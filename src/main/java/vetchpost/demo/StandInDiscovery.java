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
final class StandInDiscovery implements Closeable {
    private static final long BEAT_MS = 2_000;
    private static final int PATIENCE_MS = 10_000;

    private final ServerSocket listening = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private int revision = 1;

    StandInDiscovery() throws IOException {
        DaemonThreads.start("discovery", () -> {
            while (!listening.isClosed()) {
                Socket socket = listening.accept();
                DaemonThreads.start("watch", () -> watch(socket));
            }
        });
        DaemonThreads.start("beat", () -> {
            while (!closed.await(BEAT_MS, TimeUnit.MILLISECONDS)) {
                tell("");
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private void watch(Socket socket) throws IOException {
        socket.setSoTimeout(PATIENCE_MS);
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
    synchronized void knows(StandInServer box) {
        entries.put(box.id(), box.entry("Ready"));
    }

    /** Tells a change. */
    synchronized void changed(StandInServer box, String state) {
        revision++;
        entries.put(box.id(), box.entry(state));
        if (state.equals("Gone")) {
            entries.remove(box.id());
        }
        tell("{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + box.entry(state) + "]}");
    }

    private synchronized void tell(String line) {
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
        listening.close();
        for (Socket watch : watches) {
            watch.close();
        }
    }
}
