package vetchpost.demo;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import vetchpost.simulation.wire.Message;
import vetchpost.simulation.wire.MessageParser;

/**
 * A simulated backend on a loopback socket, with a few request slots and a bounded queue. It can crash, restart cold
 * and drain. {@link TryCommand} controls it; it has one thread for accepting and one per connection.
 */
final class DemoServer implements Closeable {
    private static final int SLOTS = 2;
    private static final int QUEUE_CAPACITY = 16;
    private static final long MIN_WORK_MS = 8;
    private static final int WORK_SPREAD_MS = 8;
    private static final int MAX_CONNECTIONS = 256;

    private final String id;
    private final int rack;
    private static final long ACCEPT_EXIT_TIMEOUT_MS = 5_000;

    private final DemoStatistics statistics;
    private final int port;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final Semaphore capacity = new Semaphore(SLOTS + QUEUE_CAPACITY);
    private volatile ServerSocket listener;
    private Thread acceptThread;
    /** Binds the port while the server is down, so that no other process gets it. */
    private Socket portHolder;

    private volatile boolean draining;
    private volatile long startedNs;
    private volatile long startedMs;

    /**
     * Starts a warm server.
     *
     * @param rack index of its deduplication cell
     */
    DemoServer(String id, int rack, DemoStatistics statistics) throws IOException {
        this.id = id;
        this.rack = rack;
        this.statistics = statistics;
        listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        acceptFrom(listener);
    }

    /** Its entry in discovery's list, as JSON. */
    String listEntry(String state) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:" + port
                + "\",\"az\":\"room\",\"pod_group\":" + rack
                + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + startedMs + "}";
    }

    String id() {
        return id;
    }

    private void acceptFrom(ServerSocket serverSocket) {
        acceptThread = DaemonThreads.start(id, () -> {
            while (!serverSocket.isClosed()) {
                Socket socket = serverSocket.accept();
                if (connections.size() >= MAX_CONNECTIONS) {
                    socket.close();
                    continue;
                }
                connections.add(socket);
                if (serverSocket.isClosed()) {
                    // The server crashed while this connection was being accepted.
                    reset(socket);
                }
                DaemonThreads.start(id + " connection", () -> {
                    try (socket) {
                        serve(socket);
                    } finally {
                        connections.remove(socket);
                    }
                });
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        IOException[] failure = new IOException[1];
        MessageParser parser = new MessageParser(message -> {
            try {
                socket.getOutputStream().write(respond(message));
            } catch (IOException e) {
                failure[0] = e;
            }
        });
        InputStream in = socket.getInputStream();
        byte[] chunk = new byte[16_384];
        for (int read = in.read(chunk); read >= 0 && failure[0] == null && !parser.isBroken(); read = in.read(chunk)) {
            parser.feed(Arrays.copyOf(chunk, read));
        }
    }

    private byte[] respond(Message request) {
        String transactionId = request.field("x-txn");
        if (transactionId.isEmpty()) {
            return Message.bytes("HTTP/1.1 200 OK", "Content-Length: 0\r\n", "");
        }
        if (draining || !capacity.tryAcquire()) {
            return Message.bytes(
                    "HTTP/1.1 503 Service Unavailable", "X-Turned-Away: 1\r\n" + "Content-Length: 0\r\n", "");
        }
        try {
            long workMs = MIN_WORK_MS + ThreadLocalRandom.current().nextInt(WORK_SPREAD_MS);
            String[] path = request.start().split("[ /]+");
            String body = "made for " + transactionId + " by " + id;
            statistics.recordRun(
                    id,
                    rack,
                    path[1],
                    transactionId,
                    request.field("idempotency-key"),
                    body,
                    workMs * 1_000_000,
                    SLOTS);
            slots.acquire();
            try {
                TimeUnit.MICROSECONDS.sleep((long) (1_000 * workMs / capacityFraction()));
            } finally {
                slots.release();
            }
            return Message.bytes("HTTP/1.1 200 OK", "Content-Length: " + body.length() + "\r\n", body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Message.bytes("HTTP/1.1 500 Stopped", "Content-Length: 0\r\n", "");
        } finally {
            capacity.release();
        }
    }

    private double capacityFraction() {
        return startedNs == 0
                ? 1
                : Math.min(
                        1,
                        DemoStatistics.COLD_CAPACITY_FRACTION
                                + (1 - DemoStatistics.COLD_CAPACITY_FRACTION)
                                        * (System.nanoTime() - startedNs)
                                        / DemoStatistics.WARM_UP_NS);
    }

    /** Crashes: resets all connections and refuses new ones. */
    void crash() throws IOException {
        listener.close();
        connections.forEach(DemoServer::reset);
        // Until the accepting thread has left accept, the system keeps the address in use.
        try {
            acceptThread.join(ACCEPT_EXIT_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        portHolder = new Socket();
        portHolder.setReuseAddress(true);
        portHolder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Resets a connection; has no effect on a closed one. */
    static void reset(Socket socket) {
        try (socket) {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The connection has ended already.
            return;
        }
    }

    /** Listens again at the same address, with cold caches. */
    void restart() throws IOException {
        startedMs = System.currentTimeMillis();
        startedNs = System.nanoTime();
        statistics.recordColdStart(id);
        portHolder.close();
        listener = new ServerSocket(port, 128, InetAddress.getLoopbackAddress());
        acceptFrom(listener);
    }

    /** Rejects all requests from now on. */
    void drain() {
        draining = true;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        connections.forEach(DemoServer::reset);
        if (portHolder != null) {
            portHolder.close();
        }
    }
}
