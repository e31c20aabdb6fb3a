import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients stop within the heads of their requests and stay; the usual clients go on asking. */
final class StuckHeads {
    private static final Map<String, Integer> REMAINING_MS =
            Map.of("view-page", 500, "add-photo", 600, "place-order", 1_000);
    private static final int BAD_CLIENTS = 200;
    /** Under 16 KiB in all. */
    private static final int HEADER_LINES = 3_000;

    private StuckHeads() {}

    public static void main(String[] args) {
        Lab.run(args[0], StuckHeads::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < 10; i++) {
            lab.server("s-" + i, i / 5, Lab.serves(20));
        }
        Lab.Discovery discovery = lab.new Discovery();
        Lab.Node node = lab.new Node(discovery.socket.getLocalPort(), Lab.settings());
        if (!node.awaitReady(30_000)) {
            return 2;
        }
        if (Lab.TROUBLE) {
            lab.threads.execute(() -> {
                Lab.sleep(3_000);
                badClients(lab, node);
            });
        }
        Lab.Clients clients = lab.new Clients(node);
        clients.run(50, 15_000, List.of("view-page", "view-page", "add-photo", "view-page", "place-order"), REMAINING_MS);
        int served = 0;
        int lost = 0;
        int foreign = 0;
        for (Lab.Fate fate : clients.fates) {
            served += fate.isServed() ? 1 : 0;
            lost += fate.isLost(REMAINING_MS.get(fate.className)) ? 1 : 0;
            foreign += fate.isForeign() ? 1 : 0;
        }
        boolean crashed = !node.process.isAlive();
        String summary = "of " + clients.fates.size() + " requests of the usual clients " + served + " served, " + lost
                + " lost, " + foreign + " with a foreign answer; the node's process " + (crashed ? "has ended" : "lives");
        lab.log(summary);
        System.out.println(summary);
        return lost + foreign > 0 || crashed ? 1 : served == 0 ? 2 : 0;
    }

    /** Each sends most of a head and then waits for its error or for the close that it is owed. */
    private static void badClients(Lab lab, Lab.Node node) {
        StringBuilder head = new StringBuilder("GET /view-page/1 HTTP/1.1\r\n");
        for (int i = 0; i < HEADER_LINES; i++) {
            head.append("a:b\r\n");
        }
        byte[] data = Lab.bytes(head.toString());
        lab.log("%d bad clients send %d bytes of a head each and stop", BAD_CLIENTS, data.length);
        AtomicInteger ended = new AtomicInteger();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            lab.threads.execute(() -> {
                try (Lab.Client client = new Lab.Client(node.port)) {
                    client.write(data);
                    client.socket.setSoTimeout(6_000);
                    client.in.read();
                    ended.incrementAndGet();
                } catch (IOException e) {
                    // Neither an answer nor a close, or a reset.
                }
            });
        }
        Lab.sleep(6_500);
        lab.log("%d of the bad clients got an answer or a close", ended.get());
    }
}
