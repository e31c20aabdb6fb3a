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
 * Checks the rules of {@link Violation.Rule} against the bytes that pass at the nodes' sockets. The simulated
 * peers report the requests that clients send, the responses that servers give and the list entries that
 * nodes have received; everything else is parsed from the bytes. It shares no code with the node, so a fault
 * there can't hide itself here.
 *
 * <p>{@code Simulation} calls it after every step, always on the thread of the run.
 */
public final class Checker {
    /** A node may still send a request to a server until this long after the client disconnected. */
    private static final long MAX_SEND_AFTER_DISCONNECT_NS = 300_000_000;

    private final VirtualTime time;
    private final Limits limits;
    private final Consumer<Violation> violations;
    private final Map<String, Request> requests = new HashMap<>();
    private final PriorityQueue<Request> byDeadline =
            new PriorityQueue<>((a, b) -> Long.compare(a.checkAtNs, b.checkAtNs));
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<InetSocketAddress, Server> serversByAddress = new HashMap<>();
    /** Response bodies that servers have made, by request id: a request may be served with no other. */
    private final Map<String, Set<String>> responseBodies = new HashMap<>();

    private int answerCount;
    private int servedCount;
    private int rejectedCount;
    private int attemptCount;
    private int retryCount;
    private int abandoned;

    /** Number of requests that were still unanswered when their client disconnected. */
    public int abandonedCount() {
        return abandoned;
    }

    /** A request that a node has accepted, or may still receive. */
    private static final class Request {
        final ExpectedRequest expected;
        final List<Attempt> attempts = new ArrayList<>();
        long checkAtNs;
        NodeTap node;
        boolean accepted;
        /** No answer is due any more. */
        boolean finished;

        boolean answered;
        /** When the client's end of stream reached the node's machine before an answer, or 0. */
        long disconnectedNs;

        Request(ExpectedRequest expected) {
            this.expected = expected;
            checkAtNs = expected.deadlineNs();
        }
    }

    /** One attempt of a request at a server. */
    private static final class Attempt {
        final Server server;
        final long sentNs;
        boolean complete;
        boolean neverRan;

        Attempt(Server server, long atNs) {
            this.server = server;
            this.sentNs = atNs;
        }
    }

    /** A server, under the id that discovery has for it. */
    private static final class Server {
        final String id;
        final int rack;
        final double capacity;
        /** Work sent within the window: time, work, and the work again if the node knew of the start, else 0. */
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

    // ---------------------------------------------------------------- reports of the simulated peers

    /** Registers a request that a client is about to send. */
    public void expect(ExpectedRequest expected) {
        requests.put(expected.id(), new Request(expected));
    }

    /** Registers the body of a response that a server gives to the request. */
    public void addResponse(String id, String body) {
        responseBodies.computeIfAbsent(id, i -> new HashSet<>()).add(body);
    }

    /**
     * Registers a server process that starts now, or has run since before the simulation.
     *
     * @param capacity nanoseconds of work that it does in a nanosecond when it is warm
     * @param startedNs simulated start time in nanoseconds; {@link Long#MIN_VALUE} if it is warm already
     */
    public void addServer(String id, InetSocketAddress address, int rack, double capacity, long startedNs) {
        Server server = servers.computeIfAbsent(id, i -> new Server(id, rack, capacity));
        server.startedNs = startedNs;
        server.recentWork.clear();
        server.overloaded = false;
        serversByAddress.put(address, server);
    }

    /** Registers a new process of a node and returns the tap for its sockets. */
    public NodeTap addNode(String name, InetSocketAddress listens) {
        return new NodeTap(name, listens);
    }

    /** Reports requests whose answer is overdue. Call it after every simulated step. */
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

    /** Counts for the report, in this order: answers, served, rejected, attempts, retries. */
    public int[] counts() {
        return new int[] {answerCount, servedCount, rejectedCount, attemptCount, retryCount};
    }

    /** Number of requests that running nodes have accepted and not answered. */
    public int unansweredCount() {
        int unanswered = 0;
        for (Request request : byDeadline) {
            unanswered += request.finished || !request.accepted || request.node.dead ? 0 : 1;
        }
        return unanswered;
    }

    // ---------------------------------------------------------------- what passes at the sockets

    /** Watches the sockets of one node process, and keeps which list entries it has received. */
    public final class NodeTap implements Tap {
        private final String name;
        private final InetSocketAddress listens;
        private final Map<SimulatedSocket, ClientConnection> clientConnections = new IdentityHashMap<>();
        private final Map<SimulatedSocket, ServerConnection> serverConnections = new IdentityHashMap<>();
        /** By server id: when the node was notified that it drains or is gone, and the last start time it received. */
        private final Map<String, Long> stopNotifiedNs = new HashMap<>();

        private final Map<String, Long> notifiedStartNs = new HashMap<>();
        private final List<long[]> pauses = new ArrayList<>();
        private boolean dead;

        NodeTap(String name, InetSocketAddress listens) {
            this.name = name;
            this.listens = listens;
        }

        /** The process was killed: losing its pending requests breaks no rule. */
        public void killed() {
            dead = true;
        }

        /** The process exits by itself: every request that it has not answered is lost. */
        public void stopping() {
            for (Request request : byDeadline) {
                if (request.node == this && request.accepted && !request.finished) {
                    request.finished = true;
                    report(Rule.LOST, name + " ended and owed an answer to request " + request.expected.id());
                }
            }
        }

        /** The process is paused for this many nanoseconds from now. */
        public void paused(long ns) {
            pauses.add(new long[] {time.nanoTime(), time.nanoTime() + ns});
        }

        /** An entry of discovery's list has reached this node's machine. */
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
            long totalNs = 0;
            for (long[] pause : pauses) {
                totalNs += pause[1] > from ? pause[1] - pause[0] : 0;
            }
            return totalNs;
        }

        private boolean isClientConnection(SimulatedSocket socket) {
            return socket.local().equals(listens);
        }

        private ServerConnection serverConnection(SimulatedSocket socket) {
            Server server = serversByAddress.get(socket.remote());
            return server == null
                    ? null
                    : serverConnections.computeIfAbsent(socket, e -> new ServerConnection(this, server));
        }

        @Override
        public void received(SimulatedSocket socket, byte[] bytes) {
            if (isClientConnection(socket)) {
                clientConnections
                        .computeIfAbsent(socket, e -> new ClientConnection(this))
                        .requestParser
                        .feed(bytes);
            } else {
                ServerConnection connection = serverConnection(socket);
                if (connection != null) {
                    connection.responseParser.feed(bytes);
                }
            }
        }

        @Override
        public void wrote(SimulatedSocket socket, byte[] bytes) {
            if (isClientConnection(socket)) {
                clientConnections
                        .computeIfAbsent(socket, e -> new ClientConnection(this))
                        .wrote(bytes);
            } else {
                ServerConnection connection = serverConnection(socket);
                if (connection != null) {
                    connection.wrote(bytes);
                }
            }
        }

        @Override
        public void ended(SimulatedSocket socket, boolean reset) {
            if (isClientConnection(socket)) {
                ClientConnection connection = clientConnections.get(socket);
                if (connection != null) {
                    connection.clientGone = true;
                    connection.pending.forEach(request -> {
                        abandoned += request.disconnectedNs == 0 && !request.answered ? 1 : 0;
                        request.disconnectedNs = request.disconnectedNs == 0 ? time.nanoTime() : request.disconnectedNs;
                        request.finished = true;
                    });
                }
            } else if (serverConnections.get(socket) != null && reset) {
                serverConnections.get(socket).endAttempt();
            }
        }

        @Override
        public void closed(SimulatedSocket socket) {
            if (dead) {
                return;
            }
            if (isClientConnection(socket)) {
                ClientConnection connection = clientConnections.remove(socket);
                if (connection != null) {
                    connection.closed(socket);
                }
            } else {
                ServerConnection connection = serverConnections.remove(socket);
                if (connection != null) {
                    connection.endAttempt();
                }
            }
        }
    }

    /** The node's side of a client connection. */
    private final class ClientConnection {
        private final NodeTap node;
        private final MessageParser requestParser = new MessageParser(this::onRequest);
        private final MessageParser responseParser = new MessageParser(this::onResponse);
        private final Deque<Request> pending = new ArrayDeque<>();
        private final Deque<Long> requestOffsets = new ArrayDeque<>();
        private boolean clientGone;
        /** Whether a request of a regular client has arrived. */
        private boolean sawExpectedRequest;
        /** Whether the connection has carried anything else, so that its answers are not checked. */
        private boolean ignored;

        ClientConnection(NodeTap node) {
            this.node = node;
        }

        private void onRequest(Message message) {
            Request request = requests.get(message.field("x-txn"));
            if (request == null || request.accepted && !request.node.dead) {
                // Not a regular client's request: its answers are not checked.
                ignored = true;
                return;
            }
            // The client may be resending it after its first node was killed before reading it.
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
                // The answer to malformed input.
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

        private void closed(SimulatedSocket socket) {
            while (!pending.isEmpty()) {
                Request request = pending.poll();
                long began = requestOffsets.poll();
                boolean crossed = socket.consumed() <= began;
                if (!request.finished && !clientGone && !crossed) {
                    report(
                            Rule.LOST,
                            "request " + request.expected.id() + " was taken by " + node.name
                                    + " and its connection closed without an answer");
                }
                // The client resends a request that was on its way when the node closed.
                request.accepted = !crossed;
                request.finished = !crossed;
            }
        }
    }

    /** The earliest attempt that may have run at its server, or null. */
    private static Attempt earliestPossibleRun(Request request) {
        for (Attempt attempt : request.attempts) {
            if (!attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }

    /** The node's side of a connection to a server. */
    private final class ServerConnection {
        private final NodeTap node;
        private final Server server;
        private final MessageParser requestParser = new MessageParser(this::onRequest);
        private final MessageParser responseParser = new MessageParser(this::onResponse);
        private Attempt currentAttempt;
        private long requestStartNs;

        ServerConnection(NodeTap node, Server server) {
            this.node = node;
            this.server = server;
        }

        private void wrote(byte[] bytes) {
            if (!requestParser.isMidMessage()) {
                requestStartNs = time.nanoTime();
            }
            requestParser.feed(bytes);
        }

        /** Checks a request once it is complete, since nothing is known of an incomplete one. */
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
            Long notifiedNs = node.stopNotifiedNs.get(server.id);
            if (notifiedNs != null && requestStartNs > notifiedNs + limits.drainGraceNs() + limits.slackNs()) {
                report(
                        Rule.DRAIN,
                        sending + " " + (requestStartNs - notifiedNs) / 1_000_000
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
            long ageNs = now - server.startedNs;
            if (ageNs >= limits.coldPeriodNs() || server.overloaded) {
                return;
            }
            boolean informed = node.notifiedStartNs.getOrDefault(server.id, Long.MIN_VALUE) >= server.startedNs;
            server.recentWork.add(new long[] {now, workNs, informed ? workNs : 0});
            while (server.recentWork.peek()[0] < now - limits.coldWindowNs()) {
                server.recentWork.poll();
            }
            long totalWorkNs = 0;
            long informedWorkNs = 0;
            for (long[] sent : server.recentWork) {
                totalWorkNs += sent[1];
                informedWorkNs += sent[2];
            }
            double capacityFraction =
                    limits.coldInitialFraction() + (1 - limits.coldInitialFraction()) * ageNs / limits.coldPeriodNs();
            // Allows four requests more, since few requests can arrive together by chance.
            double maxWorkNs = limits.coldOverloadFactor() * capacityFraction * server.capacity * limits.coldWindowNs()
                    + 4 * workNs;
            if (totalWorkNs > maxWorkNs && 3 * informedWorkNs >= 2 * totalWorkNs) {
                server.overloaded = true;
                report(
                        Rule.COLD,
                        server.id + " was sent " + totalWorkNs / 1_000_000 + " ms of work within "
                                + limits.coldWindowNs() / 1_000_000 + " ms, " + ageNs / 1_000_000
                                + " ms after its start, and bears " + (long) (maxWorkNs / 1e6));
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
