package vetchpost.sourcewatch;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.reflect.TypeToken;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;
import vetchpost.sources.ReportedServer;
import vetchpost.sources.SourceDeclaration;
import vetchpost.standalone.ServerEntryReader;

/**
 * Watches a file that lists servers. It polls the file's attributes on the file thread and reads the file when they
 * differ, so a file that is replaced many times between two polls is read once. A file that is incomplete, unreadable
 * or not a list of servers is reported as failed and read again at the next poll. Created and closed by {@link
 * SourceWatcher} on the event loop; the listener is called there.
 */
final class FileWatch implements AutoCloseable {
    private static final long MAX_FILE_BYTES = 4L << 20;

    private final Path path;
    private final Executor loop;
    private final SourceListener listener;
    private final ScheduledFuture<?> pollTask;
    private Stamp lastStamp;

    /** The attributes by which a change of the file is noticed. */
    private record Stamp(long size, long modifiedMs, Object key) {
        static Stamp of(Path path) throws IOException {
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            return new Stamp(attributes.size(), attributes.lastModifiedTime().toMillis(), attributes.fileKey());
        }
    }

    /**
     * Creates a watch that starts at once.
     *
     * @param thread where the file is polled and read
     * @param loop where the listener is called
     */
    FileWatch(SourceDeclaration source, ScheduledExecutorService thread, Executor loop, SourceListener listener) {
        path = Path.of(source.location());
        this.loop = loop;
        this.listener = listener;
        pollTask = thread.scheduleWithFixedDelay(this::poll, 0, source.intervalUs(), TimeUnit.MICROSECONDS);
    }

    private void poll() {
        try {
            Stamp stamp = Stamp.of(path);
            if (stamp.equals(lastStamp)) {
                return;
            }
            if (stamp.size() > MAX_FILE_BYTES) {
                throw new IllegalArgumentException("the file is over " + (MAX_FILE_BYTES >> 20) + " MiB");
            }
            List<ReportedServer> servers = parse(path.toString(), Files.readString(path));
            if (!Stamp.of(path).equals(stamp)) {
                return; // It changed while it was read.
            }
            lastStamp = stamp;
            loop.execute(() -> listener.serversReported(servers));
        } catch (CharacterCodingException e) {
            reportFailure("the file is not valid UTF-8");
        } catch (IOException e) {
            reportFailure("the file can't be read: " + e.getMessage());
        } catch (RuntimeException e) {
            reportFailure(e.getMessage());
        }
    }

    private void reportFailure(String reason) {
        lastStamp = null;
        loop.execute(() -> listener.sourceFailed(reason));
    }

    /**
     * Parses a list of servers.
     *
     * @param name the file's name; TOML if it ends in {@code .toml}, else JSON
     * @throws IllegalArgumentException with a short reason if the text is not such a list
     */
    static List<ReportedServer> parse(String name, String text) {
        List<?> entries = name.endsWith(".toml") ? parseToml(text) : parseJson(text);
        List<ReportedServer> servers = new ArrayList<>(entries.size());
        for (Object entry : entries) {
            servers.add(ServerEntryReader.read(entry));
        }
        return servers;
    }

    private static List<?> parseJson(String text) {
        Object value;
        try {
            value = new Gson().fromJson(text, TypeToken.get(Object.class));
        } catch (JsonParseException e) {
            throw new IllegalArgumentException("invalid JSON: " + e.getMessage(), e);
        }
        if (value instanceof Map<?, ?> table && table.get("servers") instanceof List<?> list) {
            return list;
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException("the file must be a list of servers, or a table with a list named servers");
    }

    private static List<?> parseToml(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new IllegalArgumentException("invalid TOML: " + toml.errors().get(0));
        }
        TomlArray array = toml.get(List.of("servers")) instanceof TomlArray list ? list : null;
        if (array == null) {
            throw new IllegalArgumentException("the file has no list named servers");
        }
        List<Object> entries = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            Object entry = array.get(i);
            entries.add(entry instanceof TomlTable table ? table.toMap() : entry);
        }
        return entries;
    }

    @Override
    public void close() {
        pollTask.cancel(false);
    }
}
