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
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;

/**
 * Sends synthetic requests through a node before it reports itself ready. Right after the start, class loading and
 * unoptimised code cost the first requests up to 0.2 s of CPU time each, so that they and those behind them missed
 * their deadlines. A second node with state of its own sends them over real connections to the first node, which
 * recognises these connections ({@link vetchpost.http.RehearsalConnections}) and answers them itself; none reaches a
 * server or the first node's decision module.
 * {@link Node} runs it on its event loop.
 */
final class Rehearsal {
    private static final int CLIENT_COUNT = 4;
    private static final int MAX_DESCRIPTORS = SocketBudget.RESERVED_DESCRIPTORS + 64;

    private final EventLoop loop;
    private final NodeConfig config;
    private final int requests;
    private final long deadlineNs;
    private final Runnable onDone;
    private final Node node;
    private int sent;
    private int answered;
    private boolean ended;

    /**
     * Prepares a rehearsal.
     *
     * @param self the address of the node under rehearsal
     * @param requests number of requests to send; fewer are sent if that takes too long
     * @param maxMs time limit in milliseconds
     * @param onDone runs once, when all are answered or the time is up
     */
    Rehearsal(
            EventLoop loop,
            Network network,
            NodeConfig nodeConfig,
            ProtocolAdapters protocolAdapters,
            InetSocketAddress self,
            int requests,
            long maxMs,
            Runnable onDone) {
        this.loop = loop;
        this.requests = requests;
        this.onDone = onDone;
        deadlineNs = loop.ticker().nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMs);
        String zone = nodeConfig.settings().zones.isEmpty()
                ? ""
                : nodeConfig.settings().zones.get(0);
        ServerList selfList =
                new ServerList(0, true, List.of(new ServerList.Target("self", self, zone, 0, ServerState.READY, 1, 0)));
        config = new NodeConfig(
                self, self, 1, MAX_DESCRIPTORS, nodeConfig.serverIdleTimeoutUs(), nodeConfig.settings(), selfList);
        node = new Node(config, loop, network, System.currentTimeMillis(), NodeHooks.NONE, protocolAdapters);
    }

    void run() {
        node.startAsRehearsal();
        // A failed rehearsal must not keep the node from starting.
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
        RequestClass requestClass =
                config.settings().classes.get(number % config.settings().classes.size());
        boolean isSafe = requestClass.idempotency() == Idempotency.SAFE;
        String tenant = config.settings().tenants.isEmpty()
                ? ""
                : "X-Org: " + config.settings().tenants.get(0).name() + "\r\n";
        return Unpooled.copiedBuffer(
                (isSafe ? "GET" : "POST") + " /" + requestClass.name() + " HTTP/1.1\r\n"
                        + "Host: backend.local\r\nX-Txn: " + HexFormat.of().toHexDigits((long) number) + "\r\n"
                        + tenant
                        + "Cookie: key=1\r\nX-Remaining-Ms: 3000\r\n"
                        + (isSafe ? "" : "Content-Length: 4\r\n")
                        + (requestClass.idempotency() == Idempotency.KEYED ? "Idempotency-Key: " + number + "\r\n" : "")
                        + "\r\n" + (isSafe ? "" : "body"),
                StandardCharsets.US_ASCII);
    }

    /** A client without a socket; each response written to it triggers the next request. */
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
