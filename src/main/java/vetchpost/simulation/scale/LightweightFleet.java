package vetchpost.simulation.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchpost.replication.Frame;
import vetchpost.replication.FrameCodec;
import vetchpost.replication.MalformedFrameException;
import vetchpost.replication.Publisher;
import vetchpost.replication.PublisherChoice;
import vetchpost.replication.PublisherFailover;
import vetchpost.replication.Replica;
import vetchpost.simulation.net.VirtualTime;
import vetchpost.store.VersionedStore;

/**
 * Control machines and hollow nodes on virtual time: each has the real code of replication, with connections
 * that carry real frames, take their time, break and are opened anew, and nothing else of a node.
 */
final class LightweightFleet {
    private static final long US = 1_000;
    private static final long SECOND_US = 1_000_000;
    /** Bytes of a frame's length and tag on its way. */
    private static final int TAG = 36;

    private static final long HEARTBEAT_US = 5 * SECOND_US;

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
            return bySecond.entrySet().stream()
                    .filter(e -> e.getKey() >= fromUs / SECOND_US && e.getKey() < toUs / SECOND_US)
                    .mapToLong(e -> e.getValue()[what])
                    .max()
                    .orElse(0);
        }

        long sumBytes(long fromUs, long toUs) {
            return sum(0, fromUs, toUs);
        }

        long sumCpuNs(long fromUs, long toUs) {
            return sum(1, fromUs, toUs);
        }

        private long sum(int what, long fromUs, long toUs) {
            return bySecond.entrySet().stream()
                    .filter(e -> e.getKey() >= fromUs / SECOND_US && e.getKey() < toUs / SECOND_US)
                    .mapToLong(e -> e.getValue()[what])
                    .sum();
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
        private PublisherFailover following;
        private Link link;
        private final List<Link> links = new ArrayList<>();
        private boolean up = true;
        private VirtualTime.Event pumping;
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
            timed(() -> publisher.publish(store));
            pump();
        }

        /** Is told by these, from {@code afterUs} on. */
        void follow(Replica of, List<Machine> publishers, long afterUs) {
            replica = of;
            sources = publishers;
            PublisherChoice choice = new PublisherChoice(
                    name,
                    publishers.stream().map(Machine::name).toList(),
                    p -> publishers.stream().anyMatch(m -> m.name.equals(p) && m.region == region));
            following = new PublisherFailover(of, choice, new PublisherFailover.Transport() {
                @Override
                public void open(int publisher) {
                    Machine to = sources.get(publisher);
                    if (!to.up || distance.us(Machine.this, to) < 0) {
                        following.failed("nobody is there");
                        return;
                    }
                    link = new Link(Machine.this, to);
                    timed(following::opened);
                }

                @Override
                public void send(Frame frame) {
                    link.up(frame);
                }

                @Override
                public void close() {
                    unlink();
                }

                @Override
                public long nowUs() {
                    return us();
                }

                @Override
                public void schedule(long us, Runnable task) {
                    time.after(us * US, task);
                }
            });
            following.start(afterUs);
        }

        /** Dies: its connections break. */
        void kill() {
            up = false;
            following.stop();
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
            pumpUs = Long.MAX_VALUE;
        }

        private void unlink() {
            if (link != null) {
                link.close();
                link = null;
            }
        }

        private void timed(Runnable work) {
            long before = cost.nowNs();
            work.run();
            spent.cpu(us(), cost.nowNs() - before);
        }

        private void told(Link by, byte[] bytes) {
            if (link != by) {
                return;
            }
            spent.bytes(us(), bytes.length + TAG);
            timed(() -> {
                try {
                    following.receive(codec.read(bytes));
                } catch (MalformedFrameException e) {
                    following.rejected(e.getMessage());
                }
            });
        }

        private void asked(Link by, byte[] bytes) {
            if (!up || !links.contains(by)) {
                return;
            }
            boolean[] fine = {true};
            timed(() -> {
                try {
                    publisher.receive(by, codec.read(bytes), bytes.length, us());
                } catch (MalformedFrameException e) {
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
            timed(() -> nextUs[0] = publisher.sendPending(us()));
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
            replica.spent.bytes(replica.us(), bytes.length + TAG);
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
            publisher.spent.bytes(publisher.us(), bytes.length + TAG);
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
                replica.following.failed("it was cut off");
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
