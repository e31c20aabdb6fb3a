package vetchpost.testing;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;

/** Builds configurations, requests and server lists for tests. */
public final class Fixture {
    public static final int REMAINING_MS = 20_000;

    private static final String CLASSES = """
            [{"name":"view","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"safe","group":"all"},
             {"name":"photo","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"keyed","group":"cell",
              "windowUs":1200000},
             {"name":"order","onTimeUs":10000000,"giveUpUs":30000000,"repeat":"unsafe","group":"all"},
             {"name":"slow","onTimeUs":30000000,"giveUpUs":30000000,"repeat":"unsafe","group":"all"}]""";

    private Fixture() {}

    public static JsonObject config(FakePeer discovery, FakePeer... servers) {
        return JsonParser.parseString("""
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
                 "settings":{"balancers":1,"zones":["a"],"myZone":"a","classes":%s,
                  "realms":[{"name":"acme","quotaPerS":1000,"share":1}],"membershipMode":"on_request",
                  "limits":{"attemptsCap":4,"cancelling":true,"parallelTries":true,"retryAfter":true,
                   "maxRetryAfterUs":1000000,"dialTimeoutUs":2000000,"connIdleUs":60000000},
                  "rules":{"askWithinUs":10000000,"drainGraceUs":500000}}}
                """.formatted(discovery.address(), list(41, true, "Ready", servers), CLASSES))
                .getAsJsonObject();
    }

    public static Path write(JsonObject json) throws IOException {
        Path file = Files.createTempFile("node", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, json.toString());
    }

    public static String list(long revision, boolean all, String state, FakePeer... servers) {
        StringBuilder targets = new StringBuilder();
        for (FakePeer server : servers) {
            targets.append(targets.isEmpty() ? "" : ",").append("""
                    {"uid":"s-%d","endpoint":"%s","az":"a","model":"m","pod_group":3,"state":"%s",\
                    "capacity_hint":1.0,"boot_ms":0}""".formatted(server.port(), server.address(), state));
        }
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + targets + "]}";
    }

    public static String request(String method, String path, long id, String headers, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: "
                + String.format("%016x", id) + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + REMAINING_MS + "\r\n"
                + headers + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                + body;
    }

    public static void beginWatch(Socket watch) throws IOException {
        FakePeer.write(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    public static void writeLine(Socket watch, String line) throws IOException {
        FakePeer.write(watch, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }
}
