import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A keyed request fails and is repeated within its rack; the connection for the repeat comes up late. */
final class LateRepeat {
    private static final int WINDOW_MS = 1_200;
    /** After this the first server answers 500. */
    private static final int FIRST_ANSWER_MS = 800;

    private LateRepeat() {}

    public static void main(String[] args) {
        Lab.run(args[0], LateRepeat::run);
    }

    /** Keeps the accept queue of a server full, so that the next connection comes up with its second SYN, 1 s later. */
    private static final class Gate {
        private final Lab lab;
        private final Lab.Server server;
        private final List<Socket> fillers = new ArrayList<>();

        Gate(Lab lab, Lab.Server server) {
            this.lab = lab;
            this.server = server;
        }

        synchronized void shut() throws IOException {
            server.accepting = false;
            // The accepting thread takes one more; then two fill the queue of a backlog of one.
            int refused = 0;
            for (int i = 0; i < 8; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(new InetSocketAddress(Lab.LOOPBACK, server.port), 60);
                    refused = 0;
                } catch (SocketTimeoutException e) {
                    filler.close();
                    refused++;
                }
                if (refused == 2) {
                    lab.log("server %s: a connection that is opened now comes up late", server.uid);
                    return;
                }
            }
            lab.log("server %s: the queue could not be filled", server.uid);
        }

        synchronized void open() throws IOException {
            for (Socket filler : fillers) {
                filler.close();
            }
            fillers.clear();
            server.accepting = true;
            lab.log("server %s accepts at once again", server.uid);
        }
    }

    /** What one rack remembers of keys, and the effects that it has had. */
    private static final class Rack {
        private final Map<String, Double> firstMs = new HashMap<>();

        /** Returns whether the request has its effect now; a repeat is dropped for the window. */
        synchronized boolean apply(String key, double nowMs) {
            Double first = firstMs.get(key);
            if (first != null && nowMs - first <= WINDOW_MS) {
                return false;
            }
            firstMs.put(key, nowMs);
            return true;
        }
    }

    private static int run(Lab lab) throws Exception {
        Map<Lab.Server, Gate> gates = new HashMap<>();
        Map<Integer, Rack> racks = Map.of(0, new Rack(), 1, new Rack());
        Map<String, Integer> effects = new HashMap<>();
        Lab.Behaviour behaviour = (server, request, connection) -> {
            String id = request.header("X-Txn");
            if (!request.path().startsWith("/add-photo")) {
                Lab.sleep(20);
                // Idle connections are closed early.
                Lab.answer(connection, 200, "Connection: close\r\n", Lab.answerFor(id));
                connection.close();
                return;
            }
            String key = request.header("Idempotency-Key");
            synchronized (effects) {
                boolean applied = racks.get(server.cell).apply(key, lab.ms());
                effects.merge(key, applied ? 1 : 0, Integer::sum);
                lab.log("rack %d: %s %s", server.cell, id, applied ? "has its effect" : "is dropped as a repeat");
            }
            if (lab.runsById.get(id).get() > 1) {
                Lab.answer(connection, 200, "", Lab.answerFor(id));
                return;
            }
            List<Gate> others = gates.values().stream()
                    .filter(g -> Lab.TROUBLE && g.server != server && g.server.cell == server.cell)
                    .toList();
            for (Gate other : others) {
                other.shut();
            }
            Lab.sleep(FIRST_ANSWER_MS);
            Lab.answer(connection, 500, "Connection: close\r\n", "failed\n");
            // Long before the second SYN, and early enough that a wait in the queue alone passes no bound.
            Lab.sleep(300);
            for (Gate other : others) {
                other.open();
            }
            connection.close();
        };
        for (int i = 0; i < 4; i++) {
            Lab.Server server = lab.server("s-" + i, i / 2, 1, behaviour);
            gates.put(server, new Gate(lab, server));
        }
        Lab.Discovery discovery = lab.new Discovery();
        Map<String, String> settings = Lab.settings();
        settings.put("classes", "[{\"name\":\"view-page\",\"onTimeUs\":1000000,\"giveUpUs\":3000000,\"importance\":1.0,"
                + "\"lateWorth\":0.0,\"repeat\":\"safe\",\"group\":\"all\",\"stream\":false,\"windowUs\":5000000},"
                + "{\"name\":\"add-photo\",\"onTimeUs\":2500000,\"giveUpUs\":3000000,\"importance\":5.0,"
                + "\"lateWorth\":0.0,\"repeat\":\"keyed\",\"group\":\"cell\",\"stream\":false,\"windowUs\":1200000}]");
        settings.put("limits", settings.get("limits").replace("\"dialTimeoutUs\":50000", "\"dialTimeoutUs\":1500000"));
        Lab.Node node = lab.new Node(discovery.socket.getLocalPort(), settings, "");
        if (!node.awaitReady(30_000)) {
            return 2;
        }
        Lab.Clients clients = lab.new Clients(node);
        List<Lab.Fate> photos = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.run(20, 500, List.of("view-page"), Map.of("view-page", 3_000));
            photos.add(clients.send("add-photo", 3_000));
            Lab.sleep(1_000);
        }
        int broken = 0;
        int repeated = 0;
        for (Lab.Fate photo : photos) {
            List<Lab.Run> runs = lab.runs.stream().filter(r -> r.id().equals(photo.id)).toList();
            for (Lab.Run again : runs.subList(Math.min(1, runs.size()), runs.size())) {
                double afterMs = again.atMs() - runs.get(0).atMs();
                repeated++;
                // With the protocol page's 50 ms.
                boolean isLate = afterMs > WINDOW_MS + 50;
                broken += isLate ? 1 : 0;
                lab.log("%s was sent to %s again %.1f ms after %s had got it%s", photo.id, again.server(), afterMs,
                        runs.get(0).server(), isLate ? ": too late" : "");
            }
        }
        long twice = effects.values().stream().filter(n -> n > 1).count();
        String summary = "of " + photos.size() + " photos " + repeated + " were repeated, " + broken + " of them more than "
                + WINDOW_MS + " ms after the first attempt; " + twice + " had their effect twice";
        lab.log(summary);
        System.out.println(summary);
        return broken > 0 ? 1 : repeated == 0 ? 2 : 0;
    }
}
