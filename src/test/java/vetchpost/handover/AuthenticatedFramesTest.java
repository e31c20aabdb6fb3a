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

/** Two sides of an authenticated connection, with a test that delivers or tampers with the bytes between them. */
class AuthenticatedFramesTest {
    private static final SharedSecret SECRET = SharedSecret.of("a secret that is long enough for anybody");

    /** One side of the connection. */
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

        /** Returns all bytes written since the last call. */
        byte[] takeWrittenBytes() {
            ByteBuf written = Unpooled.buffer();
            for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
                written.writeBytes(buffer);
                buffer.release();
            }
            return ByteBufUtil.getBytes(written);
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
        for (int fault = 0; fault < 4; fault++) {
            Side listening = new Side(SECRET, true);
            Side connecting = new Side(SECRET, false);
            exchangeHellos(listening, connecting);
            listening.send("one");
            byte[] one = listening.takeWrittenBytes();
            listening.send("two");
            byte[] two = listening.takeWrittenBytes();
            if (fault == 0) {
                one[5] ^= 1;
                connecting.receive(one);
            } else if (fault == 1) {
                connecting.receive(two);
            } else if (fault == 2) {
                connecting.receive(one);
                connecting.receive(one);
            } else {
                listening.receive(one);
                assertEquals(List.of(), listening.receivedFrames, "a reflected frame must not be accepted");
                continue;
            }
            assertEquals(fault == 2 ? List.of("one") : List.of(), connecting.receivedFrames);
            assertEquals("frame is forged or out of order", connecting.closeReason);
        }
    }

    @Test
    void sendsNothingToAPeerWithoutTheSecret() {
        Side listening = new Side(SECRET, true);
        Side stranger = new Side(SharedSecret.of("another secret that is as long as the one"), false);
        exchangeHellos(listening, stranger);
        assertTrue(!listening.isAuthenticated && !stranger.isAuthenticated);
        assertEquals("peer does not know the secret", listening.closeReason);
        assertEquals(0, listening.takeWrittenBytes().length);
        Side withWrongSecret = new Side(SharedSecret.of("another secret that is as long as the one"), true);
        Side connectingSide = new Side(SECRET, false);
        exchangeHellos(withWrongSecret, connectingSide);
        assertTrue(!connectingSide.isAuthenticated);
    }

    @Test
    void closesTheConnectionOnAnOversizedFrameLength() {
        Side listening = new Side(SECRET, true);
        Side connecting = new Side(SECRET, false);
        exchangeHellos(listening, connecting);
        connecting.receive(new byte[] {-1, -1, -1, -1});
        assertTrue(connecting.closeReason.startsWith("connection failed: "), connecting.closeReason);
        Side large = new Side(SECRET, true);
        large.receive(new byte[] {0x7F, -1, -1, -1});
        assertTrue(large.closeReason.startsWith("connection failed: "), large.closeReason);
    }
}
