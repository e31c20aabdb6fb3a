package vetchpost.simulation.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The simulated network does what TCP does, and the channels what Netty's own do on it. */
class SimNetworkTest {
    private static final InetSocketAddress SERVER = SimNetwork.address("10.9.0.1:80");
    private static final long MS = 1_000_000;

    private final VirtualTime time = new VirtualTime();
    private final Tcp tcp = new Tcp(time, new SplittableRandom(5));
    private final SimulatedHost server = tcp.host("server", Tap.NONE);
    private final SimulatedHost client = tcp.host("client", Tap.NONE);
    private final List<SimulatedSocket> accepted = new ArrayList<>();

    private void runMs(long ms) {
        boolean[] there = new boolean[1];
        time.after(ms * MS, () -> there[0] = true);
        while (!there[0] && time.step()) {
            continue;
        }
    }

    private SimulatedSocket connected() {
        server.listen(SERVER, accepted::add);
        SimulatedSocket end = client.connect(SERVER, null);
        runMs(50);
        assertTrue(end.isOpen());
        return end;
    }

    private static byte[] bytes(int size) {
        byte[] bytes = new byte[size];
        for (int i = 0; i < size; i++) {
            bytes[i] = (byte) (i * 31 + i / 251);
        }
        return bytes;
    }

    @Test
    void bytesComeInOrderAndInPieces() throws IOException {
        SimulatedSocket end = connected();
        byte[] sent = bytes(9_000);
        List<Integer> pieces = new ArrayList<>();
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        accepted.get(0).handler(() -> {
            byte[] some = accepted.get(0).read(1 << 20);
            pieces.add(some.length);
            got.writeBytes(some);
        });
        for (int at = 0; at < sent.length; at += 300) {
            end.write(Arrays.copyOfRange(sent, at, at + 300));
        }
        runMs(200);
        assertTrue(Arrays.equals(sent, got.toByteArray()));
        assertTrue(pieces.stream().anyMatch(p -> p % 300 != 0), "never cut elsewhere: " + pieces);
    }

    @Test
    void aPeerThatDoesNotReadStopsItsWriter() throws IOException {
        SimulatedSocket end = connected();
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            taken += end.write(new byte[4_096]);
            runMs(20);
        }
        assertTrue(taken < 64 * 1024, "took " + taken);
        int[] room = new int[1];
        end.handler(() -> room[0]++);
        accepted.get(0).read(1 << 20);
        runMs(50);
        assertTrue(room[0] > 0, "not told of room");
        assertTrue(end.write(new byte[4_096]) > 0);
    }

    @Test
    void aMachineThatVanishesTakesWritesAndSaysNothing() throws IOException {
        SimulatedSocket end = connected();
        server.vanish();
        assertEquals(100, end.write(new byte[100]));
        SimulatedSocket second = client.connect(SERVER, null);
        runMs(10_000);
        assertTrue(end.isOpen() && !end.isReset());
        assertFalse(second.isOpen() || second.isFailed(), "the second connection came up or was refused");
        server.reappear();
        runMs(100);
        assertTrue(end.isReset(), "what was under way met a new process");
    }

    @Test
    void nobodyThereRefusesAndADeadProcessResets() {
        SimulatedSocket none = client.connect(SERVER, null);
        runMs(50);
        assertTrue(none.isFailed());
        SimulatedSocket end = connected();
        server.kill();
        runMs(50);
        assertTrue(end.isReset());
        assertThrows(IOException.class, () -> end.write(new byte[1]));
    }

    @Test
    void closingOnUnreadBytesResetsAndElseEnds() throws IOException {
        SimulatedSocket end = connected();
        end.write(new byte[10]);
        runMs(50);
        accepted.get(0).close();
        runMs(50);
        assertTrue(end.isReset());
        SimulatedSocket other = client.connect(SERVER, null);
        runMs(50);
        accepted.get(1).put(new byte[3]);
        accepted.get(1).close();
        runMs(50);
        assertEquals(3, other.read(10).length);
        assertTrue(other.isAtEnd() && !other.isReset());
    }

    private Channel connect(SimNetwork network, List<Object> seen) {
        return new Bootstrap()
                .group(network.loop())
                .channelFactory(network::newClientChannel)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 40)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Recorder(seen))
                .connect(SERVER)
                .addListener(f -> seen.add(f.isSuccess() ? "up" : f.cause().getClass()))
                .channel();
    }

    private static final class Recorder extends ChannelInboundHandlerAdapter {
        private final List<Object> seen;

        Recorder(List<Object> seen) {
            this.seen = seen;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            seen.add(bytes.readableBytes());
            bytes.release();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            seen.add("down");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            seen.add(cause.getClass());
        }
    }

    @Test
    void aConnectIsRefusedOrRunsOutOfTime() {
        SimNetwork network = SimNetwork.of(tcp, "node", 1);
        List<Object> seen = new ArrayList<>();
        network.loop().run(() -> connect(network, seen));
        runMs(20);
        assertEquals(List.of(ConnectException.class), seen);
        server.listen(SERVER, accepted::add);
        server.vanish();
        seen.clear();
        network.loop().run(() -> connect(network, seen));
        runMs(30);
        assertEquals(List.of(), seen);
        runMs(30);
        assertEquals(List.of(ConnectTimeoutException.class), seen);
        assertEquals(0, network.bufferedBytes());
        assertTrue(network.loop().isIdle());
    }

    /** Netty fails the write and closes; one that succeeded would be a last byte that was never taken. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aWriteSucceedsOnlyWhenTheSystemHasTakenItsLastByte(boolean dies) {
        server.listen(SERVER, accepted::add);
        SimNetwork network = SimNetwork.of(tcp, "node", 1);
        List<Object> seen = new ArrayList<>();
        List<ChannelFuture> writes = new ArrayList<>();
        Channel[] channel = new Channel[1];
        network.loop().run(() -> channel[0] = connect(network, seen));
        runMs(50);
        network.loop().run(() -> writes.add(channel[0].writeAndFlush(Unpooled.wrappedBuffer(bytes(100_000)))));
        runMs(200);
        assertFalse(writes.get(0).isDone(), "nobody has read a byte");
        if (dies) {
            server.kill();
            runMs(50);
            assertTrue(writes.get(0).isDone() && !writes.get(0).isSuccess());
            assertTrue(seen.contains("down"), seen.toString());
        } else {
            ByteArrayOutputStream got = new ByteArrayOutputStream();
            accepted.get(0).handler(() -> got.writeBytes(accepted.get(0).read(1 << 20)));
            got.writeBytes(accepted.get(0).read(1 << 20));
            runMs(500);
            assertTrue(writes.get(0).isSuccess());
            assertTrue(Arrays.equals(bytes(100_000), got.toByteArray()));
        }
    }

    @Test
    void anAcceptedChannelEchoesAndEndsWithItsPeer() {
        SimNetwork network = SimNetwork.of(tcp, "node", 1);
        network.loop()
                .run(() -> new ServerBootstrap()
                        .group(network.loop())
                        .channelFactory(network::newServerChannel)
                        .childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void channelRead(ChannelHandlerContext ctx, Object message) {
                                        ByteBuf bytes = (ByteBuf) message;
                                        byte[] copy = ByteBufUtil.getBytes(bytes);
                                        bytes.release();
                                        ctx.writeAndFlush(Unpooled.wrappedBuffer(copy));
                                    }
                                });
                            }
                        })
                        .bind(SERVER));
        runMs(1);
        SimulatedSocket end = client.connect(SERVER, null);
        runMs(50);
        end.put("hello".getBytes());
        runMs(50);
        assertEquals("hello", new String(end.read(10)));
        end.close();
        runMs(50);
        assertEquals(0, network.host().connectionCount(), "the node's end is still open");
        assertEquals(0, network.bufferedBytes());
    }

    @Test
    void aStalledLoopTakesNoTurnAndThenAllAtOnce() {
        SimNetwork network = SimNetwork.of(tcp, "node", 1);
        List<Long> ran = new ArrayList<>();
        network.loop().run(() -> network.loop().schedule(() -> ran.add(time.nanoTime()), 5, TimeUnit.MILLISECONDS));
        runMs(1);
        network.loop().pause(100 * MS);
        runMs(50);
        assertEquals(List.of(), ran);
        runMs(60);
        assertEquals(List.of(101 * MS), ran);
    }
}
