package vetchpost.operations;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import vetchpost.control.AuditEntryJson;
import vetchpost.control.AuditLog;
import vetchpost.control.ControlApi;

/** The trail in a file: read and checked at the start, then appended to and forced to the disk each time. */
public final class AuditFile implements ControlApi.AuditSink {
    private static final long MAX_FILE_BYTES = 64L << 20;

    private final Path path;
    private final Executor writer;
    private final Executor loop;
    private final List<AuditLog.Entry> entries = new ArrayList<>();
    private String failure = "";
    // The writer's alone from the start on.
    private String lastHash = AuditLog.ROOT_HASH;
    private long fileLength;

    /**
     * Reads what is there. A last line that was not written to its end is taken off; what is broken before
     * that is left as it is, and nothing is recorded behind it.
     */
    public AuditFile(Path path, Executor writer, Executor loop) {
        this.path = path;
        this.writer = writer;
        this.loop = loop;
        try {
            read();
        } catch (IOException | IllegalArgumentException e) {
            failure = "the trail " + path + " can't be used: " + e.getMessage();
            entries.clear();
        }
    }

    private void read() throws IOException {
        if (!Files.exists(path)) {
            Files.createFile(path, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            return;
        }
        if (Files.size(path) > MAX_FILE_BYTES) {
            throw new IOException("it is over " + (MAX_FILE_BYTES >> 20) + " MiB; move it away");
        }
        String text = Files.readString(path);
        String whole = text.substring(0, text.lastIndexOf('\n') + 1);
        List<String> lines = whole.lines().toList();
        int broken = AuditLog.firstBrokenLine(lines);
        if (broken > 0) {
            throw new IOException("line " + broken + " does not follow from those before; look who"
                    + " changed it, and move it away");
        }
        for (String line : lines) {
            entries.add(AuditEntryJson.parse(AuditLog.textOf(line)));
            lastHash = AuditLog.hashOf(line);
        }
        fileLength = whole.getBytes(StandardCharsets.UTF_8).length;
    }

    /** What it held at the start; nothing if it can't be used. */
    public List<AuditLog.Entry> entries() {
        return List.copyOf(entries);
    }

    /** Why nothing can be recorded, by the start; empty if it can. */
    public String failure() {
        return failure;
    }

    @Override
    public void append(String text, Consumer<String> done) {
        writer.execute(() -> {
            String why = failure.isEmpty() ? write(text) : failure;
            loop.execute(() -> done.accept(why));
        });
    }

    private String write(String text) {
        String line = AuditLog.chainedLine(lastHash, text);
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        if (fileLength + bytes.length > MAX_FILE_BYTES) {
            return path + " is full at " + (MAX_FILE_BYTES >> 20) + " MiB; move it away and start the node anew";
        }
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
            // In the place of what an earlier write has left unfinished.
            channel.truncate(fileLength);
            channel.position(fileLength);
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        } catch (IOException e) {
            return e.toString();
        }
        fileLength += bytes.length;
        lastHash = AuditLog.hashOf(line);
        return null;
    }
}
