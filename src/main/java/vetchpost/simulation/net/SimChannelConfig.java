package vetchpost.simulation.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.RecvByteBufAllocator;

/** Options of a simulated socket. Options that only real sockets have are accepted and ignored. */
final class SimChannelConfig extends DefaultChannelConfig {
    SimChannelConfig(Channel channel) {
        super(channel);
    }

    SimChannelConfig(Channel channel, RecvByteBufAllocator allocator) {
        super(channel, allocator);
    }

    @Override
    public <T> boolean setOption(ChannelOption<T> option, T value) {
        return super.setOption(option, value)
                || option == ChannelOption.TCP_NODELAY
                || option == ChannelOption.SO_BACKLOG
                || option == ChannelOption.SO_REUSEADDR;
    }
}
