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
 * Watches a file of servers. It is looked at once in a while, on a thread of its own, and read when it looks
 * other than before: a file that is replaced many times in between is read once. What is half written, can't
 * be read or is no list of servers is said to be so, and looked at again the next time.
 */
final class FileWatch implements AutoCloseable {
    private static final long MAX_FILE_BYTES = 4L << 20;

    private final Path path;
    private final Executor loop;
    private final SourceListener listener;
    private final ScheduledFuture<?> pollTask;
    private Stamp lastStamp;

    /** How a file looks from outside. */
    private record Stamp(long size, long modifiedMs, Object key) {
        static Stamp of(Path path) throws IOException {
            BasicFileAttributes look = Files.readAttributes(path, BasicFileAttributes.class);
            return new Stamp(look.size(), look.lastModifiedTime().toMillis(), look.fileKey());
        }
    }

    /**
     * Begins at once.
     *
     * @param thread where files are read
     * @param loop where the listener is told
     */
    FileWatch(SourceDeclaration source, ScheduledExecutorService thread, Executor loop, SourceListener listener) {
        path = Path.of(source.location());
        this.loop = loop;
        this.listener = listener;
        pollTask = thread.scheduleWithFixedDelay(this::poll, 0, source.intervalUs(), TimeUnit.MICROSECONDS);
    }

    private void poll() {
        try {
            Stamp now = Stamp.of(path);
            if (now.equals(lastStamp)) {
                return;
            }
            if (now.size() > MAX_FILE_BYTES) {
                throw new IllegalArgumentException("over " + (MAX_FILE_BYTES >> 20) + " MiB");
            }
            List<ReportedServer> servers = parse(path.toString(), Files.readString(path));
            if (!Stamp.of(path).equals(now)) {
                return; // It is being written just now.
            }
            lastStamp = now;
            loop.execute(() -> listener.serversReported(servers));
        } catch (CharacterCodingException e) {
            reportFailure("it is no UTF-8");
        } catch (IOException e) {
            reportFailure("it can't be read: " + e.getMessage());
        } catch (RuntimeException e) {
            reportFailure(e.getMessage());
        }
    }

    private void reportFailure(String why) {
        lastStamp = null;
        loop.execute(() -> listener.sourceFailed(why));
    }

    /**
     * Reads a list of servers in JSON, or in TOML where the file's name ends so.
     *
     * @throws IllegalArgumentException with a short reason if it is none
     */
    static List<ReportedServer> parse(String name, String text) {
        List<?> entries = name.endsWith(".toml") ? parseToml(text) : parseJson(text);
        List<ReportedServer> servers = new ArrayList<>(entries.size());
        for (Object each : entries) {
            servers.add(ServerEntryReader.read(each));
        }
        return servers;
    }

    private static List<?> parseJson(String text) {
        Object value;
        try {
            value = new Gson().fromJson(text, TypeToken.get(Object.class));
        } catch (JsonParseException e) {
            throw new IllegalArgumentException("it is no JSON: " + e.getMessage(), e);
        }
        if (value instanceof Map<?, ?> table && table.get("servers") instanceof List<?> list) {
            return list;
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException("it holds neither a list of servers nor one called servers");
    }

    private static List<?> parseToml(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new IllegalArgumentException("it is no TOML: " + toml.errors().get(0));
        }
        TomlArray array = toml.get(List.of("servers")) instanceof TomlArray list ? list : null;
        if (array == null) {
            throw new IllegalArgumentException("it holds no list called servers");
        }
        List<Object> entries = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            Object each = array.get(i);
            entries.add(each instanceof TomlTable table ? table.toMap() : each);
        }
        return entries;
    }

    @Override
    public void close() {
        pollTask.cancel(false);
    }
}
