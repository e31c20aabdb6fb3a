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

/** Asks a running node for what it knows, once. Whatever comes is bounded in bytes and time, and checked. */
public final class HandoverReceiver {
    /** 100,000 boxes take under 24 MiB. */
    static final long MAX_SNAPSHOT_BYTES = 32L << 20;

    /** What a handover came to. */
    public interface Outcome {
        /**
         * The only call.
         *
         * @param snapshot what has come and holds, in part if the handover was cut off; null for nothing
         * @param whole whether it is all of it
         * @param why what went wrong, if anything has; else null
         */
        void received(Snapshot snapshot, boolean whole, String why);
    }

    private final EventLoop loop;
    private final Network network;
    private final SharedSecret secret;
    private final SecureRandom random;

    public HandoverReceiver(EventLoop loop, Network network, SharedSecret secret, SecureRandom random) {
        this.loop = loop;
        this.network = network;
        this.secret = secret;
        this.random = random;
    }

    /**
     * Asks there.
     *
     * @param withinMs all that has not come by then is not waited for
     * @return ends it at once, as if the time were up
     */
    public Runnable request(InetSocketAddress address, long withinMs, Outcome outcome) {
        Request asking = new Request(outcome);
        asking.timeout = loop.schedule(() -> asking.finish("it took too long"), withinMs, TimeUnit.MILLISECONDS);
        try {
            asking.channel = network.newClientChannel();
        } catch (ChannelException e) {
            loop.execute(() -> asking.finish("no connection could be opened"));
            return () -> asking.finish("called off");
        }
        new Bootstrap()
                .group(loop)
                .channelFactory(() -> asking.channel)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, withinMs))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel to) {
                        asking.open(to);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        asking.finish("nobody is there");
                    }
                });
        return () -> asking.finish("called off");
    }

    /** Begins on a channel that is open, with no limit of time of its own. */
    void attach(Channel channel, Outcome outcome) {
        Request asking = new Request(outcome);
        asking.channel = channel;
        asking.open(channel);
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

        void finish(String why) {
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
            outcome.received(assembler.snapshot(), assembler.isComplete(), why);
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
                            "it sent over " + MAX_SNAPSHOT_BYTES + " bytes");
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
                    throw new HandoverProtocol.HandoverRejectedException("it doesn't know the secret");
                }
                sessionKey = secret.sessionKey(0, senderNonce, nonce);
            } else {
                receiveChunk(HandoverProtocol.bytes(message));
            }
        }

        private void receiveChunk(byte[] message)
                throws HandoverProtocol.HandoverRejectedException, MalformedSnapshotException {
            if (message.length < SharedSecret.MAC_BYTES) {
                throw new HandoverProtocol.HandoverRejectedException("a piece without a tag");
            }
            byte[] piece = Arrays.copyOf(message, message.length - SharedSecret.MAC_BYTES);
            byte[] tag = Arrays.copyOfRange(message, piece.length, message.length);
            if (!MessageDigest.isEqual(tag, SharedSecret.tag(sessionKey, nextNumber++, piece))) {
                throw new HandoverProtocol.HandoverRejectedException(
                        "a piece that is not the giver's, or not in its place");
            }
            if (piece.length == 0) {
                finish(assembler.isComplete() ? null : "pieces are missing");
            } else {
                assembler.add(ChunkCodec.read(piece));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            finish("it was cut off");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            finish("it broke: " + cause.getMessage());
        }
    }
}
