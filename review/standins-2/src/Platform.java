import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment of the platform: discovery that is asked, the configuration of a node, and clients' requests. */
final class Platform {
    private final Lab lab;
    private final List<String> targets = new ArrayList<>();
    private final ServerSocket discovery;
    private final AtomicLong lastTxn = new AtomicLong(System.nanoTime() << 20);

    Platform(Lab lab) throws IOException {
        this.lab = lab;
        discovery = lab.listen(0, 64, this::serveDiscovery);
    }

    /** Adds a server to discovery's list; all are added before the first node starts. */
    void addServer(int port, int podGroup) {
        targets.add("{\"uid\":\"s-" + port + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"room\",\"model\":\"std-box\","
                + "\"pod_group\":" + podGroup + ",\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
    }

    private String list() {
        return "{\"rev\":41,\"all\":true,\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** One watch: the whole list, then an empty line every 2 s. */
    private void serveDiscovery(Socket socket) throws IOException, InterruptedException {
        if (Lab.readRequest(socket.getInputStream()) == null) {
            return;
        }
        OutputStream out = socket.getOutputStream();
        Lab.write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeLine(out, list());
        while (true) {
            Thread.sleep(2_000);
            writeLine(out, "");
        }
    }

    private static void writeLine(OutputStream out, String line) throws IOException {
        Lab.write(out, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    static String requestClass(
            String name, long aimMs, long deadlineMs, double worth, String repeat, String group, long windowMs) {
        return "{\"name\":\"" + name + "\",\"onTimeUs\":" + aimMs * 1_000 + ",\"giveUpUs\":" + deadlineMs * 1_000
                + ",\"importance\":" + worth + ",\"lateWorth\":0.0,\"stream\":false,\"repeat\":\"" + repeat
                + "\",\"group\":\"" + group + "\",\"windowUs\":" + windowMs * 1_000 + "}";
    }

    /** The three classes of the brief. */
    static String usualClasses() {
        return requestClass("view-page", 100, 500, 1, "safe", "all", 5_000) + ","
                + requestClass("add-photo", 200, 600, 5, "keyed", "cell", 1_200) + ","
                + requestClass("place-order", 300, 1_000, 5, "unsafe", "all", 5_000);
    }

    /** Starts a node and waits until it is ready; returns its process. */
    Process startNode(String name, int port, String classes, long dialTimeoutMs, int sockets) throws IOException {
        String config = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + discovery.getLocalPort() + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                + "\"known\":" + list() + ","
                + "\"settings\":{\"balancers\":1,\"me\":0,\"tier\":0,\"zones\":[\"room\"],\"myZone\":\"room\","
                + "\"kinds\":[\"std-box\"],\"layers\":[\"book-web\"],\"classes\":[" + classes + "],"
                + "\"realms\":[{\"name\":\"school-a\",\"quotaPerS\":1000,\"share\":1}],"
                + "\"membershipMode\":\"on_request\",\"weights\":\"rough\",\"quantumUs\":2000,\"countedBy\":\"request\","
                + "\"callers\":{\"marksRetry\":true},\"report\":{\"fields\":[],\"via\":\"none\"},\"overShareWorth\":0.1,"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"parallelTries\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterUs\":1000000,\"dialTimeoutUs\":" + dialTimeoutMs * 1_000
                + ",\"connIdleUs\":60000000,\"probes\":true},"
                + "\"rules\":{\"askWithinUs\":10000000,\"drainGraceUs\":500000,\"graceToAnswerUs\":8000,"
                + "\"coldFrom\":0.12,\"coldUs\":23000000,\"fallUs\":2000000,\"overloadFactor\":4.0}}}";
        Path file = Files.writeString(lab.temp.resolve(name + ".json"), config);
        Process process = lab.startNode(name, "", Map.of(
                "LB_NAME", name,
                "LB_LISTEN", "127.0.0.1:" + port,
                "LB_DISCOVERY", "127.0.0.1:" + discovery.getLocalPort(),
                "LB_CONFIG", file.toString()));
        lab.awaitReady(port, 30);
        return process;
    }

    String newTxn() {
        return String.format("%016x", lastTxn.incrementAndGet());
    }

    /** A request of the usual form; the method follows from the class's kind. */
    static String request(String name, String kind, String txn, long remainingMs, String body) {
        return (kind.equals("safe") ? "GET" : "POST") + " /" + name + "/" + txn + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: "
                + txn + "\r\nX-Org: school-a\r\nCookie: key=" + txn.substring(8) + "\r\nX-Remaining-Ms: " + remainingMs
                + "\r\n" + (kind.equals("keyed") ? "Idempotency-Key: k" + txn + "\r\n" : "")
                + (kind.equals("safe") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                + (kind.equals("safe") ? "" : body);
    }
}
