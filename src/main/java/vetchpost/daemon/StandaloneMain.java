package vetchpost.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.function.Consumer;

/**
 * Runs a standalone node, which one operator's file configures: start, reload on SIGHUP or {@code ctl reload}, orderly
 * stop. Called by {@code serve FILE}. Files are read on the signal's thread or on a thread of their own, and take
 * effect on the event loop.
 */
final class StandaloneMain {
    private static final Logger LOG = System.getLogger(StandaloneMain.class.getName());

    private StandaloneMain() {}

    /** Starts a node from this file and returns; exits the process if the file is invalid. */
    static void serve(Path file) {
        ValidatedFile loaded;
        try {
            loaded = StandaloneNode.load(file);
        } catch (IllegalArgumentException e) {
            Main.exit(e.getMessage(), Main.EXIT_BAD_CONFIG);
            return;
        }
        EventLoopGroup group = EventLoopThreads.newGroup();
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
        // On the signal's thread: many routes take longer to read than the event loop may be blocked.
        boolean signalHandled = ReloadSignal.handle(() -> reload(node, file, loop, error -> {}));
        if (!signalHandled) {
            LOG.log(Level.WARNING, Main.SIGHUP_IGNORED);
        }
        node.enableReload(signalHandled, reloadFinished -> reloadInBackground(node, file, loop, reloadFinished));
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

    /**
     * Reads and validates the file on the calling thread and applies it on the event loop.
     *
     * @param reloadFinished called on the loop with null, or with the reason why nothing was changed
     */
    private static synchronized void reload(
            StandaloneNode node, Path file, EventLoop loop, Consumer<String> reloadFinished) {
        try {
            ValidatedFile newFile = StandaloneNode.load(file, activeFile(node, loop));
            loop.execute(() -> {
                try {
                    node.reload(newFile).addListener(done -> reloadFinished.accept(null));
                } catch (RuntimeException e) {
                    reportUnchanged(e, reloadFinished);
                }
            });
        } catch (RuntimeException e) {
            loop.execute(() -> reportUnchanged(e, reloadFinished));
        }
    }

    /** The file in force. Files take effect on the event loop, so this waits for the loop to return it. */
    private static ValidatedFile activeFile(StandaloneNode node, EventLoop loop) {
        return loop.submit(node::activeFile).syncUninterruptibly().getNow();
    }

    private static void reportUnchanged(RuntimeException cause, Consumer<String> reloadFinished) {
        LOG.log(Level.WARNING, Main.CONFIGURATION_UNCHANGED, cause.getMessage());
        reloadFinished.accept(cause.getMessage());
    }

    /** Reloads on a new thread, for callers that must not block. */
    private static void reloadInBackground(
            StandaloneNode node, Path file, EventLoop loop, Consumer<String> reloadFinished) {
        Thread reloadThread = new Thread(() -> reload(node, file, loop, reloadFinished), "reload");
        reloadThread.setDaemon(true);
        reloadThread.start();
    }
}
