package vetchpost.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import vetchpost.core.ServerList;
import vetchpost.decision.Balancer.ServerState;

/** Reads what discovery says, and addresses. */
public final class ServerListParser {
    private ServerListParser() {}

    /** Throws IllegalArgumentException with a short reason if the text is not such a message. */
    public static ServerList parse(String json) {
        return new ServerListReader(new StringReader(json)).read(Integer.MAX_VALUE);
    }

    /** The same of what has been read already, with the configuration. */
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

    /** Throws IllegalArgumentException if there is no such state. */
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

    /** A numeric host and a port. There is no DNS, and looking a name up would block. */
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
