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

/** Pieces as bytes, and all that may be wrong with such bytes. */
class ChunkCodecTest {
    private static byte[] bytes(Snapshot snapshot) {
        return ChunkCodec.write(0, 1, snapshot.origin(), snapshot.classes(), snapshot.servers());
    }

    private static String rejectionMessage(byte[] bytes) {
        return assertThrows(MalformedSnapshotException.class, () -> ChunkCodec.read(bytes))
                .getMessage();
    }

    /** A message of protobuf's, with what is to be in it. */
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
            ChunkCodec.Chunk piece = ChunkCodec.read(bytes(snapshot));
            assertEquals(snapshot, piece.content());
            assertEquals(1, piece.chunkCount());
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
            out.writeString(900, "what nobody knows yet");
            out.writeFixed32(901, 7);
            out.writeDouble(902, 1.5);
        });
        assertEquals(snapshot, ChunkCodec.read(join(bytes(snapshot), more)).content());
        byte[] trouble = message(out -> out.writeUInt32(8, 77));
        assertEquals(
                Set.of(SelfFault.MOST_SERVERS_FAILING),
                ChunkCodec.read(join(bytes(snapshot), trouble))
                        .content()
                        .origin()
                        .selfFaults(),
                "a trouble of a later version is one all the same");
    }

    @Test
    void rejectsNewerVersions() throws Exception {
        assertEquals(
                "a snapshot of version 2; this program knows 1",
                rejectionMessage(message(out -> out.writeUInt32(1, 2))));
    }

    @Test
    void rejectsInvalidContent() throws Exception {
        byte[] good = bytes(TestSnapshots.of(2, 0, TestSnapshots.NOW_MS));
        assertTrue(rejectionMessage(new byte[0]).contains("no version"));
        assertTrue(rejectionMessage(new byte[ChunkCodec.MAX_CHUNK_BYTES + 1]).contains("65537 bytes"));
        assertTrue(rejectionMessage(Arrays.copyOf(good, good.length - 3)).contains("not a piece"));
        // Lengths that nothing stands behind: no room is made for them.
        assertTrue(rejectionMessage(join(good, message(out -> {
                    out.writeTag(10, 2);
                    out.writeUInt32NoTag(Integer.MAX_VALUE);
                })))
                .contains("not a piece"));
        byte[] longName = message(out -> out.writeByteArray(10, message(box -> box.writeString(1, "n".repeat(300)))));
        assertTrue(rejectionMessage(join(good, longName)).contains("a name of 300 bytes"));
        byte[] noAddress = message(out -> out.writeByteArray(10, message(box -> {
            box.writeString(1, "s-9");
            box.writeByteArray(2, new byte[5]);
            box.writeUInt32(3, 80);
        })));
        assertTrue(rejectionMessage(join(good, noAddress)).contains("no address"));
        byte[] figure = message(out -> out.writeByteArray(10, message(box -> box.writeDouble(18, Double.NaN))));
        assertTrue(rejectionMessage(join(good, figure)).contains("figure out of range"));
        byte[] lines = message(out -> out.writeByteArray(10, message(box -> box.writeString(1, "s\nfalse line"))));
        assertTrue(rejectionMessage(join(good, lines)).contains("no text"));
        byte[] group = message(out -> {
            for (int i = 0; i < 30_000; i++) {
                out.writeTag(99, 3);
            }
        });
        assertTrue(rejectionMessage(join(good, group)).contains("a group"));
    }

    /** Any bytes end in a piece or in a refusal, and in nothing else. */
    @Test
    void tenThousandCorruptionsAreReadOrRejected() {
        SplittableRandom random = new SplittableRandom(42);
        int read = 0;
        int refused = 0;
        for (int i = 0; i < 10_000; i++) {
            byte[] bytes = corrupted(bytes(TestSnapshots.random(random, random.nextInt(12))), random);
            try {
                ChunkCodec.Chunk piece = ChunkCodec.read(bytes);
                assertTrue(piece.content().servers().size() <= bytes.length);
                read++;
            } catch (MalformedSnapshotException e) {
                assertFalse(e.getMessage().isBlank());
                refused++;
            }
        }
        assertTrue(refused > 3_000 && read > 500, refused + " refused, " + read + " read");
    }

    /** Bits turned, bytes cut off, put in, doubled or replaced. */
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
        List<byte[]> pieces = TestChunks.of(snapshot);
        assertEquals(3, pieces.size());
        ChunkAssembler assembly = new ChunkAssembler();
        for (int i : new int[] {2, 0}) {
            assembly.add(ChunkCodec.read(pieces.get(i)));
            assertFalse(assembly.isComplete());
        }
        assertEquals(150, assembly.snapshot().servers().size(), "what has come is of use on its own");
        assembly.add(ChunkCodec.read(pieces.get(1)));
        assertTrue(assembly.isComplete());
        assertEquals(
                Set.copyOf(snapshot.servers()), Set.copyOf(assembly.snapshot().servers()));
    }

    @Test
    void rejectsChunksOfAnotherSnapshotAndDuplicates() throws MalformedSnapshotException {
        ChunkAssembler assembly = new ChunkAssembler();
        List<byte[]> pieces = TestChunks.of(TestSnapshots.of(250, 0, TestSnapshots.NOW_MS));
        assembly.add(ChunkCodec.read(pieces.get(0)));
        Snapshot before = assembly.snapshot();
        List<byte[]> others = TestChunks.of(TestSnapshots.of(250, 0, TestSnapshots.NOW_MS + 1));
        assertThrows(MalformedSnapshotException.class, () -> assembly.add(ChunkCodec.read(others.get(1))));
        assertThrows(MalformedSnapshotException.class, () -> assembly.add(ChunkCodec.read(pieces.get(0))));
        Snapshot same = TestSnapshots.of(250, 0, TestSnapshots.NOW_MS);
        byte[] again = ChunkCodec.write(
                1, 3, same.origin(), same.classes(), same.servers().subList(99, 120));
        assertThrows(MalformedSnapshotException.class, () -> assembly.add(ChunkCodec.read(again)), "a box twice");
        assertEquals(before, assembly.snapshot(), "nothing of them was taken");
        assertFalse(assembly.isComplete());
        assertArrayEquals(
                pieces.get(0),
                TestChunks.of(TestSnapshots.of(250, 0, TestSnapshots.NOW_MS)).get(0));
    }
}
