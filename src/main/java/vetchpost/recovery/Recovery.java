package vetchpost.recovery;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import vetchpost.core.Clock;
import vetchpost.core.Dispatcher;
import vetchpost.core.EventLoopDelay;
import vetchpost.core.NodeLifecycle;
import vetchpost.core.ServerList;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServerStatistics;
import vetchpost.handover.HandoverReceiver;
import vetchpost.handover.HandoverSender;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.state.ClassState;
import vetchpost.state.ConfirmationSource;
import vetchpost.state.PriorStatistics;
import vetchpost.state.RestoredState;
import vetchpost.state.SelfFault;
import vetchpost.state.SelfFaultDetector;
import vetchpost.state.ServerRecord;
import vetchpost.state.Snapshot;
import vetchpost.state.SnapshotOrigin;
import vetchpost.state.codec.ChunkCodec;

/**
 * Restores a node's state at start from a stored snapshot and from handovers of running nodes, and stores and hands
 * over its own state. What is trusted is decided in {@code vetchpost.state}; this class probes, updates the
 * dispatcher and writes. The node calls it through {@link NodeLifecycle}. Everything runs on the node's event loop
 * except for writing snapshots, which runs on the writer.
 */
public final class Recovery implements NodeLifecycle {
    private static final Logger LOG = System.getLogger(Recovery.class.getName());

    /** Servers collected for a snapshot in one turn of the event loop. */
    private static final int SERVERS_PER_TURN = 500;
    /** Limit on writing the last snapshot. */
    private static final long STOP_TIMEOUT_MS = 1_000;

    private final RecoverySettings settings;
    private final List<String> classNames;
    private final EventLoop loop;
    private final EventLoopGroup group;
    private final Network network;
    private final SharedSecret secret;
    private final SecureRandom random;
    private final SnapshotKeeper keeper;
    private final Executor writer;
    private final Snapshot storedSnapshot;
    private final ServerObservations observations;
    private final AddressProber prober;
    /** Ids of restored servers in use whose identity is not confirmed. */
    private final Set<String> unconfirmed = new HashSet<>();
    /** Servers that are probed before any request is sent to them, by id. */
    private final Map<String, ServerRecord> probed = new HashMap<>();

    private final List<Target> toProbe = new ArrayList<>();
    private long listRevision = Long.MIN_VALUE;
    private int restoredCount;
    private int handedOverCount;
    private int droppedCount;
    private Dispatcher dispatcher;
    private EventLoopDelay loopDelay;
    private Clock clock;
    private long startedMs;
    private Clock.Timer nextWrite;
    private boolean isWriting;
    private boolean isWriteFailing;
    private HandoverSender sender;
    private Runnable cancelHandover = () -> {};
    private boolean isPrepared;
    private Runnable onPrepared;
    private boolean isClosed;

    /**
     * Creates a recovery that has not started.
     *
     * @param storedSnapshot the stored snapshot, or null
     * @param secret shared secret; null without handovers
     * @param keeper stores snapshots; null if none are written
     * @param writer runs blocking writes
     */
    public Recovery(
            RecoverySettings settings,
            Settings platform,
            EventLoop loop,
            EventLoopGroup group,
            Network network,
            Snapshot storedSnapshot,
            SharedSecret secret,
            SecureRandom random,
            SnapshotKeeper keeper,
            Executor writer) {
        this.settings = settings;
        this.loop = loop;
        this.group = group;
        this.network = network;
        this.storedSnapshot = storedSnapshot;
        this.secret = secret;
        this.random = random;
        this.keeper = keeper;
        this.writer = writer;
        classNames = platform.classes.stream().map(c -> c.name()).toList();
        observations = new ServerObservations(platform.classes);
        prober = new AddressProber(loop, network, settings.identityPath(), this::onProbeResult);
    }

    // ---------------------------------------------------------------- start

    @Override
    public ServerList beforeStart(ServerList listed, long nowUs) {
        long nowMs = nowUs / 1_000;
        startedMs = nowMs;
        listRevision = listed.targets().isEmpty() ? Long.MIN_VALUE : listed.revision();
        Map<Target, Double> usable = restoreServers(storedSnapshot, listed, nowMs);
        if (storedSnapshot != null) {
            long ageS = (nowMs - storedSnapshot.origin().takenMs()) / 1_000;
            LOG.log(
                    Level.INFO,
                    "restored a snapshot of {0} s ago: {1} servers used at once, {2} to be probed, " + "{3} dropped",
                    ageS,
                    usable.size(),
                    probed.size(),
                    droppedCount);
        }
        restoredCount = usable.size();
        List<Target> targets = new ArrayList<>(listed.targets());
        targets.addAll(usable.keySet());
        return new ServerList(listed.revision(), true, targets);
    }

    /** Takes over the servers of a snapshot; returns those that may be used at once. */
    private Map<Target, Double> restoreServers(Snapshot snapshot, ServerList listed, long nowMs) {
        RestoredState restored = RestoredState.of(snapshot, listed, nowMs, settings.rules());
        droppedCount += restored.dropped();
        if (snapshot == null) {
            return restored.usable();
        }
        Map<String, ServerRecord> records = new HashMap<>();
        snapshot.servers().forEach(s -> records.put(s.target().id(), s));
        restored.usable().keySet().forEach(t -> {
            ServerRecord record = records.get(t.id());
            observations.observe(t.id(), record.confirmedMs(), record.confirmedBy());
            unconfirmed.add(t.id());
            toProbe.add(t);
        });
        restored.toProbe().forEach(t -> {
            if (probed.putIfAbsent(t.id(), records.get(t.id())) == null) {
                observations.rememberUnused(records.get(t.id()));
                toProbe.add(t);
            }
        });
        return restored.usable();
    }

    @Override
    public void afterStart(Dispatcher nodeDispatcher, EventLoopDelay nodeLoopDelay, Clock nodeClock) {
        dispatcher = nodeDispatcher;
        loopDelay = nodeLoopDelay;
        clock = nodeClock;
        long nowMs = nowMs();
        if (storedSnapshot != null) {
            restoreStatistics(storedSnapshot, "the snapshot");
            startProbes();
        }
        if (keeper != null) {
            scheduleWrite();
        }
        if (secret != null && settings.listenAddress() != null) {
            sender = new HandoverSender(loop, network, secret, random, this::handoverChunks);
            sender.listen(group, settings.listenAddress());
        }
        if (secret != null && !settings.peers().isEmpty()) {
            Deque<InetSocketAddress> remainingPeers = new ArrayDeque<>(settings.peers());
            requestNextHandover(remainingPeers, nowMs + settings.handoverTimeoutMs());
            clock.schedule(clock.nowUs() + 1_000 * settings.startWaitMs(), this::markPrepared);
        } else {
            markPrepared();
        }
    }

    private long nowMs() {
        return clock.nowUs() / 1_000;
    }

    private void startProbes() {
        toProbe.forEach(prober::probe);
        toProbe.clear();
    }

    /** Gives the balancer the statistics of a snapshot, as far as they are trusted. */
    private void restoreStatistics(Snapshot snapshot, String source) {
        long nowMs = nowMs();
        Set<SelfFault> faults = SelfFaultDetector.inSnapshot(snapshot, nowMs);
        if (!faults.isEmpty()) {
            LOG.log(
                    Level.INFO,
                    "server health from {0} is not used: {1}",
                    source,
                    String.join(
                            ", ",
                            faults.stream().map(SelfFault::description).sorted().toList()));
        }
        Map<String, Double> confidenceById = new HashMap<>();
        for (ServerRecord server : snapshot.servers()) {
            // Servers that discovery or a probe has confirmed since are fully trusted.
            if (unconfirmed.contains(server.target().id())) {
                confidenceById.put(server.target().id(), RestoredState.confidence(server, nowMs, settings.rules()));
            }
        }
        dispatcher.restore(PriorStatistics.of(snapshot, classNames, nowMs, faults.isEmpty(), confidenceById));
    }

    @Override
    public void runWhenPrepared(Runnable ready) {
        onPrepared = ready;
        if (isPrepared) {
            ready.run();
        }
    }

    private void markPrepared() {
        if (!isPrepared) {
            isPrepared = true;
            if (onPrepared != null) {
                onPrepared.run();
            }
        }
    }

    // ---------------------------------------------------------------- handover from a running node

    private void requestNextHandover(Deque<InetSocketAddress> remainingPeers, long deadlineMs) {
        InetSocketAddress address = remainingPeers.poll();
        if (address == null || nowMs() >= deadlineMs || isClosed) {
            markPrepared();
            return;
        }
        cancelHandover = new HandoverReceiver(loop, network, secret, random)
                .request(address, deadlineMs - nowMs(), (snapshot, isWhole, reason) -> {
                    if (isClosed) {
                        return;
                    }
                    if (reason != null) {
                        LOG.log(
                                Level.INFO,
                                "handover from {0}{1}: {2}",
                                address,
                                snapshot == null ? " failed" : " is incomplete, and what was received is used",
                                reason);
                    }
                    boolean isHealthy = false;
                    if (snapshot != null) {
                        onHandover(snapshot, address);
                        isHealthy = isWhole
                                && SelfFaultDetector.inSnapshot(snapshot, nowMs())
                                        .isEmpty();
                    }
                    if (isHealthy) {
                        markPrepared();
                    } else {
                        requestNextHandover(remainingPeers, deadlineMs);
                    }
                });
    }

    private void onHandover(Snapshot snapshot, InetSocketAddress from) {
        handedOverCount += snapshot.servers().size();
        LOG.log(
                Level.INFO,
                "received {0} servers in a handover from {1}",
                snapshot.servers().size(),
                from);
        if (!observations.hasList()) {
            Map<Target, Double> usable =
                    restoreServers(snapshot, new ServerList(listRevision, true, dispatcher.knownServers()), nowMs());
            startProbes();
            restoredCount += usable.size();
            updateServers(List.copyOf(usable.keySet()));
        }
        restoreStatistics(snapshot, "the node at " + from);
    }

    // ---------------------------------------------------------------- probes

    private void onProbeResult(Target target, AddressProber.Result result) {
        boolean wasInUse = unconfirmed.remove(target.id());
        ServerRecord probedRecord = probed.remove(target.id());
        switch (result) {
            case PRESENT -> {
                if (settings.identityPath() != null) {
                    observations.observe(target.id(), nowMs(), ConfirmationSource.IDENTITY);
                }
                if (probedRecord != null) {
                    restoredCount++;
                    observations.forgetUnused(target.id());
                    updateServers(List.of(target));
                    dispatcher.restore(PriorStatistics.ofUnconfirmed(
                            probedRecord,
                            classNames.size(),
                            RestoredState.confidence(probedRecord, nowMs(), settings.rules())));
                }
            }
            case OTHER_SERVER -> {
                observations.forget(target.id());
                giveUp(target, wasInUse, "another server is at its address");
            }
            default -> {
                // If most were unreachable, the fault would more likely be this node's.
                if (2 * (droppedCount + 1) < restoredCount) {
                    giveUp(target, wasInUse, "its address is unreachable");
                }
            }
        }
    }

    private void giveUp(Target target, boolean wasInUse, String reason) {
        if (wasInUse) {
            droppedCount++;
            LOG.log(Level.INFO, "removed server {0}: {1}", target.id(), reason);
            updateServers(List.of(new Target(
                    target.id(),
                    target.address(),
                    target.zone(),
                    target.cell(),
                    ServerState.GONE,
                    target.weight(),
                    target.bootMs())));
        }
    }

    private void updateServers(List<Target> changes) {
        if (!changes.isEmpty()) {
            dispatcher.onList(new ServerList(0, false, changes));
        }
    }

    // ---------------------------------------------------------------- discovery

    @Override
    public void onDiscoveryContact() {
        observations.onContact(nowMs());
    }

    @Override
    public void onServerList(ServerList list) {
        if (list.isFull()) {
            if (!observations.hasList()) {
                prober.close();
                unconfirmed.clear();
                probed.clear();
                LOG.log(
                        Level.INFO,
                        "received discovery''s full list: {0} servers",
                        list.targets().size());
            }
            observations.onFullList(nowMs(), list.revision());
        } else {
            observations.setRevision(list.revision());
            list.targets().forEach(t -> {
                // Discovery's state of one server counts, though the others are still restored ones.
                unconfirmed.remove(t.id());
                probed.remove(t.id());
                observations.forget(t.id());
                if (t.state() != ServerState.GONE) {
                    observations.observe(t.id(), nowMs(), ConfirmationSource.LIST);
                }
            });
        }
    }

    @Override
    public String readinessDetail() {
        if (observations.hasList()) {
            return "discovery's list";
        }
        return "discovery is silent; " + restoredCount + " servers of a snapshot, " + droppedCount + " removed, "
                + prober.remaining() + " being probed, " + handedOverCount + " from other nodes";
    }

    // ---------------------------------------------------------------- writing snapshots

    private void scheduleWrite() {
        nextWrite = clock.schedule(clock.nowUs() + 1_000 * settings.snapshotIntervalMs(), () -> {
            if (!isWriting) {
                collect(false, () -> {});
            }
            scheduleWrite();
        });
    }

    private Set<SelfFault> selfFaults(ServerStatistics statistics) {
        return SelfFaultDetector.inOwnStatistics(statistics, loopDelay.currentUs(), nowMs() - startedMs);
    }

    /** Returns the chunks for a handover; each reflects the state at the time it is created. */
    private Iterator<byte[]> handoverChunks() {
        ServerStatistics statistics = dispatcher.statistics(List.of());
        return ServerObservations.chunks(
                observations.new Cursor(dispatcher, this::nowMs, ChunkCodec.SERVERS_PER_CHUNK),
                origin(statistics),
                observations.classes(statistics));
    }

    private SnapshotOrigin origin(ServerStatistics statistics) {
        return observations.origin(random.nextLong(), nowMs(), startedMs, selfFaults(statistics));
    }

    /** Collects all servers, in batches per turn of the event loop or at once, and writes the snapshot. */
    private void collect(boolean atOnce, Runnable done) {
        isWriting = true;
        ServerStatistics statistics = dispatcher.statistics(List.of());
        SnapshotOrigin origin = origin(statistics);
        List<ClassState> classes = observations.classes(statistics);
        ServerObservations.Cursor cursor = observations.new Cursor(dispatcher, this::nowMs, SERVERS_PER_TURN);
        collect(cursor, new ArrayList<>(), atOnce, records -> write(origin, classes, records, done));
    }

    private void collect(
            ServerObservations.Cursor cursor,
            List<ServerRecord> records,
            boolean atOnce,
            Consumer<List<ServerRecord>> onCollected) {
        do {
            records.addAll(cursor.next());
        } while (atOnce && cursor.hasNext());
        if (cursor.hasNext()) {
            loop.execute(() -> collect(cursor, records, false, onCollected));
        } else {
            onCollected.accept(records);
        }
    }

    private void write(SnapshotOrigin origin, List<ClassState> classes, List<ServerRecord> records, Runnable done) {
        if (records.isEmpty()) {
            // No server was ever confirmed, so the stored snapshot has more information.
            isWriting = false;
            done.run();
            return;
        }
        writer.execute(() -> {
            String error = null;
            try {
                keeper.write(encode(origin, classes, records));
            } catch (IOException | RuntimeException e) {
                error = e.toString();
            }
            String reason = error;
            try {
                loop.execute(() -> {
                    isWriting = false;
                    onWritten(reason);
                    done.run();
                });
            } catch (RejectedExecutionException e) {
                // The node has stopped meanwhile and no longer waits for this write.
                LOG.log(Level.DEBUG, "a snapshot was written after the node had stopped");
            }
        });
    }

    static List<byte[]> encode(SnapshotOrigin origin, List<ClassState> classes, List<ServerRecord> records) {
        int count = ChunkCodec.chunkCount(records.size());
        List<byte[]> chunks = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            chunks.add(ChunkCodec.write(
                    i,
                    count,
                    origin,
                    classes,
                    records.subList(
                            i * ChunkCodec.SERVERS_PER_CHUNK,
                            Math.min(records.size(), (i + 1) * ChunkCodec.SERVERS_PER_CHUNK))));
        }
        return chunks;
    }

    /** Logs the first of several failures, and the first success after them. */
    private void onWritten(String error) {
        if (error != null && !isWriteFailing) {
            LOG.log(Level.WARNING, "can''t write the snapshot: {0}", error);
        } else if (error == null && isWriteFailing) {
            LOG.log(Level.INFO, "snapshots are written again");
        }
        isWriteFailing = error != null;
    }

    @Override
    public void stop(Runnable done) {
        cancelHandover.run();
        prober.close();
        if (sender != null) {
            sender.close();
        }
        if (keeper == null) {
            done.run();
            return;
        }
        nextWrite.cancel();
        boolean[] isDone = new boolean[1];
        Runnable once = () -> {
            if (!isDone[0]) {
                isDone[0] = true;
                done.run();
            }
        };
        // A disk that hangs must not prevent the node from stopping.
        clock.schedule(clock.nowUs() + 1_000 * STOP_TIMEOUT_MS, once);
        if (isWriting) {
            once.run();
        } else {
            collect(true, once);
        }
    }

    @Override
    public void close() {
        isClosed = true;
        if (nextWrite != null) {
            nextWrite.cancel();
        }
        cancelHandover.run();
        prober.close();
        if (sender != null) {
            sender.close();
        }
    }
}
