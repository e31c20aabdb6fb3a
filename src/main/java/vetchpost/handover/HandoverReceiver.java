package vetchpost.handover;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import vetchpost.net.Network;
import vetchpost.state.Snapshot;
import vetchpost.state.codec.ChunkAssembler;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.codec.MalformedSnapshotException;

/**
 * Requests the snapshot of a running node. The response is bounded in bytes and time, authenticated and validated.
 * Called by {@code Recovery}; all methods and outcomes run on the event loop.
 */
public final class HandoverReceiver {
    /** 100,000 servers take under 24 MiB. */
    static final long MAX_SNAPSHOT_BYTES = 32L << 20;

    /** Receives the outcome of a handover. */
    public interface Outcome {
        /**
         * Called once.
         *
         * @param snapshot the valid chunks received, partial if the handover was interrupted; null for none
         * @param isWhole whether the snapshot is complete
         * @param reason what failed; null if nothing did
         */
        void received(Snapshot snapshot, boolean isWhole, String reason);
    }

    private final EventLoop loop;
    private final Network network;
    private final SharedSecret secret;
    private final SecureRandom random;

    /** Creates a receiver that connects on an event loop. */
    public HandoverReceiver(EventLoop loop, Network network, SharedSecret secret, SecureRandom random) {
        this.loop = loop;
        this.network = network;
        this.secret = secret;
        this.random = random;
    }

    /**
     * Requests a handover.
     *
     * @param timeoutMs limit on the whole handover in milliseconds; chunks received by then are used
     * @return cancels the handover, as if the time limit were exceeded
     */
    public Runnable request(InetSocketAddress address, long timeoutMs, Outcome outcome) {
        Request request = new Request(outcome);
        request.timeout = loop.schedule(() -> request.finish("time limit exceeded"), timeoutMs, TimeUnit.MILLISECONDS);
        try {
            request.channel = network.newClientChannel();
        } catch (ChannelException e) {
            loop.execute(() -> request.finish("no socket could be opened"));
            return () -> request.finish("cancelled");
        }
        new Bootstrap()
                .group(loop)
                .channelFactory(() -> request.channel)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeoutMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel to) {
                        request.open(to);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        request.finish("connection could not be established");
                    }
                });
        return () -> request.finish("cancelled");
    }

    /** Starts on an open channel, without a time limit. */
    void attach(Channel channel, Outcome outcome) {
        Request request = new Request(outcome);
        request.channel = channel;
        request.open(channel);
    }

    private final class Request extends SimpleChannelInboundHandler<ByteBuf> {
        private final Outcome outcome;
        private final ChunkAssembler assembler = new ChunkAssembler();
        private final byte[] nonce = new byte[SharedSecret.NONCE_BYTES];
        private byte[] senderNonce;
        private byte[] sessionKey;
        private int nextNumber;
        private long receivedBytes;
        private Channel channel;
        private ScheduledFuture<?> timeout;
        private boolean isFinished;

        Request(Outcome outcome) {
            this.outcome = outcome;
            random.nextBytes(nonce);
        }

        void open(Channel to) {
            HandoverProtocol.addFrameCodec(to.pipeline(), HandoverProtocol.maxFrameBytes());
            to.pipeline().addLast(this);
        }

        void finish(String reason) {
            if (isFinished) {
                return;
            }
            isFinished = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (channel != null) {
                channel.close();
            }
            outcome.received(assembler.snapshot(), assembler.isComplete(), reason);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
            if (isFinished) {
                return;
            }
            receivedBytes += message.readableBytes();
            try {
                if (receivedBytes > MAX_SNAPSHOT_BYTES) {
                    throw new HandoverProtocol.HandoverRejectedException(
                            "sender sent more than " + MAX_SNAPSHOT_BYTES + " bytes");
                }
                receive(message);
            } catch (HandoverProtocol.HandoverRejectedException | MalformedSnapshotException e) {
                finish(e.getMessage());
            }
        }

        private void receive(ByteBuf message)
                throws HandoverProtocol.HandoverRejectedException, MalformedSnapshotException {
            if (senderNonce == null) {
                senderNonce = HandoverProtocol.hello(message, 0).nonce();
                HandoverProtocol.hello(channel, nonce, secret.proof(0, HandoverProtocol.RECEIVER, senderNonce, nonce));
            } else if (sessionKey == null) {
                if (!MessageDigest.isEqual(
                        HandoverProtocol.bytes(message),
                        secret.proof(0, HandoverProtocol.SENDER, senderNonce, nonce))) {
                    throw new HandoverProtocol.HandoverRejectedException("peer does not know the secret");
                }
                sessionKey = secret.sessionKey(0, senderNonce, nonce);
            } else {
                receiveChunk(HandoverProtocol.bytes(message));
            }
        }

        private void receiveChunk(byte[] message)
                throws HandoverProtocol.HandoverRejectedException, MalformedSnapshotException {
            if (message.length < SharedSecret.MAC_BYTES) {
                throw new HandoverProtocol.HandoverRejectedException("chunk without a tag");
            }
            byte[] chunk = Arrays.copyOf(message, message.length - SharedSecret.MAC_BYTES);
            byte[] tag = Arrays.copyOfRange(message, chunk.length, message.length);
            if (!MessageDigest.isEqual(tag, SharedSecret.tag(sessionKey, nextNumber++, chunk))) {
                throw new HandoverProtocol.HandoverRejectedException("chunk is forged or out of order");
            }
            if (chunk.length == 0) {
                finish(assembler.isComplete() ? null : "chunks are missing");
            } else {
                assembler.add(ChunkCodec.read(chunk));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            finish("connection was closed by the peer");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            finish("connection failed: " + cause.getMessage());
        }
    }
}
