package vetchpost.net;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;

/** Creates channels, either system sockets or those of a simulated network. Shared by all parts of a node. */
public interface Network {
    /** The sockets of this machine, through Java NIO. */
    Network SYSTEM = new SystemNetwork();

    /** Creates a channel to listen with, not bound. */
    ServerChannel newServerChannel();

    /**
     * Creates a channel to connect with.
     *
     * @throws io.netty.channel.ChannelException if the system has no descriptor left
     */
    Channel newClientChannel();

    /**
     * Creates a datagram channel, not bound.
     *
     * @throws UnsupportedOperationException if the network has no datagrams
     */
    default DatagramChannel newDatagramChannel() {
        throw new UnsupportedOperationException("no datagrams on this network");
    }

    /**
     * Reads the input that the system already holds for the channel, its close included, without waiting for the
     * event loop; accepts some of the waiting connections of a listening channel. A channel of another network is left
     * alone.
     */
    void readNow(Channel channel);
}
