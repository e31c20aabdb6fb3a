package vetchpost.simulation.net;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A listening socket of the simulated network as a Netty channel. */
final class SimServerChannel extends AbstractServerChannel implements SimLoop.Ready {
    private final SimNetwork network;
    private final ChannelConfig config = new SimChannelConfig(this, new ServerChannelRecvByteBufAllocator());
    /** Connections that the operating system has accepted and the process has not. */
    private final Deque<SimulatedSocket> backlog = new ArrayDeque<>();

    private InetSocketAddress address;
    private boolean reading;
    private boolean closed;

    SimServerChannel(SimNetwork network) {
        this.network = network;
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return !closed;
    }

    @Override
    public boolean isActive() {
        return !closed && address != null;
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof SimLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return address;
    }

    @Override
    protected void doBind(SocketAddress local) throws IOException {
        InetSocketAddress requested = (InetSocketAddress) local;
        if (network.host().tcp.isListening(requested)) {
            throw new IOException("Address already in use");
        }
        address = requested;
        network.host().listen(address, socket -> {
            backlog.add(socket);
            network.loop().markReady(this);
        });
    }

    @Override
    protected void doClose() {
        closed = true;
        if (address != null) {
            network.host().unlisten(address);
        }
        backlog.forEach(SimulatedSocket::reset);
        backlog.clear();
    }

    @Override
    protected void doBeginRead() {
        reading = true;
        if (!backlog.isEmpty()) {
            network.loop().markReady(this);
        }
    }

    @Override
    public void onReady() {
        if (!closed && reading && !backlog.isEmpty()) {
            accept();
        }
    }

    /** Accepts waiting connections, as many as the allocator allows in one turn. */
    void accept() {
        var handle = unsafe().recvBufAllocHandle();
        handle.reset(config);
        do {
            SimulatedSocket socket = backlog.poll();
            if (socket == null) {
                break;
            }
            handle.incMessagesRead(1);
            reading = false;
            pipeline().fireChannelRead(network.newConnection(this, socket));
        } while (handle.continueReading());
        handle.readComplete();
        pipeline().fireChannelReadComplete();
        if (!backlog.isEmpty() && reading) {
            network.loop().markReady(this);
        }
    }
}
