package vetchpost.simulation.world;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import vetchpost.simulation.net.SimulatedHost;
import vetchpost.simulation.net.SimulatedSocket;
import vetchpost.simulation.net.Tap;
import vetchpost.simulation.wire.Message;
import vetchpost.simulation.wire.MessageParser;

/**
 * Simulated discovery: keeps the list of servers and sends it, and each change after a delay, to the nodes that
 * watch it. The simulation injects faults: no answers, silent or broken watches, late changes, full lists that
 * omit most servers, and a move to another address. It reports each entry that reaches a node's machine. All
 * calls come on the thread of the run.
 */
public final class SimulatedDiscovery {
    private static final long HEARTBEAT_INTERVAL_MS = 2_000;
    private static final long MOVE_CLOSE_DELAY_MS = 1_500;
    private static final long MIN_NOTICE_DELAY_MS = 20;
    private static final int NOTICE_DELAY_SPREAD_MS = 900;
    /** A change that a silent watch misses counts as delivered this long after the watch fell silent. */
    private static final long MISSED_CHANGE_DELAY_MS = 6_000;

    private static final int MAX_READ_BYTES = 4_096;
    private static final int SHRINK_DIVISOR = 10;

    /** Notified of what has reached a node's machine. */
    public interface ListListener {
        /** An entry has arrived; {@code line} is its JSON text. */
        void serverListed(SimulatedSocket end, String id, String state, long startedNs, String line);

        /** A full list has arrived, which names all servers. */
        void fullListReceived(SimulatedSocket end, Set<String> named);
    }

    /** An entry of the list, as it is sent. */
    private record Entry(String id, String endpoint, int rack, String state, long startedNs) {
        String json() {
            return "{\"uid\":\"" + id + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"room\","
                    + "\"model\":\"m\",\"pod_group\":" + rack + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + World.unixMs(startedNs) + "}";
        }
    }

    private final World world;
    private final ListListener listener;
    private final SplittableRandom random;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private int revision = 1;
    private int moves;
    private long muteUntilMs;
    private long shrunkenUntilMs;
    private long changeDelayMs;
    private long callDelayMs;
    private SimulatedHost host;

    /** Bytes to send, and an action to run when they have reached the peer's operating system. */
    private record Outgoing(byte[] bytes, Runnable whenDelivered) {}

    /** A node's connection, which becomes a watch with its request. */
    private final class Watch {
        private final SimulatedSocket socket;
        private final MessageParser parser = new MessageParser(this::onRequest);
        private final Deque<Outgoing> outbox = new ArrayDeque<>();
        private boolean watching;
        /** From when on it sends nothing more; {@link Long#MAX_VALUE} for never. */
        private long silentSinceMs = Long.MAX_VALUE;

        Watch(SimulatedSocket end) {
            this.socket = end;
            end.setHandler(this::onReady);
        }

        private void onReady() {
            write();
            while (socket.readable() > 0) {
                parser.feed(socket.read(MAX_READ_BYTES));
            }
            if (socket.isAtEnd() || socket.isReset()) {
                socket.close();
                watches.remove(this);
            }
        }

        private void onRequest(Message request) {
            if (callDelayMs > 0) {
                world.afterMs(callDelayMs, () -> answer(request));
            } else {
                answer(request);
            }
        }

        private void answer(Message request) {
            if (isMute()) {
                world.afterMs(muteUntilMs - world.nowMs(), () -> answer(request));
                return;
            }
            if (!socket.isOpen()) {
                return;
            }
            socket.put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            watching = true;
            watches.add(this);
            sendEntries(currentFullList(), true);
            scheduleHeartbeat();
        }

        private void scheduleHeartbeat() {
            world.afterMs(HEARTBEAT_INTERVAL_MS, () -> {
                if (socket.isOpen()) {
                    if (!isMute() && !isSilent()) {
                        writeChunk("\n", () -> {});
                    }
                    scheduleHeartbeat();
                }
            });
        }

        private boolean isSilent() {
            return world.nowMs() >= silentSinceMs;
        }

        private void writeChunk(String text, Runnable whenDelivered) {
            outbox.add(new Outgoing(
                    (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII),
                    whenDelivered));
            write();
        }

        /** Writes as much as the socket accepts; the rest follows when it has room. */
        private void write() {
            while (!outbox.isEmpty()) {
                Outgoing next = outbox.poll();
                int written;
                try {
                    written = socket.write(next.bytes);
                } catch (IOException e) {
                    // The watch has ended; the handler is notified of that separately.
                    outbox.clear();
                    return;
                }
                if (written < next.bytes.length) {
                    outbox.addFirst(new Outgoing(
                            Arrays.copyOfRange(next.bytes, written, next.bytes.length), next.whenDelivered));
                    return;
                }
                socket.whenDelivered(next.whenDelivered);
            }
        }

        void sendEntries(List<Entry> listed, boolean full) {
            if (!watching || !socket.isOpen()) {
                return;
            }
            if (isSilent()) {
                // It counts as delivered, whether or not another watch has sent it by then.
                world.afterMs(
                        Math.max(0, silentSinceMs + MISSED_CHANGE_DELAY_MS - world.nowMs()),
                        () -> listed.forEach(e -> listener.serverListed(socket, e.id, e.state, e.startedNs, e.json())));
                return;
            }
            writeChunk(
                    "{\"rev\":" + revision + ",\"all\":" + full + ",\"targets\":["
                            + listed.stream().map(Entry::json).collect(Collectors.joining(",")) + "]}\n",
                    () -> {
                        for (Entry entry : listed) {
                            listener.serverListed(socket, entry.id, entry.state, entry.startedNs, entry.json());
                        }
                        if (full) {
                            listener.fullListReceived(
                                    socket,
                                    listed.stream()
                                            .map(Entry::id)
                                            .collect(Collectors.toCollection(LinkedHashSet::new)));
                        }
                    });
        }
    }

    /** Starts discovery at its first address. */
    public SimulatedDiscovery(World world, ListListener listener) {
        this.world = world;
        this.listener = listener;
        random = world.random("directory", 0);
        open();
    }

    private void open() {
        host = world.tcp.host("discovery", Tap.NONE);
        host.listen(address(), Watch::new);
    }

    /** Its present address. */
    public InetSocketAddress address() {
        return new InetSocketAddress("10.2.0." + (1 + moves % 200), 8500);
    }

    private boolean isMute() {
        return world.nowMs() < muteUntilMs;
    }

    /** Adds a server that is in the list from the beginning. */
    public void addServer(SimulatedServer server) {
        entries.put(server.id(), new Entry(server.id(), server.endpoint(), server.rack(), "Ready", server.startedNs()));
    }

    /** Publishes a change of the server to {@code state} after a random delay. */
    public void publish(SimulatedServer server, String state) {
        String id = server.id();
        Entry entry = new Entry(id, server.endpoint(), server.rack(), state, server.startedNs());
        publishAfter(MIN_NOTICE_DELAY_MS + random.nextInt(NOTICE_DELAY_SPREAD_MS) + changeDelayMs, entry);
    }

    /** Publishes a change of the server to {@code state} immediately. */
    public void publishNow(SimulatedServer server, String state) {
        publishAfter(0, new Entry(server.id(), server.endpoint(), server.rack(), state, server.startedNs()));
    }

    private void publishAfter(long afterMs, Entry entry) {
        world.afterMs(afterMs, () -> {
            if (isMute()) {
                publishAfter(muteUntilMs - world.nowMs() + 1, entry);
                return;
            }
            revision++;
            if (entry.state.equals("Gone")) {
                entries.remove(entry.id);
            } else {
                entries.put(entry.id, entry);
            }
            world.log.add("told", entry.id, entry.state, revision);
            new ArrayList<>(watches).forEach(w -> w.sendEntries(List.of(entry), false));
        });
    }

    /** The present full list as JSON. */
    public String list() {
        return list(entries.values().stream().map(Entry::json).toList());
    }

    /** A full list of these entries as JSON. */
    public String list(List<String> lines) {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", lines) + "]}";
    }

    public void silence(long forMs) {
        muteUntilMs = Math.max(muteUntilMs, world.nowMs() + forMs);
    }

    /** The full list that it sends now, which omits nine tenths while it is shrunken. */
    private List<Entry> currentFullList() {
        List<Entry> full = new ArrayList<>(entries.values());
        return world.nowMs() < shrunkenUntilMs ? shrunken(full) : full;
    }

    private static List<Entry> shrunken(List<Entry> full) {
        return full.subList(0, (full.size() + SHRINK_DIVISOR - 1) / SHRINK_DIVISOR);
    }

    /** Sends full lists that omit nine tenths of the servers for this many milliseconds, then a correct one. */
    public void shrinkLists(long forMs) {
        shrunkenUntilMs = Math.max(shrunkenUntilMs, world.nowMs() + forMs);
        for (long afterMs : new long[] {0, forMs}) {
            world.afterMs(afterMs, () -> {
                revision++;
                new ArrayList<>(watches).forEach(w -> w.sendEntries(currentFullList(), true));
            });
        }
    }

    /** Sends one full list that omits nine tenths of the servers; new watches get the correct one. */
    public void shrinkOneList() {
        revision++;
        List<Entry> listed = shrunken(new ArrayList<>(entries.values()));
        new ArrayList<>(watches).forEach(w -> w.sendEntries(listed, true));
    }

    /** Delays changes from now on by this many milliseconds more. */
    public void delayChanges(long byMs) {
        changeDelayMs = byMs;
    }

    /** Answers each new watch from now on only after this many milliseconds. */
    public void setCallDelay(long waitMs) {
        callDelayMs = waitMs;
    }

    /** Keeps the present watches open, but sends nothing more on them. */
    public void silenceWatches() {
        watches.forEach(w -> w.silentSinceMs = Math.min(w.silentSinceMs, world.nowMs()));
    }

    /** Resets all watches. */
    public void breakWatches() {
        new ArrayList<>(watches).forEach(w -> w.socket.reset());
        watches.clear();
    }

    /** Moves to another address. The old one accepts no connections and closes its open ones after a delay. */
    public void move() {
        SimulatedHost oldHost = host;
        oldHost.unlisten(address());
        moves++;
        open();
        Set<Watch> oldWatches = new LinkedHashSet<>(watches);
        world.afterMs(
                MOVE_CLOSE_DELAY_MS,
                () -> oldWatches.forEach(w -> {
                    w.socket.close();
                    watches.remove(w);
                }));
    }
}
