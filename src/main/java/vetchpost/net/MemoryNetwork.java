package vetchpost.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ServerChannel;
import java.util.function.Consumer;

/**
 * A network inside the process: whoever connects, to whatever address, is one more connection of one
 * listener, on the same event loop. No socket is opened, and nobody from outside can come. For what is to go
 * through the code of a connection before the node may be reached.
 */
public final class MemoryNetwork implements Network {
    private final Consumer<ChannelPipeline> listener;

    /** Each connection's far end is set up by this. */
    public MemoryNetwork(Consumer<ChannelPipeline> listener) {
        this.listener = listener;
    }

    /** None: its one listener is given at its making. */
    @Override
    public ServerChannel newServerChannel() {
        throw new UnsupportedOperationException("nobody else listens on this network");
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
