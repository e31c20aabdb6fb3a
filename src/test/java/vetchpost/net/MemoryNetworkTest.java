package vetchpost.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections inside the process: bytes and ends come over, in order, and nothing is kept. */
@Timeout(30)
class MemoryNetworkTest {
    private EventLoopGroup group;
    private final List<ByteBuf> echoedBuffers = new ArrayList<>();

    @BeforeEach
    void open() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** Answers each piece with itself, and closes on a full stop. */
    private final class Echo extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            echoedBuffers.add(bytes);
            boolean last = bytes.toString(StandardCharsets.US_ASCII).endsWith(".");
            var writing = ctx.writeAndFlush(bytes);
            if (last) {
                writing.addListener(done -> ctx.close());
            }
        }
    }

    private static final class ReceivedText extends ChannelInboundHandlerAdapter {
        private final StringBuilder text = new StringBuilder();
        private int readCompletes;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            text.append(((ByteBuf) message).toString(StandardCharsets.US_ASCII));
            ((ByteBuf) message).release();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            readCompletes++;
        }
    }

    private Channel connect(Network network, ReceivedText heard) throws Exception {
        return new Bootstrap()
                .group(group.next())
                .channelFactory(network::newClientChannel)
                .disableResolver()
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 50)
                .handler(heard)
                .connect(new InetSocketAddress("127.0.0.1", 1))
                .sync()
                .channel();
    }

    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Test
    void deliversBytesInOrderThenClose() throws Exception {
        ReceivedText heard = new ReceivedText();
        Channel channel = connect(new MemoryNetwork(p -> p.addLast(new Echo())), heard);
        assertTrue(channel.isActive());
        channel.write(text("a"));
        channel.writeAndFlush(text("b"));
        channel.writeAndFlush(text("c."));
        channel.closeFuture().sync();
        assertEquals("abc.", heard.text.toString());
        assertTrue(heard.readCompletes > 0);
        echoedBuffers.forEach(bytes -> assertEquals(0, bytes.refCnt(), "a buffer is kept"));
    }

    @Test
    void keepsInputUnreadUntilRead() throws Exception {
        ReceivedText heard = new ReceivedText();
        MemoryNetwork network = new MemoryNetwork(p -> p.addLast(new Echo()));
        Channel channel = connect(network, heard);
        // Its being open is told before its first read begins.
        channel.eventLoop().submit(() -> {}).sync();
        channel.config().setAutoRead(false);
        // The read that was begun before still takes one.
        channel.writeAndFlush(text("1")).sync();
        channel.eventLoop().submit(() -> {}).sync();
        channel.eventLoop().submit(() -> {}).sync();
        channel.writeAndFlush(text("2")).sync();
        channel.eventLoop().submit(() -> {}).sync();
        channel.eventLoop().submit(() -> {}).sync();
        assertEquals("1", heard.text.toString());
        channel.eventLoop()
                .submit(() -> {
                    channel.read();
                    network.readNow(channel);
                })
                .sync();
        assertEquals("12", heard.text.toString());
        channel.close().sync();
    }

    @Test
    void closesPeerOnClose() throws Exception {
        List<Channel> far = new ArrayList<>();
        Channel channel = connect(new MemoryNetwork(p -> far.add(p.channel())), new ReceivedText());
        channel.eventLoop().submit(() -> {}).sync();
        assertTrue(far.get(0).isActive());
        channel.close().sync();
        far.get(0).closeFuture().sync();
        assertFalse(far.get(0).isOpen());
    }

    @Test
    void createsNoServerChannel() {
        assertThrows(UnsupportedOperationException.class, () -> new MemoryNetwork(p -> {}).newServerChannel());
    }
}
