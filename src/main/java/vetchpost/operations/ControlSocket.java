package vetchpost.operations;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import vetchpost.control.ControlApi;

/**
 * Takes operators' messages on a Unix socket that only its owner may open: a line each way, one message at a
 * time on a connection, bounded in length, time and number, so that no client holds up the loop or another.
 */
public final class ControlSocket implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ControlSocket.class.getName());
    private static final int MAX_MESSAGE_BYTES = 16 << 10;
    private static final int MAX_CONNECTIONS = 16;
    private static final int MESSAGE_TIMEOUT_S = 30;

    private final Path path;
    private final ControlApi controlApi;
    private final Supplier<ControlApi.Now> now;
    private int connections;
    private Channel listeningChannel;

    /** Not open yet. */
    public ControlSocket(Path path, ControlApi desk, Supplier<ControlApi.Now> now) {
        this.path = path;
        this.controlApi = desk;
        this.now = now;
    }

    /**
     * Listens. A socket that an ended process has left behind is taken away; one that answers, and a file
     * that is no socket, are not.
     *
     * @throws IOException if there is such a one
     */
    public ChannelFuture open(EventLoopGroup group) throws IOException {
        if (Files.exists(path)) {
            if (Files.isRegularFile(path) || Files.isDirectory(path)) {
                throw new IOException(path + " is there and is no socket");
            }
            try (SocketChannel other = SocketChannel.open(UnixDomainSocketAddress.of(path))) {
                throw new IOException(path + " is another process's: " + other.isConnected());
            } catch (java.net.ConnectException e) {
                LOG.log(Level.INFO, "{0} was left behind and is taken away: {1}", path, e.getMessage());
                Files.delete(path);
            }
        }
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channel(NioServerDomainSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(UnixDomainSocketAddress.of(path));
        listeningChannel = binding.channel();
        return binding.addListener(done -> {
            if (done.isSuccess()) {
                Files.setPosixFilePermissions(path, PosixFilePermissions.fromString("rw-------"));
            }
        });
    }

    private void accept(Channel channel) {
        if (connections >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        connections++;
        channel.closeFuture().addListener(closed -> connections--);
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(MAX_MESSAGE_BYTES, true, true),
                        new StringDecoder(StandardCharsets.UTF_8),
                        new FlowControlHandler(),
                        new MessageHandler());
    }

    /** One client's messages. */
    private final class MessageHandler extends SimpleChannelInboundHandler<String> {
        private ScheduledFuture<?> messageTimeout;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            startMessageTimeout(ctx);
        }

        private void startMessageTimeout(ChannelHandlerContext ctx) {
            messageTimeout = ctx.executor()
                    .schedule(
                            () -> {
                                ctx.close();
                            },
                            MESSAGE_TIMEOUT_S,
                            TimeUnit.SECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            messageTimeout.cancel(false);
            // One at a time: what comes behind it waits unread.
            ctx.channel().config().setAutoRead(false);
            controlApi.handle(line, now, reply -> {
                if (!ctx.channel().isWritable()) {
                    ctx.close(); // It asks and does not read.
                    return;
                }
                ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), reply + "\n"));
                startMessageTimeout(ctx);
                ctx.channel().config().setAutoRead(true);
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            messageTimeout.cancel(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                ctx.writeAndFlush(ByteBufUtil.writeUtf8(
                                ctx.alloc(),
                                "{\"v\":1,\"ok\":false,"
                                        + "\"error\":\"bad\",\"why\":[\"a message has at most "
                                        + MAX_MESSAGE_BYTES + " bytes\"]}\n"))
                        .addListener(done -> ctx.close());
                return;
            }
            if (!(cause instanceof IOException)) {
                LOG.log(Level.WARNING, "an operator's connection failed", cause);
            }
            ctx.close();
        }
    }

    @Override
    public void close() throws IOException {
        if (listeningChannel != null && listeningChannel.isOpen()) {
            listeningChannel.close();
            Files.deleteIfExists(path);
        }
    }
}
