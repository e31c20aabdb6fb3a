package vetchpost.simulation.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

/**
 * A connection of the simulated network as a Netty channel. It reads and writes as Netty's NIO channel does:
 * once in a turn of the event loop, as much as its allocator allows, and immediately when asked to. It is used
 * on the thread of its {@link SimLoop}.
 */
final class SimChannel extends AbstractChannel implements DuplexChannel, SimLoop.Ready {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    private final SimNetwork network;
    private final ChannelConfig config = new SimChannelConfig(this);
    private SimulatedSocket socket;
    private ChannelPromise connectPromise;
    private Future<?> connectTimer;
    private boolean reading;
    private boolean closed;
    private boolean outputShutdown;

    /** A channel to be connected later, if the socket is null, or one for an accepted socket. */
    SimChannel(SimNetwork network, Channel parent, SimulatedSocket end) {
        super(parent, new SimChannelId(network.nextId()));
        this.network = network;
        config.setAllocator(network.allocator());
        if (end != null) {
            attach(end);
        }
    }

    private void attach(SimulatedSocket opened) {
        socket = opened;
        socket.setHandler(() -> network.loop().markReady(this));
    }

    private final class Unsafe extends AbstractUnsafe {
        @Override
        public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
            if (!promise.setUncancellable() || !ensureOpen(promise)) {
                return;
            }
            connectPromise = promise;
            attach(network.host().connect((InetSocketAddress) remote, null));
            int timeoutMs = config.getConnectTimeoutMillis();
            connectTimer = eventLoop()
                    .schedule(
                            () -> {
                                if (connectPromise != null) {
                                    failConnect(new ConnectTimeoutException("connection timed out: " + remote));
                                }
                            },
                            timeoutMs,
                            TimeUnit.MILLISECONDS);
        }

        private void failConnect(Exception cause) {
            ChannelPromise promise = connectPromise;
            connectPromise = null;
            connectTimer.cancel(false);
            promise.tryFailure(cause);
            closeIfClosed();
        }

        private void finishConnect() {
            if (socket.isFailed()) {
                failConnect(new ConnectException("Connection refused"));
            } else if (socket.isOpen()) {
                ChannelPromise promise = connectPromise;
                connectPromise = null;
                connectTimer.cancel(false);
                if (promise.trySuccess()) {
                    pipeline().fireChannelActive();
                }
            }
        }

        void resumeWriting() {
            super.flush0();
        }

        private void read() {
            var handle = recvBufAllocHandle();
            handle.reset(config);
            boolean ended = false;
            try {
                do {
                    ByteBuf buffer = handle.allocate(config.getAllocator());
                    handle.attemptedBytesRead(buffer.writableBytes());
                    int read = fill(buffer);
                    handle.lastBytesRead(read);
                    if (read <= 0) {
                        buffer.release();
                        ended = read < 0;
                        break;
                    }
                    handle.incMessagesRead(1);
                    reading = false;
                    pipeline().fireChannelRead(buffer);
                } while (handle.continueReading());
                handle.readComplete();
                pipeline().fireChannelReadComplete();
            } catch (IOException e) {
                handle.readComplete();
                pipeline().fireChannelReadComplete();
                pipeline().fireExceptionCaught(e);
                ended = true;
            }
            if (ended) {
                close(voidPromise());
            }
        }

        private int fill(ByteBuf buffer) throws IOException {
            if (socket.readable() > 0) {
                byte[] bytes = socket.read(buffer.writableBytes());
                buffer.writeBytes(bytes);
                return bytes.length;
            }
            if (socket.isReset()) {
                buffer.release();
                throw new IOException("Connection reset by peer");
            }
            return socket.isAtEnd() ? -1 : 0;
        }
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new Unsafe();
    }

    @Override
    public void onReady() {
        Unsafe unsafe = (Unsafe) unsafe();
        if (connectPromise != null) {
            unsafe.finishConnect();
        }
        if (!isActive()) {
            return;
        }
        if (unsafe.outboundBuffer() != null && !unsafe.outboundBuffer().isEmpty()) {
            unsafe.resumeWriting();
        }
        if (isActive() && reading && hasInput()) {
            unsafe.read();
            if (isActive() && reading && hasInput()) {
                network.loop().markReady(this);
            }
        }
    }

    private boolean hasInput() {
        return socket.readable() > 0 || socket.isAtEnd();
    }

    void readNow() {
        if (isActive()) {
            ((Unsafe) unsafe()).read();
        }
    }

    @Override
    protected void doBeginRead() {
        reading = true;
        if (socket != null && hasInput()) {
            network.loop().markReady(this);
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        for (Object next = out.current(); next != null; next = out.current()) {
            ByteBuf buffer = (ByteBuf) next;
            if (!buffer.isReadable()) {
                out.remove();
                continue;
            }
            int written = socket.write(ByteBufUtil.getBytes(buffer));
            if (written < buffer.readableBytes()) {
                // The socket notifies its handler when it has room again.
                out.removeBytes(written);
                return;
            }
            out.removeBytes(written);
        }
    }

    @Override
    protected void doClose() {
        closed = true;
        if (connectPromise != null) {
            connectPromise.tryFailure(new ClosedChannelException());
            connectPromise = null;
        }
        if (connectTimer != null) {
            connectTimer.cancel(false);
        }
        if (socket != null) {
            socket.close();
        }
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doBind(SocketAddress local) {
        throw new UnsupportedOperationException("connections choose their own address");
    }

    @Override
    protected void doShutdownOutput() {
        outputShutdown = true;
        socket.shutdownOutput();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof SimLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return socket == null ? null : socket.local();
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return socket == null ? null : socket.remote();
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
        return !closed && socket != null && socket.isOpen() && connectPromise == null;
    }

    @Override
    public boolean isInputShutdown() {
        return closed;
    }

    @Override
    public ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    /** Not supported: nothing needs to shut only the input. */
    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        return promise.setFailure(new UnsupportedOperationException("only the output can be shut"));
    }

    @Override
    public boolean isOutputShutdown() {
        return closed || outputShutdown;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        ((AbstractUnsafe) unsafe()).shutdownOutput(promise);
        return promise;
    }

    @Override
    public boolean isShutdown() {
        return closed;
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdown(newPromise());
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        return shutdownOutput(promise);
    }
}
