package vetchpost.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.decision.Balancer.Result;
import vetchpost.fastcgi.AttemptProgress.ProtocolStatus;

/** The specification's own bytes, what lies about itself, and what each ending means. */
class FcgiTest {
    private static ByteBuf hex(String text) {
        return Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(text.replace(" ", "")));
    }

    private static Map<String, String> params(String... more) {
        Map<String, String> params = new HashMap<>(Map.of(
                "REQUEST_METHOD",
                "POST",
                "REQUEST_URI",
                "/orders/7?a=b",
                "HTTP_X_TXN",
                "00000000000004d2",
                "HTTP_HOST",
                "shop.example",
                "CONTENT_LENGTH",
                "4"));
        for (int i = 0; i < more.length; i += 2) {
            params.put(more[i], more[i + 1]);
        }
        return params;
    }

    private static String rejectionOf(String... more) {
        return assertThrows(FcgiException.class, () -> FcgiRequest.of(params(more)))
                .getMessage();
    }

    /** From the specification's example: a request's begin, its parameters' end, and output with padding. */
    @Test
    void decodesSpecificationExample() {
        EmbeddedChannel channel = new EmbeddedChannel(new RecordDecoder());
        channel.writeInbound(hex("01 01 00 01 00 08 00 00  00 01 01 00 00 00 00 00  01 04 00 01 00 00 00 00"
                + "01 06 00 01 00 03 05 00  61 62 63 00 00 00 00 00  01"));
        FcgiRecord begin = channel.readInbound();
        assertEquals(FcgiRecord.Type.BEGIN_REQUEST, begin.type());
        assertEquals(1, begin.id());
        assertEquals("0001010000000000", ByteBufUtil.hexDump(begin.content()));
        FcgiRecord end = channel.readInbound();
        assertTrue(end.isEnd());
        assertEquals(FcgiRecord.Type.PARAMS, end.type());
        FcgiRecord output = channel.readInbound();
        assertEquals("abc", output.content().toString(StandardCharsets.US_ASCII));
        assertNull(channel.readInbound());
        assertTrue(channel.pipeline().get(RecordDecoder.class).isMidRecord());
        List.of(begin, end, output).forEach(FcgiRecord::release);
        channel.finishAndReleaseAll();
    }

    @Test
    void stopsReadingOnUnknownVersion() {
        EmbeddedChannel channel = new EmbeddedChannel(new RecordDecoder());
        DecoderException e =
                assertThrows(DecoderException.class, () -> channel.writeInbound(hex("02 01 00 01 00 00 00 00")));
        assertEquals("version 2 is not 1", e.getCause().getMessage());
        channel.writeInbound(hex("01 04 00 01 00 00 00 00"));
        assertNull(channel.readInbound(), "what follows is believed");
        channel.finishAndReleaseAll();
    }

    @Test
    void decodesRecordOfUnknownType() {
        EmbeddedChannel channel = new EmbeddedChannel(new RecordDecoder());
        channel.writeInbound(hex("01 63 00 00 00 00 00 00"));
        FcgiRecord record = channel.readInbound();
        assertNull(record.type());
        assertEquals(99, record.typeNumber());
        record.release();
        channel.finishAndReleaseAll();
    }

    @Test
    void readsShortAndLongLengths() throws Exception {
        NameValues values = new NameValues(1_000, 10);
        values.add(hex("01 02 41 62 62  80 00 00 01 00 42  01 80"));
        values.add(hex("00 00 03 43 63 63 63"));
        values.add(Unpooled.EMPTY_BUFFER);
        assertEquals(Map.of("A", "bb", "B", "", "C", "ccc"), values.pairs());
        assertThrows(FcgiException.class, () -> values.add(hex("01 01 44 44")), "after the end");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "ff ff ff ff 01 41 | a name and value of 2147483648 bytes, of 1000 for all",
                "7f 80 00 04 00 41 | a name and value of 1151 bytes, of 1000 for all",
                "01 01 41 62 01 01 41 63 | a name comes twice"
            })
    void rejectsExcessiveLengthsBeforeBuffering(String bytes, String why) {
        NameValues values = new NameValues(1_000, 10);
        assertEquals(
                why,
                assertThrows(FcgiException.class, () -> values.add(hex(bytes))).getMessage());
    }

    @Test
    void boundsNamesThatNeverEnd() throws Exception {
        NameValues values = new NameValues(1_000, 10);
        values.add(hex("05 05 41"));
        assertEquals(
                "the end comes within a name or value",
                assertThrows(FcgiException.class, () -> values.add(Unpooled.EMPTY_BUFFER))
                        .getMessage());
        NameValues many = new NameValues(1_000, 3);
        assertEquals(
                "more than 3 names",
                assertThrows(FcgiException.class, () -> many.add(hex("01 00 41 01 00 42 01 00 43 01 00 44")))
                        .getMessage());
        NameValues much = new NameValues(1_000, 10);
        assertThrows(FcgiException.class, () -> {
            for (int i = 0; i < 200; i++) {
                much.add(hex("06 00 41 41 41 41 41 " + String.format("%02x", 0x41 + i % 26)));
            }
        });
    }

    @Test
    void convertsParametersToRequest() throws Exception {
        FcgiRequest request = FcgiRequest.of(params(
                "HTTP_IDEMPOTENCY_KEY",
                "k",
                "CONTENT_TYPE",
                "text/plain",
                "HTTP_CONTENT_TYPE",
                "text/plain",
                "HTTP_CONTENT_LENGTH",
                "4",
                "HTTP_CONNECTION",
                "close"));
        assertEquals("POST", request.method());
        assertEquals("/orders/7?a=b", request.target());
        assertEquals(4, request.length());
        assertEquals(
                Map.of(
                        "x-txn",
                        "00000000000004d2",
                        "host",
                        "shop.example",
                        "idempotency-key",
                        "k",
                        "content-type",
                        "text/plain"),
                request.fields());
        Map<String, String> parts = params("SCRIPT_NAME", "/app", "PATH_INFO", "/x", "QUERY_STRING", "q=1");
        parts.remove("REQUEST_URI");
        parts.remove("CONTENT_LENGTH");
        assertEquals("/app/x?q=1", FcgiRequest.of(parts).target());
        assertEquals(-1, FcgiRequest.of(parts).length());
    }

    @Test
    void rejectsAmbiguousParameters() {
        assertEquals("HTTP_CONTENT_LENGTH is not CONTENT_LENGTH", rejectionOf("HTTP_CONTENT_LENGTH", "40"));
        assertEquals("HTTP_CONTENT_TYPE is not CONTENT_TYPE", rejectionOf("HTTP_CONTENT_TYPE", "a/b"));
        assertEquals("HTTP_X has a control character", rejectionOf("HTTP_X", "a\r\nCookie: key=1"));
        assertEquals("a header's name is not of capitals, digits and underscores", rejectionOf("HTTP_x-txn", "1"));
        assertEquals("a header without a name", rejectionOf("HTTP_", "1"));
        assertEquals("CONTENT_LENGTH is no length", rejectionOf("CONTENT_LENGTH", "+4"));
        assertEquals("CONTENT_LENGTH is no length", rejectionOf("CONTENT_LENGTH", "9999999999999"));
        assertEquals("CONTENT_TYPE has a control character", rejectionOf("CONTENT_TYPE", "a\nb"));
        assertEquals("REQUEST_METHOD is missing or no method", rejectionOf("REQUEST_METHOD", "GET /x"));
        assertEquals("REQUEST_URI, or SCRIPT_NAME and PATH_INFO, is no path", rejectionOf("REQUEST_URI", "/a b"));
        assertEquals("REQUEST_URI, or SCRIPT_NAME and PATH_INFO, is no path", rejectionOf("REQUEST_URI", "x"));
    }

    private static FcgiReply reply(String text) throws FcgiException {
        FcgiReply reply = new FcgiReply();
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        reply.add(bytes);
        return reply;
    }

    @Test
    void readsResponseHeadUpToBody() throws Exception {
        FcgiReply reply = new FcgiReply();
        ByteBuf bytes = Unpooled.copiedBuffer(
                "Status: 404 Not Found\r\nContent-Type: a/b\nX: 1\r\nX:2\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\nbody",
                StandardCharsets.ISO_8859_1);
        assertTrue(reply.add(bytes));
        assertEquals("body", bytes.toString(StandardCharsets.ISO_8859_1));
        assertEquals(404, reply.status());
        assertEquals("a/b", reply.field("content-type"));
        assertEquals("2", reply.field("x"));
        assertEquals(3, reply.fields().size(), "what belongs to a connection goes on");
        assertEquals(200, reply("Content-Type: a/b\r\n\r\n").status());
        assertEquals(302, reply("Location: /a\r\n\r\n").status());
        assertEquals(201, reply("Location: /a\r\nStatus: 201 Made\r\n\r\n").status());
        assertFalse(reply("Content-Type: a/b\r\n").isComplete());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Status: 200\nStatus: 200\n\n",
                "Status: 2000\n\n",
                "Status: ok\n\n",
                "no field\n\n",
                ": empty\n\n",
                "a b: c\n\n",
                "X: a\u0000b\n\n"
            })
    void rejectsMalformedHead(String head) {
        assertThrows(FcgiException.class, () -> reply(head));
    }

    @Test
    void boundsHeadThatNeverEnds() {
        assertThrows(FcgiException.class, () -> reply("X: " + "y".repeat(20_000)));
    }

    private static AttemptProgress progressOf(boolean written, boolean head, int status, long length, long body) {
        AttemptProgress ending = new AttemptProgress();
        if (written) {
            ending.onRequestWritten();
        }
        if (head) {
            ending.onResponseHead(status, length);
            ending.onResponseBody(body);
        }
        return ending;
    }

    @Test
    void reportsNotRunOnlyWhenCertain() {
        assertEquals(Result.CONNECT_FAILED, progressOf(false, false, 0, -1, 0).resultOfDisconnect());
        assertEquals(Result.RESET, progressOf(true, false, 0, -1, 0).resultOfDisconnect());
        assertEquals(
                Result.RESET, progressOf(true, true, 200, 9, 3).resultOfDisconnect(), "halfway through the answer");
        for (ProtocolStatus refusal :
                List.of(ProtocolStatus.CANT_MPX_CONN, ProtocolStatus.OVERLOADED, ProtocolStatus.UNKNOWN_ROLE)) {
            assertEquals(Result.FULL, progressOf(true, false, 0, -1, 0).resultOfEndRequest(refusal, 0));
            assertEquals(Result.FULL, progressOf(false, false, 0, -1, 0).resultOfEndRequest(refusal, 0));
            assertEquals(
                    Result.ERROR, progressOf(true, true, 200, -1, 2).resultOfEndRequest(refusal, 0), "it has begun");
        }
        ProtocolStatus done = ProtocolStatus.REQUEST_COMPLETE;
        assertEquals(Result.OK, progressOf(true, true, 200, -1, 5).resultOfEndRequest(done, 0));
        assertEquals(Result.OK, progressOf(true, true, 200, 5, 5).resultOfEndRequest(done, 0));
        assertEquals(Result.RESET, progressOf(true, true, 200, 5, 4).resultOfEndRequest(done, 0), "a body cut short");
        assertEquals(Result.ERROR, progressOf(true, true, 200, -1, 5).resultOfEndRequest(done, 1));
        assertEquals(Result.ERROR, progressOf(true, true, 500, -1, 5).resultOfEndRequest(done, 0));
        assertEquals(Result.ERROR, progressOf(true, false, 0, -1, 0).resultOfEndRequest(done, 0), "no head");
        assertEquals(
                Result.ERROR, progressOf(false, true, 200, -1, 5).resultOfEndRequest(done, 0), "before it had all");
        assertEquals(Result.ERROR, progressOf(true, true, 200, -1, 5).resultOfEndRequest(ProtocolStatus.of(9), 0));
    }

    @Test
    void reusesConnectionOnlyWhenNothingIsOutstanding() {
        AttemptProgress ending = progressOf(true, true, 200, -1, 5);
        assertFalse(ending.isConnectionReusable(), "its output may go on");
        ending.onOutputEnded();
        assertTrue(ending.isConnectionReusable());
        AttemptProgress unread = progressOf(false, true, 200, -1, 5);
        unread.onOutputEnded();
        assertFalse(unread.isConnectionReusable(), "it was answered before it was written");
    }
}
