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

/**
 * Simulated servers with one core each, which process requests in order of arrival, also those that were cancelled
 * before. A server whose queue is full answers {@link Result#FULL}. Called by the dispatcher of an
 * {@link OverloadRun}, on the run's thread.
 */
final class ModelServers implements ServerTransport {
    private static final long NETWORK_DELAY_US = 200;
    private static final int MAX_QUEUED_REQUESTS = 300;
    /** Processing times are uniform, within this fraction of their mean to either side. */
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

        SimulatedAttempt(AttemptListener listener) {
            this.listener = listener;
        }

        @Override
        public boolean mayHaveReachedServer() {
            return true;
        }

        @Override
        public void abandon(Result reason) {
            end(reason, null);
        }

        void end(Result result, ServerResponse response) {
            if (!ended) {
                ended = true;
                listener.onEnded(result, response);
            }
        }
    }

    /** Creates idle servers. */
    ModelServers(VirtualClock clock, SplittableRandom random, List<OverloadRun.ClassProfile> kinds, int serverCount) {
        this.clock = clock;
        this.random = random;
        this.classes = kinds;
        freeAtUs = new long[serverCount];
        queued = new int[serverCount];
    }

    /** Multiplies the processing time of requests that arrive from now on. */
    void setWorkFactor(double factor) {
        workFactor = factor;
    }

    @Override
    public void update(ServerList list) {}

    @Override
    public Attempt send(String serverId, OutgoingRequest outgoing) {
        int server = Integer.parseInt(serverId);
        SimulatedAttempt attempt = new SimulatedAttempt(outgoing);
        ClientRequest request = outgoing.request();
        long nowUs = clock.nowUs();
        if (queued[server] >= MAX_QUEUED_REQUESTS) {
            clock.schedule(nowUs + NETWORK_DELAY_US, () -> attempt.end(Result.FULL, null));
            return attempt;
        }
        queued[server]++;
        double workUs = classes.get(request.classIndex()).workUs()
                * workFactor
                * (1 - WORK_VARIATION_FRACTION + 2 * WORK_VARIATION_FRACTION * random.nextDouble());
        freeAtUs[server] = Math.max(freeAtUs[server], nowUs) + (long) workUs;
        clock.schedule(freeAtUs[server], () -> queued[server]--);
        clock.schedule(freeAtUs[server] + NETWORK_DELAY_US, () -> attempt.end(Result.OK, OK_RESPONSE));
        return attempt;
    }

    @Override
    public Attempt probe(String serverId, AttemptListener listener) {
        SimulatedAttempt attempt = new SimulatedAttempt(listener);
        clock.schedule(clock.nowUs() + NETWORK_DELAY_US, () -> attempt.end(Result.OK, OK_RESPONSE));
        return attempt;
    }

    @Override
    public void close() {}

    /** Returns the list that names these servers. */
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
