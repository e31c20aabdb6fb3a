package vetchpost.simadapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import vetchpost.decision.Balancer;

/**
 * Writes the actions of the instance whose event is being handled in the simulator's line format. {@link
 * AdapterSession} calls it on its one thread. Lines are buffered until {@link #flush}, so that a reply is written as a
 * whole or not at all.
 */
final class ActionWriter implements Balancer.Actions {
    private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private final OutputStream output;
    private byte[] buffer = new byte[1 << 16];
    private int bufferedBytes;
    private String currentNode = "";

    ActionWriter(OutputStream output) {
        this.output = output;
    }

    void setNode(String node) {
        currentNode = node;
    }

    void flush() throws IOException {
        writeText("next\n");
        output.write(buffer, 0, bufferedBytes);
        output.flush();
        bufferedBytes = 0;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        beginAction("route");
        writeHandle(requestId);
        writeText(" server=");
        writeText(serverId);
        writeText(" untilUs=");
        writeNumber(untilUs);
        endAction();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        beginAction("abort_attempt");
        writeHandle(requestId);
        writeText(" seqNo=");
        writeNumber(attempt);
        endAction();
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        beginAction("decline");
        writeHandle(requestId);
        if (retryAfterUs > 0) {
            writeText(" retryInUs=");
            writeNumber(retryAfterUs);
        }
        endAction();
    }

    @Override
    public void fail(long requestId) {
        beginAction("lose");
        writeHandle(requestId);
        endAction();
    }

    @Override
    public void wakeAt(long atUs) {
        beginAction("remind");
        writeText(" dueAtUs=");
        writeNumber(atUs);
        writeText(" label=w");
        endAction();
    }

    @Override
    public void probe(String serverId) {
        beginAction("sound_out");
        writeText(" server=");
        writeText(serverId);
        endAction();
    }

    @Override
    public void subscribe() {
        beginAction("track");
        writeText(" want=1");
        endAction();
    }

    @Override
    public void log(String message) {
        beginAction("record");
        writeNote(message);
    }

    /** Reports that the module has thrown; the simulator ends its run with this text. */
    void reportFault(String message) {
        beginAction("fault");
        writeNote(message);
    }

    private void writeNote(String message) {
        writeText(" noteText=");
        writeText(message.replace('\n', ' ').replace('\r', ' '));
        endAction();
    }

    private void beginAction(String action) {
        writeText(action);
        writeText(" node=");
        writeText(currentNode);
    }

    private void endAction() {
        ensureCapacity(1);
        buffer[bufferedBytes++] = '\n';
    }

    private void writeHandle(long id) {
        writeText(" handle=");
        ensureCapacity(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[bufferedBytes++] = HEX[(int) (id >>> shift) & 15];
        }
    }

    private void writeText(String text) {
        int length = text.length();
        ensureCapacity(3 * length);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if (c >= 128) {
                byte[] encoded = text.substring(i).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(encoded, 0, buffer, bufferedBytes, encoded.length);
                bufferedBytes += encoded.length;
                return;
            }
            buffer[bufferedBytes++] = (byte) c;
        }
    }

    private void writeNumber(long value) {
        if (value < 0) {
            writeText(Long.toString(value));
            return;
        }
        ensureCapacity(20);
        int digits = 1;
        for (long remaining = value; remaining >= 10; remaining /= 10) {
            digits++;
        }
        int position = bufferedBytes + digits;
        bufferedBytes = position;
        long remaining = value;
        do {
            buffer[--position] = (byte) ('0' + remaining % 10);
            remaining /= 10;
        } while (remaining > 0);
    }

    private void ensureCapacity(int bytes) {
        if (bufferedBytes + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, bufferedBytes + bytes));
        }
    }
}
