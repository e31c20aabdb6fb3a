package vetchpost.discovery;

import com.google.gson.JsonParseException;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.List;
import vetchpost.core.ServerList;

/**
 * Reads a message of discovery's, as much at a time as it is told to: a list of thousands would hold the loop
 * up. A message is taken whole or not at all: half of one would leave a list that never was.
 */
final class ServerListReader {
    private final JsonReader json;
    private final List<ServerList.Target> targets = new ArrayList<>();
    private boolean started;
    private boolean inTargets;
    private boolean hasTargets;
    private Long revision;
    private Boolean all;
    private ServerList list;

    /** Nothing read yet. */
    ServerListReader(Reader text) {
        json = new JsonReader(text);
    }

    /**
     * Reads so many servers more.
     *
     * @return the list, once it is whole; else null
     * @throws IllegalArgumentException with a short reason if the text is not such a message
     */
    ServerList read(int most) {
        try {
            for (int left = most; list == null && left > 0; ) {
                left -= step() ? 1 : 0;
            }
            return list;
        } catch (IOException | JsonParseException e) {
            throw new IllegalArgumentException("not JSON: " + e.getMessage(), e);
        } catch (IllegalStateException | NumberFormatException e) {
            throw new IllegalArgumentException("not a list of servers: " + e.getMessage(), e);
        }
    }

    /** One step; whether it was a server. */
    private boolean step() throws IOException {
        if (!started) {
            json.beginObject();
            started = true;
        } else if (inTargets) {
            if (json.hasNext()) {
                targets.add(readTarget());
                return true;
            }
            json.endArray();
            inTargets = false;
        } else if (json.hasNext()) {
            readField();
        } else {
            finish();
        }
        return false;
    }

    private void readField() throws IOException {
        switch (json.nextName()) {
            case "rev" -> revision = json.nextLong();
            case "all" -> all = json.nextBoolean();
            case "targets" -> {
                json.beginArray();
                targets.clear();
                hasTargets = true;
                inTargets = true;
            }
            default -> json.skipValue();
        }
    }

    private void finish() throws IOException {
        json.endObject();
        if (json.peek() != JsonToken.END_DOCUMENT) {
            throw new IllegalArgumentException("more than a message");
        }
        if (revision == null || all == null || !hasTargets) {
            throw new IllegalArgumentException(
                    (revision == null ? "rev" : all == null ? "all" : "targets") + " is missing");
        }
        list = new ServerList(revision, all, List.copyOf(targets));
    }

    private ServerList.Target readTarget() throws IOException {
        String id = null;
        String endpoint = null;
        String state = null;
        String zone = "";
        int cell = 0;
        double weight = 1;
        long bootMs = 0;
        json.beginObject();
        while (json.hasNext()) {
            switch (json.nextName()) {
                case "uid" -> id = json.nextString();
                case "endpoint" -> endpoint = json.nextString();
                case "state" -> state = json.nextString();
                case "az" -> zone = json.nextString();
                case "pod_group" -> cell = json.nextInt();
                case "capacity_hint" -> weight = json.nextDouble();
                case "boot_ms" -> bootMs = json.nextLong();
                default -> json.skipValue();
            }
        }
        json.endObject();
        if (id == null || endpoint == null || state == null) {
            throw new IllegalArgumentException(
                    (id == null ? "uid" : endpoint == null ? "endpoint" : "state") + " is missing");
        }
        return new ServerList.Target(
                id, ServerListParser.address(endpoint), zone, cell, ServerListParser.state(state), weight, bootMs);
    }
}
