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
import vetchpost.state.States;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.codec.Chunks;

/** Handovers on loopback sockets, with givers and takers that do what they should not. */
@Timeout(120)
class HandoverTest {
    private static final String SECRET = "a secret of at least thirty-two bytes";
    private static final String OTHER = "another secret of thirty-two bytes and more";
    private static final long PATIENCE_S = 60;
    private static final long PLENTY_MS = 50_000;

    private EventLoopGroup group;
    private EventLoop loop;
    private final List<AutoCloseable> open = new ArrayList<>();

    /** What a handover came to. */
    private record Taken(Snapshot snapshot, boolean whole, String why) {}

    @BeforeEach
    void open() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private InetSocketAddress giver(Snapshot snapshot, String... secrets) throws Exception {
        HandoverSender giver = new HandoverSender(
                loop,
                Network.SYSTEM,
                SharedSecret.of(secrets),
                new SecureRandom(),
                () -> Chunks.of(snapshot).iterator());
        return (InetSocketAddress) giver.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    }

    /** What a scripted giver does with a connection. */
    private interface Script {
        void run(ScriptedGiver giver, Socket socket) throws IOException;
    }

    private InetSocketAddress scripted(Script script) throws IOException {
        ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        open.add(listening);
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    open.add(socket);
                    try {
                        script.run(new ScriptedGiver(socket, SECRET), socket);
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

    private Taken take(InetSocketAddress from, String secret, long withinMs) throws Exception {
        BlockingQueue<Taken> taken = new LinkedBlockingQueue<>();
        loop.execute(() -> new HandoverReceiver(loop, Network.SYSTEM, SharedSecret.of(secret), new SecureRandom())
                .request(from, withinMs, (snapshot, whole, why) -> taken.add(new Taken(snapshot, whole, why))));
        Taken first = taken.poll(PATIENCE_S, TimeUnit.SECONDS);
        assertNotNull(first, "no outcome");
        loop.submit(() -> {}).sync();
        assertTrue(taken.isEmpty(), "two outcomes");
        return first;
    }

    private static final Snapshot KNOWN = States.of(730, 40, States.NOW_MS);

    @Test
    void allThatIsKnownIsHandedOver() throws Exception {
        Taken taken = take(giver(KNOWN, SECRET), SECRET, PLENTY_MS);
        assertNull(taken.why);
        assertTrue(taken.whole);
        assertEquals(KNOWN, taken.snapshot);
    }

    @Test
    void theWireIsAsDescribed() throws Exception {
        Taken taken = take(
                scripted((giver, socket) -> {
                    giver.greet();
                    giver.prove();
                    for (byte[] piece : Chunks.of(KNOWN)) {
                        giver.out.write(giver.piece(piece));
                    }
                    giver.out.write(giver.piece(new byte[0]));
                }),
                SECRET,
                PLENTY_MS);
        assertNull(taken.why);
        assertEquals(KNOWN, taken.snapshot);
    }

    @Test
    void aWrongSecretGetsNothingEitherWay() throws Exception {
        Taken taken = take(giver(KNOWN, SECRET), OTHER, PLENTY_MS);
        assertNull(taken.snapshot);
        assertEquals("it was cut off", taken.why);
        // A giver that knows nothing and takes any proof for good.
        Taken lied = take(
                scripted((giver, socket) -> {
                    giver.greet();
                    giver.out.write(ScriptedGiver.framed(new byte[32]));
                    giver.out.write(ScriptedGiver.framed(Chunks.of(KNOWN).get(0), new byte[32]));
                }),
                SECRET,
                PLENTY_MS);
        assertNull(lied.snapshot);
        assertEquals("it doesn't know the secret", lied.why);
    }

    @Test
    void aSecretIsReplacedWhileBothHold() throws Exception {
        InetSocketAddress giver = giver(KNOWN, OTHER, SECRET);
        assertEquals(KNOWN, take(giver, SECRET, PLENTY_MS).snapshot);
        assertEquals(KNOWN, take(giver, OTHER, PLENTY_MS).snapshot);
    }

    /** All that came before the cut is of use; nothing that came in part is. */
    @Test
    void aHandoverCutAtEveryPieceGivesWhatCameBefore() throws Exception {
        List<byte[]> pieces = Chunks.of(KNOWN);
        for (int cut = 0; cut <= pieces.size(); cut++) {
            for (boolean midPiece : new boolean[] {false, true}) {
                int whole = cut;
                Taken taken = take(
                        scripted((giver, socket) -> {
                            giver.greet();
                            giver.prove();
                            for (int i = 0; i < whole; i++) {
                                giver.out.write(giver.piece(pieces.get(i)));
                            }
                            if (midPiece) {
                                byte[] next = giver.piece(whole < pieces.size() ? pieces.get(whole) : new byte[0]);
                                giver.out.write(next, 0, next.length / 2);
                            }
                            socket.close();
                        }),
                        SECRET,
                        PLENTY_MS);
                int boxes =
                        taken.snapshot == null ? 0 : taken.snapshot.servers().size();
                assertEquals(Math.min(730, 100 * cut), boxes, "cut at " + cut);
                assertEquals(cut == pieces.size(), taken.whole);
                assertEquals("it was cut off", taken.why);
            }
        }
    }

    @Test
    void oneByteAtATimeEndsWithTheTime() throws Exception {
        AtomicLong sent = new AtomicLong();
        Taken taken = take(
                scripted((giver, socket) -> {
                    giver.greet();
                    giver.prove();
                    giver.out.write(giver.piece(Chunks.of(KNOWN).get(0)));
                    byte[] slow = giver.piece(Chunks.of(KNOWN).get(1));
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
    void aGigabyteIsNotTaken() throws Exception {
        AtomicLong sent = new AtomicLong();
        // Pieces as long as may be, with right tags, over and over: of fields that nobody knows.
        Taken taken = take(
                scripted((giver, socket) -> {
                    giver.greet();
                    giver.prove();
                    for (int i = 0; i < 16_000; i++) {
                        byte[] piece = large(
                                ChunkCodec.write(i, 50_000, KNOWN.origin(), KNOWN.classes(), List.of()),
                                ChunkCodec.MAX_CHUNK_BYTES - 8);
                        giver.out.write(giver.piece(piece));
                        sent.addAndGet(piece.length);
                    }
                }),
                SECRET,
                PLENTY_MS);
        assertEquals("it sent over 33554432 bytes", taken.why);
        assertFalse(taken.whole);
        assertTrue(sent.get() < 100L << 20, sent.get() + " bytes were taken off it");
        Taken frame = take(
                scripted((giver, socket) -> {
                    giver.greet();
                    giver.prove();
                    giver.out.writeInt(1 << 30);
                    giver.out.write(new byte[100_000]);
                }),
                SECRET,
                PLENTY_MS);
        assertTrue(frame.why.contains("exceeds"), frame.why);
    }

    /** The same piece, made longer by a field of no meaning. */
    private static byte[] large(byte[] piece, int length) {
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
    void anOldHandoverPlayedAgainIsRefused() throws Exception {
        List<byte[]> recorded = new ArrayList<>();
        InetSocketAddress first = scripted((giver, socket) -> {
            giver.greet();
            recorded.add(giver.proof());
            giver.prove();
            recorded.add(giver.piece(Chunks.of(KNOWN).get(0)));
            giver.out.write(recorded.get(1));
            giver.out.write(giver.piece(new byte[0]));
        });
        assertEquals(100, take(first, SECRET, PLENTY_MS).snapshot.servers().size());
        // The same nonce, proof and pieces, to another taker.
        Taken again = take(
                scripted((giver, socket) -> {
                    giver.greet();
                    giver.out.write(ScriptedGiver.framed(recorded.get(0)));
                    giver.out.write(recorded.get(1));
                }),
                SECRET,
                PLENTY_MS);
        assertNull(again.snapshot);
        assertEquals("it doesn't know the secret", again.why);
    }

    @Test
    void piecesOutOfPlaceAreRefused() throws Exception {
        Taken swapped = take(
                scripted((giver, socket) -> {
                    giver.greet();
                    giver.prove();
                    byte[] one = giver.piece(Chunks.of(KNOWN).get(0));
                    byte[] two = giver.piece(Chunks.of(KNOWN).get(1));
                    giver.out.write(two);
                    giver.out.write(one);
                }),
                SECRET,
                PLENTY_MS);
        assertNull(swapped.snapshot);
        assertEquals("a piece that is not the giver's, or not in its place", swapped.why);
        Taken leftOut = take(
                scripted((giver, socket) -> {
                    giver.greet();
                    giver.prove();
                    giver.out.write(giver.piece(Chunks.of(KNOWN).get(0)));
                    giver.out.write(giver.piece(new byte[0]));
                }),
                SECRET,
                PLENTY_MS);
        assertEquals("pieces are missing", leftOut.why);
        assertEquals(100, leftOut.snapshot.servers().size());
        assertFalse(leftOut.whole);
    }

    @Test
    void nobodyAndNonsenseEndAtOnce() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = (InetSocketAddress) closed.getLocalSocketAddress();
        }
        assertEquals("nobody is there", take(nobody, SECRET, PLENTY_MS).why);
        assertEquals(
                "it is no node of this program's",
                take(
                                scripted((giver, socket) ->
                                        giver.out.write(ScriptedGiver.framed("VETCHPOST?".getBytes()))),
                                SECRET,
                                PLENTY_MS)
                        .why);
        byte[] newer = "VPHAND\7".getBytes();
        assertEquals(
                "it speaks version 7; this program knows 1",
                take(
                                scripted((giver, socket) -> giver.out.write(ScriptedGiver.framed(newer, new byte[32]))),
                                SECRET,
                                PLENTY_MS)
                        .why);
        assertEquals("it took too long", take(scripted((giver, socket) -> {}), SECRET, 300).why);
    }

    /** Takers that say nothing, nonsense or too much, and more of them than there is room for. */
    @Test
    void aGiverOutlivesItsTakers() throws Exception {
        InetSocketAddress giver = giver(KNOWN, SECRET);
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
        Taken taken = null;
        for (int i = 0; i < 50 && (taken == null || taken.snapshot == null); i++) {
            taken = take(giver, SECRET, PLENTY_MS);
        }
        assertEquals(KNOWN, taken.snapshot);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 2 * HandoverSender.MAX_RECEIVERS; i++) {
            silent.add(new Socket(giver.getAddress(), giver.getPort()));
        }
        int told = 0;
        for (Socket socket : silent) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
            told += socket.getInputStream().readNBytes(4 + 7 + 32).length > 0 ? 1 : 0;
            assertEquals(-1, socket.getInputStream().read(), "one that says nothing is closed");
            socket.close();
        }
        assertTrue(told <= 2 * HandoverSender.MAX_RECEIVERS - 1 && told >= 1, told + " were heard");
    }

    /** Each byte of the stream may be wrong, and no handover ends in anything but one outcome. */
    @Test
    void tenThousandCorruptionsOfTheStreamEndInOneOutcome() throws Exception {
        SplittableRandom random = new SplittableRandom(99);
        Set<Integer> sizes = new TreeSet<>();
        Snapshot known = States.of(230, 9, States.NOW_MS);
        List<byte[]> pieces = Chunks.of(known);
        for (int i = 0; i < 10_000; i++) {
            CorruptedStream stream = new CorruptedStream(SECRET, pieces, random);
            stream.run();
            assertEquals(1, stream.outcomes, "run " + i);
            int boxes = stream.taken == null ? 0 : stream.taken.servers().size();
            assertTrue(boxes == 230 || boxes % 100 == 0, boxes + " boxes");
            if (stream.taken != null) {
                assertEquals(known.servers().subList(0, boxes), stream.taken.servers());
            }
            sizes.add(boxes);
        }
        assertEquals(Set.of(0, 100, 200, 230), sizes);
    }

    @Test
    void secretsAreReadFromAFile(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("secret");
        Files.writeString(file, "# the new one first\n" + SECRET + "\n\n" + OTHER + "\n");
        SharedSecret secret = SharedSecret.read(file);
        assertEquals(2, secret.keyCount());
        byte[] nonce = new byte[32];
        assertEquals(1, secret.matchingKey(SharedSecret.of(OTHER).proof(0, "taker", nonce, nonce), "taker", nonce, nonce));
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
