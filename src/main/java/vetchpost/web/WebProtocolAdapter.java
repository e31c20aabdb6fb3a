package vetchpost.web;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.function.LongSupplier;
import vetchpost.core.BodySource;
import vetchpost.core.ClientRequest;
import vetchpost.core.ServerTransport.OutgoingRequest;
import vetchpost.decision.Balancer.Settings;
import vetchpost.http.BadRequest;
import vetchpost.http.ClientServer;
import vetchpost.http.Exchange;
import vetchpost.http.HeaderFields;
import vetchpost.http.ManagedConnection;
import vetchpost.http.RequestReader;
import vetchpost.standalone.Classifier;
import vetchpost.standalone.WebLimits;

/** Both sides of a node that speaks with the open web: how clients' connections and exchanges are made. */
public final class WebProtocolAdapter implements ManagedConnection.ConnectionInitializer, Exchange.Factory {
    private static final String REMAINING_MS_HEADER = "X-Remaining-Ms";
    private static final String RESENT_HEADER = "X-Resent";
    private static final int MAX_REMAINING_MS_DIGITS = 9;

    private Settings settings;
    private Classifier classifier;
    private WebLimits limits;
    private final LongSupplier unixMsClock;
    private long lastRequestNumber;

    /**
     * For requests of these classes.
     *
     * @param unixMs tells the time, Unix time in milliseconds
     */
    public WebProtocolAdapter(Settings settings, Classifier classifier, WebLimits limits, LongSupplier unixMs) {
        this.settings = settings;
        this.classifier = classifier;
        this.limits = limits;
        this.unixMsClock = unixMs;
    }

    /** Has these hold for requests from now on. */
    public void reconfigure(Settings classes, Classifier other, WebLimits to) {
        settings = classes;
        classifier = other;
        limits = to;
    }

    WebLimits limits() {
        return limits;
    }

    long unixMs() {
        return unixMsClock.getAsLong();
    }

    @Override
    public void open(ClientServer server, ChannelPipeline pipeline) {
        WebConnection.open(this, server, pipeline);
    }

    @Override
    public Exchange create(OutgoingRequest sending) {
        return new WebExchange(this, sending);
    }

    /**
     * How long a request of a class may take, in microseconds; of one that a reload has taken out, no time.
     */
    long deadlineUs(int classIndex) {
        return classIndex < settings.classes.size()
                ? settings.classes.get(classIndex).deadlineUs()
                : 0;
    }

    /** The class of a checked head. */
    int classOf(HttpRequest head) throws BadRequest {
        int index = classifier.classOf(head.method().name(), head.uri(), head.headers()::get);
        if (index < 0) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no class of requests");
        }
        return index;
    }

    /**
     * Makes the core's request of a checked head and its body.
     *
     * @param from who asks
     * @param length of the body; the largest number if it is not said
     */
    ClientRequest createRequest(
            HttpRequest head, int classIndex, SocketAddress from, byte[] body, BodySource rest, long length) {
        HttpHeaders headers = head.headers();
        String host = headers.get(HttpHeaderNames.HOST);
        int tenant = classifier.tenantOf(host, headers::get);
        long remainingUs = rest != null ? limits.uploadTimeoutUs() : deadlineUs(classIndex);
        long saidMs = RequestReader.parseDigits(headers.get(REMAINING_MS_HEADER), MAX_REMAINING_MS_DIGITS);
        if (saidMs > 0) {
            remainingUs = Math.min(remainingUs, 1_000 * saidMs);
        }
        boolean repeated = "1".equals(headers.get(RESENT_HEADER));
        RequestCheck.dropHopByHop(headers);
        headers.remove(HttpHeaderNames.EXPECT)
                .remove(REMAINING_MS_HEADER)
                .remove(RESENT_HEADER)
                .remove("X-Rehearsal");
        if (rest == null) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            if (body.length > 0 || requiresContentLength(head)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
        }
        addForwardingHeaders(headers, head.protocolVersion(), from, host);
        return new ClientRequest(
                ++lastRequestNumber,
                classIndex,
                tenant,
                remainingUs,
                0,
                repeated,
                head.method().name(),
                head.uri(),
                new HeaderFields(headers),
                body,
                rest,
                length);
    }

    /** Methods whose requests have bodies tell a length even where there is none (RFC 9110, section 8.6). */
    private static boolean requiresContentLength(HttpRequest head) {
        return switch (head.method().name()) {
            case "POST", "PUT", "PATCH" -> true;
            default -> false;
        };
    }

    private void addForwardingHeaders(HttpHeaders headers, HttpVersion version, SocketAddress from, String host) {
        headers.add(
                HttpHeaderNames.VIA, version.majorVersion() + "." + version.minorVersion() + " " + limits.viaName());
        String address = from instanceof InetSocketAddress inet && inet.getAddress() != null
                ? textWithoutScope(inet.getAddress())
                : "unknown";
        if (limits.forwarded().isStandard()) {
            String node = address.indexOf(':') >= 0 ? "\"[" + address + "]\"" : address;
            String one = "for=" + node + (host == null ? "" : ";host=\"" + host + "\"") + ";proto=http";
            appendForwardedValue(headers, "Forwarded", one);
        } else if (!limits.trustsForwarded()) {
            headers.remove("Forwarded");
        }
        if (limits.forwarded().isCustom()) {
            appendForwardedValue(headers, "X-Forwarded-For", address);
            setForwardedValue(headers, "X-Forwarded-Proto", "http");
            setForwardedValue(headers, "X-Forwarded-Host", host);
        } else if (!limits.trustsForwarded()) {
            headers.remove("X-Forwarded-For").remove("X-Forwarded-Proto").remove("X-Forwarded-Host");
        }
    }

    private static String textWithoutScope(InetAddress address) {
        String text = address.getHostAddress();
        int scope = text.indexOf('%');
        return scope < 0 ? text : text.substring(0, scope);
    }

    /** Behind what the client says, if that is believed; else in its place. */
    private void appendForwardedValue(HttpHeaders headers, String name, String value) {
        String said = limits.trustsForwarded() ? String.join(", ", headers.getAll(name)) : "";
        headers.set(name, said.isEmpty() ? value : said + ", " + value);
    }

    private void setForwardedValue(HttpHeaders headers, String name, String value) {
        if (limits.trustsForwarded() && headers.contains(name)) {
            return;
        }
        if (value == null) {
            headers.remove(name);
        } else {
            headers.set(name, value);
        }
    }
}
