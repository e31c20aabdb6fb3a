package vetchpost.testing;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** What a process says, read as it comes, so that a test can wait for a line and not for the process. */
public final class ProcessOutput {
    private final StringBuilder text = new StringBuilder();
    private final Thread reader;
    private int searchedUntil;
    private boolean ended;

    /** Reads to the end of this. */
    public ProcessOutput(InputStream from) {
        reader = new Thread(() -> read(from), "output");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(InputStream from) {
        byte[] some = new byte[4_096];
        try {
            for (int read = from.read(some); read >= 0; read = from.read(some)) {
                add(new String(some, 0, read, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            add("<" + e + ">");
        }
        end();
    }

    private synchronized void add(String more) {
        text.append(more);
        notifyAll();
    }

    private synchronized void end() {
        ended = true;
        notifyAll();
    }

    /** Waits for this text behind what was waited for before; fails with what came instead. */
    public synchronized void await(String part) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        int at = text.indexOf(part, searchedUntil);
        while (at < 0) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            if (ended || leftMs <= 0) {
                throw new AssertionError("\"" + part + "\" was not said "
                        + (ended ? "before the end" : "within " + FakePeer.TIMEOUT_S + " s") + ", but:\n"
                        + text.substring(searchedUntil));
            }
            wait(leftMs);
            at = text.indexOf(part, searchedUntil);
        }
        searchedUntil = at + part.length();
    }

    /** Waits for the first such text, and for the end of its line; what stands between. */
    public synchronized String restOfLine(String part) throws InterruptedException {
        int before = searchedUntil;
        searchedUntil = 0;
        await(part);
        int from = searchedUntil;
        await("\n");
        String rest = text.substring(from, searchedUntil - 1).strip();
        searchedUntil = before;
        return rest;
    }

    /** All that was said, once the process has ended. */
    public String readAll() throws InterruptedException {
        reader.join(TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        synchronized (this) {
            if (!ended) {
                throw new AssertionError("it still runs, and has said:\n" + text);
            }
            return text.toString();
        }
    }
}
