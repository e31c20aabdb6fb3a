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
 * What a node knew before its start, brought back, and what it knows now, kept: the snapshot in a file, the
 * handover from a node that runs, and the handover to others. What is believed is decided in
 * {@code vetchpost.state}; this only asks, tells and writes. All of it runs on the node's loop but the
 * writing.
 */
public final class Recovery implements NodeLifecycle {
    private static final Logger LOG = System.getLogger(Recovery.class.getName());

    /** Boxes gone through in one turn of the loop. */
    private static final int SERVERS_PER_TURN = 500;
    /** The last snapshot may take so long to reach the disk. */
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
    /** Boxes of the snapshot that are sent to without having said who they are. */
    private final Set<String> unconfirmed = new HashSet<>();
    /** Boxes that are asked before anything is sent to them. */
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
     * Not begun.
     *
     * @param old the snapshot that was kept, or null
     * @param secret null if there are no handovers
     * @param keeper where snapshots go; null for nowhere
     * @param writer runs what may block
     */
    public Recovery(
            RecoverySettings settings,
            Settings platform,
            EventLoop loop,
            EventLoopGroup group,
            Network network,
            Snapshot old,
            SharedSecret secret,
            SecureRandom random,
            SnapshotKeeper keeper,
            Executor writer) {
        this.settings = settings;
        this.loop = loop;
        this.group = group;
        this.network = network;
        this.storedSnapshot = old;
        this.secret = secret;
        this.random = random;
        this.keeper = keeper;
        this.writer = writer;
        classNames = platform.classes.stream().map(c -> c.name()).toList();
        observations = new ServerObservations(platform.classes);
        prober = new AddressProber(loop, network, settings.identityPath(), this::onProbeResult);
    }

    // ---------------------------------------------------------------- the start

    @Override
    public ServerList beforeStart(ServerList known, long nowUs) {
        long nowMs = nowUs / 1_000;
        startedMs = nowMs;
        listRevision = known.targets().isEmpty() ? Long.MIN_VALUE : known.revision();
        Map<Target, Double> use = restoreServers(storedSnapshot, known, nowMs);
        if (storedSnapshot != null) {
            long ageS = (nowMs - storedSnapshot.origin().takenMs()) / 1_000;
            LOG.log(
                    Level.INFO,
                    "a snapshot of {0} s ago: {1} boxes used at once, {2} asked first, " + "{3} left out",
                    ageS,
                    use.size(),
                    probed.size(),
                    droppedCount);
        }
        restoredCount = use.size();
        List<Target> targets = new ArrayList<>(known.targets());
        targets.addAll(use.keySet());
        return new ServerList(known.revision(), true, targets);
    }

    /** Takes up what a snapshot says of who is there; what may be used of it at once. */
    private Map<Target, Double> restoreServers(Snapshot snapshot, ServerList known, long nowMs) {
        RestoredState recollection = RestoredState.of(snapshot, known, nowMs, settings.rules());
        droppedCount += recollection.dropped();
        if (snapshot == null) {
            return recollection.usable();
        }
        Map<String, ServerRecord> states = new HashMap<>();
        snapshot.servers().forEach(b -> states.put(b.target().id(), b));
        recollection.usable().keySet().forEach(t -> {
            ServerRecord state = states.get(t.id());
            observations.observe(t.id(), state.confirmedMs(), state.confirmedBy());
            unconfirmed.add(t.id());
            toProbe.add(t);
        });
        recollection.toProbe().forEach(t -> {
            if (probed.putIfAbsent(t.id(), states.get(t.id())) == null) {
                observations.rememberUnused(states.get(t.id()));
                toProbe.add(t);
            }
        });
        return recollection.usable();
    }

    @Override
    public void afterStart(Dispatcher of, EventLoopDelay loopStall, Clock nodeClock) {
        dispatcher = of;
        loopDelay = loopStall;
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
            Deque<InetSocketAddress> left = new ArrayDeque<>(settings.peers());
            requestNextHandover(left, nowMs + settings.handoverTimeoutMs());
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

    /** Has the module begin with what a snapshot knows, as far as it is believed. */
    private void restoreStatistics(Snapshot snapshot, String what) {
        long nowMs = nowMs();
        Set<SelfFault> doubts = SelfFaultDetector.inSnapshot(snapshot, nowMs);
        if (!doubts.isEmpty()) {
            LOG.log(
                    Level.INFO,
                    "{0} is not believed in how its boxes are: {1}",
                    what,
                    String.join(
                            ", ",
                            doubts.stream().map(SelfFault::description).sorted().toList()));
        }
        Map<String, Double> trust = new HashMap<>();
        for (ServerRecord box : snapshot.servers()) {
            // One that discovery or its own word has named since is no less sure than any.
            if (unconfirmed.contains(box.target().id())) {
                trust.put(box.target().id(), RestoredState.confidence(box, nowMs, settings.rules()));
            }
        }
        dispatcher.restore(PriorStatistics.of(snapshot, classNames, nowMs, doubts.isEmpty(), trust));
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

    // ---------------------------------------------------------------- from a node that runs

    private void requestNextHandover(Deque<InetSocketAddress> left, long untilMs) {
        InetSocketAddress address = left.poll();
        if (address == null || nowMs() >= untilMs || isClosed) {
            markPrepared();
            return;
        }
        cancelHandover = new HandoverReceiver(loop, network, secret, random)
                .request(address, untilMs - nowMs(), (snapshot, whole, why) -> {
                    if (isClosed) {
                        return;
                    }
                    if (why != null) {
                        LOG.log(
                                Level.INFO,
                                "the handover from {0}{1}: {2}",
                                address,
                                snapshot == null ? " gave nothing" : " is used as far as it came",
                                why);
                    }
                    boolean healthy = false;
                    if (snapshot != null) {
                        onHandover(snapshot, address);
                        healthy = whole
                                && SelfFaultDetector.inSnapshot(snapshot, nowMs())
                                        .isEmpty();
                    }
                    if (healthy) {
                        markPrepared();
                    } else {
                        requestNextHandover(left, untilMs);
                    }
                });
    }

    private void onHandover(Snapshot snapshot, InetSocketAddress from) {
        handedOverCount += snapshot.servers().size();
        LOG.log(
                Level.INFO,
                "{0} boxes are handed over from {1}",
                snapshot.servers().size(),
                from);
        if (!observations.hasList()) {
            Map<Target, Double> use =
                    restoreServers(snapshot, new ServerList(listRevision, true, dispatcher.knownServers()), nowMs());
            startProbes();
            restoredCount += use.size();
            updateServers(List.copyOf(use.keySet()));
        }
        restoreStatistics(snapshot, "the node at " + from);
    }

    // ---------------------------------------------------------------- who is there

    private void onProbeResult(Target target, AddressProber.Result found) {
        boolean used = unconfirmed.remove(target.id());
        ServerRecord before = probed.remove(target.id());
        switch (found) {
            case PRESENT -> {
                if (settings.identityPath() != null) {
                    observations.observe(target.id(), nowMs(), ConfirmationSource.IDENTITY);
                }
                if (before != null) {
                    restoredCount++;
                    observations.forgetUnused(target.id());
                    updateServers(List.of(target));
                    dispatcher.restore(PriorStatistics.ofUnconfirmed(
                            before, classNames.size(), RestoredState.confidence(before, nowMs(), settings.rules())));
                }
            }
            case OTHER_SERVER -> {
                observations.forget(target.id());
                giveUp(target, used, "somebody else is at its address");
            }
            default -> {
                // Were most taken away, the fault would more likely be here than there.
                if (2 * (droppedCount + 1) < restoredCount) {
                    giveUp(target, used, "nobody is at its address");
                }
            }
        }
    }

    private void giveUp(Target target, boolean used, String why) {
        if (used) {
            droppedCount++;
            LOG.log(Level.INFO, "box {0} is given up: {1}", target.id(), why);
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
                        "discovery''s list is here: {0} boxes",
                        list.targets().size());
            }
            observations.onFullList(nowMs(), list.revision());
        } else {
            observations.setRevision(list.revision());
            list.targets().forEach(t -> {
                // Its word on one box counts, though the rest is still from before.
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
        return "discovery is silent; " + restoredCount + " boxes of a snapshot, " + droppedCount + " given up, "
                + prober.remaining() + " being asked, " + handedOverCount + " from other nodes";
    }

    // ---------------------------------------------------------------- what is kept

    private void scheduleWrite() {
        nextWrite = clock.schedule(clock.nowUs() + 1_000 * settings.snapshotIntervalMs(), () -> {
            if (!isWriting) {
                collect(false, () -> {});
            }
            scheduleWrite();
        });
    }

    private Set<SelfFault> selfFaults(ServerStatistics knowledge) {
        return SelfFaultDetector.inOwnStatistics(knowledge, loopDelay.currentUs(), nowMs() - startedMs);
    }

    /** For a handover: piece by piece, each as things are when it is made. */
    private Iterator<byte[]> handoverChunks() {
        ServerStatistics knowledge = dispatcher.statistics(List.of());
        return ServerObservations.chunks(
                observations.new Cursor(dispatcher, this::nowMs, ChunkCodec.SERVERS_PER_CHUNK),
                origin(knowledge),
                observations.classes(knowledge));
    }

    private SnapshotOrigin origin(ServerStatistics knowledge) {
        return observations.origin(random.nextLong(), nowMs(), startedMs, selfFaults(knowledge));
    }

    /** Goes through all boxes, a part in each turn or all at once, and has the snapshot written. */
    private void collect(boolean atOnce, Runnable done) {
        isWriting = true;
        ServerStatistics knowledge = dispatcher.statistics(List.of());
        SnapshotOrigin origin = origin(knowledge);
        List<ClassState> classes = observations.classes(knowledge);
        ServerObservations.Cursor cursor = observations.new Cursor(dispatcher, this::nowMs, SERVERS_PER_TURN);
        collect(cursor, new ArrayList<>(), atOnce, boxes -> write(origin, classes, boxes, done));
    }

    private void collect(
            ServerObservations.Cursor cursor,
            List<ServerRecord> boxes,
            boolean atOnce,
            Consumer<List<ServerRecord>> whole) {
        do {
            boxes.addAll(cursor.next());
        } while (atOnce && cursor.hasNext());
        if (cursor.hasNext()) {
            loop.execute(() -> collect(cursor, boxes, false, whole));
        } else {
            whole.accept(boxes);
        }
    }

    private void write(SnapshotOrigin origin, List<ClassState> classes, List<ServerRecord> boxes, Runnable done) {
        if (boxes.isEmpty()) {
            // Nobody was seen: what was kept before says more.
            isWriting = false;
            done.run();
            return;
        }
        writer.execute(() -> {
            String failure = null;
            try {
                keeper.write(encode(origin, classes, boxes));
            } catch (IOException | RuntimeException e) {
                failure = e.toString();
            }
            String why = failure;
            try {
                loop.execute(() -> {
                    isWriting = false;
                    onWritten(why);
                    done.run();
                });
            } catch (RejectedExecutionException e) {
                // The node has ended meanwhile, and waits for nothing any more.
                LOG.log(Level.DEBUG, "a snapshot was written after the end");
            }
        });
    }

    static List<byte[]> encode(SnapshotOrigin origin, List<ClassState> classes, List<ServerRecord> boxes) {
        int count = ChunkCodec.chunkCount(boxes.size());
        List<byte[]> pieces = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            pieces.add(ChunkCodec.write(
                    i,
                    count,
                    origin,
                    classes,
                    boxes.subList(
                            i * ChunkCodec.SERVERS_PER_CHUNK,
                            Math.min(boxes.size(), (i + 1) * ChunkCodec.SERVERS_PER_CHUNK))));
        }
        return pieces;
    }

    /** Says it once when it begins to fail, and once when it works again. */
    private void onWritten(String failure) {
        if (failure != null && !isWriteFailing) {
            LOG.log(Level.WARNING, "what the node knows can''t be kept: {0}", failure);
        } else if (failure == null && isWriteFailing) {
            LOG.log(Level.INFO, "what the node knows is kept again");
        }
        isWriteFailing = failure != null;
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
        boolean[] over = new boolean[1];
        Runnable once = () -> {
            if (!over[0]) {
                over[0] = true;
                done.run();
            }
        };
        // A disk that doesn't answer must not keep a node that has been told to stop.
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
