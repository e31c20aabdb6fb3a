package vetchpost.net;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;

/** Where sockets come from: the system, or a simulation's network. */
public interface Network {
    /** The sockets of this machine, by Java's selector. */
    Network SYSTEM = new SystemNetwork();

    /** A socket to listen with, not bound yet. */
    ServerChannel newServerChannel();

    /**
     * A socket to connect with.
     *
     * @throws io.netty.channel.ChannelException if the system has none left
     */
    Channel newClientChannel();

    /** A socket for datagrams, not bound yet; a network that has none throws. */
    default DatagramChannel newDatagramChannel() {
        throw new UnsupportedOperationException("no datagrams on this network");
    }

    /**
     * Reads what the system already holds for the channel, and its end, without waiting for the loop; of a
     * socket to listen with, some of the connections that wait there. A channel of another network is left
     * alone.
     */
    void readNow(Channel channel);
}
