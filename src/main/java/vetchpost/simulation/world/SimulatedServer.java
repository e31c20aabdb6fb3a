package vetchpost.simulation.world;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.SplittableRandom;
import vetchpost.simulation.net.SimulatedHost;
import vetchpost.simulation.net.SimulatedSocket;
import vetchpost.simulation.net.Tap;
import vetchpost.simulation.wire.Message;
import vetchpost.simulation.wire.MessageParser;

/**
 * A simulated web server with a fixed number of slots, a bounded queue, a cold start and slower processing
 * when its queue is long. The simulation injects faults into it: errors, delays, resets, corrupt responses or
 * a machine that falls silent. It processes every request that it has read whole, whether or not its client
 * still waits. All calls come on the thread of the run.
 */
public final class SimulatedServer {
    private static final int MAX_QUEUED_PER_SLOT = 8;
    /** Each queued request beyond this many per slot slows processing by the fraction below. */
    private static final int THRASHING_QUEUED_PER_SLOT = 4;

    private static final double SLOWDOWN_PER_QUEUED_REQUEST = 0.05;
    private static final int MAX_READ_BYTES = 16_384;

    private final World world;
    private final RequestEffects effects;
    private final int number;
    private final int rack;
    private final int slots;
    private final InetSocketAddress address;
    private final SplittableRandom random;
    private String id;
    private int generation;
    private SimulatedHost host;
    private long startedNs = Long.MIN_VALUE;
    private boolean draining;
    private final Deque<Job> queue = new ArrayDeque<>();
    private int busy;
    private int processNumber;
    private long failUntilMs;
    private double failFraction;
    private long slowUntilMs;
    private double slowFactor = 1;
    private long corruptUntilMs;
    private double corruptFraction;
    private long resetUntilMs;
    private double resetFraction;
    private long notReadingUntilMs;

    private Script script = (socket, request) -> false;

    /** Behaviour that a test puts before the server's own. */
    public interface Script {
        /** Handles the request, or returns false to leave it to the server. */
        boolean handle(SimulatedSocket socket, Message request);

        /** Called when a connection has been established. */
        default void connected(SimulatedSocket socket) {}
    }

    /** A request that is queued or being processed. */
    private record Job(Connection from, Message request) {}

    /** A connection from a node; nodes send one request at a time on it. */
    private final class Connection {
        private final SimulatedSocket socket;
        private final MessageParser parser = new MessageParser(this::onRequest);
        /** Since when input has been unread, or -1. */
        private long unreadSinceMs = -1;

        Connection(SimulatedSocket socket) {
            this.socket = socket;
            socket.setHandler(this::onReady);
            script.connected(socket);
        }

        private void onReady() {
            unreadSinceMs = unreadSinceMs < 0 ? world.nowMs() : unreadSinceMs;
            if (world.nowMs() < notReadingUntilMs) {
                world.afterMs(notReadingUntilMs - world.nowMs(), this::onReady);
                return;
            }
            while (socket.readable() > 0) {
                parser.feed(socket.read(MAX_READ_BYTES));
            }
            unreadSinceMs = -1;
            if (socket.isAtEnd() || socket.isReset()) {
                socket.close();
            }
        }

        /** Rejects a request that has been unread for longer than its client waits, without running it. */
        private void onRequest(Message request) {
            String left = request.field("x-remaining-ms");
            if (!left.isEmpty() && world.nowMs() - unreadSinceMs > Long.parseLong(left)) {
                answer(this, "HTTP/1.1 504 Gateway Timeout", "X-Turned-Away: 1\r\n", "over");
                return;
            }
            SimulatedServer.this.onRequest(this, request);
        }
    }

    /**
     * A server that is not started yet.
     *
     * @param number number of the server, from 0; decides its address
     * @param rack number of its rack, from 0
     * @param slots requests that it processes at a time, from 1
     */
    public SimulatedServer(World world, RequestEffects effects, int number, int rack, int slots) {
        this.world = world;
        this.effects = effects;
        this.number = number;
        this.rack = rack;
        this.slots = slots;
        address = new InetSocketAddress("10.1." + number / 250 + "." + (number % 250 + 1), 8443);
        random = world.random("box", number);
        id = "s-" + number + "-0";
    }

    /** Passes each request to the script first. */
    public void setScript(Script next) {
        script = next;
    }

    public String id() {
        return id;
    }

    int rack() {
        return rack;
    }

    long startedNs() {
        return startedNs;
    }

    String endpoint() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Whether its process runs, is reachable and accepts requests. */
    public boolean isUp() {
        return host != null && !host.isDead() && !host.isVanished() && !draining;
    }

    /** Starts the process, cold or (at the beginning of a run) warm. */
    public void start(boolean cold) {
        startedNs = cold ? world.time.nanoTime() : Long.MIN_VALUE;
        draining = false;
        queue.clear();
        busy = 0;
        processNumber++;
        host = world.tcp.host(id, Tap.NONE);
        host.listen(address, Connection::new);
        world.checker.addServer(id, address, rack, slots, startedNs);
        world.log.add("start", id, cold ? "cold" : "warm", 0);
    }

    /** Gives the next process at this address another id. */
    public void rename() {
        id = "s-" + number + "-" + ++generation;
    }

    public void kill() {
        world.log.add("kill", id, "", queue.size() + busy);
        host.kill();
        queue.clear();
        processNumber++;
    }

    public void vanish() {
        world.log.add("vanish", id, "", 0);
        host.vanish();
    }

    /** Restarts the vanished machine with a cold process. */
    public void reappear() {
        host.reappear();
        host.kill();
        start(true);
    }

    /** Rejects new requests from now on. */
    public void drain() {
        draining = true;
        world.log.add("drain", id, "", 0);
    }

    public void fail(double fraction, long forMs) {
        failFraction = fraction;
        failUntilMs = world.nowMs() + forMs;
    }

    public void slow(double factor, long forMs) {
        slowFactor = factor;
        slowUntilMs = world.nowMs() + forMs;
    }

    public void corruptResponses(double fraction, long forMs) {
        corruptFraction = fraction;
        corruptUntilMs = world.nowMs() + forMs;
    }

    public void reset(double fraction, long forMs) {
        resetFraction = fraction;
        resetUntilMs = world.nowMs() + forMs;
    }

    public void stopReading(long forMs) {
        notReadingUntilMs = world.nowMs() + forMs;
    }

    private boolean happens(long untilMs, double fraction) {
        return world.nowMs() < untilMs && random.nextDouble() < fraction;
    }

    private void onRequest(Connection from, Message request) {
        String txn = request.field("x-txn");
        if (txn.isEmpty() && request.start().startsWith("GET /who ")) {
            answer(from, "HTTP/1.1 200 OK", "", id);
            return;
        }
        if (txn.isEmpty()) {
            from.socket.put(Message.bytes(
                    request.start().startsWith("GET /health ") ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found",
                    "Content-Length: 0\r\n",
                    ""));
            return;
        }
        world.log.add("asked", id, txn + " by " + from.socket.peerHost().name(), queue.size());
        if (script.handle(from.socket, request)) {
            return;
        }
        if (draining || queue.size() >= MAX_QUEUED_PER_SLOT * slots) {
            answer(from, "HTTP/1.1 503 Service Unavailable", "X-Turned-Away: 1\r\n", "full");
            return;
        }
        if (happens(failUntilMs, failFraction)) {
            answer(from, "HTTP/1.1 500 Internal Server Error", "", "error");
            return;
        }
        effects.recordExecution(request, rack);
        if (happens(resetUntilMs, resetFraction)) {
            from.socket.reset();
            return;
        }
        queue.add(new Job(from, request));
        startNext();
    }

    private void startNext() {
        if (busy >= slots || queue.isEmpty()) {
            return;
        }
        Job job = queue.poll();
        busy++;
        int excess = Math.max(0, queue.size() - THRASHING_QUEUED_PER_SLOT * slots);
        double capacityFraction = 1;
        if (startedNs != Long.MIN_VALUE) {
            double age = (world.time.nanoTime() - startedNs) / (double) Rules.COLD_PERIOD_NS;
            capacityFraction = Math.min(1, Rules.COLD_INITIAL_FRACTION + (1 - Rules.COLD_INITIAL_FRACTION) * age);
        }
        double factor = (world.nowMs() < slowUntilMs ? slowFactor : 1)
                * (1 + SLOWDOWN_PER_QUEUED_REQUEST * excess)
                / capacityFraction
                * (0.5 + random.nextDouble());
        int startedIn = processNumber;
        world.time.after((long) (factor * world.classes.workMs() * 1e6), () -> {
            if (startedIn == processNumber) {
                busy--;
                finish(job);
                startNext();
            }
        });
    }

    private void finish(Job job) {
        String txn = job.request.field("x-txn");
        String body = "made for " + txn + " by " + id + " " + Long.toHexString(random.nextInt());
        if (happens(corruptUntilMs, corruptFraction)) {
            respondCorrupted(job.from, txn, body);
            return;
        }
        world.checker.addResponse(txn, body);
        answer(job.from, "HTTP/1.1 200 OK", "Content-Type: text/plain\r\n", body);
    }

    private static void answer(Connection to, String start, String fields, String body) {
        to.socket.put(Message.bytes(start, fields + "Content-Length: " + body.length() + "\r\n", body));
    }

    /** Sends, at random, one of eight responses that are malformed or carry more than the response itself. */
    private void respondCorrupted(Connection to, String txn, String body) {
        String contentLength = "Content-Length: " + body.length() + "\r\n";
        switch (random.nextInt(8)) {
            case 0 -> to.socket.put(noise());
            case 1 -> to.socket.put(Message.bytes("HTTP/1.1 200 OK", "Content-Length: -3\r\n", body));
            case 2 -> {
                to.socket.put(Message.bytes("HTTP/1.1 200 OK", "Content-Length: 4000\r\n", body));
                to.socket.close();
            }
            case 3 -> to.socket.put(Message.bytes("HTTP/1.1 200 OK", "Content-Length: 3000000000\r\n", body));
            case 4 -> {
                to.socket.put(Message.bytes("HTTP/1.1 200 OK", "Connection: close\r\n", body.substring(0, 9)));
                to.socket.close();
            }
            case 5 -> {
                world.checker.addResponse(txn, body);
                byte[] response = Message.bytes("HTTP/1.1 200 OK", contentLength, body);
                to.socket.putUnsplit((new String(response, StandardCharsets.ISO_8859_1).repeat(2))
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
            case 6 -> {
                world.checker.addResponse(txn, body);
                to.socket.put("HTTP/1.1 103 Early Hints\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                to.socket.put(Message.bytes("HTTP/1.1 200 OK", contentLength, body));
            }
            default ->
                to.socket.put(("HTTP/1.1 200 OK\r\n" + "X-More: and more\r\n".repeat(1_200))
                        .getBytes(StandardCharsets.ISO_8859_1));
        }
        world.log.add("spoilt", id, txn, 0);
    }

    private byte[] noise() {
        byte[] noise = new byte[40];
        random.nextBytes(noise);
        return noise;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s at %s", id, endpoint());
    }
}
