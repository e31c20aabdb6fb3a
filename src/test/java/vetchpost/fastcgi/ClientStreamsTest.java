package vetchpost.fastcgi;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import vetchpost.fastcgi.FcgiRecord.Type;

/** Requests that share a client's connection: each has its one end, whatever the others and the client do. */
class ClientStreamsTest {
    private static final byte[] NONE = {};

    private final List<String> events = new ArrayList<>();
    private final List<byte[]> bodies = new ArrayList<>();
    private final ClientStreams streams = new ClientStreams(3, 2_000, 100, new ClientStreams.Listener() {
        @Override
        public void onRequest(int id, FcgiRequest request, byte[] body) {
            events.add("request " + id + " " + request.method() + " " + request.target());
            bodies.add(body);
        }

        @Override
        public void onAbort(int id) {
            events.add("aborted " + id);
        }

        @Override
        public void write(FcgiRecord record) {
            String content = record.type() == Type.STDOUT
                    ? record.content().toString(StandardCharsets.US_ASCII).split("\r\n")[0]
                    : ByteBufUtil.hexDump(record.content());
            events.add(record.type() + " " + record.id() + " " + content);
            record.release();
        }

        @Override
        public void close() {
            events.add("close");
        }
    });

    private void read(Type type, int id, String hex) throws FcgiException {
        streams.read(new FcgiRecord(type, id, Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(hex))));
    }

    private void begin(int id) throws FcgiException {
        read(Type.BEGIN_REQUEST, id, "0001010000000000");
    }

    private void params(int id, String... more) throws FcgiException {
        Map<String, String> all = new LinkedHashMap<>(Map.of("REQUEST_METHOD", "POST", "REQUEST_URI", "/" + id));
        for (int i = 0; i < more.length; i += 2) {
            all.put(more[i], more[i + 1]);
        }
        ByteBuf bytes = Unpooled.buffer();
        NameValues.write(all, bytes);
        for (FcgiRecord record : NameValues.toRecords(Type.PARAMS, id, bytes, 7)) {
            streams.read(record);
        }
    }

    private void sendCompleteRequest(int id) throws FcgiException {
        begin(id);
        params(id);
        read(Type.STDIN, id, "6162");
        read(Type.STDIN, id, "");
    }

    private List<String> takeEvents() {
        List<String> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    private static String endRecord(int id, int status) {
        return "END_REQUEST " + id + " 000000000" + status + "000000";
    }

    @Test
    void multiplexesRequestsAndAbortsOne() throws Exception {
        begin(1);
        begin(2);
        begin(3);
        params(2);
        params(1, "CONTENT_LENGTH", "3");
        read(Type.STDIN, 1, "61");
        params(3);
        read(Type.STDIN, 2, "");
        read(Type.STDIN, 1, "6263");
        read(Type.STDIN, 1, "");
        assertEquals(List.of("request 2 POST /2", "request 1 POST /1"), takeEvents());
        assertArrayEquals("abc".getBytes(StandardCharsets.US_ASCII), bodies.get(1));
        read(Type.ABORT_REQUEST, 1, "");
        assertEquals(List.of("aborted 1"), takeEvents());
        read(Type.ABORT_REQUEST, 3, "");
        assertEquals(List.of(endRecord(3, 0)), takeEvents(), "it was never handed over");
        streams.answer(2, 200, List.of(), NONE);
        assertEquals(List.of("STDOUT 2 Status: 200", "STDOUT 2 ", endRecord(2, 0)), takeEvents());
        streams.answer(1, 503, List.of(), NONE);
        assertEquals(endRecord(1, 0), takeEvents().get(2));
        streams.answer(1, 200, List.of(), NONE);
        assertEquals(List.of(), takeEvents(), "a second answer");
        assertTrue(streams.isIdle());
        sendCompleteRequest(1);
        assertEquals(List.of("request 1 POST /1"), takeEvents(), "its number is used again");
    }

    @Test
    void closesOnlyAfterOtherRequestsEnd() throws Exception {
        sendCompleteRequest(1);
        read(Type.BEGIN_REQUEST, 2, "0001000000000000");
        params(2);
        read(Type.STDIN, 2, "");
        takeEvents();
        streams.answer(2, 200, List.of(), NONE);
        assertEquals(3, takeEvents().size(), "closed under the other");
        begin(3);
        assertEquals(List.of(), takeEvents(), "nothing new is taken");
        streams.answer(1, 200, List.of(), NONE);
        assertEquals("close", takeEvents().get(3));
    }

    @Test
    void endsUnservedRequestsAsRetryable() throws Exception {
        read(Type.BEGIN_REQUEST, 7, "0002010000000000");
        assertEquals(List.of(endRecord(7, 3)), takeEvents());
        read(Type.PARAMS, 7, "0101");
        read(Type.STDIN, 7, "61");
        assertEquals(List.of(), takeEvents(), "what follows is passed over");
        begin(1);
        begin(2);
        begin(3);
        begin(4);
        assertEquals(List.of(endRecord(4, 2)), takeEvents());
        assertEquals(3, streams.size());
    }

    @Test
    void managementRecordsAreAnswered() throws Exception {
        ByteBuf asked = Unpooled.buffer();
        NameValues.write(Map.of("FCGI_MPXS_CONNS", ""), asked);
        streams.read(new FcgiRecord(Type.GET_VALUES, 0, asked));
        assertEquals(
                List.of("GET_VALUES_RESULT 0 0f01"
                        + ByteBufUtil.hexDump("FCGI_MPXS_CONNS1".getBytes(StandardCharsets.US_ASCII))),
                takeEvents());
        streams.read(new FcgiRecord(99, 0, Unpooled.EMPTY_BUFFER));
        assertEquals(List.of("UNKNOWN_TYPE 0 6300000000000000"), takeEvents());
        read(Type.GET_VALUES, 0, "ffffffff0141");
        assertEquals(List.of("GET_VALUES_RESULT 0 "), takeEvents());
    }

    @Test
    void rejectsMalformedRequestWithoutAffectingOthers() throws Exception {
        sendCompleteRequest(1);
        begin(2);
        params(2, "HTTP_X", "a\nb");
        begin(3);
        read(Type.STDIN, 3, "61");
        assertEquals(
                List.of(
                        "request 1 POST /1",
                        "STDOUT 2 Status: 400",
                        "STDOUT 2 ",
                        endRecord(2, 0),
                        "STDOUT 3 Status: 400",
                        "STDOUT 3 ",
                        endRecord(3, 0)),
                takeEvents());
        begin(2);
        params(2, "CONTENT_LENGTH", "101");
        assertEquals("STDOUT 2 Status: 413", takeEvents().get(0));
        begin(2);
        params(2);
        read(Type.STDIN, 2, "61".repeat(60));
        read(Type.STDIN, 2, "61".repeat(60));
        assertEquals("STDOUT 2 Status: 413", takeEvents().get(0));
        begin(2);
        params(2, "CONTENT_LENGTH", "3");
        read(Type.STDIN, 2, "61");
        read(Type.STDIN, 2, "");
        assertEquals("STDOUT 2 Status: 400", takeEvents().get(0));
        begin(2);
        params(2);
        read(Type.PARAMS, 2, "01014142");
        assertEquals("STDOUT 2 Status: 400", takeEvents().get(0));
        streams.answer(1, 200, List.of(), NONE);
        assertEquals("STDOUT 1 Status: 200", takeEvents().get(0));
    }

    @Test
    void rejectsRecordsThatConfuseRequests() throws Exception {
        begin(1);
        assertEquals(
                "request 1 begins twice",
                assertThrows(FcgiException.class, () -> begin(1)).getMessage());
        assertThrows(FcgiException.class, () -> read(Type.BEGIN_REQUEST, 2, "0001"));
        assertThrows(FcgiException.class, () -> read(Type.STDOUT, 1, "61"));
        read(Type.STDIN, 9, "61");
        read(Type.STDOUT, 9, "61");
        assertEquals(List.of(), takeEvents(), "of a request that is not open, records are passed over");
    }

    @Test
    void everyDispatchedRequestEndsExactlyOnce() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 3_000; round++) {
            ClientStreamsTest test = new ClientStreamsTest();
            try {
                for (int i = 0; i < 60; i++) {
                    int id = random.nextInt(5);
                    switch (random.nextInt(7)) {
                        case 0 -> test.begin(1 + id);
                        case 1 -> test.params(1 + id);
                        case 2 -> test.read(Type.STDIN, id, random.nextBoolean() ? "" : "61");
                        case 3 -> test.read(Type.ABORT_REQUEST, id, "");
                        case 4 -> test.streams.answer(id, 200, List.of(), NONE);
                        case 5 -> test.read(Type.of(1 + random.nextInt(11)), id, "6162");
                        default -> test.sendCompleteRequest(1 + id);
                    }
                }
            } catch (FcgiException e) {
                assertTrue(e.getMessage().length() > 0);
            }
            for (int id = 1; id <= 5; id++) {
                String request = "request " + id + " ";
                String end = "END_REQUEST " + id + " ";
                long handed =
                        test.events.stream().filter(s -> s.startsWith(request)).count();
                long before =
                        test.events.stream().filter(s -> s.startsWith(end)).count();
                test.streams.answer(id, 200, List.of(), NONE);
                long ends = test.events.stream().filter(s -> s.startsWith(end)).count();
                assertTrue(ends >= handed && ends <= before + 1, handed + " handed, " + ends + " ends");
            }
            assertEquals(0, test.streams.size());
        }
    }
}
