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

    void actFor(String instance) {
        node = instance;
    }

    void flush() throws IOException {
        text("next\n");
        out.write(buffer, 0, filled);
        out.flush();
        filled = 0;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        open("route");
        handle(requestId);
        text(" server=");
        text(serverId);
        text(" untilUs=");
        number(untilUs);
        close();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        open("abort_attempt");
        handle(requestId);
        text(" seqNo=");
        number(attempt);
        close();
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        open("decline");
        handle(requestId);
        if (retryAfterUs > 0) {
            text(" retryInUs=");
            number(retryAfterUs);
        }
        close();
    }

    @Override
    public void fail(long requestId) {
        open("lose");
        handle(requestId);
        close();
    }

    @Override
    public void wakeAt(long atUs) {
        open("remind");
        text(" dueAtUs=");
        number(atUs);
        text(" label=w");
        close();
    }

    @Override
    public void probe(String serverId) {
        open("sound_out");
        text(" server=");
        text(serverId);
        close();
    }

    @Override
    public void subscribe() {
        open("track");
        text(" want=1");
        close();
    }

    @Override
    public void log(String line) {
        open("record");
        note(line);
    }

    /** The module has thrown: the day ends with this text. */
    void fault(String line) {
        open("fault");
        note(line);
    }

    private void note(String line) {
        text(" noteText=");
        text(line.replace('\n', ' ').replace('\r', ' '));
        close();
    }

    private void open(String action) {
        text(action);
        text(" node=");
        text(node);
    }

    private void close() {
        room(1);
        buffer[filled++] = '\n';
    }

    private void handle(long id) {
        text(" handle=");
        room(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[filled++] = HEX[(int) (id >>> shift) & 15];
        }
    }

    private void text(String text) {
        int length = text.length();
        room(3 * length);
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

    private void number(long value) {
        if (value < 0) {
            text(Long.toString(value));
            return;
        }
        room(20);
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

    private void room(int bytes) {
        if (filled + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, filled + bytes));
        }
    }
}
