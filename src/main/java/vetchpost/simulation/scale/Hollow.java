package vetchpost.simulation.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import vetchpost.replication.Choice;
import vetchpost.replication.Frame;
import vetchpost.replication.FrameCodec;
import vetchpost.replication.Malformed;
import vetchpost.replication.Publisher;
import vetchpost.replication.Replica;
import vetchpost.simulation.net.VirtualTime;
import vetchpost.store.VersionedStore;

/**
 * Control machines and hollow nodes on virtual time: each has the real code of replication, with connections
 * that carry real frames, take their time, break and are opened anew, and nothing else of a node.
 */
final class Hollow {
    private static final long US = 1_000;
    private static final long SECOND_US = 1_000_000;
    /** A replica that has heard nothing for so long looks for another publisher. */
    private static final long SILENT_US = 15 * SECOND_US;
    private static final long HEARTBEAT_US = 5 * SECOND_US;
    private static final long CONNECT_US = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final FrameCodec codec = new FrameCodec();
    private final Cost cost = new Cost();

    /**
     * How long frames take from one machine to another, in microseconds; negative where they don't get
     * through.
     */
    interface Distance {
        long us(Machine from, Machine to);
    }

    private Distance distance = (from, to) -> 500;

    /** Counts processor time of this thread, in nanoseconds. */
    static final class Cost {
        private final java.lang.management.ThreadMXBean threads =
                java.lang.management.ManagementFactory.getThreadMXBean();

        long nowNs() {
            return threads.getCurrentThreadCpuTime();
        }
    }

    /** Bytes and processor time that a machine has spent, by second. */
    static final class Spent {
        private final Map<Long, long[]> bySecond = new TreeMap<>();
        private long cpuNs;
        private long longestNs;

        void bytes(long nowUs, int bytes) {
            bySecond.computeIfAbsent(nowUs / SECOND_US, s -> new long[2])[0] += bytes;
        }

        void cpu(long nowUs, long ns) {
            cpuNs += ns;
            longestNs = Math.max(longestNs, ns);
            bySecond.computeIfAbsent(nowUs / SECOND_US, s -> new long[2])[1] += ns;
        }

        long worstBytes(long fromUs, long toUs) {
            return worst(0, fromUs, toUs);
        }

        long worstCpuNs(long fromUs, long toUs) {
            return worst(1, fromUs, toUs);
        }

        private long worst(int what, long fromUs, long toUs) {
            return bySecond.entrySet().stream().filter(e -> e.getKey() >= fromUs / SECOND_US
                    && e.getKey() < toUs / SECOND_US).mapToLong(e -> e.getValue()[what]).max().orElse(0);
        }

        long sumBytes(long fromUs, long toUs) {
            return sum(0, fromUs, toUs);
        }

        long sumCpuNs(long fromUs, long toUs) {
            return sum(1, fromUs, toUs);
        }

        private long sum(int what, long fromUs, long toUs) {
            return bySecond.entrySet().stream().filter(e -> e.getKey() >= fromUs / SECOND_US
                    && e.getKey() < toUs / SECOND_US).mapToLong(e -> e.getValue()[what]).sum();
        }

        long longestNs() {
            return longestNs;
        }
    }

    /** A machine: one side, or both as a control machine that is told by another. */
    final class Machine {
        private final String name;
        private final int region;
        private final Spent spent = new Spent();
        private Publisher publisher;
        private Replica replica;
        private List<Machine> sources = List.of();
        private Choice choice;
        private Link link;
        private int asked = -1;
        private final List<Link> links = new ArrayList<>();
        private boolean up = true;
        private VirtualTime.Event pumping;
        private VirtualTime.Event connecting;
        private long pumpUs = Long.MAX_VALUE;

        Machine(String name, int region) {
            this.name = name;
            this.region = region;
        }

        String name() {
            return name;
        }

        int region() {
            return region;
        }

        Spent spent() {
            return spent;
        }

        Replica replica() {
            return replica;
        }

        Publisher publisher() {
            return publisher;
        }

        boolean isUp() {
            return up;
        }

        /** Whether it has a connection to a publisher now. */
        boolean isLinked() {
            return link != null;
        }

        private long us() {
            return time.nanoTime() / US;
        }

        /** Publishes this; one that did before begins anew. */
        void publish(VersionedStore store, Publisher.Budget budget) {
            publisher = new Publisher(store, codec, budget, HEARTBEAT_US, us());
        }

        /** Something newer is to be told. */
        void settle(VersionedStore store) {
            timed(() -> publisher.settle(store));
            pump();
        }

        /** Is told by these, from {@code afterUs} on. */
        void follow(Replica of, List<Machine> publishers, long afterUs) {
            replica = of;
            sources = publishers;
            choice = new Choice(name, publishers.stream().map(Machine::name).toList(),
                    p -> publishers.stream().anyMatch(m -> m.name.equals(p) && m.region == region));
            later(afterUs);
        }

        /** Dies: its connections break. */
        void kill() {
            up = false;
            unlink();
            for (Link each : List.copyOf(links)) {
                each.broken();
            }
            cancel();
        }

        /**
         * Is there again, with this in place of what it was; whoever calls has it follow and publish anew.
         */
        void start() {
            up = true;
        }

        private void cancel() {
            if (pumping != null) {
                pumping.cancel();
            }
            if (connecting != null) {
                connecting.cancel();
            }
            pumpUs = Long.MAX_VALUE;
        }

        private void unlink() {
            if (link != null) {
                link.close();
                link = null;
                replica.disconnected();
            }
        }

        private void timed(Runnable work) {
            long before = cost.nowNs();
            work.run();
            spent.cpu(us(), cost.nowNs() - before);
        }

        private void later(long afterUs) {
            if (connecting != null) {
                connecting.cancel();
            }
            connecting = time.after(afterUs * US, this::connect);
        }

        private void connect() {
            if (!up || link != null) {
                return;
            }
            int next = choice.next(us());
            long whenUs = choice.whenUs(next);
            if (whenUs > us()) {
                later(whenUs - us());
                return;
            }
            asked = next;
            Machine to = sources.get(next);
            if (!to.up || distance.us(this, to) < 0) {
                choice.failed(next, us());
                later(CONNECT_US);
                return;
            }
            link = new Link(this, to);
            Link opened = link;
            timed(() -> replica.connected(opened::up, us()));
            look(opened);
        }

        /** Looks whether its publisher still says anything, and whether a better one is there. */
        private void look(Link opened) {
            time.after(SECOND_US * US, () -> {
                if (link == opened) {
                    if (us() - replica.heardUs() > SILENT_US) {
                        choice.failed(asked, us());
                        unlink();
                        later(CONNECT_US);
                    } else {
                        look(opened);
                    }
                }
            });
        }

        private void told(Link by, byte[] bytes) {
            if (link != by) {
                return;
            }
            spent.bytes(us(), bytes.length);
            boolean[] use = {true};
            timed(() -> {
                try {
                    replica.take(codec.read(bytes), us());
                } catch (Replica.Refused | Malformed e) {
                    use[0] = false;
                }
            });
            if (!use[0]) {
                choice.failed(asked, us());
                unlink();
                later(CONNECT_US);
            } else if (replica.currentUs() == us()) {
                choice.worked(asked);
            }
        }

        private void asked(Link by, byte[] bytes) {
            if (!up || !links.contains(by)) {
                return;
            }
            boolean[] fine = {true};
            timed(() -> {
                try {
                    publisher.take(by, codec.read(bytes), bytes.length, us());
                } catch (Malformed e) {
                    fine[0] = false;
                }
            });
            if (!fine[0]) {
                by.broken();
            }
            pump();
        }

        private void pump() {
            long[] nextUs = {Long.MAX_VALUE};
            timed(() -> nextUs[0] = publisher.pump(us()));
            if (nextUs[0] != Long.MAX_VALUE && (pumping == null || nextUs[0] != pumpUs)) {
                if (pumping != null) {
                    pumping.cancel();
                }
                pumpUs = nextUs[0];
                pumping = time.at(Math.max(pumpUs, us() + 1) * US, () -> {
                    pumping = null;
                    if (up) {
                        pump();
                    }
                });
            }
        }
    }

    /** A connection: what one side writes comes at the other in order, a while later, unless it breaks. */
    final class Link implements Publisher.Peer {
        private final Machine replica;
        private final Machine publisher;
        private long lastDownUs;
        private long lastUpUs;
        private boolean open = true;

        Link(Machine replica, Machine publisher) {
            this.replica = replica;
            this.publisher = publisher;
            publisher.links.add(this);
            publisher.publisher.connected(this, publisher.us());
        }

        private void up(Frame frame) {
            byte[] bytes = codec.write(frame);
            replica.spent.bytes(replica.us(), bytes.length);
            long us = distance.us(replica, publisher);
            if (us < 0) {
                return;
            }
            lastUpUs = Math.max(lastUpUs, replica.us() + us);
            time.at(lastUpUs * US, () -> {
                if (open && distance.us(replica, publisher) >= 0) {
                    publisher.asked(this, bytes);
                }
            });
        }

        @Override
        public void send(byte[] bytes) {
            publisher.spent.bytes(publisher.us(), bytes.length);
            long us = distance.us(publisher, replica);
            if (us < 0) {
                return;
            }
            lastDownUs = Math.max(lastDownUs, publisher.us() + us);
            time.at(lastDownUs * US, () -> {
                if (open && replica.up && distance.us(publisher, replica) >= 0) {
                    replica.told(this, bytes);
                }
            });
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        private void close() {
            if (open) {
                open = false;
                publisher.links.remove(this);
                publisher.publisher.disconnected(this);
            }
        }

        /** Both sides are told. */
        private void broken() {
            boolean was = open;
            close();
            if (was && replica.link == this) {
                replica.link = null;
                replica.replica.disconnected();
                replica.choice.failed(replica.asked, replica.us());
                replica.later(CONNECT_US);
            }
        }
    }

    /** A machine of that name and region, which does nothing yet. */
    Machine machine(String name, int region) {
        return new Machine(name, region);
    }

    void distance(Distance other) {
        distance = other;
    }

    long nowUs() {
        return time.nanoTime() / US;
    }

    /** Has something happen so many microseconds from the beginning. */
    void at(long us, Runnable task) {
        time.at(us * US, task);
    }

    /** Goes on to that time. */
    void run(long untilUs) {
        boolean[] there = new boolean[1];
        time.at(untilUs * US, () -> there[0] = true);
        while (!there[0] && time.step()) {
            continue;
        }
    }
}
