package vetchpost.state.codec;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.ServerStatistics.PerServer;
import vetchpost.state.ClassState;
import vetchpost.state.ConfirmationSource;
import vetchpost.state.SelfFault;
import vetchpost.state.ServerRecord;
import vetchpost.state.Snapshot;
import vetchpost.state.SnapshotOrigin;

/**
 * Encodes and decodes chunks of a snapshot in the Protocol Buffers wire format by the schema in docs/state.md, so
 * that fields of later versions are skipped. Each chunk can be read on its own. Sizes are checked before memory is
 * allocated: that of a chunk by the caller, those of its fields against the chunk. Stateless.
 */
public final class ChunkCodec {
    /** Format version, raised for changes that a reader of this version would misunderstand. */
    public static final int VERSION = 1;
    /** Bound on an encoded chunk, in both directions. */
    public static final int MAX_CHUNK_BYTES = 64 * 1024;
    /** Servers written per chunk, under half of its bytes with names of usual length. */
    public static final int SERVERS_PER_CHUNK = 100;

    private static final int MAX_NAME_BYTES = 256;
    private static final int MAX_SELF_FAULTS = 16;

    // Field numbers of a chunk.
    private static final int P_VERSION = 1;
    private static final int P_SNAPSHOT = 2;
    private static final int P_NUMBER = 3;
    private static final int P_CHUNKS = 4;
    private static final int P_TAKEN = 5;
    private static final int P_STARTED = 6;
    private static final int P_REVISION = 7;
    private static final int P_SELF_FAULT = 8;
    private static final int P_CLASS = 9;
    private static final int P_SERVER = 10;

    private ChunkCodec() {}

    /**
     * A decoded chunk.
     *
     * @param number number of the chunk, from 0
     * @param chunkCount number of chunks in the snapshot
     * @param content the origin and classes, which are in every chunk, and this chunk's servers
     */
    public record Chunk(int number, int chunkCount, Snapshot content) {}

    /** Returns how many chunks a snapshot of a number of servers takes; at least 1. */
    public static int chunkCount(int servers) {
        return Math.max(1, (servers + SERVERS_PER_CHUNK - 1) / SERVERS_PER_CHUNK);
    }

    /** Encodes one chunk. */
    public static byte[] write(
            int number, int chunkCount, SnapshotOrigin origin, List<ClassState> classes, List<ServerRecord> servers) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512 + 160 * servers.size());
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            out.writeUInt32(P_VERSION, VERSION);
            out.writeFixed64(P_SNAPSHOT, origin.id());
            out.writeUInt32(P_NUMBER, number);
            out.writeUInt32(P_CHUNKS, chunkCount);
            out.writeInt64(P_TAKEN, origin.takenMs());
            out.writeInt64(P_STARTED, origin.startedMs());
            out.writeInt64(P_REVISION, origin.revision());
            for (SelfFault faultOrdinal : origin.selfFaults()) {
                out.writeUInt32(P_SELF_FAULT, faultOrdinal.ordinal());
            }
            for (ClassState state : classes) {
                out.writeByteArray(P_CLASS, encode(state));
            }
            for (ServerRecord server : servers) {
                out.writeByteArray(P_SERVER, encode(server));
            }
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private static byte[] encode(ClassState state) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        CodedOutputStream out = CodedOutputStream.newInstance(bytes, 64);
        out.writeString(1, state.name());
        out.writeUInt32(2, state.sampleCount());
        out.writeDouble(3, state.latencyUs());
        out.writeDouble(4, state.minLatencyUs());
        out.flush();
        return bytes.toByteArray();
    }

    private static byte[] encode(ServerRecord server) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(160);
        CodedOutputStream out = CodedOutputStream.newInstance(bytes, 160);
        Target target = server.target();
        out.writeString(1, target.id());
        out.writeByteArray(2, target.address().getAddress().getAddress());
        out.writeUInt32(3, target.address().getPort());
        out.writeString(4, target.zone());
        out.writeSInt32(5, target.cell());
        out.writeUInt32(6, target.state() == ServerState.DRAINING ? 1 : 0);
        out.writeDouble(7, target.weight());
        out.writeInt64(8, target.bootMs());
        out.writeInt64(9, server.confirmedMs());
        out.writeUInt32(10, server.confirmedBy().ordinal());
        PerServer statistics = server.statistics();
        if (statistics != null) {
            out.writeInt64(11, server.statisticsMs());
            out.writeUInt32(12, statistics.attemptCount());
            out.writeInt64(13, statistics.lastAnswerAtUs());
            out.writeInt64(14, statistics.lastServedAtUs());
            out.writeUInt32(15, statistics.consecutiveErrors());
            out.writeUInt32(16, statistics.recentFailures());
            out.writeDouble(17, statistics.failureFraction());
            out.writeDouble(18, statistics.relativeLatency());
            out.writeDouble(19, statistics.relativeLimit());
            out.writeBool(20, statistics.ejected());
            for (int count : statistics.classFailureStreaks()) {
                out.writeUInt32(21, count);
            }
        }
        out.flush();
        return bytes.toByteArray();
    }

    // ---------------------------------------------------------------- reading

    /**
     * Decodes a chunk.
     *
     * @throws MalformedSnapshotException if it is malformed, exceeds a bound or is of another version
     */
    public static Chunk read(byte[] bytes) throws MalformedSnapshotException {
        if (bytes.length > MAX_CHUNK_BYTES) {
            throw new MalformedSnapshotException(
                    "snapshot chunk of " + bytes.length + " bytes; at most " + MAX_CHUNK_BYTES + " are allowed");
        }
        try {
            return readChunk(CodedInputStream.newInstance(bytes));
        } catch (IOException e) {
            throw new MalformedSnapshotException("not a chunk of a snapshot: " + e.getMessage());
        }
    }

    private static Chunk readChunk(CodedInputStream in) throws IOException, MalformedSnapshotException {
        int version = 0;
        long id = 0;
        int number = -1;
        int chunkCount = 0;
        long takenMs = 0;
        long startedMs = 0;
        long revision = 0;
        Set<SelfFault> faults = EnumSet.noneOf(SelfFault.class);
        List<ClassState> classes = new ArrayList<>();
        List<ServerRecord> servers = new ArrayList<>();
        int faultCount = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (tag) {
                case P_VERSION << 3 -> {
                    version = in.readUInt32();
                    if (version != VERSION) {
                        // Later fields may have another meaning in that version, so reading stops here.
                        throw new MalformedSnapshotException("snapshot version " + Integer.toUnsignedString(version)
                                + "; this program reads version " + VERSION);
                    }
                }
                case P_SNAPSHOT << 3 | 1 -> id = in.readFixed64();
                case P_NUMBER << 3 -> number = in.readUInt32();
                case P_CHUNKS << 3 -> chunkCount = in.readUInt32();
                case P_TAKEN << 3 -> takenMs = in.readInt64();
                case P_STARTED << 3 -> startedMs = in.readInt64();
                case P_REVISION << 3 -> revision = in.readInt64();
                case P_SELF_FAULT << 3 -> {
                    int faultOrdinal = in.readUInt32();
                    check(++faultCount <= MAX_SELF_FAULTS, "more than " + MAX_SELF_FAULTS + " self faults");
                    // A fault that this version does not know still counts as one.
                    faults.add(
                            faultOrdinal >= 0 && faultOrdinal < SelfFault.values().length
                                    ? SelfFault.values()[faultOrdinal]
                                    : SelfFault.MOST_SERVERS_FAILING);
                }
                case P_CLASS << 3 | 2 -> {
                    check(classes.size() < Snapshot.MAX_CLASSES, "more than " + Snapshot.MAX_CLASSES + " classes");
                    int limit = in.pushLimit(in.readRawVarint32());
                    classes.add(readClass(in));
                    in.popLimit(limit);
                }
                case P_SERVER << 3 | 2 -> {
                    int limit = in.pushLimit(in.readRawVarint32());
                    servers.add(readServer(in));
                    in.popLimit(limit);
                }
                default -> skipField(in, tag);
            }
        }
        check(version == VERSION, "snapshot chunk has no version");
        check(
                chunkCount > 0 && chunkCount <= Snapshot.MAX_SERVERS && number >= 0 && number < chunkCount,
                "invalid chunk number " + number + " of " + chunkCount);
        check(takenMs > 0 && startedMs > 0, "snapshot has no times");
        return new Chunk(
                number,
                chunkCount,
                new Snapshot(new SnapshotOrigin(id, takenMs, startedMs, revision, faults), classes, servers));
    }

    private static ClassState readClass(CodedInputStream in) throws IOException, MalformedSnapshotException {
        String name = null;
        int answers = 0;
        double latencyUs = 0;
        double minLatencyUs = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (tag) {
                case 1 << 3 | 2 -> name = readName(in);
                case 2 << 3 -> answers = readCount(in);
                case 3 << 3 | 1 -> latencyUs = readFigure(in);
                case 4 << 3 | 1 -> minLatencyUs = readFigure(in);
                default -> skipField(in, tag);
            }
        }
        check(name != null && !name.isEmpty(), "class without a name");
        return new ClassState(name, answers, latencyUs, minLatencyUs);
    }

    private static ServerRecord readServer(CodedInputStream in) throws IOException, MalformedSnapshotException {
        String id = null;
        byte[] host = null;
        int port = 0;
        String zone = "";
        int cell = 0;
        int state = 0;
        double weight = 1;
        long bootMs = 0;
        long confirmedMs = 0;
        int sourceOrdinal = 0;
        long statisticsMs = 0;
        int answers = 0;
        long lastAnswerUs = 0;
        long lastServedUs = 0;
        int errors = 0;
        int failures = 0;
        double failureFraction = 0;
        double relativeLatency = 1;
        double limit = 1;
        boolean ejected = false;
        List<Integer> failureStreaks = new ArrayList<>(4);
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (tag) {
                case 1 << 3 | 2 -> id = readName(in);
                case 2 << 3 | 2 -> host = in.readByteArray();
                case 3 << 3 -> port = in.readUInt32();
                case 4 << 3 | 2 -> zone = readName(in);
                case 5 << 3 -> cell = in.readSInt32();
                case 6 << 3 -> state = in.readUInt32();
                case 7 << 3 | 1 -> weight = readFigure(in);
                case 8 << 3 -> bootMs = readTime(in);
                case 9 << 3 -> confirmedMs = readTime(in);
                case 10 << 3 -> sourceOrdinal = in.readUInt32();
                case 11 << 3 -> statisticsMs = readTime(in);
                case 12 << 3 -> answers = readCount(in);
                case 13 << 3 -> lastAnswerUs = readTime(in);
                case 14 << 3 -> lastServedUs = readTime(in);
                case 15 << 3 -> errors = readCount(in);
                case 16 << 3 -> failures = readCount(in);
                case 17 << 3 | 1 -> failureFraction = readFigure(in);
                case 18 << 3 | 1 -> relativeLatency = readFigure(in);
                case 19 << 3 | 1 -> limit = readFigure(in);
                case 20 << 3 -> ejected = in.readBool();
                case 21 << 3 -> {
                    check(
                            failureStreaks.size() < Snapshot.MAX_CLASSES,
                            "more than " + Snapshot.MAX_CLASSES + " classes");
                    failureStreaks.add(readCount(in));
                }
                default -> skipField(in, tag);
            }
        }
        check(id != null && !id.isEmpty(), "server without an id");
        check(
                host != null && (host.length == 4 || host.length == 16) && port > 0 && port <= 65_535,
                "server " + id + " has no address");
        check(confirmedMs > 0, "server " + id + " has no time of confirmation");
        Target target = new Target(
                id,
                new InetSocketAddress(InetAddress.getByAddress(host), port),
                zone,
                cell,
                state == 0 ? ServerState.READY : ServerState.DRAINING,
                weight,
                bootMs);
        // The certainty of an unknown source can't be determined, so it counts as the least certain known one.
        ConfirmationSource source = sourceOrdinal >= 0 && sourceOrdinal < ConfirmationSource.values().length
                ? ConfirmationSource.values()[sourceOrdinal]
                : ConfirmationSource.ANSWER;
        return new ServerRecord(
                target,
                confirmedMs,
                source,
                statisticsMs,
                statisticsMs == 0
                        ? null
                        : new PerServer(
                                id,
                                1_000 * bootMs,
                                answers,
                                lastAnswerUs,
                                lastServedUs,
                                errors,
                                Math.min(16, failures),
                                Math.min(1, failureFraction),
                                relativeLatency,
                                limit,
                                ejected,
                                failureStreaks));
    }

    private static String readName(CodedInputStream in) throws IOException, MalformedSnapshotException {
        int length = in.readRawVarint32();
        check(length >= 0 && length <= MAX_NAME_BYTES, "name of " + length + " bytes");
        byte[] bytes = in.readRawBytes(length);
        String name = new String(bytes, StandardCharsets.UTF_8);
        check(name.chars().noneMatch(c -> c < ' ' || c == 0xFFFD || c == 0x7F), "name is not valid text");
        return name;
    }

    private static int readCount(CodedInputStream in) throws IOException, MalformedSnapshotException {
        int count = in.readUInt32();
        check(count >= 0, "count out of range");
        return count;
    }

    /** Reads a finite number that is not negative. */
    private static double readFigure(CodedInputStream in) throws IOException, MalformedSnapshotException {
        double number = in.readDouble();
        check(number >= 0 && number < Double.POSITIVE_INFINITY, "number out of range");
        return number;
    }

    /** Reads milliseconds or microseconds, bounded so that converting between them does not overflow. */
    private static long readTime(CodedInputStream in) throws IOException, MalformedSnapshotException {
        long time = in.readInt64();
        check(time >= 0 && time < 1L << 53, "time out of range");
        return time;
    }

    private static void skipField(CodedInputStream in, int tag) throws IOException, MalformedSnapshotException {
        // Groups can nest without bound, and no version writes any.
        check(
                WireFormat.getTagWireType(tag) != WireFormat.WIRETYPE_START_GROUP && in.skipField(tag),
                "unexpected group");
    }

    private static void check(boolean isValid, String message) throws MalformedSnapshotException {
        if (!isValid) {
            throw new MalformedSnapshotException(message);
        }
    }
}
