package vetchpost.testing;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A scripted server or discovery service on a loopback socket, which records the requests that it receives. Each
 * connection has a thread of its own; the queues and the script may be used from the test's thread.
 */
public final class FakePeer implements Closeable {
    public static final long TIMEOUT_S = 30;

    /** An action on a request and its connection. */
    public interface Script {
        void run(Socket socket, String request) throws IOException, InterruptedException;
    }

    public static final Script SILENT = (socket, request) -> {};
    public static final Script RESET = (socket, request) -> {
        socket.setSoLinger(true, 0);
        socket.close();
    };
    public static final Script CLOSE = (socket, request) -> socket.close();

    public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    /** Connections that the other side has closed, or whose script has failed. */
    public final BlockingQueue<Socket> closedByClient = new LinkedBlockingQueue<>();

    public final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket serverSocket;
    private final Thread acceptor;
    private volatile Script script;

    public FakePeer(Script script) throws IOException {
        this.script = script;
        serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptor = startDaemonThread(() -> {
            while (true) {
                Socket socket = serverSocket.accept();
                openSockets.add(socket);
                accepted.add(socket);
                startDaemonThread(() -> serve(socket));
            }
        });
    }

    /** Answers with these headers, each ending in CRLF, and this body. */
    public static Script answer(String status, String headers, String body) {
        return raw("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    public static Script raw(String text) {
        return (socket, request) -> write(socket, text);
    }

    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    public void script(Script next) {
        script = next;
    }

    public int port() {
        return serverSocket.getLocalPort();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }

    public String nextRequest() throws InterruptedException {
        return takeWithTimeout(requests);
    }

    public static <T> T takeWithTimeout(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing arrived within " + TIMEOUT_S + " s");
        }
        return next;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try {
            for (String request = read(socket); request != null; request = read(socket)) {
                requests.add(request);
                script.run(socket, request);
            }
        } finally {
            closedByClient.add(socket);
        }
    }

    /** Reads one HTTP message with its body; returns null at the end of the connection. */
    public static String read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            text.append((char) b);
        }
        String length = header(text.toString(), "content-length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return text.append(new String(body, StandardCharsets.ISO_8859_1)).toString();
    }

    public static String header(String message, String name) {
        String head = message.substring(0, message.indexOf("\r\n\r\n"));
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        // Until the thread that waits in accept() has run again, the system still accepts connections.
        awaitEnd(acceptor);
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    private static void awaitEnd(Thread thread) {
        try {
            thread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private static Thread startDaemonThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection was closed, or the test is over.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
