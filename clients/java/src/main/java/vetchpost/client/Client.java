package vetchpost.client;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.UnresolvedAddressException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import vetchpost.client.core.Action;
import vetchpost.client.core.Answers;
import vetchpost.client.core.Caller;
import vetchpost.client.core.Ending;
import vetchpost.client.core.Outcome;
import vetchpost.client.core.Repeat;
import vetchpost.client.core.Settings;

/**
 * Calls nodes over HTTP/1.1. Decisions are those of {@link Caller}, made on one thread; the bytes are the
 * JDK's HTTP client's. May be used by any number of threads; one for a process is enough.
 * <pre>{@code
 * try (Client client = Client.builder().node("http://127.0.0.1:8080").build()) {
 *     Result result = client.send(Request.get("/albums/7")).join();
 * }
 * }</pre>
 */
public final class Client implements AutoCloseable {
    private static final long NS_PER_MS = 1_000_000;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final Builder options;
    private final Caller caller;
    private final HttpClient http;
    private final ScheduledThreadPoolExecutor loop;
    private final IdGenerator ids = new IdGenerator();
    private final long startedNs = System.nanoTime();
    private final Map<Long, OpenCall> openCalls = new HashMap<>();
    private ScheduledFuture<?> wakeTask;
    private long wakeAtMs = Caller.NEVER;
    private long lastNumber;
    private boolean closed;

    /** A call that is not over. */
    private static final class OpenCall {
        private final String id;
        private final String key;
        private final Request request;
        private final CompletableFuture<Result> future;
        private final long startedNs = System.nanoTime();
        private final Map<Integer, CompletableFuture<HttpResponse<byte[]>>> inFlight = new HashMap<>(2);
        private int attemptCount;
        private HttpResponse<byte[]> answer;

        OpenCall(String id, String key, Request request, CompletableFuture<Result> future) {
            this.id = id;
            this.key = key;
            this.request = request;
            this.future = future;
        }
    }

    /** What a client is made of. */
    public static final class Builder {
        private static final int DEFAULT_MAX_ANSWER_BYTES = 16 << 20;

        private final Map<String, Boolean> nodes = new LinkedHashMap<>();
        private final List<UnaryOperator<Request>> interceptors = new ArrayList<>();
        private Settings settings = Settings.DEFAULT;
        private Listener listener = Listener.NONE;
        private Duration within = Duration.ofSeconds(10);
        private Duration connectWithin = Duration.ofSeconds(1);
        private int maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES;
        private boolean plainRefusals;
        private String tenant;
        private String session;

        private Builder() {}

        /** A node, by scheme, host and port: {@code http://127.0.0.1:8080}. */
        public Builder node(String node) {
            nodes.put(requireNodeUrl(node), false);
            return this;
        }

        /** A node that is asked before the others while it has room: one on this machine, or in this zone. */
        public Builder localNode(String node) {
            nodes.put(requireNodeUrl(node), true);
            return this;
        }

        /** The figures that decisions go by. */
        public Builder settings(Settings figures) {
            settings = Objects.requireNonNull(figures);
            return this;
        }

        /** The deadline of calls that have none of their own; 10 s if not said. */
        public Builder within(Duration time) {
            within = time;
            return this;
        }

        /** A connection that is not up by then has failed; 1 s if not said. */
        public Builder connectWithin(Duration time) {
            connectWithin = time;
            return this;
        }

        /** The longest body of an answer that is taken; 16 MiB if not said. */
        public Builder longestAnswer(int bytes) {
            maxAnswerBytes = bytes;
            return this;
        }

        /** Takes every 429 and 503 as a node's refusal, as nodes on the platform mean them. */
        public Builder plainRefusals() {
            plainRefusals = true;
            return this;
        }

        /** Says with each request whose it is, in {@code X-Org}. */
        public Builder tenant(String name) {
            tenant = name;
            return this;
        }

        /** Says with each request what session it is of, in the cookie {@code key}. */
        public Builder session(String name) {
            session = name;
            return this;
        }

        /** Has requests changed before they are sent, in the order of these calls. */
        public Builder intercept(UnaryOperator<Request> change) {
            interceptors.add(change);
            return this;
        }

        /** Is told of calls. */
        public Builder listener(Listener told) {
            listener = told;
            return this;
        }

        /** The client. */
        public Client build() {
            return new Client(this);
        }
    }

    private Client(Builder builder) {
        options = builder;
        loop = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "vetchpost-client");
            thread.setDaemon(true);
            return thread;
        });
        loop.setRemoveOnCancelPolicy(true);
        http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(options.connectWithin)
                .followRedirects(HttpClient.Redirect.NEVER)
                .build();
        caller = new Caller(options.settings, () -> ThreadLocalRandom.current().nextDouble());
        builder.nodes.forEach((node, local) -> caller.addNode(0, node, local));
    }

    /** A client to be made. */
    public static Builder builder() {
        return new Builder();
    }

    private static String requireNodeUrl(String node) {
        URI uri = URI.create(node);
        boolean plain = uri.getHost() != null
                && uri.getPort() > 0
                && uri.getRawPath().isEmpty()
                && uri.getRawQuery() == null
                && uri.getRawFragment() == null
                && uri.getRawUserInfo() == null;
        if (!plain || !"http".equals(uri.getScheme()) && !"https".equals(uri.getScheme())) {
            throw new IllegalArgumentException("'" + node + "' is no node, as http://127.0.0.1:8080 is");
        }
        return node;
    }

    /** A node to send to from now on. */
    public void addNode(String node) {
        String name = requireNodeUrl(node);
        runOnLoop(() -> perform(caller.addNode(nowMs(), name, false)));
    }

    /** A node that gets no more calls; those it has go on. */
    public void removeNode(String node) {
        runOnLoop(() -> perform(caller.removeNode(nowMs(), node)));
    }

    /**
     * Makes a call. Its future ends with a {@link Result} and with nothing else; cancelling it gives the call
     * up, also at the node.
     */
    public CompletableFuture<Result> send(Request request) {
        Request last = request;
        for (UnaryOperator<Request> change : options.interceptors) {
            last = change.apply(last);
        }
        Request sent = last;
        String key = sent.repeat() == Repeat.KEYED ? sent.key().orElseGet(ids::newId) : null;
        OpenCall call = new OpenCall(ids.newId(), key, sent, new CompletableFuture<>());
        try {
            loop.execute(() -> begin(call));
        } catch (RejectedExecutionException e) {
            call.future.complete(new Result.NeverRan(call.id, "the client is closed"));
        }
        return call.future;
    }

    /** Ends all calls that are not over, as cancelled. */
    @Override
    public void close() {
        try {
            loop.execute(() -> {
                closed = true;
                for (Long number : List.copyOf(openCalls.keySet())) {
                    perform(caller.cancel(nowMs(), number));
                }
            });
        } catch (RejectedExecutionException e) {
            return; // Closed before.
        }
        loop.shutdown();
    }

    // ---------------------------------------------------------------- on the one thread

    private long nowMs() {
        return (System.nanoTime() - startedNs) / NS_PER_MS;
    }

    private void begin(OpenCall call) {
        if (closed) {
            call.future.complete(new Result.NeverRan(call.id, "the client is closed"));
            return;
        }
        long number = ++lastNumber;
        openCalls.put(number, call);
        call.future.whenComplete((result, e) -> {
            if (call.future.isCancelled()) {
                runOnLoop(() -> perform(caller.cancel(nowMs(), number)));
            }
        });
        perform(caller.begin(
                nowMs(),
                number,
                call.request.repeat(),
                call.request.within().orElse(options.within).toMillis(),
                call.request.window().toMillis()));
    }

    private void runOnLoop(Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            // Closed: all calls are over, and what comes now has no weight.
            return;
        }
    }

    private void perform(List<Action> actions) {
        for (Action action : actions) {
            OpenCall call = openCalls.get(action.call());
            if (action instanceof Action.Send send) {
                send(call, send);
            } else if (action instanceof Action.Abandon abandon) {
                CompletableFuture<?> out = call.inFlight.remove(abandon.attempt());
                if (out != null) {
                    out.cancel(true);
                }
            } else if (action instanceof Action.End end) {
                openCalls.remove(end.call());
                end(call, end.outcome());
            }
        }
        long next = caller.nextWakeMs();
        // One that comes too early only looks again; so a timer is not set anew for each call that ends.
        if (next < wakeAtMs && !loop.isShutdown() || openCalls.isEmpty()) {
            if (wakeTask != null) {
                wakeTask.cancel(false);
            }
            wakeAtMs = next;
            wakeTask = next == Caller.NEVER || loop.isShutdown()
                    ? null
                    : loop.schedule(
                            () -> {
                                wakeAtMs = Caller.NEVER;
                                perform(caller.wake(nowMs()));
                            },
                            next * NS_PER_MS - (System.nanoTime() - startedNs),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void send(OpenCall call, Action.Send send) {
        call.attemptCount++;
        notifyListener(() -> options.listener.sent(call.id, send.attempt(), send.node()));
        CompletableFuture<HttpResponse<byte[]>> out;
        try {
            out = http.sendAsync(toHttpRequest(call, send), head -> new BoundedBody(options.maxAnswerBytes));
        } catch (IllegalArgumentException e) {
            out = CompletableFuture.failedFuture(new ConnectException(e.getMessage()));
        }
        call.inFlight.put(send.attempt(), out);
        out.whenComplete((answer, e) -> runOnLoop(() -> {
            if (call.inFlight.remove(send.attempt()) != null) {
                Ending how = e == null ? toEnding(call, answer) : toEnding(e);
                notifyListener(() -> options.listener.ended(call.id, send.attempt(), send.node(), how));
                if (how.kind() == Ending.Kind.SERVED) {
                    call.answer = answer;
                }
                perform(caller.ended(nowMs(), send.call(), send.attempt(), how));
            }
        }));
    }

    private HttpRequest toHttpRequest(OpenCall call, Action.Send send) {
        byte[] body = call.request.bytes();
        HttpRequest.Builder wire = HttpRequest.newBuilder(URI.create(send.node() + call.request.target()))
                .method(call.request.method(), new SingleUseBody(body));
        if (options.session != null && !call.request.headers().containsKey("cookie")) {
            wire.setHeader("Cookie", "key=" + options.session);
        }
        call.request.headers().forEach(wire::setHeader);
        wire.setHeader("X-Request-Id", call.id)
                .setHeader("X-Txn", ids.newAttemptId())
                .setHeader("X-Remaining-Ms", Long.toString(send.remainingMs()));
        if (options.tenant != null) {
            wire.setHeader("X-Org", options.tenant);
        }
        if (call.key != null) {
            wire.setHeader("Idempotency-Key", call.key);
        }
        if (send.resent()) {
            wire.setHeader("X-Resent", "1");
        }
        return wire.build();
    }

    private Ending toEnding(OpenCall call, HttpResponse<byte[]> answer) {
        HttpHeaders headers = answer.headers();
        boolean bodiless = answer.statusCode() == NO_CONTENT
                || answer.statusCode() == NOT_MODIFIED
                || call.request.method().equals("HEAD");
        if (!bodiless
                && headers.firstValue("Content-Length").isEmpty()
                && headers.firstValue("Transfer-Encoding").isEmpty()) {
            // It ends where its connection does, so nobody can tell whether that is all of it.
            return Ending.silent(Ending.Kind.MAY_HAVE_RUN, "an answer that does not say how long it is");
        }
        return Answers.of(
                answer.statusCode(),
                headers.firstValue(Answers.RAN).orElse(null),
                headers.firstValue("Retry-After").orElse(null),
                headers.firstValue("Date").orElse(null),
                System.currentTimeMillis(),
                options.plainRefusals);
    }

    private static Ending toEnding(Throwable e) {
        Throwable cause = e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
        boolean never = cause instanceof ConnectException
                || cause instanceof HttpConnectTimeoutException
                || cause instanceof UnresolvedAddressException
                || cause.getCause() instanceof UnresolvedAddressException;
        return Ending.silent(
                never ? Ending.Kind.NEVER_RAN : Ending.Kind.MAY_HAVE_RUN,
                cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage());
    }

    private void end(OpenCall call, Outcome how) {
        Optional<Duration> comeBack =
                how.comeBackMs() < 0 ? Optional.empty() : Optional.of(Duration.ofMillis(how.comeBackMs()));
        Optional<String> key = Optional.ofNullable(call.key);
        Result result = switch (how.kind()) {
            case SERVED ->
                new Result.Served(
                        call.id,
                        call.answer.statusCode(),
                        call.answer.headers().map(),
                        call.answer.body(),
                        call.attemptCount);
            case REFUSED -> new Result.Refused(call.id, comeBack, how.cause());
            case NEVER_RAN -> new Result.NeverRan(call.id, how.cause());
            case MAY_HAVE_RUN -> new Result.MayHaveRun(call.id, key, comeBack, how.cause());
            case CANCELLED -> new Result.Cancelled(call.id, how.mayHaveRun());
            case LATE -> new Result.Late(call.id, how.mayHaveRun(), key);
        };
        notifyListener(() -> options.listener.over(result, Duration.ofNanos(System.nanoTime() - call.startedNs)));
        // What hangs on it is not this thread's to do.
        call.future.completeAsync(() -> result);
    }

    private static void notifyListener(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            // A listener's fault is no call's.
            return;
        }
    }
}
