package vetchpost.replication.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.TimeUnit;
import vetchpost.handover.AuthenticatedFrames;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.replication.Frame;
import vetchpost.replication.FrameCodec;
import vetchpost.replication.MalformedFrameException;
import vetchpost.replication.PublisherChoice;
import vetchpost.replication.PublisherFailover;
import vetchpost.replication.Replica;

/** A replica's connection to its publishers. All of it is on one loop, which is best not the requests'. */
public final class ReplicaClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final EventLoop loop;
    private final Network network;
    private final SharedSecret secret;
    private final SecureRandom random;
    private final List<InetSocketAddress> publishers;
    private final Replica replica;
    private final FrameCodec codec = new FrameCodec();
    private final PublisherFailover failover;
    private Attempt current;

    /**
     * Connects to nobody yet.
     *
     * @param name of the replica
     */
    public ReplicaClient(
            EventLoop loop,
            Network network,
            SharedSecret secret,
            SecureRandom random,
            String name,
            List<InetSocketAddress> publishers,
            Replica replica) {
        this.loop = loop;
        this.network = network;
        this.secret = secret;
        this.random = random;
        this.publishers = publishers;
        this.replica = replica;
        failover = new PublisherFailover(
                replica,
                new PublisherChoice(
                        name, publishers.stream().map(Object::toString).toList()),
                new EventLoopTransport());
    }

    /** Connects from now on; on the loop. */
    public void start() {
        failover.start(0);
    }

    /** What it keeps up. */
    public Replica replica() {
        return replica;
    }

    /** What went wrong last, or empty. */
    public String failure() {
        return failover.failure();
    }

    /** The time by which the replica says when it heard something, in microseconds. */
    public long nowUs() {
        return loop.ticker().nanoTime() / 1_000;
    }

    @Override
    public void close() {
        failover.stop();
        codec.close();
    }

    private final class EventLoopTransport implements PublisherFailover.Transport {
        @Override
        public void open(int publisher) {
            current = new Attempt();
            current.connect(publishers.get(publisher));
        }

        @Override
        public void send(Frame frame) {
            current.frames.send(codec.write(frame));
        }

        @Override
        public void close() {
            Attempt attempt = current;
            current = null;
            if (attempt != null && attempt.frames != null) {
                attempt.frames.close("left");
            }
        }

        @Override
        public long nowUs() {
            return ReplicaClient.this.nowUs();
        }

        @Override
        public void schedule(long us, Runnable task) {
            loop.schedule(task, us, TimeUnit.MICROSECONDS);
        }
    }

    /** One connection, from its opening to its end. */
    private final class Attempt implements AuthenticatedFrames.Listener {
        private AuthenticatedFrames frames;

        void connect(InetSocketAddress to) {
            Channel channel;
            try {
                channel = network.newClientChannel();
            } catch (ChannelException e) {
                loop.execute(() -> onClosed("no connection could be opened"));
                return;
            }
            new Bootstrap()
                    .group(loop)
                    .channelFactory(() -> channel)
                    .disableResolver()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel opening) {
                            frames = AuthenticatedFrames.open(
                                    opening, secret, random, false, FrameCodec.MAX_FRAME_BYTES, Attempt.this);
                        }
                    })
                    .connect(to)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            onClosed(to + ": nobody is there");
                        }
                    });
        }

        @Override
        public void onAuthenticated() {
            if (current == this) {
                failover.opened();
            }
        }

        @Override
        public void onFrame(byte[] bytes) {
            if (current != this) {
                return;
            }
            try {
                failover.receive(codec.read(bytes));
            } catch (MalformedFrameException e) {
                failover.rejected(e.getMessage());
            }
        }

        @Override
        public void onClosed(String why) {
            if (current == this) {
                current = null;
                failover.failed(why);
            }
        }
    }
}
