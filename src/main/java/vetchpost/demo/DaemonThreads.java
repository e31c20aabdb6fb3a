package vetchpost.demo;

import java.io.IOException;

/** Threads of stand-ins, which end with what they serve. */
final class DaemonThreads {
    /** What a thread does until its socket ends. */
    interface Body {
        void run() throws IOException, InterruptedException;
    }

    private DaemonThreads() {}

    static Thread start(String name, Body body) {
        Thread thread = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (IOException e) {
                        // Its socket has ended, by our doing or the other side's: so has its work.
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
