package vetchpost.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import vetchpost.core.ServerList;
import vetchpost.decision.Balancer.ServerState;

/** Parses discovery messages and addresses. Used for the watch, the configuration and tests; stateless. */
public final class ServerListParser {
    private ServerListParser() {}

    /**
     * Parses a discovery message.
     *
     * @throws IllegalArgumentException with a short reason if the text is not a valid message
     */
    public static ServerList parse(String json) {
        return new ServerListReader(new StringReader(json)).read(Integer.MAX_VALUE);
    }

    /**
     * Reads a discovery message from parsed JSON, such as a part of the configuration.
     *
     * @throws IllegalArgumentException with a short reason if it is not a valid message
     */
    public static ServerList fromJson(JsonElement json) {
        try {
            JsonObject message = json.getAsJsonObject();
            List<ServerList.Target> targets = new ArrayList<>();
            for (JsonElement target : message.getAsJsonArray("targets")) {
                targets.add(target(target.getAsJsonObject()));
            }
            return new ServerList(
                    required(message, "rev").getAsLong(),
                    required(message, "all").getAsBoolean(),
                    List.copyOf(targets));
        } catch (IllegalStateException | NullPointerException | UnsupportedOperationException | ClassCastException e) {
            throw new IllegalArgumentException("not a list of servers: " + e.getMessage(), e);
        }
    }

    private static ServerList.Target target(JsonObject entry) {
        String state = required(entry, "state").getAsString();
        return new ServerList.Target(
                required(entry, "uid").getAsString(),
                address(required(entry, "endpoint").getAsString()),
                entry.has("az") ? entry.get("az").getAsString() : "",
                entry.has("pod_group") ? entry.get("pod_group").getAsInt() : 0,
                state(state),
                entry.has("capacity_hint") ? entry.get("capacity_hint").getAsDouble() : 1,
                entry.has("boot_ms") ? entry.get("boot_ms").getAsLong() : 0);
    }

    /** Parses a server state; throws IllegalArgumentException if it is unknown. */
    static ServerState state(String text) {
        return switch (text) {
            case "Ready" -> ServerState.READY;
            case "Terminating" -> ServerState.DRAINING;
            case "Gone" -> ServerState.GONE;
            default -> throw new IllegalArgumentException("unknown state " + text);
        };
    }

    private static JsonElement required(JsonObject object, String name) {
        JsonElement value = object.get(name);
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
        return value;
    }

    /**
     * Parses a numeric host and a port. Host names are not accepted: there is no DNS, and a lookup would block.
     *
     * @throws IllegalArgumentException if the text is not a numeric address with a port up to 65535
     */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String digits = text.substring(colon + 1);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")
                || !digits.matches("[0-9]{1,5}")
                || Integer.parseInt(digits) > 65_535) {
            throw new IllegalArgumentException("not an address and port: " + text);
        }
        InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(digits));
        if (address.isUnresolved()) {
            throw new IllegalArgumentException("not an address and port: " + text);
        }
        return address;
    }
}
