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

/** Handovers on loopback sockets, with correct and misbehaving senders and receivers. */
@Timeout(120)
class HandoverTest {
    private static final String SECRET = "a secret of at least thirty-two bytes";
    private static final String OTHER_SECRET = "another secret of thirty-two bytes and more";
    private static final long TIMEOUT_S = 60;
    private static final long AMPLE_LIMIT_MS = 50_000;

    private EventLoopGroup group;
    private EventLoop loop;
    private final List<AutoCloseable> closeables = new ArrayList<>();

    /** The outcome of a handover. */
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
        HandoverSender sender = new HandoverSender(
                loop,
                Network.SYSTEM,
                SharedSecret.of(secrets),
                new SecureRandom(),
                () -> TestChunks.of(snapshot).iterator());
        return (InetSocketAddress) sender.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    }

    /** What a scripted sender does with a connection. */
    private interface Script {
        void run(ScriptedSender sender, Socket socket) throws IOException;
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
                        // The receiver has closed the connection.
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

    private Result receive(InetSocketAddress from, String secret, long timeoutMs) throws Exception {
        BlockingQueue<Result> result = new LinkedBlockingQueue<>();
        loop.execute(() -> new HandoverReceiver(loop, Network.SYSTEM, SharedSecret.of(secret), new SecureRandom())
                .request(from, timeoutMs, (snapshot, whole, why) -> result.add(new Result(snapshot, whole, why))));
        Result first = result.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(first, "no outcome");
        loop.submit(() -> {}).sync();
        assertTrue(result.isEmpty(), "two outcomes");
        return first;
    }

    private static final Snapshot SNAPSHOT = TestSnapshots.of(730, 40, TestSnapshots.NOW_MS);

    @Test
    void handsOverTheWholeSnapshot() throws Exception {
        Result result = receive(startSender(SNAPSHOT, SECRET), SECRET, AMPLE_LIMIT_MS);
        assertNull(result.why);
        assertTrue(result.whole);
        assertEquals(SNAPSHOT, result.snapshot);
    }

    @Test
    void followsTheDocumentedProtocol() throws Exception {
        Result result = receive(
                startScripted((sender, socket) -> {
                    sender.exchangeHellos();
                    sender.sendProof();
                    for (byte[] chunk : TestChunks.of(SNAPSHOT)) {
                        sender.out.write(sender.chunk(chunk));
                    }
                    sender.out.write(sender.chunk(new byte[0]));
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertNull(result.why);
        assertEquals(SNAPSHOT, result.snapshot);
    }

    @Test
    void rejectsAWrongSecretOnEitherSide() throws Exception {
        Result result = receive(startSender(SNAPSHOT, SECRET), OTHER_SECRET, AMPLE_LIMIT_MS);
        assertNull(result.snapshot);
        assertEquals("connection was closed by the peer", result.why);
        // A sender without the secret that accepts any proof.
        Result fromImpostor = receive(
                startScripted((sender, socket) -> {
                    sender.exchangeHellos();
                    sender.out.write(ScriptedSender.framed(new byte[32]));
                    sender.out.write(
                            ScriptedSender.framed(TestChunks.of(SNAPSHOT).get(0), new byte[32]));
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertNull(fromImpostor.snapshot);
        assertEquals("peer does not know the secret", fromImpostor.why);
    }

    @Test
    void acceptsBothSecretsDuringRotation() throws Exception {
        InetSocketAddress sender = startSender(SNAPSHOT, OTHER_SECRET, SECRET);
        assertEquals(SNAPSHOT, receive(sender, SECRET, AMPLE_LIMIT_MS).snapshot);
        assertEquals(SNAPSHOT, receive(sender, OTHER_SECRET, AMPLE_LIMIT_MS).snapshot);
    }

    /** The connection closes after or within each chunk: complete chunks are used, a partial one is not. */
    @Test
    void aCutHandoverKeepsTheChunksReceivedBefore() throws Exception {
        List<byte[]> chunks = TestChunks.of(SNAPSHOT);
        for (int cut = 0; cut <= chunks.size(); cut++) {
            for (boolean withinChunk : new boolean[] {false, true}) {
                int whole = cut;
                Result result = receive(
                        startScripted((sender, socket) -> {
                            sender.exchangeHellos();
                            sender.sendProof();
                            for (int i = 0; i < whole; i++) {
                                sender.out.write(sender.chunk(chunks.get(i)));
                            }
                            if (withinChunk) {
                                byte[] next = sender.chunk(whole < chunks.size() ? chunks.get(whole) : new byte[0]);
                                sender.out.write(next, 0, next.length / 2);
                            }
                            socket.close();
                        }),
                        SECRET,
                        AMPLE_LIMIT_MS);
                int serverCount =
                        result.snapshot == null ? 0 : result.snapshot.servers().size();
                assertEquals(Math.min(730, 100 * cut), serverCount, "cut at " + cut);
                assertEquals(cut == chunks.size(), result.whole);
                assertEquals("connection was closed by the peer", result.why);
            }
        }
    }

    @Test
    void aSlowSenderIsCutOffAtTheTimeLimit() throws Exception {
        AtomicLong sent = new AtomicLong();
        Result result = receive(
                startScripted((sender, socket) -> {
                    sender.exchangeHellos();
                    sender.sendProof();
                    sender.out.write(sender.chunk(TestChunks.of(SNAPSHOT).get(0)));
                    byte[] slow = sender.chunk(TestChunks.of(SNAPSHOT).get(1));
                    socket.setSoTimeout(20);
                    for (byte each : slow) {
                        sender.out.write(each);
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
        assertEquals("time limit exceeded", result.why);
        assertEquals(100, result.snapshot.servers().size(), "the complete chunk is used");
        assertTrue(sent.get() > 0 && sent.get() < 2_000, sent.get() + " bytes");
    }

    @Test
    void stopsReadingAtTheSizeLimit() throws Exception {
        AtomicLong sent = new AtomicLong();
        // Chunks of maximum length with valid tags and unknown fields, repeated.
        Result result = receive(
                startScripted((sender, socket) -> {
                    sender.exchangeHellos();
                    sender.sendProof();
                    for (int i = 0; i < 16_000; i++) {
                        byte[] chunk = padded(
                                ChunkCodec.write(i, 50_000, SNAPSHOT.origin(), SNAPSHOT.classes(), List.of()),
                                ChunkCodec.MAX_CHUNK_BYTES - 8);
                        sender.out.write(sender.chunk(chunk));
                        sent.addAndGet(chunk.length);
                    }
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertEquals("sender sent more than 33554432 bytes", result.why);
        assertFalse(result.whole);
        assertTrue(sent.get() < 100L << 20, sent.get() + " bytes were sent");
        Result hugeFrame = receive(
                startScripted((sender, socket) -> {
                    sender.exchangeHellos();
                    sender.sendProof();
                    sender.out.writeInt(1 << 30);
                    sender.out.write(new byte[100_000]);
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertTrue(hugeFrame.why.contains("exceeds"), hugeFrame.why);
    }

    /** Returns a chunk extended to a length by an unknown field. */
    private static byte[] padded(byte[] chunk, int length) {
        byte[] longer = Arrays.copyOf(chunk, length);
        // Field 1000, bytes: two bytes of tag, three of length.
        int fieldLength = length - chunk.length - 5;
        longer[chunk.length] = (byte) 0xC2;
        longer[chunk.length + 1] = (byte) 0x3E;
        longer[chunk.length + 2] = (byte) (fieldLength & 0x7F | 0x80);
        longer[chunk.length + 3] = (byte) (fieldLength >> 7 & 0x7F | 0x80);
        longer[chunk.length + 4] = (byte) (fieldLength >> 14);
        return longer;
    }

    @Test
    void rejectsAReplayedHandover() throws Exception {
        List<byte[]> recorded = new ArrayList<>();
        InetSocketAddress first = startScripted((sender, socket) -> {
            sender.exchangeHellos();
            recorded.add(sender.proof());
            sender.sendProof();
            recorded.add(sender.chunk(TestChunks.of(SNAPSHOT).get(0)));
            sender.out.write(recorded.get(1));
            sender.out.write(sender.chunk(new byte[0]));
        });
        assertEquals(
                100, receive(first, SECRET, AMPLE_LIMIT_MS).snapshot.servers().size());
        // The recorded nonce, proof and chunk, sent to another receiver.
        Result replayed = receive(
                startScripted((sender, socket) -> {
                    sender.exchangeHellos();
                    sender.out.write(ScriptedSender.framed(recorded.get(0)));
                    sender.out.write(recorded.get(1));
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertNull(replayed.snapshot);
        assertEquals("peer does not know the secret", replayed.why);
    }

    @Test
    void rejectsReorderedAndMissingChunks() throws Exception {
        Result swapped = receive(
                startScripted((sender, socket) -> {
                    sender.exchangeHellos();
                    sender.sendProof();
                    byte[] one = sender.chunk(TestChunks.of(SNAPSHOT).get(0));
                    byte[] two = sender.chunk(TestChunks.of(SNAPSHOT).get(1));
                    sender.out.write(two);
                    sender.out.write(one);
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertNull(swapped.snapshot);
        assertEquals("chunk is forged or out of order", swapped.why);
        Result leftOut = receive(
                startScripted((sender, socket) -> {
                    sender.exchangeHellos();
                    sender.sendProof();
                    sender.out.write(sender.chunk(TestChunks.of(SNAPSHOT).get(0)));
                    sender.out.write(sender.chunk(new byte[0]));
                }),
                SECRET,
                AMPLE_LIMIT_MS);
        assertEquals("chunks are missing", leftOut.why);
        assertEquals(100, leftOut.snapshot.servers().size());
        assertFalse(leftOut.whole);
    }

    @Test
    void failsAtOnceOnUnreachableOrInvalidPeers() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = (InetSocketAddress) closed.getLocalSocketAddress();
        }
        assertEquals("connection could not be established", receive(nobody, SECRET, AMPLE_LIMIT_MS).why);
        assertEquals(
                "peer does not speak this protocol",
                receive(
                                startScripted((sender, socket) ->
                                        sender.out.write(ScriptedSender.framed("VETCHPOST?".getBytes()))),
                                SECRET,
                                AMPLE_LIMIT_MS)
                        .why);
        byte[] newer = "VPHAND\7".getBytes();
        assertEquals(
                "peer uses protocol version 7; this program uses version 1",
                receive(
                                startScripted((sender, socket) ->
                                        sender.out.write(ScriptedSender.framed(newer, new byte[32]))),
                                SECRET,
                                AMPLE_LIMIT_MS)
                        .why);
        assertEquals("time limit exceeded", receive(startScripted((sender, socket) -> {}), SECRET, 300).why);
    }

    /** Receivers that send nothing or noise, and more of them than the sender accepts. */
    @Test
    void theSenderSurvivesMisbehavingReceivers() throws Exception {
        InetSocketAddress sender = startSender(SNAPSHOT, SECRET);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 300; i++) {
            try (Socket socket = new Socket(sender.getAddress(), sender.getPort())) {
                byte[] noise = new byte[random.nextInt(200)];
                random.nextBytes(noise);
                if (random.nextBoolean() && noise.length > 4) {
                    noise[0] = 0;
                    noise[1] = 0;
                    noise[2] = 0;
                }
                socket.getOutputStream().write(noise);
            } catch (IOException e) {
                // The sender accepts no more receivers at a time.
                continue;
            }
        }
        Result result = null;
        for (int i = 0; i < 50 && (result == null || result.snapshot == null); i++) {
            result = receive(sender, SECRET, AMPLE_LIMIT_MS);
        }
        assertEquals(SNAPSHOT, result.snapshot);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 2 * HandoverSender.MAX_RECEIVERS; i++) {
            silent.add(new Socket(sender.getAddress(), sender.getPort()));
        }
        int greeted = 0;
        for (Socket socket : silent) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            greeted += socket.getInputStream().readNBytes(4 + 7 + 32).length > 0 ? 1 : 0;
            assertEquals(-1, socket.getInputStream().read(), "a silent receiver is disconnected");
            socket.close();
        }
        assertTrue(greeted <= 2 * HandoverSender.MAX_RECEIVERS - 1 && greeted >= 1, greeted + " were greeted");
    }

    /** Any byte of the stream may be corrupt; each handover must end in exactly one outcome with intact chunks. */
    @Test
    void everyCorruptedStreamEndsInExactlyOneOutcome() throws Exception {
        SplittableRandom random = new SplittableRandom(99);
        Set<Integer> sizes = new TreeSet<>();
        Snapshot known = TestSnapshots.of(230, 9, TestSnapshots.NOW_MS);
        List<byte[]> chunks = TestChunks.of(known);
        for (int i = 0; i < 10_000; i++) {
            CorruptedStream stream = new CorruptedStream(SECRET, chunks, random);
            stream.run();
            assertEquals(1, stream.outcomes, "run " + i);
            int serverCount =
                    stream.snapshot == null ? 0 : stream.snapshot.servers().size();
            assertTrue(serverCount == 230 || serverCount % 100 == 0, serverCount + " servers");
            if (stream.snapshot != null) {
                assertEquals(known.servers().subList(0, serverCount), stream.snapshot.servers());
            }
            sizes.add(serverCount);
        }
        assertEquals(Set.of(0, 100, 200, 230), sizes);
    }

    @Test
    void readsSecretsFromAFile(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("secret");
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
        assertThrows(IOException.class, () -> SharedSecret.read(directory.resolve("missing")));
    }
}
