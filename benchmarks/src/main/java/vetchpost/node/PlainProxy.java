package vetchpost.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What the node is measured beside: a proxy of Netty's own parts on one loop, which sends each request to the
 * next server in turn, keeps connections, and does nothing else. No time-outs, no retries, no limits.
 */
public final class PlainProxy {
    private static final int MAX_MESSAGE_BYTES = 1 << 16;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<InetSocketAddress> servers = new ArrayList<>();
    private final List<Deque<Channel>> idle = new ArrayList<>();
    private int nextServer;

    private PlainProxy() {}

    /** Listens on the port given first, before servers on the ports after it. */
    public static void main(String[] args) throws InterruptedException {
        PlainProxy proxy = new PlainProxy();
        for (int i = 1; i < args.length; i++) {
            proxy.servers.add(new InetSocketAddress("127.0.0.1", Integer.parseInt(args[i])));
            proxy.idle.add(new ArrayDeque<>());
        }
        proxy.listen(Integer.parseInt(args[0]));
    }

    private void listen(int port) throws InterruptedException {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        client.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_MESSAGE_BYTES),
                                        new ClientHandler());
                    }
                })
                .bind("127.0.0.1", port)
                .sync()
                .channel()
                .closeFuture()
                .sync();
    }

    /** A client's connection: one request at a time. */
    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            int to = nextServer++ % servers.size();
            request.retain();
            Channel server = idle.get(to).poll();
            if (server != null) {
                send(server, request, ctx.channel());
                return;
            }
            new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(MAX_MESSAGE_BYTES),
                                            new ServerHandler(to));
                        }
                    })
                    .connect(servers.get(to))
                    .addListener((ChannelFutureListener) done -> send(done.channel(), request, ctx.channel()));
        }

        private void send(Channel server, FullHttpRequest request, Channel client) {
            server.pipeline().get(ServerHandler.class).client = client;
            server.writeAndFlush(request);
        }
    }

    /** A server's connection. */
    private final class ServerHandler extends ChannelInboundHandlerAdapter {
        private final int server;
        private Channel client;

        ServerHandler(int server) {
            this.server = server;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            client.writeAndFlush((FullHttpResponse) message);
            idle.get(server).push(ctx.channel());
        }
    }
}
