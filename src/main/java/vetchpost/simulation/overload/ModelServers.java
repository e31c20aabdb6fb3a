package vetchpost.simulation.overload;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import vetchpost.core.ClientRequest;
import vetchpost.core.ServerList;
import vetchpost.core.ServerResponse;
import vetchpost.core.ServerTransport;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerState;

/** Boxes of one core, first come first served, that work on though nobody waits any more. */
final class ModelServers implements ServerTransport {
    private static final long WAY_US = 200;
    private static final int ROOM = 300;
    /** Work varies by this share of its mean, evenly. */
    private static final double SPREAD = 0.5;

    private static final ServerResponse ANSWER = new ServerResponse(200, null, new byte[0]);

    private final VirtualClock clock;
    private final SplittableRandom random;
    private final List<OverloadRun.Kind> kinds;
    private final long[] freeAtUs;
    private final int[] queued;
    private double slower = 1;

    private static final class Sent implements Attempt {
        private final AttemptListener report;
        private boolean over;

        Sent(AttemptListener report) {
            this.report = report;
        }

        @Override
        public boolean mayHaveReachedServer() {
            return true;
        }

        @Override
        public void abandon(Result reason) {
            end(reason, null);
        }

        void end(Result result, ServerResponse answer) {
            if (!over) {
                over = true;
                report.onEnded(result, answer);
            }
        }
    }

    /** So many idle boxes. */
    ModelServers(VirtualClock clock, SplittableRandom random, List<OverloadRun.Kind> kinds, int boxes) {
        this.clock = clock;
        this.random = random;
        this.kinds = kinds;
        freeAtUs = new long[boxes];
        queued = new int[boxes];
    }

    /** What begins from now on takes so many times its work. */
    void slow(double times) {
        slower = times;
    }

    @Override
    public void update(ServerList list) {}

    @Override
    public Attempt send(String serverId, OutgoingRequest sending) {
        int box = Integer.parseInt(serverId);
        Sent sent = new Sent(sending);
        ClientRequest request = sending.request();
        long now = clock.nowUs();
        if (queued[box] >= ROOM) {
            clock.schedule(now + WAY_US, () -> sent.end(Result.FULL, null));
            return sent;
        }
        queued[box]++;
        double work =
                kinds.get(request.classIndex()).workUs() * slower * (1 - SPREAD + 2 * SPREAD * random.nextDouble());
        freeAtUs[box] = Math.max(freeAtUs[box], now) + (long) work;
        clock.schedule(freeAtUs[box], () -> queued[box]--);
        clock.schedule(freeAtUs[box] + WAY_US, () -> sent.end(Result.OK, ANSWER));
        return sent;
    }

    @Override
    public Attempt probe(String serverId, AttemptListener report) {
        Sent sent = new Sent(report);
        clock.schedule(clock.nowUs() + WAY_US, () -> sent.end(Result.OK, ANSWER));
        return sent;
    }

    @Override
    public void close() {}

    /** The boxes as a list names them. */
    ServerList list() {
        List<ServerList.Target> targets = new ArrayList<>();
        for (int i = 0; i < freeAtUs.length; i++) {
            targets.add(new ServerList.Target(
                    Integer.toString(i),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + i),
                    "",
                    0,
                    ServerState.READY,
                    1,
                    0));
        }
        return new ServerList(1, true, targets);
    }
}
