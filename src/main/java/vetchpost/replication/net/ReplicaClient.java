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

/**
 * Connects a {@link Replica} to its publishers, one at a time, with failover. All methods are called on one event
 * loop, preferably not one that serves requests.
 */
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
     * Creates a client that does not connect before {@link #start}.
     *
     * @param name name of the replica, which also determines its order of publishers
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

    /** Starts connecting; called on the loop. */
    public void start() {
        failover.start(0);
    }

    /** Returns the replica that this client updates. */
    public Replica replica() {
        return replica;
    }

    /** Returns the last failure, empty since a publisher confirmed the newest version. */
    public String failure() {
        return failover.failure();
    }

    /** Returns the time in microseconds on the clock that the replica's times refer to. */
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
                attempt.frames.close("connection closed by the replica");
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

    /** One connection, from opening to close. */
    private final class Attempt implements AuthenticatedFrames.Listener {
        private AuthenticatedFrames frames;

        void connect(InetSocketAddress to) {
            Channel channel;
            try {
                channel = network.newClientChannel();
            } catch (ChannelException e) {
                loop.execute(() -> onClosed("no socket could be opened"));
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
                            onClosed(to + ": connection failed");
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
        public void onClosed(String reason) {
            if (current == this) {
                current = null;
                failover.failed(reason);
            }
        }
    }
}
