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

/** Reads how files name servers: an address, or a table with more about it. */
public final class ServerEntryReader {
    private static final List<String> KEYS = List.of("address", "addresses", "id", "weight", "zone", "state");
    private static final double MAX_WEIGHT = 1e6;
    private static final int MAX_ADDRESSES = 16;
    private static final int MAX_ID_LENGTH = 256;

    private ServerEntryReader() {}

    /**
     * Reads one server: a text, or a map of the keys address or addresses, id, weight, zone and state.
     *
     * @throws IllegalArgumentException with a short reason if it names none
     */
    public static ReportedServer read(Object value) {
        if (value instanceof String text) {
            return ReportedServer.of(parseAddress(text));
        }
        if (!(value instanceof Map<?, ?> table)) {
            throw new IllegalArgumentException("a server is a text or a table, not " + value);
        }
        for (Object key : table.keySet()) {
            if (!KEYS.contains(key)) {
                throw new IllegalArgumentException(
                        "unknown key '" + key + "' of a server; there are " + String.join(", ", KEYS));
            }
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        if (table.get("addresses") instanceof List<?> list) {
            list.forEach(each -> addresses.add(parseAddress(requireText("addresses", each))));
        }
        if (table.containsKey("address")) {
            addresses.add(0, parseAddress(requireText("address", table.get("address"))));
        }
        if (addresses.isEmpty() || addresses.size() > MAX_ADDRESSES) {
            throw new IllegalArgumentException("a server has from 1 to " + MAX_ADDRESSES + " addresses");
        }
        String id = table.containsKey("id") ? requireText("id", table.get("id")) : "";
        if (id.length() > MAX_ID_LENGTH) {
            throw new IllegalArgumentException("an id has up to " + MAX_ID_LENGTH + " characters");
        }
        Object weight = table.containsKey("weight") ? table.get("weight") : Double.valueOf(1);
        if (!(weight instanceof Number number) || !(number.doubleValue() > 0) || number.doubleValue() > MAX_WEIGHT) {
            throw new IllegalArgumentException("weight = " + weight + " is no number from 0 on to " + MAX_WEIGHT);
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
        for (State word : State.values()) {
            if (word.name().toLowerCase(Locale.ROOT).equals(value)) {
                return word;
            }
        }
        throw new IllegalArgumentException("state is ready, draining or gone, not " + value);
    }

    private static String requireText(String key, Object value) {
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IllegalArgumentException(key + " is no text");
    }

    /**
     * A numeric address and a port; an IPv4 address written as IPv6 is the IPv4 one.
     *
     * @throws IllegalArgumentException with a short reason if it is none
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
            // Numeric, so nothing is looked up.
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("\"" + text + "\" is no numeric address and port", e);
        }
    }
}
