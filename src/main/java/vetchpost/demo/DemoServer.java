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

/** A web box on a loopback socket, with a few slots for requests and a waiting room. */
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
    /** Holds its port while nothing listens there: no other process may be given it. */
    private Socket portHolder;

    private volatile boolean draining;
    private volatile long startedNs;
    private volatile long startedMs;

    DemoServer(String id, int rack, DemoStatistics tally) throws IOException {
        this.id = id;
        this.rack = rack;
        this.statistics = tally;
        listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        acceptFrom(listener);
    }

    /** Its entry in discovery's list. */
    String listEntry(String state) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:" + port
                + "\",\"az\":\"room\",\"pod_group\":" + rack
                + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + startedMs + "}";
    }

    String id() {
        return id;
    }

    private void acceptFrom(ServerSocket from) {
        acceptThread = DaemonThreads.start(id, () -> {
            while (!from.isClosed()) {
                Socket socket = from.accept();
                if (connections.size() >= MAX_CONNECTIONS) {
                    socket.close();
                    continue;
                }
                connections.add(socket);
                if (from.isClosed()) {
                    // It has died while this one came.
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
        IOException[] broken = new IOException[1];
        MessageParser parser = new MessageParser(message -> {
            try {
                socket.getOutputStream().write(respond(message));
            } catch (IOException e) {
                broken[0] = e;
            }
        });
        InputStream in = socket.getInputStream();
        byte[] some = new byte[16_384];
        for (int read = in.read(some); read >= 0 && broken[0] == null && !parser.isBroken(); read = in.read(some)) {
            parser.feed(Arrays.copyOf(some, read));
        }
    }

    private byte[] respond(Message request) {
        String txn = request.field("x-txn");
        if (txn.isEmpty()) {
            return Message.bytes("HTTP/1.1 200 OK", "Content-Length: 0\r\n", "");
        }
        if (draining || !capacity.tryAcquire()) {
            return Message.bytes(
                    "HTTP/1.1 503 Service Unavailable", "X-Turned-Away: 1\r\n" + "Content-Length: 0\r\n", "");
        }
        try {
            long workMs = MIN_WORK_MS + ThreadLocalRandom.current().nextInt(WORK_SPREAD_MS);
            String[] path = request.start().split("[ /]+");
            String body = "made for " + txn + " by " + id;
            statistics.recordRun(
                    id, rack, path[1], txn, request.field("idempotency-key"), body, workMs * 1_000_000, SLOTS);
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

    /** It dies: connections are reset and new ones refused. */
    void crash() throws IOException {
        listener.close();
        connections.forEach(DemoServer::reset);
        // As long as a thread is on its way out of accept, the system holds the address for it.
        try {
            acceptThread.join(ACCEPT_EXIT_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        portHolder = new Socket();
        portHolder.setReuseAddress(true);
        portHolder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Without effect on one that its own thread, or a box that died before, has closed. */
    static void reset(Socket socket) {
        try (socket) {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // It has ended: that is all that was wanted.
            return;
        }
    }

    /** It is back at its address, cold. */
    void restart() throws IOException {
        startedMs = System.currentTimeMillis();
        startedNs = System.nanoTime();
        statistics.recordColdStart(id);
        portHolder.close();
        listener = new ServerSocket(port, 128, InetAddress.getLoopbackAddress());
        acceptFrom(listener);
    }

    /** It turns new work away from now on. */
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
