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
    private static final long NETWORK_DELAY_US = 200;
    private static final int MAX_QUEUED_REQUESTS = 300;
    /** Work varies by this share of its mean, evenly. */
    private static final double WORK_VARIATION_FRACTION = 0.5;

    private static final ServerResponse OK_RESPONSE = new ServerResponse(200, null, new byte[0]);

    private final VirtualClock clock;
    private final SplittableRandom random;
    private final List<OverloadRun.ClassProfile> classes;
    private final long[] freeAtUs;
    private final int[] queued;
    private double workFactor = 1;

    private static final class SimulatedAttempt implements Attempt {
        private final AttemptListener listener;
        private boolean ended;

        SimulatedAttempt(AttemptListener report) {
            this.listener = report;
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
            if (!ended) {
                ended = true;
                listener.onEnded(result, answer);
            }
        }
    }

    /** So many idle boxes. */
    ModelServers(VirtualClock clock, SplittableRandom random, List<OverloadRun.ClassProfile> kinds, int boxes) {
        this.clock = clock;
        this.random = random;
        this.classes = kinds;
        freeAtUs = new long[boxes];
        queued = new int[boxes];
    }

    /** What begins from now on takes so many times its work. */
    void setWorkFactor(double times) {
        workFactor = times;
    }

    @Override
    public void update(ServerList list) {}

    @Override
    public Attempt send(String serverId, OutgoingRequest sending) {
        int box = Integer.parseInt(serverId);
        SimulatedAttempt sent = new SimulatedAttempt(sending);
        ClientRequest request = sending.request();
        long now = clock.nowUs();
        if (queued[box] >= MAX_QUEUED_REQUESTS) {
            clock.schedule(now + NETWORK_DELAY_US, () -> sent.end(Result.FULL, null));
            return sent;
        }
        queued[box]++;
        double work = classes.get(request.classIndex()).workUs()
                * workFactor
                * (1 - WORK_VARIATION_FRACTION + 2 * WORK_VARIATION_FRACTION * random.nextDouble());
        freeAtUs[box] = Math.max(freeAtUs[box], now) + (long) work;
        clock.schedule(freeAtUs[box], () -> queued[box]--);
        clock.schedule(freeAtUs[box] + NETWORK_DELAY_US, () -> sent.end(Result.OK, OK_RESPONSE));
        return sent;
    }

    @Override
    public Attempt probe(String serverId, AttemptListener report) {
        SimulatedAttempt sent = new SimulatedAttempt(report);
        clock.schedule(clock.nowUs() + NETWORK_DELAY_US, () -> sent.end(Result.OK, OK_RESPONSE));
        return sent;
    }

    @Override
    public void close() {}

    /** The boxes as a list names them. */
    ServerList serverList() {
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
