package cedarrelay.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/** Starts one node, and ends it in order when told to. */
public final class Main {
    /** A bad configuration. */
    private static final int BAD_CONFIG = 2;
    /** Past the longest wait for an answer: then there is nothing left worth waiting for. */
    private static final long STOP_WITHIN_MS = 3_650;

    private Main() { }

    /** Reads the configuration from the environment and serves until SIGTERM. */
    public static void main(String[] args) throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Node node;
        try {
            node = new Node(Config.read(System.getenv()), loop);
        } catch (IllegalArgumentException e) {
            exit("bad configuration: " + e.getMessage(), BAD_CONFIG);
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, loop), "stop"));
        loop.execute(() -> node.start(group).addListener(done -> {
            if (!done.isSuccess()) {
                exit("can't listen: " + done.cause().getMessage(), 1);
            }
        }));
    }

    private static void exit(String reason, int code) {
        System.err.println("vetchpost: " + reason);
        // No orderly stop: there is nothing to answer, and the hook would wait for it.
        Runtime.getRuntime().halt(code);
    }

    /** Runs as the shutdown hook of SIGTERM; halting from it is what makes the exit code 0. */
    private static void stop(Node node, EventLoop loop) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> node.stop(done::countDown));
        try {
            done.await(STOP_WITHIN_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
