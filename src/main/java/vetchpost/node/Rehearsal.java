package vetchpost.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import vetchpost.config.NodeConfig;
import vetchpost.core.ServerList;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.http.ClientServer;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;

/**
 * Made-up requests before the node says that it is ready. A program that has just started loads classes
 * and runs unoptimised code: the first real requests took up to 0.2 s of the processor's time each, which
 * made them and those behind them late, and some unanswered in their time. A second node, of its own
 * memory, sends them over real connections to the first one's address, where they are known by a token
 * and answered on the spot; nothing of them reaches a server or the first node's module.
 */
final class Rehearsal {
    private static final int CLIENT_COUNT = 4;
    private static final int MAX_DESCRIPTORS = SocketBudget.RESERVED_DESCRIPTORS + 64;

    private final EventLoop loop;
    private final NodeConfig config;
    private final String token;
    private final int requests;
    private final long deadlineNs;
    private final Runnable onDone;
    private final Node node;
    private int sent;
    private int answered;
    private boolean ended;

    /** Sends so many requests, or fewer if that takes too long, and then runs {@code done}. */
    Rehearsal(
            EventLoop loop,
            Network network,
            NodeConfig real,
            ProtocolAdapters fronts,
            InetSocketAddress self,
            String token,
            int requests,
            long mostMs,
            Runnable done) {
        this.loop = loop;
        this.token = token;
        this.requests = requests;
        this.onDone = done;
        deadlineNs = loop.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        String zone =
                real.settings().zones.isEmpty() ? "" : real.settings().zones.get(0);
        ServerList itself =
                new ServerList(0, true, List.of(new ServerList.Target("self", self, zone, 0, ServerState.READY, 1, 0)));
        config = new NodeConfig(self, self, 1, MAX_DESCRIPTORS, real.serverIdleTimeoutUs(), real.settings(), itself);
        node = new Node(config, loop, network, System.currentTimeMillis(), NodeHooks.NONE, fronts);
    }

    void run() {
        node.startAsRehearsal();
        // Whatever goes wrong here must not keep the node from its work.
        loop.schedule(this::finish, deadlineNs - loop.ticker().nanoTime(), TimeUnit.NANOSECONDS);
        for (int i = 0; i < CLIENT_COUNT; i++) {
            sendNext(new Client());
        }
    }

    private void finish() {
        if (!ended) {
            ended = true;
            node.close();
            onDone.run();
        }
    }

    private void sendNext(Client client) {
        if (ended) {
            return;
        }
        if (sent == requests || loop.ticker().nanoTime() - deadlineNs > 0) {
            if (answered == sent) {
                finish();
            }
            return;
        }
        client.writeInbound(encodeRequest(sent++));
    }

    private ByteBuf encodeRequest(int number) {
        RequestClass cls =
                config.settings().classes.get(number % config.settings().classes.size());
        boolean safe = cls.idempotency() == Idempotency.SAFE;
        String tenant = config.settings().tenants.isEmpty()
                ? ""
                : "X-Org: " + config.settings().tenants.get(0).name() + "\r\n";
        return Unpooled.copiedBuffer(
                (safe ? "GET" : "POST") + " /" + cls.name() + " HTTP/1.1\r\n"
                        + "Host: backend.local\r\nX-Txn: " + HexFormat.of().toHexDigits((long) number) + "\r\n"
                        + tenant
                        + "Cookie: key=1\r\nX-Remaining-Ms: 3000\r\n" + ClientServer.REHEARSAL_HEADER + ": " + token
                        + "\r\n"
                        + (safe ? "" : "Content-Length: 4\r\n")
                        + (cls.idempotency() == Idempotency.KEYED ? "Idempotency-Key: " + number + "\r\n" : "")
                        + "\r\n" + (safe ? "" : "body"),
                StandardCharsets.US_ASCII);
    }

    /** A client without a socket: what is written to it has been answered. */
    private final class Client extends EmbeddedChannel {
        Client() {
            node.openRehearsalConnection(pipeline());
            pipeline().fireChannelActive();
        }

        @Override
        protected void handleOutboundMessage(Object message) {
            ReferenceCountUtil.release(message);
            answered++;
            loop.execute(() -> sendNext(this));
        }
    }
}
