package vetchpost.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import vetchpost.control.FleetState.Server;

/** Messages: bounded, strict, one after the other, and never an effect without a record. */
class ControlApiTest {
    private static final String DRAIN = "{\"v\":1,\"id\":7,\"do\":\"drain\",\"server\":\"s1\",\"for\":60000,"
            + "\"owner\":\"ann\",\"reason\":\"sick\",\"key\":\"a\"}";
    private final Leases leases = new Leases(new SafetyCheck(0.5, 0.9));
    private final List<String> recorded = new ArrayList<>();
    private final List<Consumer<String>> pending = new ArrayList<>();
    private boolean delaysAppends;
    private boolean failsOnChange;
    private String appendFailure;
    private int changeCount;
    private long nowUs;
    private final ControlApi controlApi = new ControlApi(
            leases, ControlApiTest::fourServers, () -> Map.of("requests", 3L), this::append, this::onChange);

    private void onChange() {
        if (failsOnChange) {
            throw new IllegalStateException("planted");
        }
        changeCount++;
    }

    private static FleetState fourServers() {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new Server("s" + i, "", 1, false));
        }
        return new FleetState(servers, List.of("read", "write"));
    }

    private void append(String text, Consumer<String> done) {
        if (delaysAppends) {
            pending.add(why -> {
                recorded.add(text);
                done.accept(why);
            });
            return;
        }
        if (appendFailure == null) {
            recorded.add(text);
        }
        done.accept(appendFailure);
    }

    private List<String> replies(String message) {
        List<String> replies = new ArrayList<>();
        controlApi.handle(message, () -> new ControlApi.Now(nowUs, nowUs / 1_000), replies::add);
        return replies;
    }

    private JsonObject send(String message) {
        List<String> replies = replies(message);
        assertEquals(1, replies.size(), message);
        return JsonParser.parseString(replies.get(0)).getAsJsonObject();
    }

    @Test
    void recordsChangeBeforeApplyingIt() {
        delaysAppends = true;
        List<String> replies = replies(DRAIN);
        assertEquals(List.of(), replies);
        assertFalse(leases.effects().isDraining("s1"));
        pending.remove(0).accept(null);
        assertTrue(leases.effects().isDraining("s1"));
        assertEquals(1, changeCount);
        JsonObject reply = JsonParser.parseString(replies.get(0)).getAsJsonObject();
        assertEquals(7, reply.get("id").getAsInt());
        assertEquals(60_000, reply.getAsJsonObject("override").get("left-ms").getAsLong());
        assertEquals("s1", AuditEntryJson.parse(recorded.get(0)).change().subject());
    }

    @Test
    void checksConcurrentChangesOneAtATime() {
        delaysAppends = true;
        replies(DRAIN);
        replies(DRAIN.replace("s1", "s2").replace("\"a\"", "\"b\""));
        List<String> third = replies(DRAIN.replace("s1", "s3").replace("\"a\"", "\"c\""));
        assertEquals(1, pending.size(), "the others wait");
        pending.remove(0).accept(null);
        pending.remove(0).accept(null);
        assertTrue(third.get(0).contains("it leaves 25 % of the fleet's weight (50 % before)"), "" + third);
        assertEquals(2, leases.activeLeases().size());
    }

    @Test
    void recordsExpiryThatCoincidesWithCommand() {
        send(DRAIN);
        nowUs = 60_000_000;
        send(DRAIN.replace("s1", "s2").replace("\"a\"", "\"b\""));
        assertEquals(
                List.of(AuditLog.Event.GRANTED, AuditLog.Event.ENDED, AuditLog.Event.GRANTED),
                recorded.stream().map(r -> AuditEntryJson.parse(r).event()).toList());
        assertEquals(3, changeCount);
    }

    @Test
    void failingListenerDoesNotBlockNextCommand() {
        failsOnChange = true;
        assertThrows(IllegalStateException.class, () -> replies(DRAIN));
        failsOnChange = false;
        assertTrue(send(DRAIN.replace("s1", "s2").replace("\"a\"", "\"b\""))
                .get("ok")
                .getAsBoolean());
    }

    @Test
    void recordsRepeatedCommandOnce() {
        send(DRAIN);
        JsonObject again = send(DRAIN);
        assertTrue(again.get("repeated").getAsBoolean());
        assertEquals(1, again.getAsJsonObject("override").get("number").getAsInt());
        assertEquals(1, recorded.size());
        assertEquals(1, changeCount);
    }

    @Test
    void boundsWaitingChangesWhileAppendHangs() {
        delaysAppends = true;
        for (int i = 0; i < 65; i++) {
            assertEquals(List.of(), replies(DRAIN.replace("\"a\"", "\"k" + i + "\"")));
        }
        assertEquals(
                "busy", send(DRAIN.replace("\"a\"", "\"last\"")).get("error").getAsString());
    }

    @Test
    void unrecordedChangeHasNoEffect() {
        appendFailure = "no space left on device";
        JsonObject reply = send(DRAIN);
        assertEquals("unrecorded", reply.get("error").getAsString());
        assertFalse(leases.effects().isDraining("s1"));
        appendFailure = null;
        assertTrue(send(DRAIN).get("ok").getAsBoolean(), "and the same command is carried out later");
        appendFailure = "no space left on device";
        assertFalse(send("{\"v\":1,\"do\":\"undo\",\"number\":1,\"owner\":\"bob\"}")
                .get("ok")
                .getAsBoolean());
        assertTrue(leases.effects().isDraining("s1"));
        nowUs = 60_000_000;
        controlApi.expire(new ControlApi.Now(nowUs, 0));
        assertFalse(leases.effects().isDraining("s1"), "but what is due ends, recorded or not");
    }

    @Test
    void readsAndDryRunsChangeNothing() {
        JsonObject dry = send(DRAIN.replace("\"key\"", "\"dry\":true,\"key\""));
        assertTrue(dry.get("would").getAsBoolean());
        assertEquals(4, dry.getAsJsonObject("before").get("servers").getAsInt());
        assertEquals(3, dry.getAsJsonObject("after").get("servers").getAsInt());
        send("{\"v\":1,\"do\":\"servers\"}");
        send("{\"v\":1,\"do\":\"overrides\"}");
        assertEquals(3, send("{\"v\":1,\"do\":\"status\"}").get("requests").getAsInt());
        assertEquals(0, changeCount);
        assertEquals(List.of(), recorded);
        assertEquals(0, leases.activeLeases().size());
    }

    @Test
    void undoEndsLeaseAndRejectsUnknownNumber() {
        send(DRAIN);
        String undo = "{\"v\":1,\"do\":\"undo\",\"number\":1,\"owner\":\"bob\"}";
        assertTrue(send(undo).get("ok").getAsBoolean());
        assertFalse(leases.effects().isDraining("s1"));
        assertTrue(send(undo).toString().contains("no override 1 holds"));
    }

    @Test
    void invalidMessagesAreRejectedWithReason() {
        assertTrue(send("").toString().contains("one JSON object"));
        assertTrue(send("[1]").toString().contains("one JSON object"));
        assertTrue(send("{\"v\":2,\"do\":\"status\"}").toString().contains("v is a whole number from 1 to 1"));
        assertTrue(send("{\"v\":1,\"do\":\"dance\"}").toString().contains("do is one of drain, explain, freeze,"));
        assertTrue(
                send("{\"v\":1,\"do\":\"explain\",\"txn\":\"xyz\"}").toString().contains("nothing is recorded"));
        assertTrue(send("{\"v\":1,\"do\":\"status\",\"x\":1}").toString().contains("'x' is no field of status"));
        assertTrue(send(DRAIN.replace("60000", "0")).toString().contains("lasts from 1s to 24h"));
        assertTrue(send(DRAIN.replace("60000", "\"1m\"")).toString().contains("for is a whole number"));
        assertTrue(send(DRAIN.replace("\"sick\"", "\"\"")).toString().contains("reason is a text of 1"));
        assertEquals(0, leases.activeLeases().size());
    }

    @Test
    void mutatedMessagesAlwaysGetOneReply() {
        List<String> seeds = List.of(
                DRAIN,
                "{\"v\":1,\"do\":\"undo\",\"number\":1,\"owner\":\"bob\"}",
                "{\"v\":1,\"do\":\"shed\",\"class\":\"read\",\"share\":0.5,\"for\":60000,\"owner\":\"a\","
                        + "\"reason\":\"r\",\"key\":\"k\",\"anyway\":true}",
                "{\"v\":1,\"id\":\"x\",\"do\":\"servers\"}");
        String signs = "{}[]\",:0123456789.eE+-truefalsn\\u \t\u00e9\u0000";
        // So many fit into a second; -Dvetchpost.mutations=1000000 plays as many as the documents say.
        int most = Integer.getInteger("vetchpost.mutations", 20_000);
        Random random = new Random(1);
        for (int i = 0; i < most; i++) {
            StringBuilder message = new StringBuilder(seeds.get(random.nextInt(seeds.size())));
            for (int m = 1 + random.nextInt(4); m > 0; m--) {
                int at = random.nextInt(message.length());
                char sign = signs.charAt(random.nextInt(signs.length()));
                switch (random.nextInt(4)) {
                    case 0 -> message.setCharAt(at, sign);
                    case 1 -> message.insert(at, sign);
                    case 2 -> message.deleteCharAt(at);
                    default -> message.insert(at, message.substring(at, Math.min(message.length(), at + 20)));
                }
            }
            JsonObject reply = send(message.toString());
            assertTrue(reply.get("ok").getAsBoolean()
                    || !reply.getAsJsonArray("why").isEmpty());
            recorded.clear();
            nowUs += 1_000_000;
            controlApi.expire(new ControlApi.Now(nowUs, nowUs / 1_000));
        }
        assertTrue(leases.activeLeases().size() <= Leases.MAX_LEASES);
    }
}
