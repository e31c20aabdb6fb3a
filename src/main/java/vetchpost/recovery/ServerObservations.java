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
 * Tracks when and how the presence of each server was last confirmed, and builds snapshots from that and from the
 * balancer's statistics, in batches. Used by {@link Recovery}; confined to the node's event loop.
 */
final class ServerObservations {
    private record Observation(long confirmedMs, ConfirmationSource source) {}

    private final List<RequestClass> classes;
    private final Map<String, Observation> byId = new HashMap<>();
    /** Servers of an old snapshot that are neither in use nor removed. */
    private final Map<String, ServerRecord> recordsNotInUse = new LinkedHashMap<>();
    /** When discovery last sent anything, which confirms its list; 0 before the first full list. */
    private long listConfirmedMs;

    private long revision;

    ServerObservations(List<RequestClass> classes) {
        this.classes = classes;
    }

    void observe(String id, long confirmedMs, ConfirmationSource source) {
        Observation previous = byId.get(id);
        if (previous == null || previous.confirmedMs <= confirmedMs) {
            byId.put(id, new Observation(confirmedMs, source));
        }
    }

    /** Remembers a server of an old snapshot that is not in use. */
    void rememberUnused(ServerRecord server) {
        recordsNotInUse.put(server.target().id(), server);
    }

    /** Forgets the old record of a server that is in use now. */
    void forgetUnused(String id) {
        recordsNotInUse.remove(id);
    }

    void forget(String id) {
        recordsNotInUse.remove(id);
        byId.remove(id);
    }

    /** Records a full list from discovery, which overrides everything known before. */
    void onFullList(long nowMs, long listRevision) {
        recordsNotInUse.clear();
        byId.clear();
        listConfirmedMs = nowMs;
        revision = listRevision;
    }

    /** Records that discovery has sent something, which confirms its list. */
    void onContact(long nowMs) {
        listConfirmedMs = listConfirmedMs == 0 ? 0 : nowMs;
    }

    void setRevision(long listRevision) {
        revision = listRevision;
    }

    boolean hasList() {
        return listConfirmedMs > 0;
    }

    /** Iterates over the records of all servers in batches. */
    final class Cursor implements Iterator<List<ServerRecord>> {
        private final Dispatcher dispatcher;
        private final List<Target> targets;
        private final List<ServerRecord> unusedRecords;
        private final LongSupplier nowMs;
        private final int batchSize;
        private int position;
        private boolean hasStarted;

        Cursor(Dispatcher dispatcher, LongSupplier nowMs, int batchSize) {
            this.dispatcher = dispatcher;
            this.nowMs = nowMs;
            this.batchSize = batchSize;
            targets = dispatcher.knownServers();
            Map<String, ServerRecord> unused = new LinkedHashMap<>(recordsNotInUse);
            targets.forEach(t -> unused.remove(t.id()));
            unusedRecords = new ArrayList<>(unused.values());
        }

        /** Returns an upper bound on the number of records. */
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
            List<ServerRecord> records = new ArrayList<>();
            for (; position < end; position++) {
                if (position >= targets.size()) {
                    records.add(unusedRecords.get(position - targets.size()));
                    continue;
                }
                ServerRecord server = toRecord(
                        targets.get(position), known.get(targets.get(position).id()), now);
                if (server != null) {
                    records.add(server);
                }
            }
            return records;
        }
    }

    /** Returns a server's record; null if its presence was never confirmed: a list of unknown age does not do so. */
    private ServerRecord toRecord(Target target, PerServer known, long nowMs) {
        Observation observation = byId.get(target.id());
        long confirmedMs = observation == null ? 0 : observation.confirmedMs;
        ConfirmationSource source = observation == null ? ConfirmationSource.LIST : observation.source;
        if (listConfirmedMs >= confirmedMs && listConfirmedMs > 0) {
            confirmedMs = listConfirmedMs;
            source = ConfirmationSource.LIST;
        }
        if (known != null && known.lastServedAtUs() / 1_000 > confirmedMs) {
            confirmedMs = known.lastServedAtUs() / 1_000;
            source = ConfirmationSource.ANSWER;
        }
        boolean hasStatistics = known != null && known.attemptCount() > 0;
        return confirmedMs == 0
                ? null
                : new ServerRecord(
                        target, confirmedMs, source, hasStatistics ? nowMs : 0, hasStatistics ? known : null);
    }

    List<ClassState> classes(ServerStatistics statistics) {
        List<ClassState> states = new ArrayList<>();
        for (PerClass known : statistics.classes()) {
            states.add(new ClassState(
                    classes.get(known.index()).name(), known.answerCount(), known.latencyUs(), known.minLatencyUs()));
        }
        return states;
    }

    SnapshotOrigin origin(long id, long nowMs, long startedMs, Set<SelfFault> faults) {
        return new SnapshotOrigin(id, nowMs, startedMs, revision, faults);
    }

    /** Returns the encoded chunks, created on demand. */
    static Iterator<byte[]> chunks(Cursor cursor, SnapshotOrigin origin, List<ClassState> classes) {
        int chunkCount = ChunkCodec.chunkCount(cursor.size());
        return new Iterator<>() {
            private int number;

            @Override
            public boolean hasNext() {
                return number < chunkCount;
            }

            @Override
            public byte[] next() {
                List<ServerRecord> records = cursor.hasNext() ? cursor.next() : List.of();
                return ChunkCodec.write(number++, chunkCount, origin, classes, records);
            }
        };
    }
}
