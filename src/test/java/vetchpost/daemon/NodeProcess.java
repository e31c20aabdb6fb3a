package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import vetchpost.testing.FakePeer;
import vetchpost.testing.ProcessOutput;

/** Test fixture: a node as a process of its own, which chooses its port itself. Tests call it from their own thread. */
final class NodeProcess {
    private static final long READY_TIMEOUT_S = 60;

    private final Process process;
    private final ProcessOutput output;
    private int port;

    /**
     * Starts the process.
     *
     * @param shellPrefix shell commands that run before it, each ending in {@code &&}
     * @param memoryOptions options of the virtual machine that limit its memory
     * @param arguments arguments of the program, each with a space before it
     * @param config path of the platform's configuration, or null for none
     */
    NodeProcess(String shellPrefix, String memoryOptions, String arguments, String config) throws IOException {
        // Without slf4j, a test dependency that would replace the process's logging.
        String path = Arrays.stream(
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"))
                                .split(File.pathSeparator))
                .filter(jar -> !jar.contains("slf4j"))
                .collect(Collectors.joining(File.pathSeparator));
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                shellPrefix + "exec \"$JAVA\" -XX:+UseSerialGC -XX:TieredStopAtLevel=1 " + memoryOptions
                        + " -cp \"$JARS\" vetchpost.daemon.Main" + arguments);
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        builder.environment().put("JAVA", java.toString());
        builder.environment().put("JARS", path);
        builder.environment().remove("LB_CONFIG");
        builder.environment().remove("LB_LISTEN");
        builder.environment().remove("LB_DISCOVERY");
        if (config != null) {
            builder.environment().put("LB_CONFIG", config);
        }
        process = builder.redirectErrorStream(true).start();
        output = new ProcessOutput(process.getInputStream());
    }

    Process process() {
        return process;
    }

    ProcessOutput output() {
        return output;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        return socket;
    }

    /** Waits until a request for this path is answered with status 200. */
    void await(String path) throws Exception {
        if (port == 0) {
            // The system chooses the port, because a port found free in advance may be taken by now.
            port = Integer.parseInt(output.restOfLine("listening on /127.0.0.1:"));
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        String answer = "";
        while (answer == null || !answer.startsWith("HTTP/1.1 200")) {
            assertTrue(process.isAlive() && System.nanoTime() < until, "never ready");
            try (Socket socket = connect()) {
                FakePeer.write(socket, "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
                answer = FakePeer.read(socket);
            } catch (IOException e) {
                // Not listening yet; on a busy machine the process may start slowly.
                process.waitFor(20, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Kills the process and returns what it has printed. */
    String killAndReadOutput() {
        // Through the handle, because Process.destroyForcibly would close the output that is not read yet.
        process.toHandle().destroyForcibly();
        try {
            return output.readAll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return e.toString();
        }
    }
}
