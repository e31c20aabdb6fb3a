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
 * A node for tests: it listens on a port of its own on loopback and does with each request what comes next in
 * its script; when that is at its end, the last thing again.
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

    /** What is done with a request. */
    public interface Play {
        /** When it happens. */
        enum Moment {
            ACCEPTED,
            HEAD_READ,
            READ
        }

        /** Does it. The connection is kept afterwards unless this closes it. */
        void on(Socket socket) throws IOException;

        /** Once a request has been read whole, if not said otherwise. */
        default Moment moment() {
            return Moment.READ;
        }
    }

    /** A request as it came; names of fields in lower case. */
    public record Seen(String method, String target, Map<String, String> headers, String body) {}

    /** Listens at once. */
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

    /** What a client calls it. */
    public String url() {
        return "http://127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** All requests so far that were read whole. */
    public synchronized List<Seen> seen() {
        return List.copyOf(seen);
    }

    /** An answer. @param fields further fields, each {@code Name: value} */
    public static Play answers(int status, String body, String... fields) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " -\r\n");
        head.append("Content-Length: ").append(bytes.length).append("\r\n");
        for (String field : fields) {
            head.append(field).append("\r\n");
        }
        return raw(head + "\r\n" + body);
    }

    /** A refusal as a node words it. */
    public static Play refuses(int afterSeconds) {
        return answers(503, "refused", "Vetchpost-Ran: no", "Retry-After: " + afterSeconds);
    }

    /** These bytes, and the connection stays open. */
    public static Play raw(String text) {
        return socket -> write(socket, text);
    }

    /** The connection is kept, and nothing comes. */
    public static Play silent() {
        return socket -> {};
    }

    /** Closes the connection at this moment: before anything of the request is read, in it, or after it. */
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

    /** Begins an answer of this length, writes half of it and closes. */
    public static Play cuts(int length) {
        return socket -> {
            write(socket, "HTTP/1.1 200 -\r\nContent-Length: " + length + "\r\n\r\n");
            write(socket, "x".repeat(length / 2));
            socket.close();
        };
    }

    /** Writes a beginning, and then the same again and again until its client has gone. */
    public static Play floods(String beginning, String again) {
        return socket -> {
            write(socket, beginning);
            String many = again.repeat(1 + 8_192 / again.length());
            while (!socket.isClosed()) {
                write(socket, many);
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
            return; // Its client has gone, or this node has been closed.
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
        int ended = 0;
        while (ended < 4) {
            int b = in.read();
            if (b < 0 || bytes.size() >= MAX_HEAD_BYTES) {
                return null;
            }
            bytes.write(b);
            ended = b == (ended % 2 == 0 ? '\r' : '\n') ? ended + 1 : 0;
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

    /** Ends its connections and listens no more. */
    @Override
    public synchronized void close() throws IOException {
        serverSocket.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
