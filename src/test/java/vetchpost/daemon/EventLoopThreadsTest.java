package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.testing.FakePeer;
import vetchpost.testing.ProcessOutput;

/** Checks what becomes of the process when its event loop ends. */
@Timeout(120)
class EventLoopThreadsTest {
    /** A process whose event loop ends while another thread, as a node's may, lives on. */
    static final class EndingLoop {
        private EndingLoop() {}

        public static void main(String[] args) throws InterruptedException {
            EventLoopThreads.newGroup().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            new CountDownLatch(1).await();
        }
    }

    /** Guards against a process that lives on without its event loop: it accepts connections and answers nobody. */
    @Test
    void processEndsWithItsEventLoop() throws Exception {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        String path = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        Process process = new ProcessBuilder(java.toString(), "-cp", path, EndingLoop.class.getName())
                .redirectErrorStream(true)
                .start();
        try {
            ProcessOutput output = new ProcessOutput(process.getInputStream());
            assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still running");
            assertEquals(1, process.exitValue());
            assertTrue(output.readAll().contains("the event loop has ended"));
        } finally {
            process.destroyForcibly();
        }
    }
}
