package vetchpost.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer;

/** The module's deadline lies before the client's: an answer needs time to be written and read. */
class ResponseMarginTest {
    private static final long NOW_US = 1_000_000;
    private final List<Balancer.Request> receivedRequests = new ArrayList<>();
    private final Clock clock = new Clock() {
        @Override
        public long nowUs() {
            return NOW_US;
        }

        @Override
        public Timer schedule(long us, Runnable task) {
            return () -> {};
        }
    };

    private static <T> T stub(Class<T> type) {
        return type.cast(
                Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, args) -> null));
    }

    private final Balancer balancer = (Balancer) Proxy.newProxyInstance(
            Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                if (method.getName().equals("onRequest")) {
                    receivedRequests.add((Balancer.Request) args[1]);
                }
                return null;
            });

    private final Dispatcher dispatcher = new Dispatcher(
            clock,
            new EventLoopDelay(clock),
            stub(ServerTransport.class),
            List.of(),
            () -> {},
            () -> {},
            1_000_000,
            actions -> balancer);

    private long remainingUsInBalancer(long remainingUs, long waitedUs) {
        Headers none = new Headers() {
            @Override
            public String get(String name) {
                return null;
            }

            @Override
            public void forEach(BiConsumer<String, String> action) {}
        };
        dispatcher.accept(
                new ClientRequest(receivedRequests.size(), 0, -1, remainingUs, 0, false, "GET", "/", none, new byte[0]),
                stub(NoReply.class),
                waitedUs);
        return receivedRequests.get(receivedRequests.size() - 1).remainingUs();
    }

    /** A reply whose numbers need no value. */
    interface NoReply extends ClientReply {
        @Override
        default long connectionId() {
            return 0;
        }
    }

    @Test
    void givesTheBalancerAnEarlierDeadlineThanTheClients() {
        assertEquals(475_000, remainingUsInBalancer(500_000, 0), "25 ms of a long wait are kept");
        assertEquals(175_000, remainingUsInBalancer(200_000, 0), "an eighth and 25 ms are the same here");
        assertEquals(70_000, remainingUsInBalancer(80_000, 0), "an eighth of a short one");
        assertEquals(375_000, remainingUsInBalancer(500_000, 100_000), "what it lay unread is the client's time too");
    }
}
