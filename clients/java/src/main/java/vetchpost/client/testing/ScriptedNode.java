package vetchpost.client.testing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A node for tests. It listens on a free loopback port and performs the next action of its script on each request; the
 * last action is repeated. Each connection has a thread of its own; all methods are safe for use by several threads.
 * <pre>{@code
 * try (ScriptedNode node = new ScriptedNode(ScriptedNode.refuses(2), ScriptedNode.answers(200, "done"))) {
 *     Client client = Client.builder().node(node.url()).build();
 * }
 * }</pre>
 */
public final class ScriptedNode implements AutoCloseable {
    private static final int MAX_HEAD_BYTES = 64 << 10;
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int READ_TIMEOUT_MS = 30_000;

    private final ServerSocket serverSocket;
    private final Deque<Play> script = new ArrayDeque<>();
    private final List<Seen> seen = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();

    /** An action on a request. */
    public interface Play {
        /** When an action runs: once the connection is accepted, the head is read, or the whole request is read. */
        enum Moment {
            ACCEPTED,
            HEAD_READ,
            READ
        }

        /** Runs the action. The connection stays open afterwards unless the action closes it. */
        void on(Socket socket) throws IOException;

        /** Returns when it runs; by default once the whole request is read. */
        default Moment moment() {
            return Moment.READ;
        }
    }

    /** A request as received; header names in lower case. */
    public record Seen(String method, String target, Map<String, String> headers, String body) {}

    /** Starts a node with this script. */
    public ScriptedNode(Play... plays) throws IOException {
        serverSocket = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        script.addAll(List.of(plays));
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "scripted-node");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the node's URL. */
    public String url() {
        return "http://127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** Returns all requests so far that were read completely. */
    public synchronized List<Seen> seen() {
        return List.copyOf(seen);
    }

    /** Answers with this status and body. @param fields further headers, each {@code Name: value} */
    public static Play answers(int status, String body, String... fields) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " -\r\n");
        head.append("Content-Length: ").append(bytes.length).append("\r\n");
        for (String field : fields) {
            head.append(field).append("\r\n");
        }
        return raw(head + "\r\n" + body);
    }

    /** Refuses as a node does, with a Retry-After in seconds. */
    public static Play refuses(int afterSeconds) {
        return answers(503, "refused", "Vetchpost-Ran: no", "Retry-After: " + afterSeconds);
    }

    /** Writes these bytes and keeps the connection open. */
    public static Play raw(String text) {
        return socket -> write(socket, text);
    }

    /** Keeps the connection open and writes nothing. */
    public static Play silent() {
        return socket -> {};
    }

    /** Closes the connection at this moment: before, during or after the reading of the request. */
    public static Play closes(Play.Moment moment) {
        return new Play() {
            @Override
            public void on(Socket socket) throws IOException {
                socket.close();
            }

            @Override
            public Moment moment() {
                return moment;
            }
        };
    }

    /** Starts an answer of {@code length} bytes, writes half of them and closes the connection. */
    public static Play cuts(int length) {
        return socket -> {
            write(socket, "HTTP/1.1 200 -\r\nContent-Length: " + length + "\r\n\r\n");
            write(socket, "x".repeat(length / 2));
            socket.close();
        };
    }

    /** Writes a beginning, and then repeats a text until the client closes the connection. */
    public static Play floods(String beginning, String repeated) {
        return socket -> {
            write(socket, beginning);
            String batch = repeated.repeat(1 + 8_192 / repeated.length());
            while (!socket.isClosed()) {
                write(socket, batch);
            }
        };
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void accept() {
        while (!serverSocket.isClosed()) {
            try {
                Socket socket = serverSocket.accept();
                socket.setSoTimeout(READ_TIMEOUT_MS);
                socket.setTcpNoDelay(true);
                synchronized (this) {
                    sockets.add(socket);
                }
                start(() -> serve(socket));
            } catch (IOException e) {
                return; // Closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (!socket.isClosed()) {
                if (peek().moment() == Play.Moment.ACCEPTED) {
                    next().on(socket);
                    return;
                }
                Seen head = readHead(in);
                if (head == null) {
                    return;
                }
                if (peek().moment() == Play.Moment.HEAD_READ) {
                    next().on(socket);
                    return;
                }
                int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
                if (length > MAX_BODY_BYTES) {
                    return;
                }
                String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                Play play;
                synchronized (this) {
                    seen.add(new Seen(head.method(), head.target(), head.headers(), body));
                    play = next();
                }
                play.on(socket);
            }
        } catch (IOException e) {
            return; // The client has closed the connection, or this node was closed.
        }
    }

    private synchronized Play peek() {
        return script.isEmpty() ? silent() : script.peek();
    }

    private synchronized Play next() {
        return script.size() > 1 ? script.poll() : peek();
    }

    private static Seen readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int terminatorBytes = 0;
        while (terminatorBytes < 4) {
            int b = in.read();
            if (b < 0 || bytes.size() >= MAX_HEAD_BYTES) {
                return null;
            }
            bytes.write(b);
            terminatorBytes = b == (terminatorBytes % 2 == 0 ? '\r' : '\n') ? terminatorBytes + 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        String[] first = lines[0].split(" ");
        return new Seen(first[0], first[1], headers, "");
    }

    /** Closes its connections and its port. */
    @Override
    public synchronized void close() throws IOException {
        serverSocket.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
