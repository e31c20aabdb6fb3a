package vetchpost.simulation.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import vetchpost.net.Network;

/** A process's way to the simulated network: Netty channels on simulated sockets. */
public final class SimNetwork implements Network {
    private final SimulatedHost host;
    private final SimLoop loop;
    private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);
    private final Consumer<Channel> channelListener;
    private int channelCount;

    /** Channels on this loop; each is shown to {@code opened} as soon as it is made. */
    public SimNetwork(SimulatedHost host, SimLoop loop, Consumer<Channel> opened) {
        this.host = host;
        this.loop = loop;
        this.channelListener = opened;
    }

    /** Bytes of buffers that have been taken for reading and writing and not been given back. */
    public long bufferedBytes() {
        return allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    }

    @Override
    public ServerChannel newServerChannel() {
        return new SimServerChannel(this);
    }

    @Override
    public Channel newClientChannel() {
        return connection(null, null);
    }

    @Override
    public void readNow(Channel channel) {
        if (channel instanceof SimServerChannel listening) {
            listening.accept();
        } else if (channel instanceof SimChannel connection) {
            connection.readNow();
        }
    }

    /** A channel, accepted by this parent if there is one. */
    SimChannel connection(Channel parent, SimulatedSocket end) {
        SimChannel channel = new SimChannel(this, parent, end);
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

    /** For tests of the channels alone. */
    static SimNetwork of(Tcp tcp, String name, long seed) {
        return new SimNetwork(
                tcp.host(name, Tap.NONE), SimLoop.open(tcp.time(), new SplittableRandom(seed)), channel -> {});
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
