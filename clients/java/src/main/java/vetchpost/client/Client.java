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
 * A client that calls nodes over HTTP/1.1. {@link Caller} makes its decisions, on the client's one thread; the JDK's
 * HTTP client carries its requests. Safe for use by several threads; one client per process is enough.
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

    /** The configuration of a client. Not thread-safe. */
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

        /**
         * Adds a node by its URL of scheme, host and port: {@code http://127.0.0.1:8080}.
         *
         * @throws IllegalArgumentException if it is no such URL
         */
        public Builder node(String node) {
            nodes.put(requireNodeUrl(node), false);
            return this;
        }

        /**
         * Adds a node that is preferred to the others while it is available: one on this machine, or in this zone.
         *
         * @throws IllegalArgumentException if it is no URL of scheme, host and port
         */
        public Builder localNode(String node) {
            nodes.put(requireNodeUrl(node), true);
            return this;
        }

        /** Sets the settings of the client's decisions. */
        public Builder settings(Settings newSettings) {
            settings = Objects.requireNonNull(newSettings);
            return this;
        }

        /** Sets the default deadline of calls; 10 s by default. */
        public Builder within(Duration time) {
            within = time;
            return this;
        }

        /** Sets the connect timeout; 1 s by default. */
        public Builder connectWithin(Duration time) {
            connectWithin = time;
            return this;
        }

        /** Sets the maximum body of an accepted answer, in bytes; 16 MiB by default. */
        public Builder longestAnswer(int bytes) {
            maxAnswerBytes = bytes;
            return this;
        }

        /** Treats every 429 and 503 as a node's refusal, as nodes on the platform mean them. */
        public Builder plainRefusals() {
            plainRefusals = true;
            return this;
        }

        /** Sets the tenant, which is sent with each request in {@code X-Org}. */
        public Builder tenant(String name) {
            tenant = name;
            return this;
        }

        /** Sets the session, which is sent with each request in the cookie {@code key}. */
        public Builder session(String name) {
            session = name;
            return this;
        }

        /**
         * Adds an interceptor that changes requests before they are sent; interceptors run in the order of these calls.
         */
        public Builder intercept(UnaryOperator<Request> change) {
            interceptors.add(change);
            return this;
        }

        /** Sets the listener that observes calls. */
        public Builder listener(Listener newListener) {
            listener = newListener;
            return this;
        }

        /** Returns a new client. */
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

    /** Returns the configuration of a new client, with defaults. */
    public static Builder builder() {
        return new Builder();
    }

    private static String requireNodeUrl(String node) {
        URI uri = URI.create(node);
        boolean isOrigin = uri.getHost() != null
                && uri.getPort() > 0
                && uri.getRawPath().isEmpty()
                && uri.getRawQuery() == null
                && uri.getRawFragment() == null
                && uri.getRawUserInfo() == null;
        if (!isOrigin || !"http".equals(uri.getScheme()) && !"https".equals(uri.getScheme())) {
            throw new IllegalArgumentException(
                    "'" + node + "' is not a node URL of scheme, host and port, such as http://127.0.0.1:8080");
        }
        return node;
    }

    /**
     * Adds a node to send to from now on.
     *
     * @throws IllegalArgumentException if it is no URL of scheme, host and port
     */
    public void addNode(String node) {
        String name = requireNodeUrl(node);
        runOnLoop(() -> perform(caller.addNode(nowMs(), name, false)));
    }

    /** Removes a node: it gets no new attempts, and its attempts in flight continue. */
    public void removeNode(String node) {
        runOnLoop(() -> perform(caller.removeNode(nowMs(), node)));
    }

    /**
     * Makes a call. Its future never completes exceptionally, but always with a {@link Result}. Cancelling the future
     * cancels the call and closes the connections of its attempts.
     */
    public CompletableFuture<Result> send(Request request) {
        Request intercepted = request;
        for (UnaryOperator<Request> change : options.interceptors) {
            intercepted = change.apply(intercepted);
        }
        Request sent = intercepted;
        String key = sent.repeat() == Repeat.KEYED ? sent.key().orElseGet(ids::newId) : null;
        OpenCall call = new OpenCall(ids.newId(), key, sent, new CompletableFuture<>());
        try {
            loop.execute(() -> begin(call));
        } catch (RejectedExecutionException e) {
            call.future.complete(new Result.NeverRan(call.id, "the client is closed"));
        }
        return call.future;
    }

    /** Cancels all calls that are not over. Later calls end as never run. */
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
            return; // Closed already.
        }
        loop.shutdown();
    }

    // Everything below runs on the client's one thread, except runOnLoop and static methods.

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
            // Closed: all calls are over, so the task has no effect.
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
        // A timer that fires too early only checks again, so it is not rescheduled for each call that ends.
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
                Ending ending = e == null ? toEnding(call, answer) : toEnding(e);
                notifyListener(() -> options.listener.ended(call.id, send.attempt(), send.node(), ending));
                if (ending.kind() == Ending.Kind.SERVED) {
                    call.answer = answer;
                }
                perform(caller.ended(nowMs(), send.call(), send.attempt(), ending));
            }
        }));
    }

    private HttpRequest toHttpRequest(OpenCall call, Action.Send send) {
        byte[] body = call.request.bytes();
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(send.node() + call.request.target()))
                .method(call.request.method(), new SingleUseBody(body));
        if (options.session != null && !call.request.headers().containsKey("cookie")) {
            builder.setHeader("Cookie", "key=" + options.session);
        }
        call.request.headers().forEach(builder::setHeader);
        builder.setHeader("X-Request-Id", call.id)
                .setHeader("X-Txn", ids.newAttemptId())
                .setHeader("X-Remaining-Ms", Long.toString(send.remainingMs()));
        if (options.tenant != null) {
            builder.setHeader("X-Org", options.tenant);
        }
        if (call.key != null) {
            builder.setHeader("Idempotency-Key", call.key);
        }
        if (send.resent()) {
            builder.setHeader("X-Resent", "1");
        }
        return builder.build();
    }

    private Ending toEnding(OpenCall call, HttpResponse<byte[]> answer) {
        HttpHeaders headers = answer.headers();
        boolean hasNoBody = answer.statusCode() == NO_CONTENT
                || answer.statusCode() == NOT_MODIFIED
                || call.request.method().equals("HEAD");
        if (!hasNoBody
                && headers.firstValue("Content-Length").isEmpty()
                && headers.firstValue("Transfer-Encoding").isEmpty()) {
            // The end of the connection marks its end, so a truncated answer cannot be told from a complete one.
            return Ending.silent(
                    Ending.Kind.MAY_HAVE_RUN, "the answer has neither Content-Length nor Transfer-Encoding");
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
        boolean neverSent = cause instanceof ConnectException
                || cause instanceof HttpConnectTimeoutException
                || cause instanceof UnresolvedAddressException
                || cause.getCause() instanceof UnresolvedAddressException;
        return Ending.silent(
                neverSent ? Ending.Kind.NEVER_RAN : Ending.Kind.MAY_HAVE_RUN,
                cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage());
    }

    private void end(OpenCall call, Outcome outcome) {
        Optional<Duration> retryAfter =
                outcome.comeBackMs() < 0 ? Optional.empty() : Optional.of(Duration.ofMillis(outcome.comeBackMs()));
        Optional<String> key = Optional.ofNullable(call.key);
        Result result = switch (outcome.kind()) {
            case SERVED ->
                new Result.Served(
                        call.id,
                        call.answer.statusCode(),
                        call.answer.headers().map(),
                        call.answer.body(),
                        call.attemptCount);
            case REFUSED -> new Result.Refused(call.id, retryAfter, outcome.cause());
            case NEVER_RAN -> new Result.NeverRan(call.id, outcome.cause());
            case MAY_HAVE_RUN -> new Result.MayHaveRun(call.id, key, retryAfter, outcome.cause());
            case CANCELLED -> new Result.Cancelled(call.id, outcome.mayHaveRun());
            case LATE -> new Result.Late(call.id, outcome.mayHaveRun(), key);
        };
        notifyListener(() -> options.listener.over(result, Duration.ofNanos(System.nanoTime() - call.startedNs)));
        // The caller's continuations must not run on this thread.
        call.future.completeAsync(() -> result);
    }

    private static void notifyListener(Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            // An error of the listener must not affect the call.
            return;
        }
    }
}
