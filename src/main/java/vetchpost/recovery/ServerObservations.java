package vetchpost.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import vetchpost.core.Dispatcher;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.ServerStatistics;
import vetchpost.decision.ServerStatistics.PerClass;
import vetchpost.decision.ServerStatistics.PerServer;
import vetchpost.state.ClassState;
import vetchpost.state.ConfirmationSource;
import vetchpost.state.SelfFault;
import vetchpost.state.ServerRecord;
import vetchpost.state.SnapshotOrigin;
import vetchpost.state.codec.ChunkCodec;

/**
 * When and how each box was last known to be there, and the snapshot made of that and of what the module
 * knows, a part at a time.
 */
final class ServerObservations {
    private record Observation(long confirmedMs, ConfirmationSource source) {}

    private final List<RequestClass> classes;
    private final Map<String, Observation> byId = new HashMap<>();
    /** Boxes of an old snapshot that are neither in use nor given up. */
    private final Map<String, ServerRecord> recordsNotInUse = new LinkedHashMap<>();
    /** When discovery last said something; its list holds as of then. 0 until it has told one. */
    private long listConfirmedMs;

    private long revision;

    ServerObservations(List<RequestClass> classes) {
        this.classes = classes;
    }

    void observe(String id, long ms, ConfirmationSource by) {
        Observation before = byId.get(id);
        if (before == null || before.confirmedMs <= ms) {
            byId.put(id, new Observation(ms, by));
        }
    }

    /** A box is known from before and not in use. */
    void rememberUnused(ServerRecord box) {
        recordsNotInUse.put(box.target().id(), box);
    }

    /** A box that was known from before is in use now. */
    void forgetUnused(String id) {
        recordsNotInUse.remove(id);
    }

    void forget(String id) {
        recordsNotInUse.remove(id);
        byId.remove(id);
    }

    /** Discovery has told a whole list: nothing else counts any more. */
    void onFullList(long nowMs, long listRevision) {
        recordsNotInUse.clear();
        byId.clear();
        listConfirmedMs = nowMs;
        revision = listRevision;
    }

    /** Discovery has said something, or one more change. */
    void onContact(long nowMs) {
        listConfirmedMs = listConfirmedMs == 0 ? 0 : nowMs;
    }

    void setRevision(long listRevision) {
        revision = listRevision;
    }

    boolean hasList() {
        return listConfirmedMs > 0;
    }

    /** Goes through all that is known, so many boxes at a time. */
    final class Cursor implements Iterator<List<ServerRecord>> {
        private final Dispatcher dispatcher;
        private final List<Target> targets;
        private final List<ServerRecord> unusedRecords;
        private final LongSupplier nowMs;
        private final int batchSize;
        private int position;
        private boolean hasStarted;

        Cursor(Dispatcher dispatcher, LongSupplier nowMs, int most) {
            this.dispatcher = dispatcher;
            this.nowMs = nowMs;
            this.batchSize = most;
            targets = dispatcher.knownServers();
            Map<String, ServerRecord> unused = new LinkedHashMap<>(recordsNotInUse);
            targets.forEach(t -> unused.remove(t.id()));
            unusedRecords = new ArrayList<>(unused.values());
        }

        /** Boxes at most. */
        int size() {
            return targets.size() + unusedRecords.size();
        }

        @Override
        public boolean hasNext() {
            return !hasStarted || position < size();
        }

        @Override
        public List<ServerRecord> next() {
            hasStarted = true;
            int end = Math.min(size(), position + batchSize);
            List<String> ids = new ArrayList<>();
            for (int i = position; i < Math.min(end, targets.size()); i++) {
                ids.add(targets.get(i).id());
            }
            Map<String, PerServer> known = new HashMap<>();
            dispatcher.statistics(ids).servers().forEach(s -> known.put(s.id(), s));
            long now = nowMs.getAsLong();
            List<ServerRecord> boxes = new ArrayList<>();
            for (; position < end; position++) {
                if (position >= targets.size()) {
                    boxes.add(unusedRecords.get(position - targets.size()));
                    continue;
                }
                ServerRecord box = toRecord(
                        targets.get(position), known.get(targets.get(position).id()), now);
                if (box != null) {
                    boxes.add(box);
                }
            }
            return boxes;
        }
    }

    /** One box; null if it was never known to be there: a list of unknown age is no such word. */
    private ServerRecord toRecord(Target target, PerServer known, long nowMs) {
        Observation seen = byId.get(target.id());
        long ms = seen == null ? 0 : seen.confirmedMs;
        ConfirmationSource by = seen == null ? ConfirmationSource.LIST : seen.source;
        if (listConfirmedMs >= ms && listConfirmedMs > 0) {
            ms = listConfirmedMs;
            by = ConfirmationSource.LIST;
        }
        if (known != null && known.lastServedAtUs() / 1_000 > ms) {
            ms = known.lastServedAtUs() / 1_000;
            by = ConfirmationSource.ANSWER;
        }
        boolean told = known != null && known.attemptCount() > 0;
        return ms == 0 ? null : new ServerRecord(target, ms, by, told ? nowMs : 0, told ? known : null);
    }

    List<ClassState> classes(ServerStatistics knowledge) {
        List<ClassState> states = new ArrayList<>();
        for (PerClass known : knowledge.classes()) {
            states.add(new ClassState(
                    classes.get(known.index()).name(), known.answerCount(), known.latencyUs(), known.minLatencyUs()));
        }
        return states;
    }

    SnapshotOrigin origin(long id, long nowMs, long startedMs, Set<SelfFault> troubles) {
        return new SnapshotOrigin(id, nowMs, startedMs, revision, troubles);
    }

    /** The pieces, made as they are asked for. */
    static Iterator<byte[]> chunks(Cursor cursor, SnapshotOrigin origin, List<ClassState> classes) {
        int pieces = ChunkCodec.chunkCount(cursor.size());
        return new Iterator<>() {
            private int number;

            @Override
            public boolean hasNext() {
                return number < pieces;
            }

            @Override
            public byte[] next() {
                List<ServerRecord> boxes = cursor.hasNext() ? cursor.next() : List.of();
                return ChunkCodec.write(number++, pieces, origin, classes, boxes);
            }
        };
    }
}
