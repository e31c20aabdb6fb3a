package vetchpost.simulation.world;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchpost.simulation.check.ExpectedRequest;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;
import vetchpost.simulation.net.SimulatedHost;
import vetchpost.simulation.net.SimulatedSocket;
import vetchpost.simulation.net.Tap;
import vetchpost.simulation.wire.Message;
import vetchpost.simulation.wire.MessageParser;

/**
 * All clients, and the front that deals their connections out among nodes. A client sends one request at a
 * time on a connection, waits a little longer than it says, and tries again what it may: whatever was
 * refused, and safe requests after any failure.
 */
public final class Clients {
    private static final int MOST_TRIES = 3;
    private static final long PATIENCE_MS = 150;
    private static final long BACKOFF_MS = 20;
    private static final int LEAVES_ONE_IN = 60;
    private static final int READ = 16_384;
    private static final long RUDE_MS = 4_000;

    private final World world;
    private final RequestEffects effects;
    private final SimulatedHost host;
    /** Nodes that the front sends to, by their numbers. */
    private final Map<Integer, InetSocketAddress> nodes = new TreeMap<>();

    private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();
    private final SplittableRandom random;
    private int wants;
    private long txns;
    private int open;
    private int tried;
    private int servedWants;
    private int lateWants;

    /** What somebody wants done, over all tries. */
    private final class Want {
        private final String name;
        private final RequestClasses.Kind kind;
        private final String key;
        private final long beganMs;
        private final long endMs;
        private final SplittableRandom chance;
        private int tries;
        private long leftMs;
        private boolean sentOnceMore;

        Want(int number, RequestClasses.Kind kind) {
            name = "want-" + number;
            this.kind = kind;
            chance = world.random("want", number);
            key = Long.toHexString(chance.nextLong());
            beganMs = world.nowMs();
            endMs = beganMs + kind.timeoutMs();
        }

        void go() {
            long left = endMs - world.nowMs();
            if (left < 5 || tries >= MOST_TRIES || nodes.isEmpty()) {
                over(false);
                return;
            }
            tries++;
            String txn = String.format(Locale.ROOT, "%016x", (txns++ << 20) + 0x5EED_0000_0000_0000L);
            leftMs = left;
            effects.wanted(name, txn, kind.retryPolicy());
            expect(txn);
            boolean safe = kind.retryPolicy() == RetryPolicy.SAFE;
            String body = safe ? "" : "x".repeat(1 + chance.nextInt(600));
            byte[] bytes = Message.bytes(
                    (safe ? "GET /" : "POST /") + kind.name() + "/" + chance.nextInt(99) + " HTTP/1.1",
                    "Host: backend.local\r\nX-Txn: " + txn + "\r\nX-Org: school\r\n"
                            + "X-Remaining-Ms: " + left + "\r\n" + (tries > 1 ? "X-Resent: 1\r\n" : "")
                            + (kind.retryPolicy() == RetryPolicy.KEYED ? "Idempotency-Key: " + key + "\r\n" : "")
                            + (safe ? "" : "Content-Length: " + body.length() + "\r\n"),
                    body);
            send(txn, bytes);
        }

        private void expect(String txn) {
            world.checker.expect(
                    new ExpectedRequest(txn, kind.retryPolicy(), world.time.nanoTime() + leftMs * 1_000_000, (long)
                            (world.classes.workMs() * 1e6)));
        }

        private void send(String txn, byte[] bytes) {
            List<InetSocketAddress> some = new ArrayList<>(nodes.values());
            if (some.isEmpty()) {
                over(false);
                return;
            }
            tried++;
            InetSocketAddress node = some.get(chance.nextInt(some.size()));
            Connection connection = takeIdle(node);
            if (connection == null) {
                connection = new Connection(node);
            }
            connection.ask(this, txn, bytes);
        }

        void answered(Message answer) {
            int status = answer.status();
            if (status == 200) {
                over(true);
            } else if (status == 429 || status == 503) {
                again(answer.field("retry-after"));
            } else if (kind.retryPolicy() == RetryPolicy.SAFE) {
                again("");
            } else {
                over(false);
            }
        }

        /** It ended with no answer. */
        void broken(Connection on) {
            if (on.crossed() && !sentOnceMore) {
                sentOnceMore = true;
                // It says the same time left as before, and that counts from when it is sent (found by seed
                // 5153 with --recovery: the first node had stood still for 0.4 s with it unread, and died).
                expect(on.txn);
                send(on.txn, on.sent);
            } else if (kind.retryPolicy() == RetryPolicy.SAFE || on.neverOpen()) {
                again("");
            } else {
                over(false);
            }
        }

        private void again(String seconds) {
            long ms = seconds.isEmpty() ? BACKOFF_MS : (long) (1_000 * Double.parseDouble(seconds));
            world.afterMs(ms + chance.nextInt(10), this::go);
        }

        private void over(boolean well) {
            open--;
            servedWants += well ? 1 : 0;
            lateWants += well && world.nowMs() - beganMs > kind.latencyTargetMs() ? 1 : 0;
        }
    }

    /** A client's connection. */
    private final class Connection {
        private final InetSocketAddress node;
        private final SimulatedSocket end;
        private final MessageParser parser = new MessageParser(this::answered);
        private Want want;
        private String txn;
        private byte[] sent;
        private long sentBefore;
        private long sentUpTo;
        private boolean isAsked;

        Connection(InetSocketAddress node) {
            this.node = node;
            end = host.connect(node, this::ready);
        }

        void ask(Want asker, String id, byte[] bytes) {
            want = asker;
            txn = id;
            sent = bytes;
            isAsked = false;
            if (end.isOpen()) {
                write();
            }
            Want mine = want;
            long waits = mine.endMs - world.nowMs() + PATIENCE_MS;
            if (mine.chance.nextInt(LEAVES_ONE_IN) == 0) {
                waits = mine.chance.nextLong(waits);
            }
            world.afterMs(waits, () -> {
                if (want == mine && txn.equals(id)) {
                    want = null;
                    end.close();
                    mine.over(false);
                }
            });
        }

        private void write() {
            isAsked = true;
            sentBefore = sentUpTo;
            sentUpTo += sent.length;
            end.put(sent);
        }

        /** Whether the node closed before it had read any of the request. */
        boolean crossed() {
            return isAsked && end.readByPeer() <= sentBefore;
        }

        boolean neverOpen() {
            return !isAsked;
        }

        private void ready() {
            if (end.isFailed()) {
                lost();
                return;
            }
            if (want != null && !isAsked && end.isOpen()) {
                write();
            }
            while (end.readable() > 0) {
                parser.feed(end.read(READ));
            }
            if (end.isAtEnd() || end.isReset()) {
                end.close();
                lost();
            }
        }

        private void lost() {
            Deque<Connection> rest = idle.get(node);
            if (rest != null) {
                rest.remove(this);
            }
            if (want != null) {
                Want mine = want;
                want = null;
                mine.broken(this);
            }
        }

        private void answered(Message answer) {
            if (want == null || answer.status() / 100 == 1) {
                return;
            }
            Want mine = want;
            want = null;
            world.log.add("answered", txn, answer.start(), answer.body().length);
            if (answer.field("connection").equalsIgnoreCase("close")) {
                end.close();
            } else {
                idle.computeIfAbsent(node, n -> new ArrayDeque<>()).push(this);
            }
            mine.answered(answer);
        }
    }

    /** Nobody yet, and no node that the front knows. */
    public Clients(World world, RequestEffects effects) {
        this.world = world;
        this.effects = effects;
        host = world.tcp.host("clients", Tap.NONE);
        random = world.random("clients", 0);
    }

    private Connection takeIdle(InetSocketAddress node) {
        Deque<Connection> some = idle.get(node);
        Connection connection = some == null ? null : some.poll();
        while (connection != null && !connection.end.isOpen()) {
            connection = some.poll();
        }
        return connection;
    }

    /** The front sends to this node from now on. */
    public void addNode(int number, InetSocketAddress node) {
        nodes.put(number, node);
    }

    /** The front has noticed that the node is gone. */
    public void removeNode(int number) {
        nodes.remove(number);
    }

    /** Somebody wants something of this class, or of a class by chance. */
    public void startRequest(String kind) {
        int number = wants++;
        open++;
        double at = world.random("kind", number).nextDouble();
        new Want(number, kind == null ? world.classes.draw(at) : world.classes.named(kind)).go();
    }

    /** The next want is passed over, its number too. */
    public void skipRequest() {
        wants++;
    }

    /** Wants that are neither done nor given up. */
    public int open() {
        return open;
    }

    /** Requests sent, tries counted. */
    public int requestsSent() {
        return tried;
    }

    /** Wants, how many of them were served, and how many of those later than their class aims at. */
    public int[] counts() {
        return new int[] {wants, servedWants, lateWants};
    }

    /** Closes what is idle, at the end of a run. */
    public void close() {
        idle.values().forEach(some -> some.forEach(c -> c.end.close()));
    }

    /** One that sends rubbish, half a request, too much, or doesn't read. */
    public void startMalformedClient() {
        if (nodes.isEmpty()) {
            return;
        }
        List<InetSocketAddress> some = new ArrayList<>(nodes.values());
        InetSocketAddress node = some.get(random.nextInt(some.size()));
        int how = random.nextInt(8);
        SimulatedSocket[] end = new SimulatedSocket[1];
        boolean[] said = new boolean[1];
        end[0] = host.connect(node, () -> {
            if (end[0].isFailed()) {
                return;
            }
            if (!said[0]) {
                said[0] = true;
                end[0].put(rubbish(how).getBytes(StandardCharsets.ISO_8859_1));
                if (how == 1) {
                    end[0].close();
                }
            }
            if (how != 2 && end[0].isOpen()) {
                end[0].read(READ);
                if (end[0].isAtEnd() || end[0].isReset()) {
                    end[0].close();
                }
            }
        });
        world.afterMs(RUDE_MS, end[0]::close);
    }

    private String rubbish(int how) {
        String id = String.format(Locale.ROOT, "%016x", random.nextLong());
        String head = " HTTP/1.1\r\nHost: b\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: 300\r\n";
        return switch (how) {
            case 0 -> "\u0001\u0002 rubbish\r\n\r\n";
            case 1 -> "GET /view-page/1" + head;
            case 2 -> ("GET /nothing" + head + "\r\n").repeat(60);
            case 3 -> "POST /place-order/1" + head + "Content-Length: 60000000\r\n\r\n";
            case 4 ->
                "POST /place-order/1" + head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "0\r\n\r\nGET /view-page/2" + head + "\r\n";
            case 5 -> "GET /view-page/1" + head + "X-Much: " + "y".repeat(20_000);
            case 6 -> "";
            default -> "POST /place-order/1" + head + "Content-Length: 100\r\n\r\nhalf";
        };
    }
}
