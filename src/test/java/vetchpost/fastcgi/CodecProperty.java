package vetchpost.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Records and names survive being written, cut anywhere and read; nonsense costs a clear error. */
class CodecProperty {
    private static final int MAX_PARAMS_BYTES = 8_192;

    private static List<FcgiRecord> records(SplittableRandom random) {
        List<FcgiRecord> all = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(6); i++) {
            byte[] content = new byte[random.nextInt(8) == 0 ? random.nextInt(65_536) : random.nextInt(40)];
            random.nextBytes(content);
            all.add(new FcgiRecord(random.nextInt(256), random.nextInt(65_536), Unpooled.wrappedBuffer(content)));
        }
        return all;
    }

    private static ByteBuf encode(List<FcgiRecord> records) {
        EmbeddedChannel channel = new EmbeddedChannel(new RecordEncoder());
        ByteBuf all = Unpooled.buffer();
        for (FcgiRecord record : records) {
            channel.writeOutbound(record.retain());
            ByteBuf bytes = channel.readOutbound();
            assertEquals(0, bytes.readableBytes() % 8, "not padded to eight bytes");
            all.writeBytes(bytes);
            bytes.release();
        }
        channel.finishAndReleaseAll();
        return all;
    }

    /** What comes out of bytes in pieces, or null after a protocol error; all else is a failure. */
    private static List<FcgiRecord> read(ByteBuf bytes, SplittableRandom cuts) {
        EmbeddedChannel channel = new EmbeddedChannel(new RecordDecoder());
        List<FcgiRecord> all = new ArrayList<>();
        boolean failed = false;
        try {
            while (bytes.isReadable()) {
                channel.writeInbound(bytes.readRetainedSlice(
                        Math.min(bytes.readableBytes(), 1 + cuts.nextInt(cuts.nextBoolean() ? 3 : 2_000))));
            }
        } catch (DecoderException e) {
            assertTrue(e.getCause() instanceof FcgiException, "not the protocol's own: " + e.getCause());
            failed = true;
        }
        for (FcgiRecord next = channel.readInbound(); next != null; next = channel.readInbound()) {
            all.add(next);
        }
        channel.finishAndReleaseAll();
        return failed ? null : all;
    }

    @Property(tries = 300, seed = "1618", shrinking = ShrinkingMode.OFF)
    void recordsRoundTripWhereverStreamIsSplit(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<FcgiRecord> records = records(random);
        ByteBuf bytes = encode(records);
        List<FcgiRecord> back = read(bytes, random);
        assertEquals(records, back);
        back.forEach(FcgiRecord::release);
        assertEquals(1, bytes.refCnt(), "a buffer is kept");
        bytes.release();
    }

    @Property(tries = 300, seed = "1618", shrinking = ShrinkingMode.OFF)
    void nameValuesRoundTripWhereverRecordsSplitThem(@ForAll long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, String> pairs = new LinkedHashMap<>();
        for (int i = 0; i < random.nextInt(12); i++) {
            pairs.put(
                    "N" + i + "x".repeat(random.nextInt(3) * random.nextInt(130)),
                    "v".repeat(random.nextInt(3) * random.nextInt(200)));
        }
        ByteBuf all = Unpooled.buffer();
        NameValues.write(pairs, all);
        NameValues back = new NameValues(MAX_PARAMS_BYTES, 64);
        for (FcgiRecord record : NameValues.toRecords(FcgiRecord.Type.PARAMS, 1, all, 1 + random.nextInt(50))) {
            back.add(record.content());
            record.release();
        }
        assertTrue(back.isEnded());
        assertEquals(pairs, back.pairs());
        assertEquals(
                new ArrayList<>(pairs.keySet()), new ArrayList<>(back.pairs().keySet()));
        assertEquals(1, all.refCnt());
        all.release();
    }

    @Property(tries = 3_000, seed = "1618", shrinking = ShrinkingMode.OFF)
    void mutatedBytesGiveRecordsOrProtocolError(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ByteBuf bytes = encode(records(random));
        for (int i = 0; i < 1 + random.nextInt(8); i++) {
            bytes.setByte(random.nextInt(bytes.readableBytes()), random.nextInt(256));
        }
        bytes.writerIndex(bytes.writerIndex() - random.nextInt(Math.min(9, bytes.readableBytes())));
        List<FcgiRecord> back = read(bytes, random);
        if (back != null) {
            back.forEach(FcgiRecord::release);
        }
        bytes.release();
    }

    @Property(tries = 3_000, seed = "1618", shrinking = ShrinkingMode.OFF)
    void randomNameValuesStayWithinBounds(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        NameValues values = new NameValues(MAX_PARAMS_BYTES, 64);
        try {
            for (int i = 0; i < 40; i++) {
                byte[] some = new byte[random.nextInt(400)];
                random.nextBytes(some);
                if (random.nextBoolean()) {
                    for (int k = 0; k < some.length; k++) {
                        some[k] = (byte) (some[k] & 7);
                    }
                }
                values.add(Unpooled.wrappedBuffer(some));
            }
        } catch (FcgiException e) {
            assertTrue(e.getMessage().length() > 0);
        }
        int kept = values.pairs().entrySet().stream()
                .mapToInt(e -> e.getKey().length() + e.getValue().length())
                .sum();
        assertTrue(kept <= MAX_PARAMS_BYTES && values.pairs().size() <= 64, kept + " bytes");
    }

    @Property(tries = 3_000, seed = "1618", shrinking = ShrinkingMode.OFF)
    void randomHeadsGiveReplyOrProtocolError(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder();
        String[] parts = {
            "Status: 200 OK",
            "Status: 99",
            "Location: /a",
            "X: y",
            ":",
            "\r",
            "\n",
            "\r\n",
            "\u0001",
            "Content-Length: 4"
        };
        for (int i = 0; i < random.nextInt(12); i++) {
            text.append(parts[random.nextInt(parts.length)]).append(random.nextBoolean() ? "\r\n" : "");
        }
        FcgiReply reply = new FcgiReply();
        try {
            for (char c : text.toString().toCharArray()) {
                reply.add(Unpooled.wrappedBuffer(new byte[] {(byte) c}));
            }
        } catch (FcgiException e) {
            return;
        }
        assertTrue(reply.status() >= 100 && reply.status() < 600);
    }
}
