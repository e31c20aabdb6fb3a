package vetchpost.simulation.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import vetchpost.net.Network;

/**
 * A process's access to the simulated network: Netty channels on simulated sockets. The node uses it in place
 * of the real network, on the thread of its {@link SimLoop}.
 */
public final class SimNetwork implements Network {
    private final SimulatedHost host;
    private final SimLoop loop;
    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);
    private final Consumer<Channel> channelListener;
    private int channelCount;

    /** Creates channels on this loop and passes each new connection to the listener. */
    public SimNetwork(SimulatedHost host, SimLoop loop, Consumer<Channel> channelListener) {
        this.host = host;
        this.loop = loop;
        this.channelListener = channelListener;
    }

    /** Bytes of allocated buffers that have not been released. */
    public long bufferedBytes() {
        return allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    }

    @Override
    public ServerChannel newServerChannel() {
        return new SimServerChannel(this);
    }

    @Override
    public Channel newClientChannel() {
        return newConnection(null, null);
    }

    @Override
    public void readNow(Channel channel) {
        if (channel instanceof SimServerChannel listening) {
            listening.accept();
        } else if (channel instanceof SimChannel connection) {
            connection.readNow();
        }
    }

    /** A connection channel; {@code parent} is the channel that accepted it, or null. */
    SimChannel newConnection(Channel parent, SimulatedSocket socket) {
        SimChannel channel = new SimChannel(this, parent, socket);
        channelListener.accept(channel);
        return channel;
    }

    SimulatedHost host() {
        return host;
    }

    SimLoop loop() {
        return loop;
    }

    ByteBufAllocator allocator() {
        return allocator;
    }

    int nextId() {
        return channelCount++;
    }

    /** A network of a new host, for tests of the channels alone. */
    static SimNetwork of(Tcp tcp, String name, long seed) {
        return new SimNetwork(
                tcp.host(name, Tap.NONE), SimLoop.open(tcp.time(), new SplittableRandom(seed)), channel -> {});
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
