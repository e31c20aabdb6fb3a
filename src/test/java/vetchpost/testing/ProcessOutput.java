package vetchpost.testing;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Reads a process's output while it runs, so that a test can wait for a line of it. A thread of its own reads. */
public final class ProcessOutput {
    private final StringBuilder text = new StringBuilder();
    private final Thread reader;
    private int searchedUntil;
    private boolean ended;

    /** Starts to read a stream to its end. */
    public ProcessOutput(InputStream input) {
        reader = new Thread(() -> read(input), "output");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(InputStream input) {
        byte[] buffer = new byte[4_096];
        try {
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                add(new String(buffer, 0, read, StandardCharsets.UTF_8));
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

    /** Waits for a text after the one awaited before; if it does not appear, fails with the output since then. */
    public synchronized void await(String part) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        int index = text.indexOf(part, searchedUntil);
        while (index < 0) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
            if (ended || leftMs <= 0) {
                throw new AssertionError("\"" + part + "\" was not printed "
                        + (ended ? "before the end" : "within " + FakePeer.TIMEOUT_S + " s") + ", but:\n"
                        + text.substring(searchedUntil));
            }
            wait(leftMs);
            index = text.indexOf(part, searchedUntil);
        }
        searchedUntil = index + part.length();
    }

    /** Waits for the first occurrence of a text and the end of its line; returns what is between them. */
    public synchronized String restOfLine(String part) throws InterruptedException {
        int before = searchedUntil;
        searchedUntil = 0;
        await(part);
        int start = searchedUntil;
        await("\n");
        String rest = text.substring(start, searchedUntil - 1).strip();
        searchedUntil = before;
        return rest;
    }

    /** Waits for the end of the process and returns all its output. */
    public String readAll() throws InterruptedException {
        reader.join(TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        synchronized (this) {
            if (!ended) {
                throw new AssertionError("the process still runs, and has printed:\n" + text);
            }
            return text.toString();
        }
    }
}
