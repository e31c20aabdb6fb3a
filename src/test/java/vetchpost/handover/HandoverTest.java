package vetchpost.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import vetchpost.net.Network;
import vetchpost.state.Snapshot;
import vetchpost.state.TestSnapshots;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.codec.TestChunks;

/** Handovers on loopback sockets, with givers and takers that do what they should not. */
@Timeout(120)
class HandoverTest {
    private static final String SECRET = "a secret of at least thirty-two bytes";
    private static final String OTHER_SECRET = "another secret of thirty-two bytes and more";
    private static final long TIMEOUT_S = 60;
    private static final long AMPLE_LIMIT_MS = 50_000;

    private EventLoopGroup group;
    private EventLoop loop;
    private final List<AutoCloseable> closeables = new ArrayList<>();

    /** What a handover came to. */
    private record Result(Snapshot snapshot, boolean whole, String why) {}

    @BeforeEach
    void open() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : closeables) {
            each.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private InetSocketAddress startSender(Snapshot snapshot, String... secrets) throws Exception {
        HandoverSender giver = new HandoverSender(
                loop,
                Network.SYSTEM,
                SharedSecret.of(secrets),
                new SecureRandom(),
                () -> TestChunks.of(snapshot).iterator());
        return (InetSocketAddress) giver.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    }

    /** What a scripted giver does with a connection. */
    private interface Script {
        void run(ScriptedSender giver, Socket socket) throws IOException;
    }

    private InetSocketAddress startScripted(Script script) throws IOException {
        ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        closeables.add(listening);
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    closeables.add(socket);
                    try {
                        script.run(new ScriptedSender(socket, SECRET), socket);
                    } catch (IOException e) {
                        // The taker has ended it.
                        socket.close();
                    }
                }
            } catch (IOException e) {
                // The test is over.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    private Result receive(InetSocketAddress from, String secret, long withinMs) throws Exception {
        BlockingQueue<Result> taken = new LinkedBlockingQueue<>();
        loop.execute(() -> new HandoverReceiver(loop, Network.SYSTEM, SharedSecret.of(secret), new SecureRandom())
                .request(from, withinMs, (snapshot, whole, why) -> taken.add(new Result(snapshot, whole, why))));
        Result first = taken.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(first, "no outcome");
        loop.submit(() -> {}).sync();
        assertTrue(taken.isEmpty(), "two outcomes");
        return first;
    }

    private static final Snapshot SNAPSHOT = TestSnapshots.of(730, 40, TestSnapshots.NOW_MS);

    @Test
    void handsOverTheWholeSnapshot() throws Exception {
        Result taken = receive(startSender(SNAPSHOT, SECRET), SECRET, AMPLE_LIMIT_MS);
        assertNull(taken.why);
        assertTrue(taken.whole);
        assertEquals(SNAPSHOT, taken.snapshot);
    }

    @Test
    void followsTheDocumentedProtocol() throws Exception {
        Result taken = receive(
                startScripted((giver, socket) -> {
                    giver.exchangeHellos();
                    giver.sendProof();
                    for (byte[] piece : TestChunks.of(SNAPSHOT)) {
                        giver.out.write(giver.chunk(piece));
                    }
                    giver.out.write(giver.chunk(new byte[0]));
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertNull(taken.why);
        assertEquals(SNAPSHOT, taken.snapshot);
    }

    @Test
    void rejectsAWrongSecretOnEitherSide() throws Exception {
        Result taken = receive(startSender(SNAPSHOT, SECRET), OTHER_SECRET, AMPLE_LIMIT_MS);
        assertNull(taken.snapshot);
        assertEquals("it was cut off", taken.why);
        // A giver that knows nothing and takes any proof for good.
        Result lied = receive(
                startScripted((giver, socket) -> {
                    giver.exchangeHellos();
                    giver.out.write(ScriptedSender.framed(new byte[32]));
                    giver.out.write(
                            ScriptedSender.framed(TestChunks.of(SNAPSHOT).get(0), new byte[32]));
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertNull(lied.snapshot);
        assertEquals("it doesn't know the secret", lied.why);
    }

    @Test
    void acceptsBothSecretsDuringRotation() throws Exception {
        InetSocketAddress giver = startSender(SNAPSHOT, OTHER_SECRET, SECRET);
        assertEquals(SNAPSHOT, receive(giver, SECRET, AMPLE_LIMIT_MS).snapshot);
        assertEquals(SNAPSHOT, receive(giver, OTHER_SECRET, AMPLE_LIMIT_MS).snapshot);
    }

    /** All that came before the cut is of use; nothing that came in part is. */
    @Test
    void aCutHandoverKeepsTheChunksReceivedBefore() throws Exception {
        List<byte[]> pieces = TestChunks.of(SNAPSHOT);
        for (int cut = 0; cut <= pieces.size(); cut++) {
            for (boolean midPiece : new boolean[] {false, true}) {
                int whole = cut;
                Result taken = receive(
                        startScripted((giver, socket) -> {
                            giver.exchangeHellos();
                            giver.sendProof();
                            for (int i = 0; i < whole; i++) {
                                giver.out.write(giver.chunk(pieces.get(i)));
                            }
                            if (midPiece) {
                                byte[] next = giver.chunk(whole < pieces.size() ? pieces.get(whole) : new byte[0]);
                                giver.out.write(next, 0, next.length / 2);
                            }
                            socket.close();
                        }),
                        SECRET,
                        AMPLE_LIMIT_MS);
                int boxes =
                        taken.snapshot == null ? 0 : taken.snapshot.servers().size();
                assertEquals(Math.min(730, 100 * cut), boxes, "cut at " + cut);
                assertEquals(cut == pieces.size(), taken.whole);
                assertEquals("it was cut off", taken.why);
            }
        }
    }

    @Test
    void aSlowSenderIsCutOffAtTheTimeLimit() throws Exception {
        AtomicLong sent = new AtomicLong();
        Result taken = receive(
                startScripted((giver, socket) -> {
                    giver.exchangeHellos();
                    giver.sendProof();
                    giver.out.write(giver.chunk(TestChunks.of(SNAPSHOT).get(0)));
                    byte[] slow = giver.chunk(TestChunks.of(SNAPSHOT).get(1));
                    socket.setSoTimeout(20);
                    for (byte each : slow) {
                        giver.out.write(each);
                        sent.incrementAndGet();
                        try {
                            if (socket.getInputStream().read() < 0) {
                                return;
                            }
                        } catch (SocketTimeoutException e) {
                            continue;
                        }
                    }
                }),
                SECRET,
                700);
        assertEquals("it took too long", taken.why);
        assertEquals(100, taken.snapshot.servers().size(), "the piece that was whole counts");
        assertTrue(sent.get() > 0 && sent.get() < 2_000, sent.get() + " bytes");
    }

    @Test
    void stopsReadingAtTheSizeLimit() throws Exception {
        AtomicLong sent = new AtomicLong();
        // Pieces as long as may be, with right tags, over and over: of fields that nobody knows.
        Result taken = receive(
                startScripted((giver, socket) -> {
                    giver.exchangeHellos();
                    giver.sendProof();
                    for (int i = 0; i < 16_000; i++) {
                        byte[] piece = padded(
                                ChunkCodec.write(i, 50_000, SNAPSHOT.origin(), SNAPSHOT.classes(), List.of()),
                                ChunkCodec.MAX_CHUNK_BYTES - 8);
                        giver.out.write(giver.chunk(piece));
                        sent.addAndGet(piece.length);
                    }
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertEquals("it sent over 33554432 bytes", taken.why);
        assertFalse(taken.whole);
        assertTrue(sent.get() < 100L << 20, sent.get() + " bytes were taken off it");
        Result frame = receive(
                startScripted((giver, socket) -> {
                    giver.exchangeHellos();
                    giver.sendProof();
                    giver.out.writeInt(1 << 30);
                    giver.out.write(new byte[100_000]);
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertTrue(frame.why.contains("exceeds"), frame.why);
    }

    /** The same piece, made longer by a field of no meaning. */
    private static byte[] padded(byte[] piece, int length) {
        byte[] longer = Arrays.copyOf(piece, length);
        // Field 1000, bytes: two bytes of tag, three of length.
        int rest = length - piece.length - 5;
        longer[piece.length] = (byte) 0xC2;
        longer[piece.length + 1] = (byte) 0x3E;
        longer[piece.length + 2] = (byte) (rest & 0x7F | 0x80);
        longer[piece.length + 3] = (byte) (rest >> 7 & 0x7F | 0x80);
        longer[piece.length + 4] = (byte) (rest >> 14);
        return longer;
    }

    @Test
    void rejectsAReplayedHandover() throws Exception {
        List<byte[]> recorded = new ArrayList<>();
        InetSocketAddress first = startScripted((giver, socket) -> {
            giver.exchangeHellos();
            recorded.add(giver.proof());
            giver.sendProof();
            recorded.add(giver.chunk(TestChunks.of(SNAPSHOT).get(0)));
            giver.out.write(recorded.get(1));
            giver.out.write(giver.chunk(new byte[0]));
        });
        assertEquals(
                100, receive(first, SECRET, AMPLE_LIMIT_MS).snapshot.servers().size());
        // The same nonce, proof and pieces, to another taker.
        Result again = receive(
                startScripted((giver, socket) -> {
                    giver.exchangeHellos();
                    giver.out.write(ScriptedSender.framed(recorded.get(0)));
                    giver.out.write(recorded.get(1));
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertNull(again.snapshot);
        assertEquals("it doesn't know the secret", again.why);
    }

    @Test
    void rejectsReorderedAndMissingChunks() throws Exception {
        Result swapped = receive(
                startScripted((giver, socket) -> {
                    giver.exchangeHellos();
                    giver.sendProof();
                    byte[] one = giver.chunk(TestChunks.of(SNAPSHOT).get(0));
                    byte[] two = giver.chunk(TestChunks.of(SNAPSHOT).get(1));
                    giver.out.write(two);
                    giver.out.write(one);
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertNull(swapped.snapshot);
        assertEquals("a piece that is not the giver's, or not in its place", swapped.why);
        Result leftOut = receive(
                startScripted((giver, socket) -> {
                    giver.exchangeHellos();
                    giver.sendProof();
                    giver.out.write(giver.chunk(TestChunks.of(SNAPSHOT).get(0)));
                    giver.out.write(giver.chunk(new byte[0]));
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertEquals("pieces are missing", leftOut.why);
        assertEquals(100, leftOut.snapshot.servers().size());
        assertFalse(leftOut.whole);
    }

    @Test
    void failsAtOnceOnUnreachableOrInvalidPeers() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = (InetSocketAddress) closed.getLocalSocketAddress();
        }
        assertEquals("nobody is there", receive(nobody, SECRET, AMPLE_LIMIT_MS).why);
        assertEquals(
                "it is no node of this program's",
                receive(
                                startScripted((giver, socket) ->
                                        giver.out.write(ScriptedSender.framed("VETCHPOST?".getBytes()))),
                                SECRET,
                                AMPLE_LIMIT_MS)
                        .why);
        byte[] newer = "VPHAND\7".getBytes();
        assertEquals(
                "it speaks version 7; this program knows 1",
                receive(
                                startScripted(
                                        (giver, socket) -> giver.out.write(ScriptedSender.framed(newer, new byte[32]))),
                                SECRET,
                                AMPLE_LIMIT_MS)
                        .why);
        assertEquals("it took too long", receive(startScripted((giver, socket) -> {}), SECRET, 300).why);
    }

    /** Takers that say nothing, nonsense or too much, and more of them than there is room for. */
    @Test
    void theSenderSurvivesMisbehavingReceivers() throws Exception {
        InetSocketAddress giver = startSender(SNAPSHOT, SECRET);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 300; i++) {
            try (Socket socket = new Socket(giver.getAddress(), giver.getPort())) {
                byte[] noise = new byte[random.nextInt(200)];
                random.nextBytes(noise);
                if (random.nextBoolean() && noise.length > 4) {
                    noise[0] = 0;
                    noise[1] = 0;
                    noise[2] = 0;
                }
                socket.getOutputStream().write(noise);
            } catch (IOException e) {
                // It was more than it takes at a time.
                continue;
            }
        }
        Result taken = null;
        for (int i = 0; i < 50 && (taken == null || taken.snapshot == null); i++) {
            taken = receive(giver, SECRET, AMPLE_LIMIT_MS);
        }
        assertEquals(SNAPSHOT, taken.snapshot);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 2 * HandoverSender.MAX_RECEIVERS; i++) {
            silent.add(new Socket(giver.getAddress(), giver.getPort()));
        }
        int told = 0;
        for (Socket socket : silent) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            told += socket.getInputStream().readNBytes(4 + 7 + 32).length > 0 ? 1 : 0;
            assertEquals(-1, socket.getInputStream().read(), "one that says nothing is closed");
            socket.close();
        }
        assertTrue(told <= 2 * HandoverSender.MAX_RECEIVERS - 1 && told >= 1, told + " were heard");
    }

    /** Each byte of the stream may be wrong, and no handover ends in anything but one outcome. */
    @Test
    void everyCorruptedStreamEndsInExactlyOneOutcome() throws Exception {
        SplittableRandom random = new SplittableRandom(99);
        Set<Integer> sizes = new TreeSet<>();
        Snapshot known = TestSnapshots.of(230, 9, TestSnapshots.NOW_MS);
        List<byte[]> pieces = TestChunks.of(known);
        for (int i = 0; i < 10_000; i++) {
            CorruptedStream stream = new CorruptedStream(SECRET, pieces, random);
            stream.run();
            assertEquals(1, stream.outcomes, "run " + i);
            int boxes = stream.snapshot == null ? 0 : stream.snapshot.servers().size();
            assertTrue(boxes == 230 || boxes % 100 == 0, boxes + " boxes");
            if (stream.snapshot != null) {
                assertEquals(known.servers().subList(0, boxes), stream.snapshot.servers());
            }
            sizes.add(boxes);
        }
        assertEquals(Set.of(0, 100, 200, 230), sizes);
    }

    @Test
    void readsSecretsFromAFile(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("secret");
        Files.writeString(file, "# the new one first\n" + SECRET + "\n\n" + OTHER_SECRET + "\n");
        SharedSecret secret = SharedSecret.read(file);
        assertEquals(2, secret.keyCount());
        byte[] nonce = new byte[32];
        assertEquals(
                1,
                secret.matchingKey(
                        SharedSecret.of(OTHER_SECRET).proof(0, "taker", nonce, nonce), "taker", nonce, nonce));
        assertEquals(-1, secret.matchingKey(new byte[32], "taker", nonce, nonce));
        assertEquals(
                -1,
                secret.matchingKey(SharedSecret.of(SECRET).proof(0, "giver", nonce, nonce), "taker", nonce, nonce),
                "one side's proof is not the other's");
        Files.writeString(file, "short\n");
        assertTrue(assertThrows(IOException.class, () -> SharedSecret.read(file))
                .getMessage()
                .contains("5 bytes"));
        Files.writeString(file, "# none\n");
        assertThrows(IOException.class, () -> SharedSecret.read(file));
        assertThrows(IOException.class, () -> SharedSecret.read(folder.resolve("missing")));
    }
}
