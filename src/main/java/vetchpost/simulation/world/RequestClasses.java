package vetchpost.simulation.world;

import java.util.List;
import java.util.Locale;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;

/** The simulated request classes, one of each retry policy, as the service's classes are. */
public final class RequestClasses {
    /**
     * A class of requests.
     *
     * @param share fraction of all requests, from 0 to 1
     * @param latencyTargetMs answers are wanted within this time, in milliseconds
     * @param timeoutMs clients wait this long, in milliseconds
     */
    public record Kind(String name, RetryPolicy retryPolicy, double share, long latencyTargetMs, long timeoutMs) {}

    private final List<Kind> kinds;
    private final double workMs;

    /**
     * Classes whose times grow with the work of a request, so that clients of slow servers wait longer.
     *
     * @param workMs mean processing time on a warm server, in milliseconds
     */
    public RequestClasses(double workMs) {
        this.workMs = workMs;
        long latencyTargetMs = Math.round(40 + 4 * workMs);
        kinds = List.of(
                new Kind("view-page", RetryPolicy.SAFE, 0.7, latencyTargetMs, 4 * latencyTargetMs),
                new Kind("add-photo", RetryPolicy.KEYED, 0.15, 2 * latencyTargetMs, 5 * latencyTargetMs),
                new Kind("place-order", RetryPolicy.UNSAFE, 0.15, 3 * latencyTargetMs, 8 * latencyTargetMs));
    }

    List<Kind> kinds() {
        return kinds;
    }

    double workMs() {
        return workMs;
    }

    /** The class whose range of the cumulative shares contains this point, from 0 to 1. */
    Kind select(double point) {
        double cumulativeShare = 0;
        for (Kind kind : kinds) {
            cumulativeShare += kind.share;
            if (point < cumulativeShare) {
                return kind;
            }
        }
        return kinds.get(0);
    }

    Kind byName(String name) {
        return kinds.stream().filter(k -> k.name.equals(name)).findFirst().orElseThrow();
    }

    /** The classes in the form of a node's configuration. */
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
