package vetchpost.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Two sides of a connection, and somebody in between who passes on what each has written. */
class AuthenticatedFramesTest {
    private static final SharedSecret SECRET = SharedSecret.of("a secret that is long enough for anybody");

    /** One side. */
    private static final class Side implements AuthenticatedFrames.Listener {
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final List<String> got = new ArrayList<>();
        private final AuthenticatedFrames frames;
        private boolean up;
        private String down = "";

        Side(SharedSecret secret, boolean listens) {
            frames = AuthenticatedFrames.open(channel, secret, new SecureRandom(), listens, 1_000, this);
            channel.pipeline().fireChannelActive();
        }

        @Override
        public void onAuthenticated() {
            up = true;
        }

        @Override
        public void onFrame(byte[] frame) {
            got.add(new String(frame, StandardCharsets.UTF_8));
        }

        @Override
        public void onClosed(String why) {
            down = why;
        }

        void send(String text) {
            frames.send(text.getBytes(StandardCharsets.UTF_8));
        }

        /** All bytes that it has written since. */
        byte[] written() {
            ByteBuf all = Unpooled.buffer();
            for (ByteBuf some = channel.readOutbound(); some != null; some = channel.readOutbound()) {
                all.writeBytes(some);
                some.release();
            }
            return ByteBufUtil.getBytes(all);
        }

        void hears(byte[] bytes) {
            if (channel.isOpen() && bytes.length > 0) {
                channel.writeInbound(Unpooled.wrappedBuffer(bytes));
            }
        }
    }

    private static void greet(Side listening, Side connecting) {
        for (int i = 0; i < 3; i++) {
            connecting.hears(listening.written());
            listening.hears(connecting.written());
        }
    }

    @Test
    void framesComeAsTheyWereSentBothWays() {
        Side listening = new Side(SECRET, true);
        Side connecting = new Side(SECRET, false);
        greet(listening, connecting);
        assertTrue(listening.up && connecting.up);
        listening.send("one");
        listening.send("two");
        connecting.send("three");
        connecting.hears(listening.written());
        listening.hears(connecting.written());
        assertEquals(List.of("one", "two"), connecting.got);
        assertEquals(List.of("three"), listening.got);
    }

    @Test
    void aFrameThatWasChangedLeftOutSentAgainOrSentBackIsNotTaken() {
        for (int harm = 0; harm < 4; harm++) {
            Side listening = new Side(SECRET, true);
            Side connecting = new Side(SECRET, false);
            greet(listening, connecting);
            listening.send("one");
            byte[] one = listening.written();
            listening.send("two");
            byte[] two = listening.written();
            if (harm == 0) {
                one[5] ^= 1;
                connecting.hears(one);
            } else if (harm == 1) {
                connecting.hears(two);
            } else if (harm == 2) {
                connecting.hears(one);
                connecting.hears(one);
            } else {
                listening.hears(one);
                assertEquals(List.of(), listening.got, "its own frame came back to it");
                continue;
            }
            assertEquals(harm == 2 ? List.of("one") : List.of(), connecting.got);
            assertEquals("a frame that is not the other side's, or not in its place", connecting.down);
        }
    }

    @Test
    void whoDoesNotKnowTheSecretIsToldNothing() {
        Side listening = new Side(SECRET, true);
        Side stranger = new Side(SharedSecret.of("another secret that is as long as the one"), false);
        greet(listening, stranger);
        assertTrue(!listening.up && !stranger.up);
        assertEquals("it doesn't know the secret", listening.down);
        assertEquals(0, listening.written().length);
        Side liar = new Side(SharedSecret.of("another secret that is as long as the one"), true);
        Side honest = new Side(SECRET, false);
        greet(liar, honest);
        assertTrue(!honest.up);
    }

    @Test
    void aFrameThatPromisesFourGigabytesEndsTheConnection() {
        Side listening = new Side(SECRET, true);
        Side connecting = new Side(SECRET, false);
        greet(listening, connecting);
        connecting.hears(new byte[] {-1, -1, -1, -1});
        assertTrue(connecting.down.startsWith("it broke: "), connecting.down);
        Side large = new Side(SECRET, true);
        large.hears(new byte[] {0x7F, -1, -1, -1});
        assertTrue(large.down.startsWith("it broke: "), large.down);
    }
}
