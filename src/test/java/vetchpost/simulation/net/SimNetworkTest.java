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

/** The simulated network behaves as TCP, and its channels as Netty's own. */
class SimNetworkTest {
    private static final InetSocketAddress SERVER = SimNetwork.address("10.9.0.1:80");
    private static final long MS = 1_000_000;

    private final VirtualTime time = new VirtualTime();
    private final Tcp tcp = new Tcp(time, new SplittableRandom(5));
    private final SimulatedHost server = tcp.host("server", Tap.NONE);
    private final SimulatedHost client = tcp.host("client", Tap.NONE);
    private final List<SimulatedSocket> accepted = new ArrayList<>();

    private void runMs(long ms) {
        boolean[] isOver = new boolean[1];
        time.after(ms * MS, () -> isOver[0] = true);
        while (!isOver[0] && time.step()) {
            continue;
        }
    }

    private SimulatedSocket connectedSocket() {
        server.listen(SERVER, accepted::add);
        SimulatedSocket socket = client.connect(SERVER, null);
        runMs(50);
        assertTrue(socket.isOpen());
        return socket;
    }

    private static byte[] bytes(int size) {
        byte[] bytes = new byte[size];
        for (int i = 0; i < size; i++) {
            bytes[i] = (byte) (i * 31 + i / 251);
        }
        return bytes;
    }

    @Test
    void bytesArriveInOrderAndInSegments() throws IOException {
        SimulatedSocket socket = connectedSocket();
        byte[] sent = bytes(9_000);
        List<Integer> pieces = new ArrayList<>();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        accepted.get(0).setHandler(() -> {
            byte[] some = accepted.get(0).read(1 << 20);
            pieces.add(some.length);
            received.writeBytes(some);
        });
        for (int at = 0; at < sent.length; at += 300) {
            socket.write(Arrays.copyOfRange(sent, at, at + 300));
        }
        runMs(200);
        assertTrue(Arrays.equals(sent, received.toByteArray()));
        assertTrue(pieces.stream().anyMatch(p -> p % 300 != 0), "never split elsewhere: " + pieces);
    }

    @Test
    void aPeerThatDoesNotReadBlocksItsWriter() throws IOException {
        SimulatedSocket socket = connectedSocket();
        int writtenBytes = 0;
        for (int i = 0; i < 100; i++) {
            writtenBytes += socket.write(new byte[4_096]);
            runMs(20);
        }
        assertTrue(writtenBytes < 64 * 1024, "bytes accepted: " + writtenBytes);
        int[] writableEvents = new int[1];
        socket.setHandler(() -> writableEvents[0]++);
        accepted.get(0).read(1 << 20);
        runMs(50);
        assertTrue(writableEvents[0] > 0, "not notified of room to write");
        assertTrue(socket.write(new byte[4_096]) > 0);
    }

    @Test
    void aVanishedMachineNeitherAnswersNorRefuses() throws IOException {
        SimulatedSocket socket = connectedSocket();
        server.vanish();
        assertEquals(100, socket.write(new byte[100]));
        SimulatedSocket second = client.connect(SERVER, null);
        runMs(10_000);
        assertTrue(socket.isOpen() && !socket.isReset());
        assertFalse(second.isOpen() || second.isFailed(), "the second connection was established or refused");
        server.reappear();
        runMs(100);
        assertTrue(socket.isReset(), "segments under way reached a new process");
    }

    @Test
    void connectsAreRefusedWithoutAListenerAndResetByADeadProcess() {
        SimulatedSocket none = client.connect(SERVER, null);
        runMs(50);
        assertTrue(none.isFailed());
        SimulatedSocket socket = connectedSocket();
        server.kill();
        runMs(50);
        assertTrue(socket.isReset());
        assertThrows(IOException.class, () -> socket.write(new byte[1]));
    }

    @Test
    void closingWithUnreadInputResetsTheConnection() throws IOException {
        SimulatedSocket socket = connectedSocket();
        socket.write(new byte[10]);
        runMs(50);
        accepted.get(0).close();
        runMs(50);
        assertTrue(socket.isReset());
        SimulatedSocket other = client.connect(SERVER, null);
        runMs(50);
        accepted.get(1).put(new byte[3]);
        accepted.get(1).close();
        runMs(50);
        assertEquals(3, other.read(10).length);
        assertTrue(other.isAtEnd() && !other.isReset());
    }

    private Channel connect(SimNetwork network, List<Object> events) {
        return new Bootstrap()
                .group(network.loop())
                .channelFactory(network::newClientChannel)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 40)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Recorder(events))
                .connect(SERVER)
                .addListener(f -> events.add(f.isSuccess() ? "up" : f.cause().getClass()))
                .channel();
    }

    private static final class Recorder extends ChannelInboundHandlerAdapter {
        private final List<Object> events;

        Recorder(List<Object> events) {
            this.events = events;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            events.add(bytes.readableBytes());
            bytes.release();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            events.add("down");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            events.add(cause.getClass());
        }
    }

    @Test
    void aConnectIsRefusedOrTimesOut() {
        SimNetwork network = SimNetwork.of(tcp, "node", 1);
        List<Object> events = new ArrayList<>();
        network.loop().run(() -> connect(network, events));
        runMs(20);
        assertEquals(List.of(ConnectException.class), events);
        server.listen(SERVER, accepted::add);
        server.vanish();
        events.clear();
        network.loop().run(() -> connect(network, events));
        runMs(30);
        assertEquals(List.of(), events);
        runMs(30);
        assertEquals(List.of(ConnectTimeoutException.class), events);
        assertEquals(0, network.bufferedBytes());
        assertTrue(network.loop().isIdle());
    }

    /** Otherwise a write would succeed whose last byte never reached the send buffer. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aWriteSucceedsOnlyWhenItsLastByteIsInTheSendBuffer(boolean dies) {
        server.listen(SERVER, accepted::add);
        SimNetwork network = SimNetwork.of(tcp, "node", 1);
        List<Object> events = new ArrayList<>();
        List<ChannelFuture> writes = new ArrayList<>();
        Channel[] channel = new Channel[1];
        network.loop().run(() -> channel[0] = connect(network, events));
        runMs(50);
        network.loop().run(() -> writes.add(channel[0].writeAndFlush(Unpooled.wrappedBuffer(bytes(100_000)))));
        runMs(200);
        assertFalse(writes.get(0).isDone(), "nobody has read a byte");
        if (dies) {
            server.kill();
            runMs(50);
            assertTrue(writes.get(0).isDone() && !writes.get(0).isSuccess());
            assertTrue(events.contains("down"), events.toString());
        } else {
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            accepted.get(0).setHandler(() -> received.writeBytes(accepted.get(0).read(1 << 20)));
            received.writeBytes(accepted.get(0).read(1 << 20));
            runMs(500);
            assertTrue(writes.get(0).isSuccess());
            assertTrue(Arrays.equals(bytes(100_000), received.toByteArray()));
        }
    }

    @Test
    void anAcceptedChannelEchoesAndClosesWithItsPeer() {
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
        SimulatedSocket socket = client.connect(SERVER, null);
        runMs(50);
        socket.put("hello".getBytes());
        runMs(50);
        assertEquals("hello", new String(socket.read(10)));
        socket.close();
        runMs(50);
        assertEquals(0, network.host().connectionCount(), "the node's end is still open");
        assertEquals(0, network.bufferedBytes());
    }

    @Test
    void aPausedLoopRunsItsTimersAfterThePause() {
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
