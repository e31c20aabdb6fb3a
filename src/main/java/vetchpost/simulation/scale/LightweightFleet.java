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
    private static final long NS_PER_US = 1_000;
    private static final long SECOND_US = 1_000_000;
    /** Bytes of a frame's length and tag on its way. */
    private static final int FRAME_OVERHEAD_BYTES = 36;

    private static final long HEARTBEAT_US = 5 * SECOND_US;

    private final VirtualTime time = new VirtualTime();
    private final FrameCodec codec = new FrameCodec();
    private final CpuClock cpuClock = new CpuClock();

    /**
     * How long frames take from one machine to another, in microseconds; negative where they don't get
     * through.
     */
    interface LinkDelay {
        long delayUs(Machine from, Machine to);
    }

    private LinkDelay linkDelay = (from, to) -> 500;

    /** Counts processor time of this thread, in nanoseconds. */
    static final class CpuClock {
        private final java.lang.management.ThreadMXBean threads =
                java.lang.management.ManagementFactory.getThreadMXBean();

        long nowNs() {
            return threads.getCurrentThreadCpuTime();
        }
    }

    /** Bytes and processor time that a machine has spent, by second. */
    static final class ResourceUsage {
        private final Map<Long, long[]> bySecond = new TreeMap<>();
        private long cpuNs;
        private long maxTaskNs;

        void addBytes(long nowUs, int bytes) {
            bySecond.computeIfAbsent(nowUs / SECOND_US, s -> new long[2])[0] += bytes;
        }

        void addCpu(long nowUs, long ns) {
            cpuNs += ns;
            maxTaskNs = Math.max(maxTaskNs, ns);
            bySecond.computeIfAbsent(nowUs / SECOND_US, s -> new long[2])[1] += ns;
        }

        long maxBytesPerSecond(long fromUs, long toUs) {
            return maxPerSecond(0, fromUs, toUs);
        }

        long maxCpuNsPerSecond(long fromUs, long toUs) {
            return maxPerSecond(1, fromUs, toUs);
        }

        private long maxPerSecond(int what, long fromUs, long toUs) {
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

        long maxTaskNs() {
            return maxTaskNs;
        }
    }

    /** A machine: one side, or both as a control machine that is told by another. */
    final class Machine {
        private final String name;
        private final int region;
        private final ResourceUsage usage = new ResourceUsage();
        private Publisher publisher;
        private Replica replica;
        private List<Machine> sources = List.of();
        private PublisherFailover failover;
        private Link publisherLink;
        private final List<Link> replicaLinks = new ArrayList<>();
        private boolean running = true;
        private VirtualTime.Event sendTimer;
        private long sendTimerUs = Long.MAX_VALUE;

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

        ResourceUsage usage() {
            return usage;
        }

        Replica replica() {
            return replica;
        }

        Publisher publisher() {
            return publisher;
        }

        boolean isRunning() {
            return running;
        }

        /** Whether it has a connection to a publisher now. */
        boolean isLinked() {
            return publisherLink != null;
        }

        private long currentUs() {
            return time.nanoTime() / NS_PER_US;
        }

        /** Publishes this; one that did before begins anew. */
        void startPublishing(VersionedStore store, Publisher.Budget budget) {
            publisher = new Publisher(store, codec, budget, HEARTBEAT_US, currentUs());
        }

        /** Something newer is to be told. */
        void publishUpdate(VersionedStore store) {
            measureCpu(() -> publisher.publish(store));
            sendPending();
        }

        /** Is told by these, from {@code afterUs} on. */
        void replicateFrom(Replica of, List<Machine> publishers, long afterUs) {
            replica = of;
            sources = publishers;
            PublisherChoice choice = new PublisherChoice(
                    name,
                    publishers.stream().map(Machine::name).toList(),
                    p -> publishers.stream().anyMatch(m -> m.name.equals(p) && m.region == region));
            failover = new PublisherFailover(of, choice, new PublisherFailover.Transport() {
                @Override
                public void open(int publisher) {
                    Machine to = sources.get(publisher);
                    if (!to.running || linkDelay.delayUs(Machine.this, to) < 0) {
                        failover.failed("nobody is there");
                        return;
                    }
                    publisherLink = new Link(Machine.this, to);
                    measureCpu(failover::opened);
                }

                @Override
                public void send(Frame frame) {
                    publisherLink.sendToPublisher(frame);
                }

                @Override
                public void close() {
                    closePublisherLink();
                }

                @Override
                public long nowUs() {
                    return currentUs();
                }

                @Override
                public void schedule(long us, Runnable task) {
                    time.after(us * NS_PER_US, task);
                }
            });
            failover.start(afterUs);
        }

        /** Dies: its connections break. */
        void kill() {
            running = false;
            failover.stop();
            closePublisherLink();
            for (Link each : List.copyOf(replicaLinks)) {
                each.breakConnection();
            }
            cancelSendTimer();
        }

        /**
         * Is there again, with this in place of what it was; whoever calls has it follow and publish anew.
         */
        void markRunning() {
            running = true;
        }

        private void cancelSendTimer() {
            if (sendTimer != null) {
                sendTimer.cancel();
            }
            sendTimerUs = Long.MAX_VALUE;
        }

        private void closePublisherLink() {
            if (publisherLink != null) {
                publisherLink.close();
                publisherLink = null;
            }
        }

        private void measureCpu(Runnable work) {
            long before = cpuClock.nowNs();
            work.run();
            usage.addCpu(currentUs(), cpuClock.nowNs() - before);
        }

        private void receiveFromPublisher(Link by, byte[] bytes) {
            if (publisherLink != by) {
                return;
            }
            usage.addBytes(currentUs(), bytes.length + FRAME_OVERHEAD_BYTES);
            measureCpu(() -> {
                try {
                    failover.receive(codec.read(bytes));
                } catch (MalformedFrameException e) {
                    failover.rejected(e.getMessage());
                }
            });
        }

        private void receiveFromReplica(Link by, byte[] bytes) {
            if (!running || !replicaLinks.contains(by)) {
                return;
            }
            boolean[] fine = {true};
            measureCpu(() -> {
                try {
                    publisher.receive(by, codec.read(bytes), bytes.length, currentUs());
                } catch (MalformedFrameException e) {
                    fine[0] = false;
                }
            });
            if (!fine[0]) {
                by.breakConnection();
            }
            sendPending();
        }

        private void sendPending() {
            long[] nextUs = {Long.MAX_VALUE};
            measureCpu(() -> nextUs[0] = publisher.sendPending(currentUs()));
            if (nextUs[0] != Long.MAX_VALUE && (sendTimer == null || nextUs[0] != sendTimerUs)) {
                if (sendTimer != null) {
                    sendTimer.cancel();
                }
                sendTimerUs = nextUs[0];
                sendTimer = time.at(Math.max(sendTimerUs, currentUs() + 1) * NS_PER_US, () -> {
                    sendTimer = null;
                    if (running) {
                        sendPending();
                    }
                });
            }
        }
    }

    /** A connection: what one side writes comes at the other in order, a while later, unless it breaks. */
    final class Link implements Publisher.Peer {
        private final Machine replica;
        private final Machine publisher;
        private long lastReplicaArrivalUs;
        private long lastPublisherArrivalUs;
        private boolean open = true;

        Link(Machine replica, Machine publisher) {
            this.replica = replica;
            this.publisher = publisher;
            publisher.replicaLinks.add(this);
            publisher.publisher.connected(this, publisher.currentUs());
        }

        private void sendToPublisher(Frame frame) {
            byte[] bytes = codec.write(frame);
            replica.usage.addBytes(replica.currentUs(), bytes.length + FRAME_OVERHEAD_BYTES);
            long us = linkDelay.delayUs(replica, publisher);
            if (us < 0) {
                return;
            }
            lastPublisherArrivalUs = Math.max(lastPublisherArrivalUs, replica.currentUs() + us);
            time.at(lastPublisherArrivalUs * NS_PER_US, () -> {
                if (open && linkDelay.delayUs(replica, publisher) >= 0) {
                    publisher.receiveFromReplica(this, bytes);
                }
            });
        }

        @Override
        public void send(byte[] bytes) {
            publisher.usage.addBytes(publisher.currentUs(), bytes.length + FRAME_OVERHEAD_BYTES);
            long us = linkDelay.delayUs(publisher, replica);
            if (us < 0) {
                return;
            }
            lastReplicaArrivalUs = Math.max(lastReplicaArrivalUs, publisher.currentUs() + us);
            time.at(lastReplicaArrivalUs * NS_PER_US, () -> {
                if (open && replica.running && linkDelay.delayUs(publisher, replica) >= 0) {
                    replica.receiveFromPublisher(this, bytes);
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
                publisher.replicaLinks.remove(this);
                publisher.publisher.disconnected(this);
            }
        }

        /** Both sides are told. */
        private void breakConnection() {
            boolean was = open;
            close();
            if (was && replica.publisherLink == this) {
                replica.publisherLink = null;
                replica.failover.failed("it was cut off");
            }
        }
    }

    /** A machine of that name and region, which does nothing yet. */
    Machine machine(String name, int region) {
        return new Machine(name, region);
    }

    void setLinkDelay(LinkDelay other) {
        linkDelay = other;
    }

    long nowUs() {
        return time.nanoTime() / NS_PER_US;
    }

    /** Has something happen so many microseconds from the beginning. */
    void schedule(long us, Runnable task) {
        time.at(us * NS_PER_US, task);
    }

    /** Goes on to that time. */
    void runUntil(long untilUs) {
        boolean[] there = new boolean[1];
        time.at(untilUs * NS_PER_US, () -> there[0] = true);
        while (!there[0] && time.step()) {
            continue;
        }
    }
}
