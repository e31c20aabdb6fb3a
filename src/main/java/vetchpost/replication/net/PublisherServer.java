package vetchpost.replication.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import vetchpost.handover.AuthenticatedFrames;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.replication.FrameCodec;
import vetchpost.replication.MalformedFrameException;
import vetchpost.replication.Publisher;
import vetchpost.store.VersionedStore;

/** A publisher's connections to its replicas. All of it is on one loop. */
public final class PublisherServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(PublisherServer.class.getName());
    /** Over the replicas of a whole fleet, should all others be gone. */
    private static final int MOST_CONNECTIONS = 8_192;

    private static final int BACKLOG = 1_024;
    private static final long HEARTBEAT_US = 5_000_000;

    private final EventLoop loop;
    private final Network network;
    private final SharedSecret secret;
    private final SecureRandom random;
    private final FrameCodec codec = new FrameCodec();
    private final Publisher publisher;
    private final Set<Connection> connections = new HashSet<>();
    private Channel listening;
    private ScheduledFuture<?> pumping;
    private boolean refusedSaid;

    /** Not listening yet; on the loop. */
    public PublisherServer(
            EventLoop loop,
            Network network,
            SharedSecret secret,
            SecureRandom random,
            VersionedStore store,
            Publisher.Budget budget) {
        this.loop = loop;
        this.network = network;
        this.secret = secret;
        this.random = random;
        publisher = new Publisher(store, codec, budget, HEARTBEAT_US, nowUs());
    }

    private long nowUs() {
        return loop.ticker().nanoTime() / 1_000;
    }

    /** Listens. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channelFactory(network::newServerChannel)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (connections.size() >= MOST_CONNECTIONS) {
                            channel.close();
                            return;
                        }
                        Connection connection = new Connection(channel);
                        connections.add(connection);
                        connection.frames = AuthenticatedFrames.open(
                                channel, secret, random, true, FrameCodec.MAX_FRAME_BYTES, connection);
                    }
                })
                .bind(address);
        listening = binding.channel();
        return binding;
    }

    /** Has another version to tell; on the loop. */
    public void publish(VersionedStore store) {
        publisher.publish(store);
        pump();
    }

    /** Has other budgets hold from now on; on the loop. */
    public void setBudget(Publisher.Budget other) {
        publisher.setBudget(other, nowUs());
        pump();
    }

    /** What it tells, and to whom; on the loop. */
    public Publisher publisher() {
        return publisher;
    }

    private void pump() {
        if (pumping != null) {
            pumping.cancel(false);
            pumping = null;
        }
        long nextUs = publisher.sendPending(nowUs());
        if (nextUs != Long.MAX_VALUE) {
            pumping = loop.schedule(
                    () -> {
                        pumping = null;
                        pump();
                    },
                    Math.max(1, nextUs - nowUs()),
                    TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void close() {
        if (listening != null) {
            listening.close();
        }
        if (pumping != null) {
            pumping.cancel(false);
        }
        Set.copyOf(connections).forEach(c -> c.frames.close("the publisher ends"));
        codec.close();
    }

    private final class Connection implements Publisher.Peer, AuthenticatedFrames.Listener {
        private final Channel channel;
        private AuthenticatedFrames frames;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void send(byte[] frame) {
            frames.send(frame);
        }

        @Override
        public boolean isWritable() {
            return frames.isWritable();
        }

        @Override
        public void up() {
            publisher.connected(this, nowUs());
        }

        @Override
        public void frame(byte[] frame) {
            try {
                publisher.receive(this, codec.read(frame), frame.length, nowUs());
                pump();
            } catch (MalformedFrameException e) {
                frames.close(e.getMessage());
            }
        }

        @Override
        public void writable() {
            pump();
        }

        @Override
        public void down(String why) {
            connections.remove(this);
            publisher.disconnected(this);
            if (!refusedSaid && why.contains("secret")) {
                // One line for all: whoever can reach the address must not fill the log.
                refusedSaid = true;
                LOG.log(
                        Level.WARNING,
                        "a replica at {0} is refused: {1}; others will be without a word",
                        channel.remoteAddress(),
                        why);
            }
        }
    }
}
