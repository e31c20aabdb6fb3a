package vetchpost.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ServerChannel;
import vetchpost.http.RehearsalConnections;
import vetchpost.net.Network;

/** The network of a rehearsal over sockets, which registers each of its connections before it is used. */
final class RehearsalNetwork implements Network {
    private final Network network;
    private final RehearsalConnections connections;

    RehearsalNetwork(Network network, RehearsalConnections connections) {
        this.network = network;
        this.connections = connections;
    }

    /** Unsupported: a rehearsal does not listen. */
    @Override
    public ServerChannel newServerChannel() {
        throw new UnsupportedOperationException("a rehearsal does not listen");
    }

    @Override
    public Channel newClientChannel() {
        Channel channel = network.newClientChannel();
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                connections.addClient(channel.localAddress());
                ctx.fireChannelActive();
            }
        });
        return channel;
    }

    @Override
    public void readNow(Channel channel) {
        network.readNow(channel);
    }
}
