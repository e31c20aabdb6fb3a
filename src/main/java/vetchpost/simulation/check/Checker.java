package vetchpost.simulation.check;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import vetchpost.simulation.check.Violation.Rule;
import vetchpost.simulation.net.SimulatedSocket;
import vetchpost.simulation.net.Tap;
import vetchpost.simulation.net.VirtualTime;
import vetchpost.simulation.wire.Message;
import vetchpost.simulation.wire.MessageParser;

/**
 * Holds the four rules against what passes at the nodes' sockets, and shares no code with the node. It knows
 * what clients mean, what servers have answered and what nodes have been told; all else it reads off the
 * bytes.
 */
public final class Checker {
    /** From so long after its client has left on nothing is to be sent for a request. */
    private static final long MAX_SEND_AFTER_DISCONNECT_NS = 300_000_000;

    private final VirtualTime time;
    private final Limits limits;
    private final Consumer<Violation> violations;
    private final Map<String, Request> requests = new HashMap<>();
    private final PriorityQueue<Request> byDeadline =
            new PriorityQueue<>((a, b) -> Long.compare(a.checkAtNs, b.checkAtNs));
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<InetSocketAddress, Server> serversByAddress = new HashMap<>();
    /** What servers have made, by request: only that may be served for it. */
    private final Map<String, Set<String>> responseBodies = new HashMap<>();

    private int answerCount;
    private int servedCount;
    private int rejectedCount;
    private int attemptCount;
    private int retryCount;
    private int abandoned;

    /** How many requests were waiting for an answer when their client left. */
    public int abandonedCount() {
        return abandoned;
    }

    /** A request that a node has taken, or may yet. */
    private static final class Request {
        final ExpectedRequest expected;
        final List<Attempt> attempts = new ArrayList<>();
        long checkAtNs;
        NodeTap node;
        boolean accepted;
        /** Nothing is owed any more. */
        boolean finished;

        boolean answered;
        /** When the node's machine had its client's end, before an answer; 0 if it had not. */
        long disconnectedNs;

        Request(ExpectedRequest expected) {
            this.expected = expected;
            checkAtNs = expected.deadlineNs();
        }
    }

    /** A request on its way to a server. */
    private static final class Attempt {
        final Server server;
        final long sentNs;
        boolean complete;
        boolean neverRan;

        Attempt(Server box, long atNs) {
            this.server = box;
            this.sentNs = atNs;
        }
    }

    /** A server under one id, as discovery names it. */
    private static final class Server {
        final String id;
        final int rack;
        final double capacity;
        /** Work sent to it in the last span: when, how much, and whether the node knew of the start. */
        final Deque<long[]> recentWork = new ArrayDeque<>();

        long startedNs = Long.MIN_VALUE;
        boolean overloaded;

        Server(String id, int rack, double capacity) {
            this.id = id;
            this.rack = rack;
            this.capacity = capacity;
        }
    }

    public Checker(VirtualTime time, Limits limits, Consumer<Violation> violations) {
        this.time = time;
        this.limits = limits;
        this.violations = violations;
    }

    private void report(Rule rule, String what) {
        violations.accept(new Violation(rule, time.nanoTime(), what));
    }

    // ---------------------------------------------------------------- what the world tells

    /** A client is about to send this request. */
    public void expect(ExpectedRequest expected) {
        requests.put(expected.id(), new Request(expected));
    }

    /** A server answers a request with this body. */
    public void serverAnswers(String id, String body) {
        responseBodies.computeIfAbsent(id, i -> new HashSet<>()).add(body);
    }

    /**
     * A server's process starts, or is there from the beginning.
     *
     * @param capacity how many nanoseconds of work it does in one when it is warm
     * @param startedNs or {@link Long#MIN_VALUE} for long ago
     */
    public void addServer(String id, InetSocketAddress address, int rack, double capacity, long startedNs) {
        Server box = servers.computeIfAbsent(id, i -> new Server(id, rack, capacity));
        box.startedNs = startedNs;
        box.recentWork.clear();
        box.overloaded = false;
        serversByAddress.put(address, box);
    }

    /** A new process of a node, and its sockets' tap. */
    public NodeTap addNode(String name, InetSocketAddress listens) {
        return new NodeTap(name, listens);
    }

    /** To be called after every step: nothing may be overdue. */
    public void afterStep() {
        while (!byDeadline.isEmpty() && byDeadline.peek().checkAtNs < time.nanoTime()) {
            Request late = byDeadline.poll();
            if (late.finished || !late.accepted || late.node.dead) {
                continue;
            }
            long allowed = late.expected.deadlineNs() + limits.answerMarginNs() + late.node.pausedNs(late);
            if (allowed >= time.nanoTime()) {
                late.checkAtNs = allowed;
                byDeadline.add(late);
                continue;
            }
            late.finished = true;
            report(
                    Rule.LOST,
                    "request " + late.expected.id() + " has no answer from " + late.node.name + " by its deadline");
        }
    }

    /** Counts for the report: answers seen, served, refused, attempts, attempts after a request's first. */
    public int[] counts() {
        return new int[] {answerCount, servedCount, rejectedCount, attemptCount, retryCount};
    }

    /** How many requests are taken and unanswered. */
    public int unansweredCount() {
        int owed = 0;
        for (Request request : byDeadline) {
            owed += request.finished || !request.accepted || request.node.dead ? 0 : 1;
        }
        return owed;
    }

    // ---------------------------------------------------------------- what the sockets show

    /** The sockets of one node's process, and what it has been told. */
    public final class NodeTap implements Tap {
        private final String name;
        private final InetSocketAddress listens;
        private final Map<SimulatedSocket, ClientConnection> clientConnections = new IdentityHashMap<>();
        private final Map<SimulatedSocket, ServerConnection> serverConnections = new IdentityHashMap<>();
        /** When it was told that a server drains or has gone, and the start that it has been told last. */
        private final Map<String, Long> stopNotifiedNs = new HashMap<>();

        private final Map<String, Long> notifiedStartNs = new HashMap<>();
        private final List<long[]> pauses = new ArrayList<>();
        private boolean dead;

        NodeTap(String name, InetSocketAddress listens) {
            this.name = name;
            this.listens = listens;
        }

        /** The process was killed: what it held is lost without fault. */
        public void killed() {
            dead = true;
        }

        /** The process ends of its own will: whoever still waits for it waits for nothing. */
        public void stopping() {
            for (Request request : byDeadline) {
                if (request.node == this && request.accepted && !request.finished) {
                    request.finished = true;
                    report(Rule.LOST, name + " ended and owed an answer to request " + request.expected.id());
                }
            }
        }

        /** The process does nothing for so long. */
        public void paused(long ns) {
            pauses.add(new long[] {time.nanoTime(), time.nanoTime() + ns});
        }

        /** Discovery's word on a server has come to this node's machine. */
        public void serverListed(String id, boolean ready, long startedNs) {
            if (ready) {
                stopNotifiedNs.remove(id);
            } else {
                stopNotifiedNs.putIfAbsent(id, time.nanoTime());
            }
            notifiedStartNs.merge(id, startedNs, Math::max);
        }

        private long pausedNs(Request request) {
            long from = request.expected.deadlineNs() - 2_000_000_000L;
            long sum = 0;
            for (long[] stall : pauses) {
                sum += stall[1] > from ? stall[1] - stall[0] : 0;
            }
            return sum;
        }

        private boolean isClientConnection(SimulatedSocket end) {
            return end.local().equals(listens);
        }

        private ServerConnection serverConnection(SimulatedSocket end) {
            Server box = serversByAddress.get(end.remote());
            return box == null ? null : serverConnections.computeIfAbsent(end, e -> new ServerConnection(this, box));
        }

        @Override
        public void received(SimulatedSocket end, byte[] bytes) {
            if (isClientConnection(end)) {
                clientConnections
                        .computeIfAbsent(end, e -> new ClientConnection(this))
                        .requestParser
                        .feed(bytes);
            } else {
                ServerConnection side = serverConnection(end);
                if (side != null) {
                    side.responseParser.feed(bytes);
                }
            }
        }

        @Override
        public void wrote(SimulatedSocket end, byte[] bytes) {
            if (isClientConnection(end)) {
                clientConnections
                        .computeIfAbsent(end, e -> new ClientConnection(this))
                        .wrote(bytes);
            } else {
                ServerConnection side = serverConnection(end);
                if (side != null) {
                    side.wrote(bytes);
                }
            }
        }

        @Override
        public void ended(SimulatedSocket end, boolean reset) {
            if (isClientConnection(end)) {
                ClientConnection side = clientConnections.get(end);
                if (side != null) {
                    side.clientGone = true;
                    side.pending.forEach(r -> {
                        abandoned += r.disconnectedNs == 0 && !r.answered ? 1 : 0;
                        r.disconnectedNs = r.disconnectedNs == 0 ? time.nanoTime() : r.disconnectedNs;
                        r.finished = true;
                    });
                }
            } else if (serverConnections.get(end) != null && reset) {
                serverConnections.get(end).endAttempt();
            }
        }

        @Override
        public void closed(SimulatedSocket end) {
            if (dead) {
                return;
            }
            if (isClientConnection(end)) {
                ClientConnection side = clientConnections.remove(end);
                if (side != null) {
                    side.closed(end);
                }
            } else {
                ServerConnection side = serverConnections.remove(end);
                if (side != null) {
                    side.endAttempt();
                }
            }
        }
    }

    /** A client's connection, at its node. */
    private final class ClientConnection {
        private final NodeTap node;
        private final MessageParser requestParser = new MessageParser(this::onRequest);
        private final MessageParser responseParser = new MessageParser(this::onResponse);
        private final Deque<Request> pending = new ArrayDeque<>();
        private final Deque<Long> requestOffsets = new ArrayDeque<>();
        private boolean clientGone;
        /** A request of a usual client has come, or something else that nobody else will judge. */
        private boolean sawExpectedRequest;

        private boolean ignored;

        ClientConnection(NodeTap node) {
            this.node = node;
        }

        private void onRequest(Message message) {
            Request request = requests.get(message.field("x-txn"));
            if (request == null || request.accepted && !request.node.dead) {
                // Not a usual client's: whatever comes back is its own affair.
                ignored = true;
                return;
            }
            // From a node that was killed, before it had read any of it.
            request.finished = false;
            request.disconnectedNs = 0;
            sawExpectedRequest = true;
            request.accepted = true;
            request.node = node;
            request.checkAtNs = request.expected.deadlineNs() + limits.answerMarginNs();
            byDeadline.add(request);
            pending.add(request);
            requestOffsets.add(message.from());
        }

        private void wrote(byte[] bytes) {
            responseParser.feed(bytes);
            if (responseParser.isBroken() && !ignored) {
                report(Rule.LOST, node.name + " wrote what is no answer");
                ignored = true;
            }
        }

        private void onResponse(Message answer) {
            if (ignored || answer.status() / 100 == 1) {
                return;
            }
            Request request = pending.poll();
            requestOffsets.poll();
            if (request == null && !sawExpectedRequest) {
                // Rubbish, told so.
                ignored = true;
                return;
            }
            if (request == null) {
                report(Rule.LOST, node.name + " wrote an answer that nobody waits for: " + answer.start());
                return;
            }
            if (request.finished) {
                return;
            }
            request.finished = true;
            request.answered = true;
            answerCount++;
            long allowed = request.expected.deadlineNs() + limits.answerMarginNs() + node.pausedNs(request);
            if (time.nanoTime() > allowed) {
                report(
                        Rule.LOST,
                        "request " + request.expected.id() + " was answered past its deadline by " + node.name);
            }
            checkAnswer(request, answer);
        }

        private void checkAnswer(Request request, Message answer) {
            int status = answer.status();
            String id = request.expected.id();
            if (status == 200) {
                servedCount++;
                if (!responseBodies.getOrDefault(id, Set.of()).contains(answer.text())) {
                    report(
                            Rule.LOST,
                            "request " + id + " was served with what no server made for it: " + answer.text());
                }
            } else if (status == 429 || status == 503) {
                rejectedCount++;
                Attempt ran = earliestPossibleRun(request);
                if (ran != null && request.expected.retryPolicy() != ExpectedRequest.RetryPolicy.SAFE) {
                    report(
                            Rule.TWICE,
                            request.expected.retryPolicy() + " request " + id + " was refused by " + node.name
                                    + " though it may have run at " + ran.server.id);
                }
            }
        }

        private void closed(SimulatedSocket end) {
            while (!pending.isEmpty()) {
                Request request = pending.poll();
                long began = requestOffsets.poll();
                boolean crossed = end.consumed() <= began;
                if (!request.finished && !clientGone && !crossed) {
                    report(
                            Rule.LOST,
                            "request " + request.expected.id() + " was taken by " + node.name
                                    + " and its connection closed without an answer");
                }
                // The client sends once more what crossed the close.
                request.accepted = !crossed;
                request.finished = !crossed;
            }
        }
    }

    /** The earliest attempt that may have run, or null. */
    private static Attempt earliestPossibleRun(Request request) {
        for (Attempt attempt : request.attempts) {
            if (!attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }

    /** A connection to a server, at its node. */
    private final class ServerConnection {
        private final NodeTap node;
        private final Server server;
        private final MessageParser requestParser = new MessageParser(this::onRequest);
        private final MessageParser responseParser = new MessageParser(this::onResponse);
        private Attempt currentAttempt;
        private long requestStartNs;

        ServerConnection(NodeTap node, Server box) {
            this.node = node;
            this.server = box;
        }

        private void wrote(byte[] bytes) {
            if (!requestParser.isMidMessage()) {
                requestStartNs = time.nanoTime();
            }
            requestParser.feed(bytes);
        }

        /** Judged when whole: nothing else is known of a request that is not. */
        private void onRequest(Message message) {
            Request request = requests.get(message.field("x-txn"));
            if (request == null) {
                return;
            }
            Attempt earlier = earliestPossibleRun(request);
            Attempt attempt = new Attempt(server, requestStartNs);
            attempt.complete = true;
            request.attempts.add(attempt);
            currentAttempt = attempt;
            attemptCount++;
            retryCount += request.attempts.size() > 1 ? 1 : 0;
            String sending = "request " + request.expected.id() + " was sent to " + server.id + " by " + node.name;
            if (request.answered && !node.dead) {
                report(Rule.LOST, sending + " after its end");
            }
            if (request.disconnectedNs > 0 && requestStartNs > request.disconnectedNs + MAX_SEND_AFTER_DISCONNECT_NS) {
                report(
                        Rule.LEFT,
                        sending + " " + (requestStartNs - request.disconnectedNs) / 1_000_000
                                + " ms after its client had left");
            }
            if (earlier != null) {
                checkRetry(request, earlier, sending);
            }
            Long told = node.stopNotifiedNs.get(server.id);
            if (told != null && requestStartNs > told + limits.drainGraceNs() + limits.slackNs()) {
                report(
                        Rule.DRAIN,
                        sending + " " + (requestStartNs - told) / 1_000_000
                                + " ms after it was told that the server drains or has gone");
            }
            if (server.startedNs != Long.MIN_VALUE) {
                checkColdLoad(request.expected.workNs());
            }
        }

        private void checkRetry(Request request, Attempt earlier, String sending) {
            switch (request.expected.retryPolicy()) {
                case SAFE -> {}
                case UNSAFE ->
                    report(Rule.TWICE, "UNSAFE " + sending + " though it may have run at " + earlier.server.id);
                case KEYED -> {
                    if (earlier.server.rack != server.rack) {
                        report(
                                Rule.TWICE,
                                "KEYED " + sending + ", another rack than that of " + earlier.server.id
                                        + ", where it may have run");
                    } else if (requestStartNs > earlier.sentNs + limits.deduplicationWindowNs() + limits.slackNs()) {
                        report(
                                Rule.TWICE,
                                "KEYED " + sending + " " + (requestStartNs - earlier.sentNs) / 1_000_000
                                        + " ms after it may have run");
                    }
                }
            }
        }

        private void checkColdLoad(long workNs) {
            long now = time.nanoTime();
            long age = now - server.startedNs;
            if (age >= limits.coldPeriodNs() || server.overloaded) {
                return;
            }
            boolean informed = node.notifiedStartNs.getOrDefault(server.id, Long.MIN_VALUE) >= server.startedNs;
            server.recentWork.add(new long[] {now, workNs, informed ? workNs : 0});
            while (server.recentWork.peek()[0] < now - limits.coldWindowNs()) {
                server.recentWork.poll();
            }
            long sum = 0;
            long known = 0;
            for (long[] each : server.recentWork) {
                sum += each[1];
                known += each[2];
            }
            double share =
                    limits.coldInitialFraction() + (1 - limits.coldInitialFraction()) * age / limits.coldPeriodNs();
            // A few requests are chance, and no flood.
            double most = limits.coldOverloadFactor() * share * server.capacity * limits.coldWindowNs() + 4 * workNs;
            if (sum > most && 3 * known >= 2 * sum) {
                server.overloaded = true;
                report(
                        Rule.COLD,
                        server.id + " was sent " + sum / 1_000_000 + " ms of work within "
                                + limits.coldWindowNs() / 1_000_000 + " ms, " + age / 1_000_000
                                + " ms after its start, and bears " + (long) (most / 1e6));
            }
        }

        private void onResponse(Message answer) {
            if (currentAttempt != null && answer.status() / 100 != 1) {
                if ((answer.status() == 503 || answer.status() == 504)
                        && answer.field("x-turned-away").equals("1")) {
                    currentAttempt.neverRan = true;
                }
                currentAttempt = null;
            }
        }

        private void endAttempt() {
            currentAttempt = null;
        }
    }
}
