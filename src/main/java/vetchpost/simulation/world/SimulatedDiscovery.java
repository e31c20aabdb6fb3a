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
    private static final long BEAT_MS = 2_000;
    private static final long MOVED_CLOSES_MS = 1_500;
    private static final long LEAST_NOTICE_MS = 20;
    private static final int MORE_NOTICE_MS = 900;
    /** What a silent watch misses counts as told so long after it fell silent. */
    private static final long MISSED_COUNTS_MS = 6_000;

    private static final int READ = 4_096;
    private static final int SHRUNKEN_TO = 10;

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
    private final ListListener told;
    private final SplittableRandom random;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private int revision = 1;
    private int moves;
    private long muteUntilMs;
    private long shrunkenUntilMs;
    private long lateMs;
    private long callMs;
    private SimulatedHost host;

    /** Bytes on their way, and what to do when they have come to the other side's system. */
    private record Outgoing(byte[] bytes, Runnable whenDelivered) {}

    /** A node's watch, once it has asked. */
    private final class Watch {
        private final SimulatedSocket end;
        private final MessageParser parser = new MessageParser(this::asked);
        private final Deque<Outgoing> outbox = new ArrayDeque<>();
        private boolean watching;
        /** Since when it says nothing, for good; or a time that never comes. */
        private long silentSinceMs = Long.MAX_VALUE;

        Watch(SimulatedSocket end) {
            this.end = end;
            end.handler(this::ready);
        }

        private void ready() {
            write();
            while (end.readable() > 0) {
                parser.feed(end.read(READ));
            }
            if (end.isAtEnd() || end.isReset()) {
                end.close();
                watches.remove(this);
            }
        }

        private void asked(Message request) {
            if (callMs > 0) {
                world.afterMs(callMs, () -> answer(request));
            } else {
                answer(request);
            }
        }

        private void answer(Message request) {
            if (isMute()) {
                world.afterMs(muteUntilMs - world.nowMs(), () -> answer(request));
                return;
            }
            if (!end.isOpen()) {
                return;
            }
            end.put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            watching = true;
            watches.add(this);
            tell(whole(), true);
            beat();
        }

        private void beat() {
            world.afterMs(BEAT_MS, () -> {
                if (end.isOpen()) {
                    if (!isMute() && !isSilent()) {
                        chunk("\n", () -> {});
                    }
                    beat();
                }
            });
        }

        private boolean isSilent() {
            return world.nowMs() >= silentSinceMs;
        }

        private void chunk(String text, Runnable whenDelivered) {
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
                    taken = end.write(next.bytes);
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
                end.whenDelivered(next.whenDelivered);
            }
        }

        void tell(List<Entry> some, boolean all) {
            if (!watching || !end.isOpen()) {
                return;
            }
            if (isSilent()) {
                // It counts as told, whether or not another watch has brought it by then.
                world.afterMs(
                        Math.max(0, silentSinceMs + MISSED_COUNTS_MS - world.nowMs()),
                        () -> some.forEach(e -> told.serverListed(end, e.id, e.state, e.startedNs, e.json())));
                return;
            }
            chunk(
                    "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
                            + some.stream().map(Entry::json).collect(Collectors.joining(",")) + "]}\n",
                    () -> {
                        for (Entry entry : some) {
                            told.serverListed(end, entry.id, entry.state, entry.startedNs, entry.json());
                        }
                        if (all) {
                            told.fullListReceived(
                                    end,
                                    some.stream().map(Entry::id).collect(Collectors.toCollection(LinkedHashSet::new)));
                        }
                    });
        }
    }

    /** Discovery at its first address. */
    public SimulatedDiscovery(World world, ListListener told) {
        this.world = world;
        this.told = told;
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
        notice(LEAST_NOTICE_MS + random.nextInt(MORE_NOTICE_MS) + lateMs, entry);
    }

    /** Tells a change in this very instant. */
    public void changedNow(SimulatedServer box, String state) {
        notice(0, new Entry(box.id(), box.endpoint(), box.rack(), state, box.startedNs()));
    }

    private void notice(long afterMs, Entry entry) {
        world.afterMs(afterMs, () -> {
            if (isMute()) {
                notice(muteUntilMs - world.nowMs() + 1, entry);
                return;
            }
            revision++;
            if (entry.state.equals("Gone")) {
                entries.remove(entry.id);
            } else {
                entries.put(entry.id, entry);
            }
            world.log.add("told", entry.id, entry.state, revision);
            new ArrayList<>(watches).forEach(w -> w.tell(List.of(entry), false));
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
    private List<Entry> whole() {
        List<Entry> all = new ArrayList<>(entries.values());
        return world.nowMs() < shrunkenUntilMs ? few(all) : all;
    }

    private static List<Entry> few(List<Entry> all) {
        return all.subList(0, (all.size() + SHRUNKEN_TO - 1) / SHRUNKEN_TO);
    }

    /** Tells whole lists for a while that leave out nine tenths, then one that is right. */
    public void shrinkLists(long forMs) {
        shrunkenUntilMs = Math.max(shrunkenUntilMs, world.nowMs() + forMs);
        for (long afterMs : new long[] {0, forMs}) {
            world.afterMs(afterMs, () -> {
                revision++;
                new ArrayList<>(watches).forEach(w -> w.tell(whole(), true));
            });
        }
    }

    /** Tells one whole list that leaves out nine tenths; whoever asks is told the right one. */
    public void shrinkOneList() {
        revision++;
        List<Entry> few = few(new ArrayList<>(entries.values()));
        new ArrayList<>(watches).forEach(w -> w.tell(few, true));
    }

    /** What it tells from now on comes so much later. */
    public void delayChanges(long byMs) {
        lateMs = byMs;
    }

    /** From now on a call waits in turn for so long. */
    public void setCallDelay(long waitMs) {
        callMs = waitMs;
    }

    /** The watches that are open now stay open and say nothing more. */
    public void silenceWatches() {
        watches.forEach(w -> w.silentSinceMs = Math.min(w.silentSinceMs, world.nowMs()));
    }

    /** All watches end. */
    public void breakWatches() {
        new ArrayList<>(watches).forEach(w -> w.end.reset());
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
                MOVED_CLOSES_MS,
                () -> before.forEach(w -> {
                    w.end.close();
                    watches.remove(w);
                }));
    }
}
