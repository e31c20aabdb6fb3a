package vetchpost.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The thread of a node's event loop, without which the process must not live on. After an error that the loop does not
 * survive, such as an OutOfMemoryError between two handlers, the system would go on accepting connections and nobody
 * would answer them; a process that ends is noticed and started again.
 */
final class EventLoopThreads extends DefaultThreadFactory {
    private static final int EXIT_LOOP_ENDED = 1;

    private EventLoopThreads() {
        super("event-loop");
    }

    /** Creates an event loop of one thread; the process ends if that thread does. */
    static EventLoopGroup newGroup() {
        return new MultiThreadIoEventLoopGroup(1, new EventLoopThreads(), NioIoHandler.newFactory());
    }

    @Override
    protected Thread newThread(Runnable eventLoop, String name) {
        return super.newThread(() -> runAndExit(eventLoop), name);
    }

    private static void runAndExit(Runnable eventLoop) {
        try {
            eventLoop.run();
        } finally {
            Main.exit("the event loop has ended", EXIT_LOOP_ENDED);
        }
    }
}
