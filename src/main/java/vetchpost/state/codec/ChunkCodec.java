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
 * Pieces of a snapshot as bytes: Protocol Buffers' wire format, by the schema in docs/state.md, so that
 * fields of later versions are passed over. Each piece can be read on its own. What is read is bounded before
 * it is allocated: a piece by its caller, all in it by the piece.
 */
public final class ChunkCodec {
    /** Raised where a reader of this version would misunderstand what is written. */
    public static final int VERSION = 1;
    /** Bytes of a piece at most, either way. */
    public static final int MAX_CHUNK_BYTES = 64 * 1024;
    /** Boxes in a piece as this writes it: under half of its bytes with names of usual lengths. */
    public static final int SERVERS_PER_CHUNK = 100;

    private static final int MAX_NAME_BYTES = 256;
    private static final int MAX_SELF_FAULTS = 16;

    // Fields of a piece.
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
     * A piece that has been read.
     *
     * @param number from 0
     * @param pieces how many the snapshot has
     * @param part the origin, which is in each, the classes, which are too, and this piece's boxes
     */
    public record Chunk(int number, int chunkCount, Snapshot content) {}

    /** How many pieces a snapshot of so many boxes takes. */
    public static int chunkCount(int boxes) {
        return Math.max(1, (boxes + SERVERS_PER_CHUNK - 1) / SERVERS_PER_CHUNK);
    }

    /** One piece. */
    public static byte[] write(
            int number, int pieces, SnapshotOrigin origin, List<ClassState> classes, List<ServerRecord> boxes) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512 + 160 * boxes.size());
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            out.writeUInt32(P_VERSION, VERSION);
            out.writeFixed64(P_SNAPSHOT, origin.id());
            out.writeUInt32(P_NUMBER, number);
            out.writeUInt32(P_CHUNKS, pieces);
            out.writeInt64(P_TAKEN, origin.takenMs());
            out.writeInt64(P_STARTED, origin.startedMs());
            out.writeInt64(P_REVISION, origin.revision());
            for (SelfFault trouble : origin.selfFaults()) {
                out.writeUInt32(P_SELF_FAULT, trouble.ordinal());
            }
            for (ClassState state : classes) {
                out.writeByteArray(P_CLASS, encode(state));
            }
            for (ServerRecord box : boxes) {
                out.writeByteArray(P_SERVER, encode(box));
            }
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("memory doesn't fail", e);
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

    private static byte[] encode(ServerRecord box) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(160);
        CodedOutputStream out = CodedOutputStream.newInstance(bytes, 160);
        Target target = box.target();
        out.writeString(1, target.id());
        out.writeByteArray(2, target.address().getAddress().getAddress());
        out.writeUInt32(3, target.address().getPort());
        out.writeString(4, target.zone());
        out.writeSInt32(5, target.cell());
        out.writeUInt32(6, target.state() == ServerState.DRAINING ? 1 : 0);
        out.writeDouble(7, target.weight());
        out.writeInt64(8, target.bootMs());
        out.writeInt64(9, box.confirmedMs());
        out.writeUInt32(10, box.confirmedBy().ordinal());
        PerServer known = box.statistics();
        if (known != null) {
            out.writeInt64(11, box.statisticsMs());
            out.writeUInt32(12, known.attemptCount());
            out.writeInt64(13, known.lastAnswerAtUs());
            out.writeInt64(14, known.lastServedAtUs());
            out.writeUInt32(15, known.consecutiveErrors());
            out.writeUInt32(16, known.recentFailures());
            out.writeDouble(17, known.failureFraction());
            out.writeDouble(18, known.relativeLatency());
            out.writeDouble(19, known.relativeLimit());
            out.writeBool(20, known.ejected());
            for (int count : known.classFailureStreaks()) {
                out.writeUInt32(21, count);
            }
        }
        out.flush();
        return bytes.toByteArray();
    }

    // ---------------------------------------------------------------- reading

    /**
     * Reads a piece.
     *
     * @throws MalformedState if it is none, or of a newer version
     */
    public static Chunk read(byte[] bytes) throws MalformedSnapshotException {
        if (bytes.length > MAX_CHUNK_BYTES) {
            throw new MalformedSnapshotException(
                    "a piece of " + bytes.length + " bytes; " + MAX_CHUNK_BYTES + " at most");
        }
        try {
            return readChunk(CodedInputStream.newInstance(bytes));
        } catch (IOException e) {
            throw new MalformedSnapshotException("not a piece of a snapshot: " + e.getMessage());
        }
    }

    private static Chunk readChunk(CodedInputStream in) throws IOException, MalformedSnapshotException {
        int version = 0;
        long id = 0;
        int number = -1;
        int pieces = 0;
        long taken = 0;
        long started = 0;
        long revision = 0;
        Set<SelfFault> troubles = EnumSet.noneOf(SelfFault.class);
        List<ClassState> classes = new ArrayList<>();
        List<ServerRecord> boxes = new ArrayList<>();
        int said = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (tag) {
                case P_VERSION << 3 -> {
                    version = in.readUInt32();
                    if (version != VERSION) {
                        // Nothing after it is looked at: it may mean something else there.
                        throw new MalformedSnapshotException("a snapshot of version "
                                + Integer.toUnsignedString(version) + "; this program knows " + VERSION);
                    }
                }
                case P_SNAPSHOT << 3 | 1 -> id = in.readFixed64();
                case P_NUMBER << 3 -> number = in.readUInt32();
                case P_CHUNKS << 3 -> pieces = in.readUInt32();
                case P_TAKEN << 3 -> taken = in.readInt64();
                case P_STARTED << 3 -> started = in.readInt64();
                case P_REVISION << 3 -> revision = in.readInt64();
                case P_SELF_FAULT << 3 -> {
                    int trouble = in.readUInt32();
                    check(++said <= MAX_SELF_FAULTS, "too many troubles");
                    // One that this version doesn't know is still a trouble.
                    troubles.add(
                            trouble >= 0 && trouble < SelfFault.values().length
                                    ? SelfFault.values()[trouble]
                                    : SelfFault.MOST_SERVERS_FAILING);
                }
                case P_CLASS << 3 | 2 -> {
                    check(classes.size() < Snapshot.MAX_CLASSES, "too many classes");
                    int limit = in.pushLimit(in.readRawVarint32());
                    classes.add(readClass(in));
                    in.popLimit(limit);
                }
                case P_SERVER << 3 | 2 -> {
                    int limit = in.pushLimit(in.readRawVarint32());
                    boxes.add(readServer(in));
                    in.popLimit(limit);
                }
                default -> skipField(in, tag);
            }
        }
        check(version == VERSION, "no version");
        check(
                pieces > 0 && pieces <= Snapshot.MAX_SERVERS && number >= 0 && number < pieces,
                "piece " + number + " of " + pieces);
        check(taken > 0 && started > 0, "no times");
        return new Chunk(
                number,
                pieces,
                new Snapshot(new SnapshotOrigin(id, taken, started, revision, troubles), classes, boxes));
    }

    private static ClassState readClass(CodedInputStream in) throws IOException, MalformedSnapshotException {
        String name = null;
        int answers = 0;
        double latency = 0;
        double least = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (tag) {
                case 1 << 3 | 2 -> name = readName(in);
                case 2 << 3 -> answers = readCount(in);
                case 3 << 3 | 1 -> latency = readFigure(in);
                case 4 << 3 | 1 -> least = readFigure(in);
                default -> skipField(in, tag);
            }
        }
        check(name != null && !name.isEmpty(), "a class without a name");
        return new ClassState(name, answers, latency, least);
    }

    private static ServerRecord readServer(CodedInputStream in) throws IOException, MalformedSnapshotException {
        String id = null;
        byte[] host = null;
        int port = 0;
        String zone = "";
        int cell = 0;
        int state = 0;
        double weight = 1;
        long boot = 0;
        long confirmed = 0;
        int by = 0;
        long known = 0;
        int answers = 0;
        long heard = 0;
        long served = 0;
        int errors = 0;
        int failures = 0;
        double faults = 0;
        double pace = 1;
        double limit = 1;
        boolean ejected = false;
        List<Integer> misses = new ArrayList<>(4);
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (tag) {
                case 1 << 3 | 2 -> id = readName(in);
                case 2 << 3 | 2 -> host = in.readByteArray();
                case 3 << 3 -> port = in.readUInt32();
                case 4 << 3 | 2 -> zone = readName(in);
                case 5 << 3 -> cell = in.readSInt32();
                case 6 << 3 -> state = in.readUInt32();
                case 7 << 3 | 1 -> weight = readFigure(in);
                case 8 << 3 -> boot = readTime(in);
                case 9 << 3 -> confirmed = readTime(in);
                case 10 << 3 -> by = in.readUInt32();
                case 11 << 3 -> known = readTime(in);
                case 12 << 3 -> answers = readCount(in);
                case 13 << 3 -> heard = readTime(in);
                case 14 << 3 -> served = readTime(in);
                case 15 << 3 -> errors = readCount(in);
                case 16 << 3 -> failures = readCount(in);
                case 17 << 3 | 1 -> faults = readFigure(in);
                case 18 << 3 | 1 -> pace = readFigure(in);
                case 19 << 3 | 1 -> limit = readFigure(in);
                case 20 << 3 -> ejected = in.readBool();
                case 21 << 3 -> {
                    check(misses.size() < Snapshot.MAX_CLASSES, "too many classes");
                    misses.add(readCount(in));
                }
                default -> skipField(in, tag);
            }
        }
        check(id != null && !id.isEmpty(), "a box without a name");
        check(
                host != null && (host.length == 4 || host.length == 16) && port > 0 && port <= 65_535,
                "box " + id + " has no address");
        check(confirmed > 0, "box " + id + " has never been there");
        Target target = new Target(
                id,
                new InetSocketAddress(InetAddress.getByAddress(host), port),
                zone,
                cell,
                state == 0 ? ServerState.READY : ServerState.DRAINING,
                weight,
                boot);
        // How sure a word of an unknown kind is can't be told: the least sure of those that are known.
        ConfirmationSource how = by >= 0 && by < ConfirmationSource.values().length
                ? ConfirmationSource.values()[by]
                : ConfirmationSource.ANSWER;
        return new ServerRecord(
                target,
                confirmed,
                how,
                known,
                known == 0
                        ? null
                        : new PerServer(
                                id,
                                1_000 * boot,
                                answers,
                                heard,
                                served,
                                errors,
                                Math.min(16, failures),
                                Math.min(1, faults),
                                pace,
                                limit,
                                ejected,
                                misses));
    }

    private static String readName(CodedInputStream in) throws IOException, MalformedSnapshotException {
        int length = in.readRawVarint32();
        check(length >= 0 && length <= MAX_NAME_BYTES, "a name of " + length + " bytes");
        byte[] bytes = in.readRawBytes(length);
        String name = new String(bytes, StandardCharsets.UTF_8);
        check(name.chars().noneMatch(c -> c < ' ' || c == 0xFFFD || c == 0x7F), "a name that is no text");
        return name;
    }

    private static int readCount(CodedInputStream in) throws IOException, MalformedSnapshotException {
        int count = in.readUInt32();
        check(count >= 0, "a count out of range");
        return count;
    }

    /** Finite and not negative. */
    private static double readFigure(CodedInputStream in) throws IOException, MalformedSnapshotException {
        double figure = in.readDouble();
        check(figure >= 0 && figure < Double.POSITIVE_INFINITY, "a figure out of range");
        return figure;
    }

    /** Milliseconds or microseconds, so far from the ends that neither overflows when converted. */
    private static long readTime(CodedInputStream in) throws IOException, MalformedSnapshotException {
        long time = in.readInt64();
        check(time >= 0 && time < 1L << 53, "a time out of range");
        return time;
    }

    private static void skipField(CodedInputStream in, int tag) throws IOException, MalformedSnapshotException {
        // Groups nest; no version writes any.
        check(WireFormat.getTagWireType(tag) != WireFormat.WIRETYPE_START_GROUP && in.skipField(tag), "a group");
    }

    private static void check(boolean holds, String otherwise) throws MalformedSnapshotException {
        if (!holds) {
            throw new MalformedSnapshotException(otherwise);
        }
    }
}
