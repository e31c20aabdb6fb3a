package vetchpost.simadapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import vetchpost.decision.Balancer;

/** Writes the actions of the instance whose event is being handled; a reply goes out whole or not at all. */
final class ActionWriter implements Balancer.Actions {
    private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private final OutputStream out;
    private byte[] buffer = new byte[1 << 16];
    private int filled;
    private String node = "";

    ActionWriter(OutputStream out) {
        this.out = out;
    }

    void setNode(String instance) {
        node = instance;
    }

    void flush() throws IOException {
        writeText("next\n");
        out.write(buffer, 0, filled);
        out.flush();
        filled = 0;
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
    public void log(String line) {
        beginAction("record");
        writeNote(line);
    }

    /** The module has thrown: the day ends with this text. */
    void reportFault(String line) {
        beginAction("fault");
        writeNote(line);
    }

    private void writeNote(String line) {
        writeText(" noteText=");
        writeText(line.replace('\n', ' ').replace('\r', ' '));
        endAction();
    }

    private void beginAction(String action) {
        writeText(action);
        writeText(" node=");
        writeText(node);
    }

    private void endAction() {
        ensureCapacity(1);
        buffer[filled++] = '\n';
    }

    private void writeHandle(long id) {
        writeText(" handle=");
        ensureCapacity(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[filled++] = HEX[(int) (id >>> shift) & 15];
        }
    }

    private void writeText(String text) {
        int length = text.length();
        ensureCapacity(3 * length);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if (c >= 128) {
                byte[] rest = text.substring(i).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(rest, 0, buffer, filled, rest.length);
                filled += rest.length;
                return;
            }
            buffer[filled++] = (byte) c;
        }
    }

    private void writeNumber(long value) {
        if (value < 0) {
            writeText(Long.toString(value));
            return;
        }
        ensureCapacity(20);
        int digits = 1;
        for (long v = value; v >= 10; v /= 10) {
            digits++;
        }
        int at = filled + digits;
        filled = at;
        long v = value;
        do {
            buffer[--at] = (byte) ('0' + v % 10);
            v /= 10;
        } while (v > 0);
    }

    private void ensureCapacity(int bytes) {
        if (filled + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, filled + bytes));
        }
    }
}
