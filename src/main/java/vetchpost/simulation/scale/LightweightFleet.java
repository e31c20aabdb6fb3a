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
 * Control machines and lightweight simulated nodes on virtual time. Each runs the real replication code, over
 * connections that carry real frames, have latency, break and are reopened; nothing else of a node is simulated.
 * {@link ReplicationRun}, {@link RealCommand} and {@link RunCommand} drive it. Not thread-safe: each fleet runs on one
 * thread.
 */
final class LightweightFleet {
    private static final long NS_PER_US = 1_000;
    private static final long SECOND_US = 1_000_000;
    /** Bytes of a frame's length and authentication tag on the wire. */
    private static final int FRAME_OVERHEAD_BYTES = 36;

    private static final long HEARTBEAT_INTERVAL_US = 5 * SECOND_US;

    private final VirtualTime time = new VirtualTime();
    private final FrameCodec codec = new FrameCodec();
    private final CpuClock cpuClock = new CpuClock();

    /** The latency of frames from one machine to another, in microseconds; negative if they are lost. */
    interface LinkDelay {
        long delayUs(Machine from, Machine to);
    }

    private LinkDelay linkDelay = (from, to) -> 500;

    /** Reads the CPU time of the current thread, in nanoseconds. */
    static final class CpuClock {
        private final java.lang.management.ThreadMXBean threads =
                java.lang.management.ManagementFactory.getThreadMXBean();

        long nowNs() {
            return threads.getCurrentThreadCpuTime();
        }
    }

    /** Bytes sent and received and CPU time used by a machine, per second of virtual time. */
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

        private long maxPerSecond(int column, long fromUs, long toUs) {
            return bySecond.entrySet().stream()
                    .filter(e -> e.getKey() >= fromUs / SECOND_US && e.getKey() < toUs / SECOND_US)
                    .mapToLong(e -> e.getValue()[column])
                    .max()
                    .orElse(0);
        }

        long sumBytes(long fromUs, long toUs) {
            return sum(0, fromUs, toUs);
        }

        long sumCpuNs(long fromUs, long toUs) {
            return sum(1, fromUs, toUs);
        }

        private long sum(int column, long fromUs, long toUs) {
            return bySecond.entrySet().stream()
                    .filter(e -> e.getKey() >= fromUs / SECOND_US && e.getKey() < toUs / SECOND_US)
                    .mapToLong(e -> e.getValue()[column])
                    .sum();
        }

        long maxTaskNs() {
            return maxTaskNs;
        }
    }

    /** A machine: a replica, a publisher, or both, such as a control machine that replicates from the writer. */
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

        /** Whether it is connected to a publisher. */
        boolean isLinked() {
            return publisherLink != null;
        }

        private long currentUs() {
            return time.nanoTime() / NS_PER_US;
        }

        /** Starts to publish a store; a former publisher of this machine is replaced. */
        void startPublishing(VersionedStore store, Publisher.Budget budget) {
            publisher = new Publisher(store, codec, budget, HEARTBEAT_INTERVAL_US, currentUs());
        }

        /** Publishes a newer version of the store. */
        void publishUpdate(VersionedStore store) {
            measureCpu(() -> publisher.publish(store));
            sendPending();
        }

        /**
         * Starts to replicate from these publishers.
         *
         * @param afterUs delay until the first connection, in microseconds
         */
        void replicateFrom(Replica newReplica, List<Machine> publishers, long afterUs) {
            replica = newReplica;
            sources = publishers;
            PublisherChoice choice = new PublisherChoice(
                    name,
                    publishers.stream().map(Machine::name).toList(),
                    p -> publishers.stream().anyMatch(m -> m.name.equals(p) && m.region == region));
            failover = new PublisherFailover(newReplica, choice, new PublisherFailover.Transport() {
                @Override
                public void open(int publisher) {
                    Machine target = sources.get(publisher);
                    if (!target.running || linkDelay.delayUs(Machine.this, target) < 0) {
                        failover.failed("the publisher is unreachable");
                        return;
                    }
                    publisherLink = new Link(Machine.this, target);
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
                public void schedule(long delayUs, Runnable task) {
                    time.after(delayUs * NS_PER_US, task);
                }
            });
            failover.start(afterUs);
        }

        /** Stops the machine and breaks its connections. */
        void kill() {
            running = false;
            failover.stop();
            closePublisherLink();
            for (Link link : List.copyOf(replicaLinks)) {
                link.breakConnection();
            }
            cancelSendTimer();
        }

        /** Marks a stopped machine as running. The caller then makes it publish and replicate again. */
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

        private void measureCpu(Runnable task) {
            long beforeNs = cpuClock.nowNs();
            task.run();
            usage.addCpu(currentUs(), cpuClock.nowNs() - beforeNs);
        }

        private void receiveFromPublisher(Link link, byte[] bytes) {
            if (publisherLink != link) {
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

        private void receiveFromReplica(Link link, byte[] bytes) {
            if (!running || !replicaLinks.contains(link)) {
                return;
            }
            boolean[] wellFormed = {true};
            measureCpu(() -> {
                try {
                    publisher.receive(link, codec.read(bytes), bytes.length, currentUs());
                } catch (MalformedFrameException e) {
                    wellFormed[0] = false;
                }
            });
            if (!wellFormed[0]) {
                link.breakConnection();
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

    /** A connection. Frames arrive in order after the latency of the link, unless the connection breaks. */
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
            long delayUs = linkDelay.delayUs(replica, publisher);
            if (delayUs < 0) {
                return;
            }
            lastPublisherArrivalUs = Math.max(lastPublisherArrivalUs, replica.currentUs() + delayUs);
            time.at(lastPublisherArrivalUs * NS_PER_US, () -> {
                if (open && linkDelay.delayUs(replica, publisher) >= 0) {
                    publisher.receiveFromReplica(this, bytes);
                }
            });
        }

        @Override
        public void send(byte[] bytes) {
            publisher.usage.addBytes(publisher.currentUs(), bytes.length + FRAME_OVERHEAD_BYTES);
            long delayUs = linkDelay.delayUs(publisher, replica);
            if (delayUs < 0) {
                return;
            }
            lastReplicaArrivalUs = Math.max(lastReplicaArrivalUs, publisher.currentUs() + delayUs);
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

        /** Closes the connection and notifies both sides. */
        private void breakConnection() {
            boolean wasOpen = open;
            close();
            if (wasOpen && replica.publisherLink == this) {
                replica.publisherLink = null;
                replica.failover.failed("the connection was lost");
            }
        }
    }

    /** Creates a machine that neither publishes nor replicates yet. */
    Machine machine(String name, int region) {
        return new Machine(name, region);
    }

    void setLinkDelay(LinkDelay newLinkDelay) {
        linkDelay = newLinkDelay;
    }

    long nowUs() {
        return time.nanoTime() / NS_PER_US;
    }

    /** Schedules a task at {@code atUs} microseconds from the start. */
    void schedule(long atUs, Runnable task) {
        time.at(atUs * NS_PER_US, task);
    }

    /** Runs all events up to {@code untilUs} microseconds from the start. */
    void runUntil(long untilUs) {
        boolean[] reached = new boolean[1];
        time.at(untilUs * NS_PER_US, () -> reached[0] = true);
        while (!reached[0] && time.step()) {
            continue;
        }
    }
}
