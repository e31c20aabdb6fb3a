package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Reads the head of an application's answer from its output, however records cut it: {@code Status}, fields,
 * an empty line. What follows is the body. Bounded; what can be read in two ways is refused.
 */
public final class FcgiReply {
    private static final int MAX_HEAD_BYTES = 16_384;
    private static final int OK = 200;
    private static final int FOUND = 302;

    private final StringBuilder head = new StringBuilder();
    private final List<String[]> fields = new ArrayList<>();
    private int status = -1;
    private boolean hasLocation;
    private boolean complete;

    /**
     * Takes output in, up to the end of the head; what is left in it is body.
     *
     * @return whether the head is whole
     * @throws FcgiException if it is too long, or no head
     */
    public boolean add(ByteBuf output) throws FcgiException {
        while (!complete && output.isReadable()) {
            char c = (char) output.readUnsignedByte();
            if (c != '\n') {
                if (head.length() >= MAX_HEAD_BYTES) {
                    throw new FcgiException("an answer's head of over " + MAX_HEAD_BYTES + " bytes");
                }
                head.append(c);
                continue;
            }
            int from = head.lastIndexOf("\n") + 1;
            boolean returned = head.length() > from && head.charAt(head.length() - 1) == '\r';
            parseLine(head.substring(from, head.length() - (returned ? 1 : 0)));
            head.append('\n');
        }
        return complete;
    }

    private void parseLine(String line) throws FcgiException {
        if (line.isEmpty()) {
            complete = true;
            return;
        }
        int colon = line.indexOf(':');
        if (colon <= 0 || !line.substring(0, colon).chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new FcgiException("a line of an answer's head that is no field");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).trim();
        if (!value.chars().allMatch(c -> c >= ' ' && c != 127 || c == '\t')) {
            throw new FcgiException("a field with a control character");
        }
        if (name.equals("status")) {
            if (status >= 0) {
                throw new FcgiException("Status twice");
            }
            if (!value.matches("[1-5]\\d\\d( .*)?")) {
                throw new FcgiException("Status is no status");
            }
            status = Integer.parseInt(value.substring(0, 3));
        } else if (!name.equals("connection") && !name.equals("transfer-encoding")) {
            hasLocation |= name.equals("location");
            fields.add(new String[] {name, value});
        }
    }

    /** Whether the head is whole. */
    public boolean isComplete() {
        return complete;
    }

    /** Its status: as said, 302 where only a location was, else 200. */
    public int status() {
        return status >= 0 ? status : hasLocation ? FOUND : OK;
    }

    /** The last value of this field, in lower case, or null. */
    public String field(String name) {
        String found = null;
        for (String[] field : fields) {
            found = field[0].equals(name) ? field[1] : found;
        }
        return found;
    }

    /** Names, in lower case, and values, in their order. */
    public List<String[]> fields() {
        return List.copyOf(fields);
    }

    /** Writes a head. */
    public static void write(int status, List<String[]> fields, ByteBuf out) {
        StringBuilder text = new StringBuilder("Status: ").append(status).append("\r\n");
        fields.forEach(f -> text.append(f[0]).append(": ").append(f[1]).append("\r\n"));
        out.writeCharSequence(text.append("\r\n"), StandardCharsets.ISO_8859_1);
    }
}
