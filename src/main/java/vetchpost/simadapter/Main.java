package vetchpost.simadapter;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/**
 * Runs balancer instances for the simulator: events on standard input, actions on standard output, nothing else there.
 */
public final class Main {
    private Main() {}

    /**
     * Runs until the input ends. Malformed input or a read or write error ends it with one line on standard error and
     * exit code 2.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        try {
            new AdapterSession(System.in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException | IOException e) {
            System.err.println("simwire: " + e.getMessage());
            System.exit(2);
        }
    }
}
