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

/** Discovery: the list of boxes, told late to those that watch it; silent, broken or moved now and then. */
public final class SimulatedDiscovery {
    private static final long HEARTBEAT_INTERVAL_MS = 2_000;
    private static final long MOVE_CLOSE_DELAY_MS = 1_500;
    private static final long MIN_NOTICE_DELAY_MS = 20;
    private static final int NOTICE_DELAY_SPREAD_MS = 900;
    /** What a silent watch misses counts as told so long after it fell silent. */
    private static final long MISSED_CHANGE_DELAY_MS = 6_000;

    private static final int MAX_READ_BYTES = 4_096;
    private static final int SHRINK_DIVISOR = 10;

    /** Hears what has come to a node's machine. */
    public interface ListListener {
        /** One entry; {@code line} is how discovery writes it. */
        void serverListed(SimulatedSocket end, String id, String state, long startedNs, String line);

        /** A whole list, which names all that there is. */
        void fullListReceived(SimulatedSocket end, Set<String> named);
    }

    /** An entry as it is told. */
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

    /** Bytes on their way, and what to do when they have come to the other side's system. */
    private record Outgoing(byte[] bytes, Runnable whenDelivered) {}

    /** A node's watch, once it has asked. */
    private final class Watch {
        private final SimulatedSocket socket;
        private final MessageParser parser = new MessageParser(this::onRequest);
        private final Deque<Outgoing> outbox = new ArrayDeque<>();
        private boolean watching;
        /** Since when it says nothing, for good; or a time that never comes. */
        private long silentSinceMs = Long.MAX_VALUE;

        Watch(SimulatedSocket end) {
            this.socket = end;
            end.handler(this::onReady);
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

        /** As much as the system takes; the rest when there is room. */
        private void write() {
            while (!outbox.isEmpty()) {
                Outgoing next = outbox.poll();
                int taken;
                try {
                    taken = socket.write(next.bytes);
                } catch (IOException e) {
                    // Its watch is over: the handler hears of that.
                    outbox.clear();
                    return;
                }
                if (taken < next.bytes.length) {
                    outbox.addFirst(
                            new Outgoing(Arrays.copyOfRange(next.bytes, taken, next.bytes.length), next.whenDelivered));
                    return;
                }
                socket.whenDelivered(next.whenDelivered);
            }
        }

        void sendEntries(List<Entry> some, boolean all) {
            if (!watching || !socket.isOpen()) {
                return;
            }
            if (isSilent()) {
                // It counts as told, whether or not another watch has brought it by then.
                world.afterMs(
                        Math.max(0, silentSinceMs + MISSED_CHANGE_DELAY_MS - world.nowMs()),
                        () -> some.forEach(e -> listener.serverListed(socket, e.id, e.state, e.startedNs, e.json())));
                return;
            }
            writeChunk(
                    "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
                            + some.stream().map(Entry::json).collect(Collectors.joining(",")) + "]}\n",
                    () -> {
                        for (Entry entry : some) {
                            listener.serverListed(socket, entry.id, entry.state, entry.startedNs, entry.json());
                        }
                        if (all) {
                            listener.fullListReceived(
                                    socket,
                                    some.stream().map(Entry::id).collect(Collectors.toCollection(LinkedHashSet::new)));
                        }
                    });
        }
    }

    /** Discovery at its first address. */
    public SimulatedDiscovery(World world, ListListener told) {
        this.world = world;
        this.listener = told;
        random = world.random("directory", 0);
        open();
    }

    private void open() {
        host = world.tcp.host("discovery", Tap.NONE);
        host.listen(address(), Watch::new);
    }

    /** Where it is now. */
    public InetSocketAddress address() {
        return new InetSocketAddress("10.2.0." + (1 + moves % 200), 8500);
    }

    private boolean isMute() {
        return world.nowMs() < muteUntilMs;
    }

    /** Knows of a box from the beginning. */
    public void addServer(SimulatedServer box) {
        entries.put(box.id(), new Entry(box.id(), box.endpoint(), box.rack(), "Ready", box.startedNs()));
    }

    /** Hears of a change now and tells it a while later. */
    public void changed(SimulatedServer box, String state) {
        String id = box.id();
        Entry entry = new Entry(id, box.endpoint(), box.rack(), state, box.startedNs());
        publishAfter(MIN_NOTICE_DELAY_MS + random.nextInt(NOTICE_DELAY_SPREAD_MS) + changeDelayMs, entry);
    }

    /** Tells a change in this very instant. */
    public void changedNow(SimulatedServer box, String state) {
        publishAfter(0, new Entry(box.id(), box.endpoint(), box.rack(), state, box.startedNs()));
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

    /** The whole list as it stands, in discovery's form. */
    public String list() {
        return list(entries.values().stream().map(Entry::json).toList());
    }

    /** A list of entries in discovery's form. */
    public String list(List<String> lines) {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", lines) + "]}";
    }

    public void mute(long forMs) {
        muteUntilMs = Math.max(muteUntilMs, world.nowMs() + forMs);
    }

    /** Its whole list, which leaves out most while it is shrunken. */
    private List<Entry> currentFullList() {
        List<Entry> all = new ArrayList<>(entries.values());
        return world.nowMs() < shrunkenUntilMs ? shrunken(all) : all;
    }

    private static List<Entry> shrunken(List<Entry> all) {
        return all.subList(0, (all.size() + SHRINK_DIVISOR - 1) / SHRINK_DIVISOR);
    }

    /** Tells whole lists for a while that leave out nine tenths, then one that is right. */
    public void shrinkLists(long forMs) {
        shrunkenUntilMs = Math.max(shrunkenUntilMs, world.nowMs() + forMs);
        for (long afterMs : new long[] {0, forMs}) {
            world.afterMs(afterMs, () -> {
                revision++;
                new ArrayList<>(watches).forEach(w -> w.sendEntries(currentFullList(), true));
            });
        }
    }

    /** Tells one whole list that leaves out nine tenths; whoever asks is told the right one. */
    public void shrinkOneList() {
        revision++;
        List<Entry> few = shrunken(new ArrayList<>(entries.values()));
        new ArrayList<>(watches).forEach(w -> w.sendEntries(few, true));
    }

    /** What it tells from now on comes so much later. */
    public void delayChanges(long byMs) {
        changeDelayMs = byMs;
    }

    /** From now on a call waits in turn for so long. */
    public void setCallDelay(long waitMs) {
        callDelayMs = waitMs;
    }

    /** The watches that are open now stay open and say nothing more. */
    public void silenceWatches() {
        watches.forEach(w -> w.silentSinceMs = Math.min(w.silentSinceMs, world.nowMs()));
    }

    /** All watches end. */
    public void breakWatches() {
        new ArrayList<>(watches).forEach(w -> w.socket.reset());
        watches.clear();
    }

    /** Another address; the old one takes no connection and closes those it has a while later. */
    public void move() {
        SimulatedHost old = host;
        old.unlisten(address());
        moves++;
        open();
        Set<Watch> before = new LinkedHashSet<>(watches);
        world.afterMs(
                MOVE_CLOSE_DELAY_MS,
                () -> before.forEach(w -> {
                    w.socket.close();
                    watches.remove(w);
                }));
    }
}
