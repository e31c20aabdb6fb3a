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

/**
 * Stores the audit log in a file: reads and verifies it at start, then appends each entry and forces it to disk. The
 * constructor runs at start; appends run on the writer's thread and report back on the event loop.
 */
public final class AuditFile implements ControlApi.AuditSink {
    private static final long MAX_FILE_BYTES = 64L << 20;

    private final Path path;
    private final Executor writer;
    private final Executor loop;
    private final List<AuditLog.Entry> entries = new ArrayList<>();
    private String failure = "";
    // Used by the writer's thread only, after construction.
    private String lastHash = AuditLog.ROOT_HASH;
    private long fileLength;

    /**
     * Opens and verifies the log, or creates it. An incomplete last line is cut off. A log that is broken before that
     * is left as it is, and nothing is appended to it.
     *
     * @param writer runs the writes, one at a time
     * @param loop where callbacks run
     */
    public AuditFile(Path path, Executor writer, Executor loop) {
        this.path = path;
        this.writer = writer;
        this.loop = loop;
        try {
            read();
        } catch (IOException | IllegalArgumentException e) {
            failure = "audit log " + path + " can't be used: " + e.getMessage();
            entries.clear();
        }
    }

    private void read() throws IOException {
        if (!Files.exists(path)) {
            Files.createFile(path, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            return;
        }
        if (Files.size(path) > MAX_FILE_BYTES) {
            throw new IOException("it is over " + (MAX_FILE_BYTES >> 20) + " MiB; move it away and restart the node");
        }
        String text = Files.readString(path);
        String completeLines = text.substring(0, text.lastIndexOf('\n') + 1);
        List<String> lines = completeLines.lines().toList();
        int brokenLine = AuditLog.firstBrokenLine(lines);
        if (brokenLine > 0) {
            throw new IOException("line " + brokenLine + " does not follow from those before; find out who"
                    + " changed it, move it away and restart the node");
        }
        for (String line : lines) {
            entries.add(AuditEntryJson.parse(AuditLog.textOf(line)));
            lastHash = AuditLog.hashOf(line);
        }
        fileLength = completeLines.getBytes(StandardCharsets.UTF_8).length;
    }

    /** The entries that the file held at start; none if it can't be used. */
    public List<AuditLog.Entry> entries() {
        return List.copyOf(entries);
    }

    /** Why nothing can be recorded, as found at start; empty if entries can be recorded. */
    public String failure() {
        return failure;
    }

    @Override
    public void append(String text, Consumer<String> done) {
        writer.execute(() -> {
            String error = failure.isEmpty() ? write(text) : failure;
            loop.execute(() -> done.accept(error));
        });
    }

    private String write(String text) {
        String line = AuditLog.chainedLine(lastHash, text);
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        if (fileLength + bytes.length > MAX_FILE_BYTES) {
            return path + " is full at " + (MAX_FILE_BYTES >> 20) + " MiB; move it away and restart the node";
        }
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
            // Overwrites what an earlier failed write may have left.
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
