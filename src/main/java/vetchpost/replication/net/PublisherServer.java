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
    private static final int MAX_CONNECTIONS = 8_192;

    private static final int ACCEPT_BACKLOG = 1_024;
    private static final long HEARTBEAT_INTERVAL_US = 5_000_000;

    private final EventLoop loop;
    private final Network network;
    private final SharedSecret secret;
    private final SecureRandom random;
    private final FrameCodec codec = new FrameCodec();
    private final Publisher publisher;
    private final Set<Connection> connections = new HashSet<>();
    private Channel listenChannel;
    private ScheduledFuture<?> pendingSend;
    private boolean hasLoggedRejection;

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
        publisher = new Publisher(store, codec, budget, HEARTBEAT_INTERVAL_US, nowUs());
    }

    private long nowUs() {
        return loop.ticker().nanoTime() / 1_000;
    }

    /** Listens. */
    public ChannelFuture listen(EventLoopGroup group, SocketAddress address) {
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channelFactory(network::newServerChannel)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (connections.size() >= MAX_CONNECTIONS) {
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
        listenChannel = binding.channel();
        return binding;
    }

    /** Has another version to tell; on the loop. */
    public void publish(VersionedStore store) {
        publisher.publish(store);
        sendPending();
    }

    /** Has other budgets hold from now on; on the loop. */
    public void setBudget(Publisher.Budget other) {
        publisher.setBudget(other, nowUs());
        sendPending();
    }

    /** What it tells, and to whom; on the loop. */
    public Publisher publisher() {
        return publisher;
    }

    private void sendPending() {
        if (pendingSend != null) {
            pendingSend.cancel(false);
            pendingSend = null;
        }
        long nextUs = publisher.sendPending(nowUs());
        if (nextUs != Long.MAX_VALUE) {
            pendingSend = loop.schedule(
                    () -> {
                        pendingSend = null;
                        sendPending();
                    },
                    Math.max(1, nextUs - nowUs()),
                    TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void close() {
        if (listenChannel != null) {
            listenChannel.close();
        }
        if (pendingSend != null) {
            pendingSend.cancel(false);
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
        public void onAuthenticated() {
            publisher.connected(this, nowUs());
        }

        @Override
        public void onFrame(byte[] frame) {
            try {
                publisher.receive(this, codec.read(frame), frame.length, nowUs());
                sendPending();
            } catch (MalformedFrameException e) {
                frames.close(e.getMessage());
            }
        }

        @Override
        public void onWritable() {
            sendPending();
        }

        @Override
        public void onClosed(String why) {
            connections.remove(this);
            publisher.disconnected(this);
            if (!hasLoggedRejection && why.contains("secret")) {
                // One line for all: whoever can reach the address must not fill the log.
                hasLoggedRejection = true;
                LOG.log(
                        Level.WARNING,
                        "a replica at {0} is refused: {1}; others will be without a word",
                        channel.remoteAddress(),
                        why);
            }
        }
    }
}
