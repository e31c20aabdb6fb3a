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
        Asking asking = new Asking(outcome);
        asking.limit = loop.schedule(() -> asking.end("it took too long"), withinMs, TimeUnit.MILLISECONDS);
        try {
            asking.channel = network.newClientChannel();
        } catch (ChannelException e) {
            loop.execute(() -> asking.end("no connection could be opened"));
            return () -> asking.end("called off");
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
                        asking.end("nobody is there");
                    }
                });
        return () -> asking.end("called off");
    }

    /** Begins on a channel that is open, with no limit of time of its own. */
    void attach(Channel channel, Outcome outcome) {
        Asking asking = new Asking(outcome);
        asking.channel = channel;
        asking.open(channel);
    }

    private final class Asking extends SimpleChannelInboundHandler<ByteBuf> {
        private final Outcome outcome;
        private final ChunkAssembler assembly = new ChunkAssembler();
        private final byte[] nonce = new byte[SharedSecret.NONCE_BYTES];
        private byte[] giverNonce;
        private byte[] session;
        private int number;
        private long bytes;
        private Channel channel;
        private ScheduledFuture<?> limit;
        private boolean over;

        Asking(Outcome outcome) {
            this.outcome = outcome;
            random.nextBytes(nonce);
        }

        void open(Channel to) {
            HandoverProtocol.frames(to.pipeline(), HandoverProtocol.mostFrame());
            to.pipeline().addLast(this);
        }

        void end(String why) {
            if (over) {
                return;
            }
            over = true;
            if (limit != null) {
                limit.cancel(false);
            }
            if (channel != null) {
                channel.close();
            }
            outcome.received(assembly.snapshot(), assembly.isComplete(), why);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
            if (over) {
                return;
            }
            bytes += message.readableBytes();
            try {
                if (bytes > MAX_SNAPSHOT_BYTES) {
                    throw new HandoverProtocol.Refused("it sent over " + MAX_SNAPSHOT_BYTES + " bytes");
                }
                take(message);
            } catch (HandoverProtocol.Refused | MalformedSnapshotException e) {
                end(e.getMessage());
            }
        }

        private void take(ByteBuf message) throws HandoverProtocol.Refused, MalformedSnapshotException {
            if (giverNonce == null) {
                giverNonce = HandoverProtocol.hello(message, 0).nonce();
                HandoverProtocol.hello(channel, nonce, secret.proof(0, HandoverProtocol.RECEIVER, giverNonce, nonce));
            } else if (session == null) {
                if (!MessageDigest.isEqual(
                        HandoverProtocol.bytes(message), secret.proof(0, HandoverProtocol.SENDER, giverNonce, nonce))) {
                    throw new HandoverProtocol.Refused("it doesn't know the secret");
                }
                session = secret.session(0, giverNonce, nonce);
            } else {
                piece(HandoverProtocol.bytes(message));
            }
        }

        private void piece(byte[] message) throws HandoverProtocol.Refused, MalformedSnapshotException {
            if (message.length < SharedSecret.MAC_BYTES) {
                throw new HandoverProtocol.Refused("a piece without a tag");
            }
            byte[] piece = Arrays.copyOf(message, message.length - SharedSecret.MAC_BYTES);
            byte[] tag = Arrays.copyOfRange(message, piece.length, message.length);
            if (!MessageDigest.isEqual(tag, SharedSecret.tag(session, number++, piece))) {
                throw new HandoverProtocol.Refused("a piece that is not the giver's, or not in its place");
            }
            if (piece.length == 0) {
                end(assembly.isComplete() ? null : "pieces are missing");
            } else {
                assembly.add(ChunkCodec.read(piece));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end("it was cut off");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end("it broke: " + cause.getMessage());
        }
    }
}
