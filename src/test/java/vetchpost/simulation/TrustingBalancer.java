package vetchpost.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import vetchpost.core.ClientRequest;
import vetchpost.decision.Balancer;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.Settings;
import vetchpost.node.NodeHooks;

/**
 * A balancer that follows an operator's route file without checks: it makes the attempts and hedges of the route
 * at the stated times. Of the rules it keeps only what no route file can change, the choice of servers. With it
 * in place of the real balancer, an unsafe file breaks a rule.
 */
final class TrustingBalancer implements Balancer {
    private final Settings settings;
    private final Actions actions;
    private final Map<String, ServerEntry> servers = new LinkedHashMap<>();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>((a, b) -> Long.compare(a.atUs, b.atUs));
    private int nextServer;

    /** A task to run at a time in microseconds. */
    private record ScheduledTask(long atUs, Runnable task) {}

    /** A request that has not ended. */
    private static final class PendingRequest {
        private final Request request;
        private ServerEntry first;
        private int attempts;
        private int outstanding;

        PendingRequest(Request request) {
            this.request = request;
        }
    }

    /** Hooks for this balancer; optionally the core doesn't see the client's deadline, only the route's timeout. */
    static NodeHooks hooks(boolean hidesClientDeadline) {
        return new NodeHooks() {
            @Override
            public Balancer createBalancer(Settings settings, long seed, Actions actions) {
                return new TrustingBalancer(settings, actions);
            }

            @Override
            public ClientRequest wrapRequest(ClientRequest real) {
                long farDeadlineUs = Long.MAX_VALUE / 4;
                return !hidesClientDeadline
                        ? real
                        : new ClientRequest(
                                real.id(),
                                real.classIndex(),
                                real.tenant(),
                                farDeadlineUs,
                                real.workUs(),
                                real.retry(),
                                real.method(),
                                real.target(),
                                real.headers(),
                                real.body());
            }
        };
    }

    private TrustingBalancer(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
    }

    @Override
    public void onServers(long now, ListKind kind, List<ServerEntry> entries) {
        if (kind != ListKind.CHANGES) {
            servers.clear();
        }
        for (ServerEntry entry : entries) {
            servers.remove(entry.id());
            // Leaves out cold servers, since no route file can affect them.
            if (entry.state() == ServerState.READY && entry.startedAtUs() <= 0) {
                servers.put(entry.id(), entry);
            }
        }
        if (kind == ListKind.CACHED && settings.mustRequestList) {
            actions.subscribe();
        }
    }

    @Override
    public void onListFailed(long now) {
        actions.subscribe();
    }

    @Override
    public void onRequest(long now, Request request) {
        PendingRequest pendingRequest = new PendingRequest(request);
        pending.put(request.id(), pendingRequest);
        if (!send(pendingRequest)) {
            actions.fail(request.id());
            pending.remove(request.id());
            return;
        }
        long hedgeDelayUs = request.retryLimits().hedgeDelayUs();
        if (hedgeDelayUs > 0) {
            schedule(now + hedgeDelayUs, () -> retry(pendingRequest));
        }
    }

    private boolean send(PendingRequest request) {
        boolean keyed = settings.classes.get(request.request.classIndex()).idempotency() == Idempotency.KEYED;
        List<ServerEntry> candidates = new ArrayList<>(servers.values());
        candidates.removeIf(s -> keyed && request.first != null && s.cell() != request.first.cell());
        if (candidates.isEmpty()) {
            return false;
        }
        ServerEntry server = candidates.get(nextServer++ % candidates.size());
        request.first = request.first == null ? server : request.first;
        request.attempts++;
        request.outstanding++;
        actions.send(request.request.id(), server.id(), 0);
        return true;
    }

    private void retry(PendingRequest request) {
        if (pending.get(request.request.id()) == request && !(mayRetry(request) && send(request))) {
            failIfNoneOutstanding(request);
        }
    }

    private boolean mayRetry(PendingRequest request) {
        return request.attempts
                < Math.min(settings.maxAttempts, request.request.retryLimits().maxAttempts());
    }

    private void failIfNoneOutstanding(PendingRequest request) {
        if (request.outstanding == 0) {
            pending.remove(request.request.id());
            actions.fail(request.request.id());
        }
    }

    @Override
    public void onOutcome(long now, Outcome outcome) {
        PendingRequest request = pending.get(outcome.requestId());
        if (request == null) {
            return;
        }
        request.outstanding--;
        if (outcome.requestEnded()) {
            pending.remove(outcome.requestId());
        } else if (mayRetry(request)) {
            schedule(now + request.request.retryLimits().retryDelayUs(request.attempts), () -> retry(request));
        } else {
            failIfNoneOutstanding(request);
        }
    }

    private void schedule(long atUs, Runnable task) {
        scheduled.add(new ScheduledTask(atUs, task));
        actions.wakeAt(scheduled.peek().atUs);
    }

    @Override
    public void onWake(long now) {
        while (!scheduled.isEmpty() && scheduled.peek().atUs <= now) {
            scheduled.poll().task.run();
        }
        if (!scheduled.isEmpty()) {
            actions.wakeAt(scheduled.peek().atUs);
        }
    }

    @Override
    public void onFirstByte(long now, long requestId, int attempt) {
        // Ignored: responses arrive whole, so no retry depends on the first byte.
    }

    @Override
    public void onClientDisconnected(long now, long requestId) {
        pending.remove(requestId);
    }

    @Override
    public void onProbe(long now, String serverId, Result result, long tookUs, double[] report) {
        // It sends no probes.
    }
}
