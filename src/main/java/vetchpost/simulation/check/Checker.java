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
    private static final long LEFT_NS = 300_000_000;

    private final VirtualTime time;
    private final Limits limits;
    private final Consumer<Violation> violations;
    private final Map<String, Request> requests = new HashMap<>();
    private final PriorityQueue<Request> due = new PriorityQueue<>((a, b) -> Long.compare(a.dueNs, b.dueNs));
    private final Map<String, Box> boxes = new HashMap<>();
    private final Map<InetSocketAddress, Box> byAddress = new HashMap<>();
    /** What servers have made, by request: only that may be served for it. */
    private final Map<String, Set<String>> made = new HashMap<>();

    private int answers;
    private int served;
    private int refused;
    private int attempts;
    private int repeats;
    private int left;

    /** How many requests were waiting for an answer when their client left. */
    public int abandonedCount() {
        return left;
    }

    /** A request that a node has taken, or may yet. */
    private static final class Request {
        final ExpectedRequest expected;
        final List<Attempt> attempts = new ArrayList<>();
        long dueNs;
        NodeTap node;
        boolean taken;
        /** Nothing is owed any more. */
        boolean over;

        boolean answered;
        /** When the node's machine had its client's end, before an answer; 0 if it had not. */
        long leftNs;

        Request(ExpectedRequest expected) {
            this.expected = expected;
            dueNs = expected.deadlineNs();
        }
    }

    /** A request on its way to a server. */
    private static final class Attempt {
        final Box box;
        final long atNs;
        boolean whole;
        boolean neverRan;

        Attempt(Box box, long atNs) {
            this.box = box;
            this.atNs = atNs;
        }
    }

    /** A server under one id, as discovery names it. */
    private static final class Box {
        final String id;
        final int rack;
        final double capacity;
        /** Work sent to it in the last span: when, how much, and whether the node knew of the start. */
        final Deque<long[]> sent = new ArrayDeque<>();

        long startedNs = Long.MIN_VALUE;
        boolean fell;

        Box(String id, int rack, double capacity) {
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

    private void broken(Rule rule, String what) {
        violations.accept(new Violation(rule, time.nanoTime(), what));
    }

    // ---------------------------------------------------------------- what the world tells

    /** A client is about to send this request. */
    public void expect(ExpectedRequest expected) {
        requests.put(expected.id(), new Request(expected));
    }

    /** A server answers a request with this body. */
    public void serverAnswers(String id, String body) {
        made.computeIfAbsent(id, i -> new HashSet<>()).add(body);
    }

    /**
     * A server's process starts, or is there from the beginning.
     *
     * @param capacity how many nanoseconds of work it does in one when it is warm
     * @param startedNs or {@link Long#MIN_VALUE} for long ago
     */
    public void addServer(String id, InetSocketAddress address, int rack, double capacity, long startedNs) {
        Box box = boxes.computeIfAbsent(id, i -> new Box(id, rack, capacity));
        box.startedNs = startedNs;
        box.sent.clear();
        box.fell = false;
        byAddress.put(address, box);
    }

    /** A new process of a node, and its sockets' tap. */
    public NodeTap addNode(String name, InetSocketAddress listens) {
        return new NodeTap(name, listens);
    }

    /** To be called after every step: nothing may be overdue. */
    public void afterStep() {
        while (!due.isEmpty() && due.peek().dueNs < time.nanoTime()) {
            Request late = due.poll();
            if (late.over || !late.taken || late.node.dead) {
                continue;
            }
            long allowed = late.expected.deadlineNs() + limits.answerMarginNs() + late.node.stalledSince(late);
            if (allowed >= time.nanoTime()) {
                late.dueNs = allowed;
                due.add(late);
                continue;
            }
            late.over = true;
            broken(
                    Rule.LOST,
                    "request " + late.expected.id() + " has no answer from " + late.node.name + " by its deadline");
        }
    }

    /** Counts for the report: answers seen, served, refused, attempts, attempts after a request's first. */
    public int[] counts() {
        return new int[] {answers, served, refused, attempts, repeats};
    }

    /** How many requests are taken and unanswered. */
    public int unansweredCount() {
        int owed = 0;
        for (Request request : due) {
            owed += request.over || !request.taken || request.node.dead ? 0 : 1;
        }
        return owed;
    }

    // ---------------------------------------------------------------- what the sockets show

    /** The sockets of one node's process, and what it has been told. */
    public final class NodeTap implements Tap {
        private final String name;
        private final InetSocketAddress listens;
        private final Map<SimulatedSocket, ClientSide> clients = new IdentityHashMap<>();
        private final Map<SimulatedSocket, ServerSide> servers = new IdentityHashMap<>();
        /** When it was told that a server drains or has gone, and the start that it has been told last. */
        private final Map<String, Long> toldToStop = new HashMap<>();

        private final Map<String, Long> toldStart = new HashMap<>();
        private final List<long[]> stalls = new ArrayList<>();
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
            for (Request request : due) {
                if (request.node == this && request.taken && !request.over) {
                    request.over = true;
                    broken(Rule.LOST, name + " ended and owed an answer to request " + request.expected.id());
                }
            }
        }

        /** The process does nothing for so long. */
        public void stalled(long ns) {
            stalls.add(new long[] {time.nanoTime(), time.nanoTime() + ns});
        }

        /** Discovery's word on a server has come to this node's machine. */
        public void serverListed(String id, boolean ready, long startedNs) {
            if (ready) {
                toldToStop.remove(id);
            } else {
                toldToStop.putIfAbsent(id, time.nanoTime());
            }
            toldStart.merge(id, startedNs, Math::max);
        }

        private long stalledSince(Request request) {
            long from = request.expected.deadlineNs() - 2_000_000_000L;
            long sum = 0;
            for (long[] stall : stalls) {
                sum += stall[1] > from ? stall[1] - stall[0] : 0;
            }
            return sum;
        }

        private boolean isClient(SimulatedSocket end) {
            return end.local().equals(listens);
        }

        private ServerSide server(SimulatedSocket end) {
            Box box = byAddress.get(end.remote());
            return box == null ? null : servers.computeIfAbsent(end, e -> new ServerSide(this, box));
        }

        @Override
        public void received(SimulatedSocket end, byte[] bytes) {
            if (isClient(end)) {
                clients.computeIfAbsent(end, e -> new ClientSide(this)).asked.feed(bytes);
            } else {
                ServerSide side = server(end);
                if (side != null) {
                    side.answered.feed(bytes);
                }
            }
        }

        @Override
        public void wrote(SimulatedSocket end, byte[] bytes) {
            if (isClient(end)) {
                clients.computeIfAbsent(end, e -> new ClientSide(this)).wrote(bytes);
            } else {
                ServerSide side = server(end);
                if (side != null) {
                    side.wrote(bytes);
                }
            }
        }

        @Override
        public void ended(SimulatedSocket end, boolean reset) {
            if (isClient(end)) {
                ClientSide side = clients.get(end);
                if (side != null) {
                    side.clientGone = true;
                    side.waiting.forEach(r -> {
                        left += r.leftNs == 0 && !r.answered ? 1 : 0;
                        r.leftNs = r.leftNs == 0 ? time.nanoTime() : r.leftNs;
                        r.over = true;
                    });
                }
            } else if (servers.get(end) != null && reset) {
                servers.get(end).over();
            }
        }

        @Override
        public void closed(SimulatedSocket end) {
            if (dead) {
                return;
            }
            if (isClient(end)) {
                ClientSide side = clients.remove(end);
                if (side != null) {
                    side.closed(end);
                }
            } else {
                ServerSide side = servers.remove(end);
                if (side != null) {
                    side.over();
                }
            }
        }
    }

    /** A client's connection, at its node. */
    private final class ClientSide {
        private final NodeTap node;
        private final MessageParser asked = new MessageParser(this::asked);
        private final MessageParser answered = new MessageParser(this::answered);
        private final Deque<Request> waiting = new ArrayDeque<>();
        private final Deque<Long> from = new ArrayDeque<>();
        private boolean clientGone;
        /** A request of a usual client has come, or something else that nobody else will judge. */
        private boolean usual;

        private boolean others;

        ClientSide(NodeTap node) {
            this.node = node;
        }

        private void asked(Message message) {
            Request request = requests.get(message.field("x-txn"));
            if (request == null || request.taken && !request.node.dead) {
                // Not a usual client's: whatever comes back is its own affair.
                others = true;
                return;
            }
            // From a node that was killed, before it had read any of it.
            request.over = false;
            request.leftNs = 0;
            usual = true;
            request.taken = true;
            request.node = node;
            request.dueNs = request.expected.deadlineNs() + limits.answerMarginNs();
            due.add(request);
            waiting.add(request);
            from.add(message.from());
        }

        private void wrote(byte[] bytes) {
            answered.feed(bytes);
            if (answered.isBroken() && !others) {
                broken(Rule.LOST, node.name + " wrote what is no answer");
                others = true;
            }
        }

        private void answered(Message answer) {
            if (others || answer.status() / 100 == 1) {
                return;
            }
            Request request = waiting.poll();
            from.poll();
            if (request == null && !usual) {
                // Rubbish, told so.
                others = true;
                return;
            }
            if (request == null) {
                broken(Rule.LOST, node.name + " wrote an answer that nobody waits for: " + answer.start());
                return;
            }
            if (request.over) {
                return;
            }
            request.over = true;
            request.answered = true;
            answers++;
            long allowed = request.expected.deadlineNs() + limits.answerMarginNs() + node.stalledSince(request);
            if (time.nanoTime() > allowed) {
                broken(
                        Rule.LOST,
                        "request " + request.expected.id() + " was answered past its deadline by " + node.name);
            }
            judge(request, answer);
        }

        private void judge(Request request, Message answer) {
            int status = answer.status();
            String id = request.expected.id();
            if (status == 200) {
                served++;
                if (!made.getOrDefault(id, Set.of()).contains(answer.text())) {
                    broken(
                            Rule.LOST,
                            "request " + id + " was served with what no server made for it: " + answer.text());
                }
            } else if (status == 429 || status == 503) {
                refused++;
                Attempt ran = binding(request);
                if (ran != null && request.expected.retryPolicy() != ExpectedRequest.RetryPolicy.SAFE) {
                    broken(
                            Rule.TWICE,
                            request.expected.retryPolicy() + " request " + id + " was refused by " + node.name
                                    + " though it may have run at " + ran.box.id);
                }
            }
        }

        private void closed(SimulatedSocket end) {
            while (!waiting.isEmpty()) {
                Request request = waiting.poll();
                long began = from.poll();
                boolean crossed = end.consumed() <= began;
                if (!request.over && !clientGone && !crossed) {
                    broken(
                            Rule.LOST,
                            "request " + request.expected.id() + " was taken by " + node.name
                                    + " and its connection closed without an answer");
                }
                // The client sends once more what crossed the close.
                request.taken = !crossed;
                request.over = !crossed;
            }
        }
    }

    /** The earliest attempt that may have run, or null. */
    private static Attempt binding(Request request) {
        for (Attempt attempt : request.attempts) {
            if (!attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }

    /** A connection to a server, at its node. */
    private final class ServerSide {
        private final NodeTap node;
        private final Box box;
        private final MessageParser sent = new MessageParser(this::sent);
        private final MessageParser answered = new MessageParser(this::answered);
        private Attempt out;
        private long begunNs;

        ServerSide(NodeTap node, Box box) {
            this.node = node;
            this.box = box;
        }

        private void wrote(byte[] bytes) {
            if (!sent.isMidMessage()) {
                begunNs = time.nanoTime();
            }
            sent.feed(bytes);
        }

        /** Judged when whole: nothing else is known of a request that is not. */
        private void sent(Message message) {
            Request request = requests.get(message.field("x-txn"));
            if (request == null) {
                return;
            }
            Attempt earlier = binding(request);
            Attempt attempt = new Attempt(box, begunNs);
            attempt.whole = true;
            request.attempts.add(attempt);
            out = attempt;
            attempts++;
            repeats += request.attempts.size() > 1 ? 1 : 0;
            String sending = "request " + request.expected.id() + " was sent to " + box.id + " by " + node.name;
            if (request.answered && !node.dead) {
                broken(Rule.LOST, sending + " after its end");
            }
            if (request.leftNs > 0 && begunNs > request.leftNs + LEFT_NS) {
                broken(
                        Rule.LEFT,
                        sending + " " + (begunNs - request.leftNs) / 1_000_000 + " ms after its client had left");
            }
            if (earlier != null) {
                judgeRepeat(request, earlier, sending);
            }
            Long told = node.toldToStop.get(box.id);
            if (told != null && begunNs > told + limits.drainGraceNs() + limits.slackNs()) {
                broken(
                        Rule.DRAIN,
                        sending + " " + (begunNs - told) / 1_000_000
                                + " ms after it was told that the server drains or has gone");
            }
            if (box.startedNs != Long.MIN_VALUE) {
                judgeCold(request.expected.workNs());
            }
        }

        private void judgeRepeat(Request request, Attempt earlier, String sending) {
            switch (request.expected.retryPolicy()) {
                case SAFE -> {}
                case UNSAFE -> broken(Rule.TWICE, "UNSAFE " + sending + " though it may have run at " + earlier.box.id);
                case KEYED -> {
                    if (earlier.box.rack != box.rack) {
                        broken(
                                Rule.TWICE,
                                "KEYED " + sending + ", another rack than that of " + earlier.box.id
                                        + ", where it may have run");
                    } else if (begunNs > earlier.atNs + limits.deduplicationWindowNs() + limits.slackNs()) {
                        broken(
                                Rule.TWICE,
                                "KEYED " + sending + " " + (begunNs - earlier.atNs) / 1_000_000
                                        + " ms after it may have run");
                    }
                }
            }
        }

        private void judgeCold(long workNs) {
            long now = time.nanoTime();
            long age = now - box.startedNs;
            if (age >= limits.coldPeriodNs() || box.fell) {
                return;
            }
            boolean informed = node.toldStart.getOrDefault(box.id, Long.MIN_VALUE) >= box.startedNs;
            box.sent.add(new long[] {now, workNs, informed ? workNs : 0});
            while (box.sent.peek()[0] < now - limits.coldWindowNs()) {
                box.sent.poll();
            }
            long sum = 0;
            long known = 0;
            for (long[] each : box.sent) {
                sum += each[1];
                known += each[2];
            }
            double share =
                    limits.coldInitialFraction() + (1 - limits.coldInitialFraction()) * age / limits.coldPeriodNs();
            // A few requests are chance, and no flood.
            double most = limits.coldOverloadFactor() * share * box.capacity * limits.coldWindowNs() + 4 * workNs;
            if (sum > most && 3 * known >= 2 * sum) {
                box.fell = true;
                broken(
                        Rule.COLD,
                        box.id + " was sent " + sum / 1_000_000 + " ms of work within "
                                + limits.coldWindowNs() / 1_000_000 + " ms, " + age / 1_000_000
                                + " ms after its start, and bears " + (long) (most / 1e6));
            }
        }

        private void answered(Message answer) {
            if (out != null && answer.status() / 100 != 1) {
                if ((answer.status() == 503 || answer.status() == 504)
                        && answer.field("x-turned-away").equals("1")) {
                    out.neverRan = true;
                }
                out = null;
            }
        }

        private void over() {
            out = null;
        }
    }
}
