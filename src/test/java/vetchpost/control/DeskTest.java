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
class DeskTest {
    private static final String DRAIN = "{\"v\":1,\"id\":7,\"do\":\"drain\",\"server\":\"s1\",\"for\":60000,"
            + "\"owner\":\"ann\",\"reason\":\"sick\",\"key\":\"a\"}";
    private final Leases leases = new Leases(new SafetyCheck(0.5, 0.9));
    private final List<String> recorded = new ArrayList<>();
    private final List<Consumer<String>> pending = new ArrayList<>();
    private boolean slow;
    private boolean failing;
    private String trouble;
    private int changes;
    private long nowUs;
    private final ControlApi desk =
            new ControlApi(leases, DeskTest::four, () -> Map.of("requests", 3L), this::record, this::changed);

    private void changed() {
        if (failing) {
            throw new IllegalStateException("planted");
        }
        changes++;
    }

    private static FleetState four() {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new Server("s" + i, "", 1, false));
        }
        return new FleetState(servers, List.of("read", "write"));
    }

    private void record(String text, Consumer<String> done) {
        if (slow) {
            pending.add(why -> {
                recorded.add(text);
                done.accept(why);
            });
            return;
        }
        if (trouble == null) {
            recorded.add(text);
        }
        done.accept(trouble);
    }

    private List<String> replies(String message) {
        List<String> replies = new ArrayList<>();
        desk.handle(message, () -> new ControlApi.Now(nowUs, nowUs / 1_000), replies::add);
        return replies;
    }

    private JsonObject ask(String message) {
        List<String> replies = replies(message);
        assertEquals(1, replies.size(), message);
        return JsonParser.parseString(replies.get(0)).getAsJsonObject();
    }

    @Test
    void aChangeIsRecordedBeforeItHolds() {
        slow = true;
        List<String> replies = replies(DRAIN);
        assertEquals(List.of(), replies);
        assertFalse(leases.effects().isDraining("s1"));
        pending.remove(0).accept(null);
        assertTrue(leases.effects().isDraining("s1"));
        assertEquals(1, changes);
        JsonObject reply = JsonParser.parseString(replies.get(0)).getAsJsonObject();
        assertEquals(7, reply.get("id").getAsInt());
        assertEquals(60_000, reply.getAsJsonObject("override").get("left-ms").getAsLong());
        assertEquals("s1", AuditEntryJson.read(recorded.get(0)).change().subject());
    }

    @Test
    void twoOfOneTickAreJudgedOneAfterTheOther() {
        slow = true;
        replies(DRAIN);
        replies(DRAIN.replace("s1", "s2").replace("\"a\"", "\"b\""));
        List<String> third = replies(DRAIN.replace("s1", "s3").replace("\"a\"", "\"c\""));
        assertEquals(1, pending.size(), "the others wait");
        pending.remove(0).accept(null);
        pending.remove(0).accept(null);
        assertTrue(third.get(0).contains("it leaves 25 % of the fleet's weight (50 % before)"), "" + third);
        assertEquals(2, leases.all().size());
    }

    @Test
    void whatEndsAsACommandComesIsRecordedAndToldAllTheSame() {
        ask(DRAIN);
        nowUs = 60_000_000;
        ask(DRAIN.replace("s1", "s2").replace("\"a\"", "\"b\""));
        assertEquals(
                List.of(AuditLog.Event.GRANTED, AuditLog.Event.ENDED, AuditLog.Event.GRANTED),
                recorded.stream().map(r -> AuditEntryJson.read(r).event()).toList());
        assertEquals(3, changes);
    }

    @Test
    void aListenerThatFailsDoesNotHoldUpTheNextCommand() {
        failing = true;
        assertThrows(IllegalStateException.class, () -> replies(DRAIN));
        failing = false;
        assertTrue(ask(DRAIN.replace("s1", "s2").replace("\"a\"", "\"b\""))
                .get("ok")
                .getAsBoolean());
    }

    @Test
    void aRepeatedCommandIsRecordedOnce() {
        ask(DRAIN);
        JsonObject again = ask(DRAIN);
        assertTrue(again.get("repeated").getAsBoolean());
        assertEquals(1, again.getAsJsonObject("override").get("number").getAsInt());
        assertEquals(1, recorded.size());
        assertEquals(1, changes);
    }

    @Test
    void aRecordThatHangsLetsNoMoreThanSoManyWait() {
        slow = true;
        for (int i = 0; i < 65; i++) {
            assertEquals(List.of(), replies(DRAIN.replace("\"a\"", "\"k" + i + "\"")));
        }
        assertEquals(
                "busy", ask(DRAIN.replace("\"a\"", "\"last\"")).get("error").getAsString());
    }

    @Test
    void whatCanNotBeRecordedHasNoEffect() {
        trouble = "no space left on device";
        JsonObject reply = ask(DRAIN);
        assertEquals("unrecorded", reply.get("error").getAsString());
        assertFalse(leases.effects().isDraining("s1"));
        trouble = null;
        assertTrue(ask(DRAIN).get("ok").getAsBoolean(), "and the same command is carried out later");
        trouble = "no space left on device";
        assertFalse(ask("{\"v\":1,\"do\":\"undo\",\"number\":1,\"owner\":\"bob\"}")
                .get("ok")
                .getAsBoolean());
        assertTrue(leases.effects().isDraining("s1"));
        nowUs = 60_000_000;
        desk.expire(new ControlApi.Now(nowUs, 0));
        assertFalse(leases.effects().isDraining("s1"), "but what is due ends, recorded or not");
    }

    @Test
    void readingAndTryingOutChangeNothing() {
        JsonObject dry = ask(DRAIN.replace("\"key\"", "\"dry\":true,\"key\""));
        assertTrue(dry.get("would").getAsBoolean());
        assertEquals(4, dry.getAsJsonObject("before").get("servers").getAsInt());
        assertEquals(3, dry.getAsJsonObject("after").get("servers").getAsInt());
        ask("{\"v\":1,\"do\":\"servers\"}");
        ask("{\"v\":1,\"do\":\"overrides\"}");
        assertEquals(3, ask("{\"v\":1,\"do\":\"status\"}").get("requests").getAsInt());
        assertEquals(0, changes);
        assertEquals(List.of(), recorded);
        assertEquals(0, leases.all().size());
    }

    @Test
    void undoEndsOneAndSaysWhereThereIsNone() {
        ask(DRAIN);
        String undo = "{\"v\":1,\"do\":\"undo\",\"number\":1,\"owner\":\"bob\"}";
        assertTrue(ask(undo).get("ok").getAsBoolean());
        assertFalse(leases.effects().isDraining("s1"));
        assertTrue(ask(undo).toString().contains("no override 1 holds"));
    }

    @Test
    void badMessagesAreToldWhatIsWrong() {
        assertTrue(ask("").toString().contains("one JSON object"));
        assertTrue(ask("[1]").toString().contains("one JSON object"));
        assertTrue(ask("{\"v\":2,\"do\":\"status\"}").toString().contains("v is a whole number from 1 to 1"));
        assertTrue(ask("{\"v\":1,\"do\":\"dance\"}").toString().contains("do is one of drain, explain, freeze,"));
        assertTrue(
                ask("{\"v\":1,\"do\":\"explain\",\"txn\":\"xyz\"}").toString().contains("nothing is recorded"));
        assertTrue(ask("{\"v\":1,\"do\":\"status\",\"x\":1}").toString().contains("'x' is no field of status"));
        assertTrue(ask(DRAIN.replace("60000", "0")).toString().contains("lasts from 1s to 24h"));
        assertTrue(ask(DRAIN.replace("60000", "\"1m\"")).toString().contains("for is a whole number"));
        assertTrue(ask(DRAIN.replace("\"sick\"", "\"\"")).toString().contains("reason is a text of 1"));
        assertEquals(0, leases.all().size());
    }

    @Test
    void mutatedMessagesDoNoHarm() {
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
            JsonObject reply = ask(message.toString());
            assertTrue(reply.get("ok").getAsBoolean()
                    || !reply.getAsJsonArray("why").isEmpty());
            recorded.clear();
            nowUs += 1_000_000;
            desk.expire(new ControlApi.Now(nowUs, nowUs / 1_000));
        }
        assertTrue(leases.all().size() <= Leases.MAX_LEASES);
    }
}
