package vetchpost.net;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** System sockets through Java NIO. */
final class SystemNetwork implements Network {
    @Override
    public ServerChannel newServerChannel() {
        return new NioServerSocketChannel();
    }

    @Override
    public Channel newClientChannel() {
        return new NioSocketChannel();
    }

    @Override
    public DatagramChannel newDatagramChannel() {
        return new NioDatagramChannel();
    }

    @Override
    public void readNow(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe system) {
            system.read();
        }
    }
}
