package vetchpost.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** One end of a connection inside the process, both on one loop. What is written is read in a later task. */
final class MemoryChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);
    private static final SocketAddress MEMORY_ADDRESS = InetSocketAddress.createUnresolved("memory", 0);

    private final ChannelConfig config = new Config(this);
    private final Consumer<ChannelPipeline> listener;
    private final Deque<ByteBuf> unread = new ArrayDeque<>();
    private MemoryChannel peer;
    private boolean reading;
    private boolean closed;

    /** To be connected; the far end is set up by this. */
    MemoryChannel(Consumer<ChannelPipeline> listener) {
        super(null);
        this.listener = listener;
    }

    /** Options that only a system's sockets have are taken and passed over. */
    private static final class Config extends DefaultChannelConfig {
        Config(Channel channel) {
            super(channel);
        }

        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            return super.setOption(option, value) || option == ChannelOption.TCP_NODELAY;
        }
    }

    private final class Unsafe extends AbstractUnsafe {
        @Override
        public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            if (!promise.setUncancellable() || !ensureOpen(promise)) {
                return;
            }
            MemoryChannel far = new MemoryChannel(listener);
            far.peer = MemoryChannel.this;
            peer = far;
            far.pipeline().addLast(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    listener.accept(channel.pipeline());
                }
            });
            eventLoop().register(far);
            promise.setSuccess();
            pipeline().fireChannelActive();
        }
    }

    /** Hands over what has come, if it is wanted, and the far end's close behind it. */
    void deliver() {
        if (reading && !unread.isEmpty()) {
            reading = false;
            while (!unread.isEmpty()) {
                pipeline().fireChannelRead(unread.poll());
            }
            pipeline().fireChannelReadComplete();
        }
        if (unread.isEmpty() && isActive() && peer.closed) {
            close();
        }
    }

    @Override
    protected void doBeginRead() {
        reading = true;
        if (!unread.isEmpty()) {
            eventLoop().execute(this::deliver);
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) {
        for (Object next = out.current(); next != null; next = out.current()) {
            if (!peer.closed) {
                peer.unread.add(((ByteBuf) next).retain());
            }
            out.remove();
        }
        eventLoop().execute(peer::deliver);
    }

    @Override
    protected void doClose() {
        closed = true;
        while (!unread.isEmpty()) {
            unread.poll().release();
        }
        if (peer != null && !peer.closed && peer.isRegistered()) {
            peer.eventLoop().execute(peer::deliver);
        }
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doBind(SocketAddress local) {
        throw new UnsupportedOperationException("nobody listens on this network");
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new Unsafe();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected SocketAddress localAddress0() {
        return MEMORY_ADDRESS;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return MEMORY_ADDRESS;
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    @Override
    public boolean isOpen() {
        return !closed;
    }

    @Override
    public boolean isActive() {
        return !closed && peer != null;
    }
}
