package vetchpost.simadapter;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** Hosts instances of the module for the bench: the wire on standard input and output, nothing else there. */
public final class Main {
    private Main() {}

    /**
     * Runs until the input ends; a malformed input ends it with one line on standard error and exit
     * code 2.
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
