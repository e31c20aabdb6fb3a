package vetchpost.demo;

import java.io.IOException;

/** Starts daemon threads for the simulated servers, clients and discovery. A thread ends when its socket does. */
final class DaemonThreads {
    /** Work of a thread, which ends by an exception when its socket is closed. */
    interface Body {
        void run() throws IOException, InterruptedException;
    }

    private DaemonThreads() {}

    /** Starts a daemon thread with this name. */
    static Thread start(String name, Body body) {
        Thread thread = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (IOException e) {
                        // The socket was closed by this process or by the peer, which ends the thread's work.
                        return;
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
