package vetchpost.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchpost.core.ServerList;
import vetchpost.decision.Balancer.Settings;
import vetchpost.discovery.ServerListParser;
import vetchpost.net.SocketBudget;

/**
 * What a node is told at its start, checked.
 *
 * @param discovery where the list of servers is told; null where it comes from elsewhere
 * @param sockets descriptors that the process may hold
 * @param connIdleUs servers close connections that have stood idle for so long
 */
public record NodeConfig(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxDescriptors,
        long serverIdleTimeoutUs,
        Settings settings,
        ServerList knownServers) {

    private static final int DEFAULT_MAX_DESCRIPTORS = 1_024;
    private static final String DISCOVERY_VARIABLE = "LB_DISCOVERY";
    private static final String DEFAULT_SERVER_IDLE_TIMEOUT_US = "15000000";

    /** Throws IllegalArgumentException with one line for the operator on what is missing or wrong. */
    public static NodeConfig read(Map<String, String> environment) {
        String path = environment.get("LB_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new IllegalArgumentException("LB_CONFIG is not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("LB_CONFIG can't be read: " + e, e);
        }
        return parse(text, environment);
    }

    /** As at the start, but that the file has been replaced since and so comes before the environment. */
    public static NodeConfig reread(Map<String, String> environment) {
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove(DISCOVERY_VARIABLE);
        return read(rest);
    }

    /** The same with no more descriptors than the system gives. */
    public NodeConfig withMaxDescriptors(int descriptors) {
        return new NodeConfig(
                listen,
                discovery,
                seed,
                Math.min(maxDescriptors, descriptors),
                serverIdleTimeoutUs,
                settings,
                knownServers);
    }

    public static NodeConfig parse(String text, Map<String, String> environment) {
        JsonObject json;
        try {
            json = JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new IllegalArgumentException("LB_CONFIG holds no JSON object: " + e.getMessage(), e);
        }
        Map<String, String> values = flatten(requiredObject(json, "settings"));
        Settings settings = SettingsReader.read(values);
        ServerList known =
                json.has("known") ? ServerListParser.fromJson(json.get("known")) : new ServerList(0, true, List.of());
        return new NodeConfig(
                ServerListParser.address(requiredText(environment, "LB_LISTEN", json, "listen")),
                ServerListParser.address(requiredText(environment, DISCOVERY_VARIABLE, json, "discovery")),
                seed(json),
                parseMaxDescriptors(json),
                parseWholeNumber(values.getOrDefault("limits.connIdleUs", DEFAULT_SERVER_IDLE_TIMEOUT_US)),
                settings,
                known);
    }

    private static JsonObject requiredObject(JsonObject in, String name) {
        JsonElement value = in.get(name);
        if (value == null || !value.isJsonObject()) {
            throw new IllegalArgumentException(name + " is missing or no object");
        }
        return value.getAsJsonObject();
    }

    private static String requiredText(Map<String, String> environment, String variable, JsonObject json, String name) {
        String value = environment.get(variable);
        if (value != null && !value.isEmpty()) {
            return value;
        }
        if (!json.has(name) || !json.get(name).isJsonPrimitive()) {
            throw new IllegalArgumentException(variable + " is not set, nor " + name);
        }
        return json.get(name).getAsString();
    }

    private static long seed(JsonObject json) {
        JsonElement seed = json.get("seed");
        if (seed == null || !seed.isJsonPrimitive()) {
            throw new IllegalArgumentException("seed is missing");
        }
        try {
            return Long.parseUnsignedLong(seed.getAsString(), 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number of up to 16 digits", e);
        }
    }

    private static int parseMaxDescriptors(JsonObject json) {
        JsonElement sockets =
                json.has("limits") ? requiredObject(json, "limits").get("sockets") : null;
        long value = sockets == null || !sockets.isJsonPrimitive()
                ? DEFAULT_MAX_DESCRIPTORS
                : parseWholeNumber(sockets.getAsString());
        if (value < SocketBudget.MIN_DESCRIPTORS) {
            throw new IllegalArgumentException("limits.sockets is under " + SocketBudget.MIN_DESCRIPTORS);
        }
        return (int) Math.min(Integer.MAX_VALUE, value);
    }

    private static long parseWholeNumber(String text) {
        try {
            return (long) Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a number: " + text, e);
        }
    }

    /** The wire's path=value form of the settings, which the adapter reads too. */
    static Map<String, String> flatten(JsonObject settings) {
        Map<String, String> values = new TreeMap<>();
        settings.entrySet().forEach(e -> flatten(e.getKey(), e.getValue(), values));
        return values;
    }

    private static void flatten(String path, JsonElement value, Map<String, String> to) {
        if (value.isJsonObject()) {
            value.getAsJsonObject().entrySet().forEach(e -> flatten(path + "." + e.getKey(), e.getValue(), to));
        } else if (value.isJsonArray()) {
            JsonArray items = value.getAsJsonArray();
            if (!items.isEmpty() && items.get(0).isJsonObject()) {
                to.put(path + ".count", Integer.toString(items.size()));
                for (int i = 0; i < items.size(); i++) {
                    flatten(path + "." + i, items.get(i), to);
                }
            } else {
                StringBuilder joined = new StringBuilder();
                for (JsonElement item : items) {
                    joined.append(joined.isEmpty() ? "" : ",").append(item.isJsonNull() ? "" : item.getAsString());
                }
                to.put(path, joined.toString());
            }
        } else if (!value.isJsonNull()) {
            to.put(path, value.getAsString());
        }
    }
}
