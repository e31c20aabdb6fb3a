package vetchpost.state.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import vetchpost.state.SelfFault;
import vetchpost.state.Snapshot;
import vetchpost.state.TestSnapshots;

/** Encoding, decoding and assembling chunks, with invalid, corrupt and hostile input. */
class ChunkCodecTest {
    private static byte[] bytes(Snapshot snapshot) {
        return ChunkCodec.write(0, 1, snapshot.origin(), snapshot.classes(), snapshot.servers());
    }

    private static String rejectionMessage(byte[] bytes) {
        return assertThrows(MalformedSnapshotException.class, () -> ChunkCodec.read(bytes))
                .getMessage();
    }

    /** Writes the fields of a Protocol Buffers message. */
    private interface MessageWriter {
        void writeTo(CodedOutputStream out) throws IOException;
    }

    private static byte[] message(MessageWriter writing) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        writing.writeTo(out);
        out.flush();
        return bytes.toByteArray();
    }

    private static byte[] join(byte[] a, byte[] b) {
        byte[] joined = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, joined, a.length, b.length);
        return joined;
    }

    @Test
    void readsBackWhatWasWritten() throws MalformedSnapshotException {
        SplittableRandom random = new SplittableRandom(14);
        for (int i = 0; i < 200; i++) {
            Snapshot snapshot = TestSnapshots.random(random, random.nextInt(60));
            ChunkCodec.Chunk chunk = ChunkCodec.read(bytes(snapshot));
            assertEquals(snapshot, chunk.content());
            assertEquals(1, chunk.chunkCount());
        }
    }

    @Test
    void aFullChunkFitsItsBound() {
        Snapshot snapshot = TestSnapshots.random(new SplittableRandom(1), ChunkCodec.SERVERS_PER_CHUNK);
        assertTrue(bytes(snapshot).length < ChunkCodec.MAX_CHUNK_BYTES / 2, bytes(snapshot).length + " bytes");
    }

    @Test
    void skipsFieldsOfLaterVersions() throws Exception {
        Snapshot snapshot = TestSnapshots.of(3, 1, TestSnapshots.NOW_MS);
        byte[] more = message(out -> {
            out.writeString(900, "a field of a later version");
            out.writeFixed32(901, 7);
            out.writeDouble(902, 1.5);
        });
        assertEquals(snapshot, ChunkCodec.read(join(bytes(snapshot), more)).content());
        byte[] unknownFault = message(out -> out.writeUInt32(8, 77));
        assertEquals(
                Set.of(SelfFault.MOST_SERVERS_FAILING),
                ChunkCodec.read(join(bytes(snapshot), unknownFault))
                        .content()
                        .origin()
                        .selfFaults(),
                "a fault of a later version still counts as one");
    }

    @Test
    void rejectsNewerVersions() throws Exception {
        assertEquals(
                "snapshot version 2; this program reads version 1",
                rejectionMessage(message(out -> out.writeUInt32(1, 2))));
    }

    @Test
    void rejectsInvalidContent() throws Exception {
        byte[] good = bytes(TestSnapshots.of(2, 0, TestSnapshots.NOW_MS));
        assertTrue(rejectionMessage(new byte[0]).contains("has no version"));
        assertTrue(rejectionMessage(new byte[ChunkCodec.MAX_CHUNK_BYTES + 1]).contains("65537 bytes"));
        assertTrue(rejectionMessage(Arrays.copyOf(good, good.length - 3)).contains("not a chunk"));
        // A length beyond the input is rejected before memory is allocated for it.
        assertTrue(rejectionMessage(join(good, message(out -> {
                    out.writeTag(10, 2);
                    out.writeUInt32NoTag(Integer.MAX_VALUE);
                })))
                .contains("not a chunk"));
        byte[] longName =
                message(out -> out.writeByteArray(10, message(server -> server.writeString(1, "n".repeat(300)))));
        assertTrue(rejectionMessage(join(good, longName)).contains("name of 300 bytes"));
        byte[] noAddress = message(out -> out.writeByteArray(10, message(server -> {
            server.writeString(1, "s-9");
            server.writeByteArray(2, new byte[5]);
            server.writeUInt32(3, 80);
        })));
        assertTrue(rejectionMessage(join(good, noAddress)).contains("no address"));
        byte[] notANumber =
                message(out -> out.writeByteArray(10, message(server -> server.writeDouble(18, Double.NaN))));
        assertTrue(rejectionMessage(join(good, notANumber)).contains("number out of range"));
        byte[] nameWithNewline =
                message(out -> out.writeByteArray(10, message(server -> server.writeString(1, "s\nfalse line"))));
        assertTrue(rejectionMessage(join(good, nameWithNewline)).contains("not valid text"));
        byte[] nestedGroups = message(out -> {
            for (int i = 0; i < 30_000; i++) {
                out.writeTag(99, 3);
            }
        });
        assertTrue(rejectionMessage(join(good, nestedGroups)).contains("unexpected group"));
    }

    /** Corrupt bytes must be read as a chunk or rejected, without any other exception. */
    @Test
    void tenThousandCorruptionsAreReadOrRejected() {
        SplittableRandom random = new SplittableRandom(42);
        int readCount = 0;
        int rejectedCount = 0;
        for (int i = 0; i < 10_000; i++) {
            byte[] bytes = corrupted(bytes(TestSnapshots.random(random, random.nextInt(12))), random);
            try {
                ChunkCodec.Chunk chunk = ChunkCodec.read(bytes);
                assertTrue(chunk.content().servers().size() <= bytes.length);
                readCount++;
            } catch (MalformedSnapshotException e) {
                assertFalse(e.getMessage().isBlank());
                rejectedCount++;
            }
        }
        assertTrue(rejectedCount > 3_000 && readCount > 500, rejectedCount + " rejected, " + readCount + " read");
    }

    /** Flips bits, truncates, inserts, duplicates or replaces bytes. */
    static byte[] corrupted(byte[] good, SplittableRandom random) {
        byte[] bytes = good.clone();
        for (int n = 1 + random.nextInt(4); n > 0 && bytes.length > 0; n--) {
            int at = random.nextInt(bytes.length);
            switch (random.nextInt(5)) {
                case 0 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                case 1 -> bytes = Arrays.copyOf(bytes, at);
                case 2 ->
                    bytes = join(
                            Arrays.copyOf(bytes, at),
                            join(new byte[] {(byte) random.nextInt(256)}, Arrays.copyOfRange(bytes, at, bytes.length)));
                case 3 -> bytes = join(bytes, Arrays.copyOfRange(bytes, at, bytes.length));
                default -> bytes[at] = (byte) random.nextInt(256);
            }
        }
        return bytes;
    }

    @Test
    void assemblesChunksInAnyOrder() throws MalformedSnapshotException {
        Snapshot snapshot = TestSnapshots.of(250, 20, TestSnapshots.NOW_MS);
        List<byte[]> chunks = TestChunks.of(snapshot);
        assertEquals(3, chunks.size());
        ChunkAssembler assembler = new ChunkAssembler();
        for (int i : new int[] {2, 0}) {
            assembler.add(ChunkCodec.read(chunks.get(i)));
            assertFalse(assembler.isComplete());
        }
        assertEquals(150, assembler.snapshot().servers().size(), "a partial snapshot is usable");
        assembler.add(ChunkCodec.read(chunks.get(1)));
        assertTrue(assembler.isComplete());
        assertEquals(
                Set.copyOf(snapshot.servers()), Set.copyOf(assembler.snapshot().servers()));
    }

    @Test
    void rejectsChunksOfAnotherSnapshotAndDuplicates() throws MalformedSnapshotException {
        ChunkAssembler assembler = new ChunkAssembler();
        List<byte[]> chunks = TestChunks.of(TestSnapshots.of(250, 0, TestSnapshots.NOW_MS));
        assembler.add(ChunkCodec.read(chunks.get(0)));
        Snapshot before = assembler.snapshot();
        List<byte[]> others = TestChunks.of(TestSnapshots.of(250, 0, TestSnapshots.NOW_MS + 1));
        assertThrows(MalformedSnapshotException.class, () -> assembler.add(ChunkCodec.read(others.get(1))));
        assertThrows(MalformedSnapshotException.class, () -> assembler.add(ChunkCodec.read(chunks.get(0))));
        Snapshot same = TestSnapshots.of(250, 0, TestSnapshots.NOW_MS);
        byte[] withDuplicateServer = ChunkCodec.write(
                1, 3, same.origin(), same.classes(), same.servers().subList(99, 120));
        assertThrows(
                MalformedSnapshotException.class,
                () -> assembler.add(ChunkCodec.read(withDuplicateServer)),
                "duplicate server");
        assertEquals(before, assembler.snapshot(), "nothing of the rejected chunks was added");
        assertFalse(assembler.isComplete());
        assertArrayEquals(
                chunks.get(0),
                TestChunks.of(TestSnapshots.of(250, 0, TestSnapshots.NOW_MS)).get(0));
    }
}
