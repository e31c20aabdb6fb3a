package vetchpost.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.function.Consumer;

/** The process of a node that one file makes: started, told to read it again, and ended in order. */
final class StandaloneMain {
    private static final Logger LOG = System.getLogger(StandaloneMain.class.getName());

    private StandaloneMain() {}

    static void serve(Path file) {
        ValidatedFile loaded;
        try {
            loaded = StandaloneNode.load(file);
        } catch (IllegalArgumentException e) {
            Main.exit(e.getMessage(), Main.EXIT_BAD_CONFIG);
            return;
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        loop.execute(() -> start(loaded, file, group, loop));
    }

    private static void start(ValidatedFile loaded, Path file, EventLoopGroup group, EventLoop loop) {
        StandaloneNode node;
        try {
            node = new StandaloneNode(loaded, group, loop);
        } catch (IllegalArgumentException e) {
            Main.exit("bad configuration: " + e.getMessage(), Main.EXIT_BAD_CONFIG);
            return;
        }
        // On the signal's own thread: many routes take longer to read than the loop may stand.
        boolean heard = ReloadSignal.handle(() -> reload(node, file, loop, told -> {}));
        if (!heard) {
            LOG.log(Level.WARNING, Main.SIGHUP_IGNORED);
        }
        node.enableReload(heard, told -> reloadInBackground(node, file, loop, told));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> Main.stop(node.node(), loop, node::saveRoutes), "stop"));
        node.start(Main.STANDALONE_WARM_UP_REQUESTS, () -> {}).addListener(done -> {
            if (!done.isSuccess()) {
                Main.exit(
                        "can't listen on " + loaded.node().listen() + ": "
                                + done.cause().getMessage(),
                        1);
            }
        });
    }

    /** Reads the file on the thread that calls, and has it hold; tells null, or why nothing was changed. */
    private static synchronized void reload(StandaloneNode node, Path file, EventLoop loop, Consumer<String> told) {
        try {
            ValidatedFile fresh = StandaloneNode.load(file, activeFile(node, loop));
            loop.execute(() -> {
                try {
                    node.reload(fresh).addListener(done -> told.accept(null));
                } catch (RuntimeException e) {
                    reportUnchanged(e, told);
                }
            });
        } catch (RuntimeException e) {
            loop.execute(() -> reportUnchanged(e, told));
        }
    }

    /** What the node serves by now: readings come one after the other, but take hold on the loop. */
    private static ValidatedFile activeFile(StandaloneNode node, EventLoop loop) {
        return loop.submit(node::activeFile).syncUninterruptibly().getNow();
    }

    private static void reportUnchanged(RuntimeException why, Consumer<String> told) {
        LOG.log(Level.WARNING, Main.CONFIGURATION_UNCHANGED, why.getMessage());
        told.accept(why.getMessage());
    }

    /** The same by a thread of its own, for whoever must not wait. */
    private static void reloadInBackground(StandaloneNode node, Path file, EventLoop loop, Consumer<String> told) {
        Thread reading = new Thread(() -> reload(node, file, loop, told), "reload");
        reading.setDaemon(true);
        reading.start();
    }
}
