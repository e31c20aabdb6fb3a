package vetchpost.standalone;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import vetchpost.sources.ReportedServer;
import vetchpost.sources.ReportedServer.State;

/**
 * Reads servers as files list them: an address, or a table with further fields. Called when an operator's file is
 * validated and by the file watch; stateless.
 */
public final class ServerEntryReader {
    private static final List<String> KEYS = List.of("address", "addresses", "id", "weight", "zone", "state");
    private static final double MAX_WEIGHT = 1e6;
    private static final int MAX_ADDRESSES = 16;
    private static final int MAX_ID_LENGTH = 256;

    private ServerEntryReader() {}

    /**
     * Reads one server.
     *
     * @param value a string, or a map with the keys address or addresses, id, weight, zone and state
     * @throws IllegalArgumentException with a short reason if it is not a valid server
     */
    public static ReportedServer read(Object value) {
        if (value instanceof String text) {
            return ReportedServer.of(parseAddress(text));
        }
        if (!(value instanceof Map<?, ?> table)) {
            throw new IllegalArgumentException("a server must be a string or a table, not " + value);
        }
        for (Object key : table.keySet()) {
            if (!KEYS.contains(key)) {
                throw new IllegalArgumentException(
                        "unknown key '" + key + "' of a server; the keys are " + String.join(", ", KEYS));
            }
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        if (table.get("addresses") instanceof List<?> list) {
            list.forEach(address -> addresses.add(parseAddress(requireText("addresses", address))));
        }
        if (table.containsKey("address")) {
            addresses.add(0, parseAddress(requireText("address", table.get("address"))));
        }
        if (addresses.isEmpty() || addresses.size() > MAX_ADDRESSES) {
            throw new IllegalArgumentException("a server must have 1 to " + MAX_ADDRESSES + " addresses");
        }
        String id = table.containsKey("id") ? requireText("id", table.get("id")) : "";
        if (id.length() > MAX_ID_LENGTH) {
            throw new IllegalArgumentException("an id must have at most " + MAX_ID_LENGTH + " characters");
        }
        Object weight = table.containsKey("weight") ? table.get("weight") : Double.valueOf(1);
        if (!(weight instanceof Number number) || !(number.doubleValue() > 0) || number.doubleValue() > MAX_WEIGHT) {
            throw new IllegalArgumentException(
                    "weight = " + weight + " is not a number above 0 and at most " + MAX_WEIGHT);
        }
        return new ReportedServer(
                id,
                List.copyOf(addresses),
                parseState(table.get("state")),
                number.doubleValue(),
                table.containsKey("zone") ? requireText("zone", table.get("zone")) : "");
    }

    private static State parseState(Object value) {
        if (value == null) {
            return State.READY;
        }
        for (State state : State.values()) {
            if (state.name().toLowerCase(Locale.ROOT).equals(value)) {
                return state;
            }
        }
        throw new IllegalArgumentException("state must be ready, draining or gone, not " + value);
    }

    private static String requireText(String key, Object value) {
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IllegalArgumentException(key + " must be a non-empty string");
    }

    /**
     * Parses a numeric address and a port. An IPv4-mapped IPv6 address becomes the IPv4 address.
     *
     * @throws IllegalArgumentException with a short reason if it is neither
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (!host.matches("\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+\\]")
                || !port.matches("\\d{1,5}")
                || Integer.parseInt(port) > 65_535) {
            throw new IllegalArgumentException("\"" + text + "\" is no numeric address and port");
        }
        try {
            // A numeric address needs no lookup.
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("\"" + text + "\" is no numeric address and port", e);
        }
    }
}
