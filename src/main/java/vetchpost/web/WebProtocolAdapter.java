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

/**
 * HTTP/1.1 for arbitrary clients and servers, without the platform's protocol. Creates client connections, exchanges
 * with servers, and the core's requests: class, tenant, deadline and forwarded headers. A standalone node has one; all
 * methods run on its event loop.
 */
public final class WebProtocolAdapter implements ManagedConnection.ConnectionInitializer, Exchange.Factory {
    private static final String REMAINING_MS_HEADER = "X-Remaining-Ms";
    private static final String RESENT_HEADER = "X-Resent";
    private static final int MAX_REMAINING_MS_DIGITS = 9;

    private Settings settings;
    private Classifier classifier;
    private WebLimits limits;
    private final LongSupplier unixMsClock;
    private long lastRequestNumber;
    private int configurationNumber;

    /**
     * Creates an adapter.
     *
     * @param settings classes of requests with their deadlines
     * @param classifier assigns requests to classes and tenants
     * @param limits bounds of bodies and times, and rules for forwarded headers
     * @param unixMsClock current time as Unix time in milliseconds
     */
    public WebProtocolAdapter(Settings settings, Classifier classifier, WebLimits limits, LongSupplier unixMsClock) {
        this.settings = settings;
        this.classifier = classifier;
        this.limits = limits;
        this.unixMsClock = unixMsClock;
    }

    /**
     * Replaces the configuration for requests from now on, those included that are partly received; pending ones keep
     * their class and deadline.
     */
    public void reconfigure(Settings newSettings, Classifier newClassifier, WebLimits newLimits) {
        settings = newSettings;
        classifier = newClassifier;
        limits = newLimits;
        configurationNumber++;
    }

    /** Changes with each configuration; the index of a class means something within one configuration only. */
    int configurationNumber() {
        return configurationNumber;
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
    public Exchange create(OutgoingRequest outgoing) {
        return new WebExchange(this, outgoing);
    }

    /**
     * The deadline of a class, in microseconds from the request's arrival; 0 for a class that a reload has removed.
     */
    long deadlineUs(int classIndex) {
        return classIndex < settings.classes.size()
                ? settings.classes.get(classIndex).deadlineUs()
                : 0;
    }

    /**
     * The class of a request.
     *
     * @param head a head that {@link RequestCheck} has accepted
     * @throws BadRequest if no class matches
     */
    int classOf(HttpRequest head) throws BadRequest {
        int index = classifier.classOf(head.method().name(), head.uri(), head.headers()::get);
        if (index < 0) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no class of requests");
        }
        return index;
    }

    /**
     * Creates the core's request.
     *
     * @param head a head that {@link RequestCheck} has accepted; its fields are changed to what servers receive
     * @param clientAddress address of the client
     * @param body the buffered part of the body
     * @param remainder the part of the body to be streamed, or null
     * @param length of the body in bytes; {@link Long#MAX_VALUE} if unknown
     */
    ClientRequest createRequest(
            HttpRequest head,
            int classIndex,
            SocketAddress clientAddress,
            byte[] body,
            BodySource remainder,
            long length) {
        HttpHeaders headers = head.headers();
        String host = headers.get(HttpHeaderNames.HOST);
        int tenant = classifier.tenantOf(host, headers::get);
        long remainingUs = remainder != null ? limits.uploadTimeoutUs() : deadlineUs(classIndex);
        long requestedMs = RequestReader.parseDigits(headers.get(REMAINING_MS_HEADER), MAX_REMAINING_MS_DIGITS);
        if (requestedMs > 0) {
            remainingUs = Math.min(remainingUs, 1_000 * requestedMs);
        }
        boolean isRetry = "1".equals(headers.get(RESENT_HEADER));
        RequestCheck.dropHopByHop(headers);
        headers.remove(HttpHeaderNames.EXPECT).remove(REMAINING_MS_HEADER).remove(RESENT_HEADER);
        if (remainder == null) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            if (body.length > 0 || requiresContentLength(head)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
        }
        addForwardingHeaders(headers, head.protocolVersion(), clientAddress, host);
        return new ClientRequest(
                ++lastRequestNumber,
                classIndex,
                tenant,
                remainingUs,
                0,
                isRetry,
                head.method().name(),
                head.uri(),
                new HeaderFields(headers),
                body,
                remainder,
                length);
    }

    /** Whether a request without a body still needs a length, as for POST (RFC 9110, section 8.6). */
    private static boolean requiresContentLength(HttpRequest head) {
        return switch (head.method().name()) {
            case "POST", "PUT", "PATCH" -> true;
            default -> false;
        };
    }

    private void addForwardingHeaders(
            HttpHeaders headers, HttpVersion version, SocketAddress clientAddress, String host) {
        headers.add(
                HttpHeaderNames.VIA, version.majorVersion() + "." + version.minorVersion() + " " + limits.viaName());
        String address = clientAddress instanceof InetSocketAddress inet && inet.getAddress() != null
                ? textWithoutScope(inet.getAddress())
                : "unknown";
        if (limits.forwarded().isStandard()) {
            String node = address.indexOf(':') >= 0 ? "\"[" + address + "]\"" : address;
            String element = "for=" + node + (host == null ? "" : ";host=\"" + host + "\"") + ";proto=http";
            appendForwardedValue(headers, "Forwarded", element);
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

    /** Appends to the client's value if forwarded headers are trusted, and replaces it otherwise. */
    private void appendForwardedValue(HttpHeaders headers, String name, String value) {
        String clientValue = limits.trustsForwarded() ? String.join(", ", headers.getAll(name)) : "";
        headers.set(name, clientValue.isEmpty() ? value : clientValue + ", " + value);
    }

    /** Sets a value unless the client's own is trusted; null removes the header. */
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
