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
        private final List<String> receivedFrames = new ArrayList<>();
        private final AuthenticatedFrames frames;
        private boolean isAuthenticated;
        private String closeReason = "";

        Side(SharedSecret secret, boolean listens) {
            frames = AuthenticatedFrames.open(channel, secret, new SecureRandom(), listens, 1_000, this);
            channel.pipeline().fireChannelActive();
        }

        @Override
        public void onAuthenticated() {
            isAuthenticated = true;
        }

        @Override
        public void onFrame(byte[] frame) {
            receivedFrames.add(new String(frame, StandardCharsets.UTF_8));
        }

        @Override
        public void onClosed(String why) {
            closeReason = why;
        }

        void send(String text) {
            frames.send(text.getBytes(StandardCharsets.UTF_8));
        }

        /** All bytes that it has written since. */
        byte[] takeWrittenBytes() {
            ByteBuf all = Unpooled.buffer();
            for (ByteBuf some = channel.readOutbound(); some != null; some = channel.readOutbound()) {
                all.writeBytes(some);
                some.release();
            }
            return ByteBufUtil.getBytes(all);
        }

        void receive(byte[] bytes) {
            if (channel.isOpen() && bytes.length > 0) {
                channel.writeInbound(Unpooled.wrappedBuffer(bytes));
            }
        }
    }

    private static void exchangeHellos(Side listening, Side connecting) {
        for (int i = 0; i < 3; i++) {
            connecting.receive(listening.takeWrittenBytes());
            listening.receive(connecting.takeWrittenBytes());
        }
    }

    @Test
    void deliversFramesInBothDirections() {
        Side listening = new Side(SECRET, true);
        Side connecting = new Side(SECRET, false);
        exchangeHellos(listening, connecting);
        assertTrue(listening.isAuthenticated && connecting.isAuthenticated);
        listening.send("one");
        listening.send("two");
        connecting.send("three");
        connecting.receive(listening.takeWrittenBytes());
        listening.receive(connecting.takeWrittenBytes());
        assertEquals(List.of("one", "two"), connecting.receivedFrames);
        assertEquals(List.of("three"), listening.receivedFrames);
    }

    @Test
    void rejectsAlteredMissingReplayedAndReflectedFrames() {
        for (int harm = 0; harm < 4; harm++) {
            Side listening = new Side(SECRET, true);
            Side connecting = new Side(SECRET, false);
            exchangeHellos(listening, connecting);
            listening.send("one");
            byte[] one = listening.takeWrittenBytes();
            listening.send("two");
            byte[] two = listening.takeWrittenBytes();
            if (harm == 0) {
                one[5] ^= 1;
                connecting.receive(one);
            } else if (harm == 1) {
                connecting.receive(two);
            } else if (harm == 2) {
                connecting.receive(one);
                connecting.receive(one);
            } else {
                listening.receive(one);
                assertEquals(List.of(), listening.receivedFrames, "its own frame came back to it");
                continue;
            }
            assertEquals(harm == 2 ? List.of("one") : List.of(), connecting.receivedFrames);
            assertEquals("a frame that is not the other side's, or not in its place", connecting.closeReason);
        }
    }

    @Test
    void sendsNothingToAPeerWithoutTheSecret() {
        Side listening = new Side(SECRET, true);
        Side stranger = new Side(SharedSecret.of("another secret that is as long as the one"), false);
        exchangeHellos(listening, stranger);
        assertTrue(!listening.isAuthenticated && !stranger.isAuthenticated);
        assertEquals("it doesn't know the secret", listening.closeReason);
        assertEquals(0, listening.takeWrittenBytes().length);
        Side liar = new Side(SharedSecret.of("another secret that is as long as the one"), true);
        Side honest = new Side(SECRET, false);
        exchangeHellos(liar, honest);
        assertTrue(!honest.isAuthenticated);
    }

    @Test
    void closesTheConnectionOnAnOversizedFrameLength() {
        Side listening = new Side(SECRET, true);
        Side connecting = new Side(SECRET, false);
        exchangeHellos(listening, connecting);
        connecting.receive(new byte[] {-1, -1, -1, -1});
        assertTrue(connecting.closeReason.startsWith("it broke: "), connecting.closeReason);
        Side large = new Side(SECRET, true);
        large.receive(new byte[] {0x7F, -1, -1, -1});
        assertTrue(large.closeReason.startsWith("it broke: "), large.closeReason);
    }
}
