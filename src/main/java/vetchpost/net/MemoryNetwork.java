package vetchpost.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ServerChannel;
import java.util.function.Consumer;

/**
 * A network inside the process. Every connect, to any address, opens a connection to one listener on the same event
 * loop. No socket is opened and nothing outside the process can connect. The node uses it to run its connection code
 * in the warm-up, before it listens.
 */
public final class MemoryNetwork implements Network {
    private final Consumer<ChannelPipeline> listener;

    /** Creates a network whose listener sets up the pipeline of each accepted connection. */
    public MemoryNetwork(Consumer<ChannelPipeline> listener) {
        this.listener = listener;
    }

    /** Unsupported: the only listener is the one given to the constructor. */
    @Override
    public ServerChannel newServerChannel() {
        throw new UnsupportedOperationException("a memory network has no further listeners");
    }

    @Override
    public Channel newClientChannel() {
        return new MemoryChannel(listener);
    }

    @Override
    public void readNow(Channel channel) {
        if (channel instanceof MemoryChannel memory) {
            memory.deliver();
        }
    }
}
