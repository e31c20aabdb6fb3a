package vetchpost.simulation.world;

import java.util.List;
import java.util.Locale;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;

/** The classes of requests, alike in kind to those of the service. */
public final class RequestClasses {
    /**
     * A class of requests.
     *
     * @param share of all requests
     * @param aimMs answers within this time are wanted
     * @param giveUpMs clients wait so long
     */
    public record Kind(String name, RetryPolicy retryPolicy, double share, long latencyTargetMs, long timeoutMs) {}

    private final List<Kind> kinds;
    private final double workMs;

    /** Times in proportion to the work of a request, so that slow boxes have patient clients. */
    public RequestClasses(double workMs) {
        this.workMs = workMs;
        long aim = Math.round(40 + 4 * workMs);
        kinds = List.of(
                new Kind("view-page", RetryPolicy.SAFE, 0.7, aim, 4 * aim),
                new Kind("add-photo", RetryPolicy.KEYED, 0.15, 2 * aim, 5 * aim),
                new Kind("place-order", RetryPolicy.UNSAFE, 0.15, 3 * aim, 8 * aim));
    }

    List<Kind> kinds() {
        return kinds;
    }

    double workMs() {
        return workMs;
    }

    /** The kind whose part of the shares this number, from 0 to 1, falls into. */
    Kind select(double at) {
        double upTo = 0;
        for (Kind kind : kinds) {
            upTo += kind.share;
            if (at < upTo) {
                return kind;
            }
        }
        return kinds.get(0);
    }

    Kind byName(String name) {
        return kinds.stream().filter(k -> k.name.equals(name)).findFirst().orElseThrow();
    }

    /** The classes as a node's configuration has them. */
    String json() {
        StringBuilder json = new StringBuilder();
        for (Kind kind : kinds) {
            json.append(json.isEmpty() ? "" : ",")
                    .append("{\"name\":\"")
                    .append(kind.name)
                    .append("\",\"repeat\":\"")
                    .append(kind.retryPolicy.name().toLowerCase(Locale.ROOT))
                    .append("\",\"group\":\"")
                    .append(kind.retryPolicy == RetryPolicy.KEYED ? "cell" : "all")
                    .append("\",\"windowUs\":1200000,\"lateWorth\":0,\"importance\":")
                    .append(kind.retryPolicy == RetryPolicy.SAFE ? 1 : 5)
                    .append(",\"onTimeUs\":")
                    .append(1_000 * kind.latencyTargetMs)
                    .append(",\"giveUpUs\":")
                    .append(1_000 * kind.timeoutMs)
                    .append('}');
        }
        return "[" + json + "]";
    }
}
