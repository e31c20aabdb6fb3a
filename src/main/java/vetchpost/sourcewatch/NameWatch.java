package vetchpost.sourcewatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.dns.DefaultDnsQuestion;
import io.netty.handler.codec.dns.DefaultDnsRecordDecoder;
import io.netty.handler.codec.dns.DnsRawRecord;
import io.netty.handler.codec.dns.DnsRecord;
import io.netty.handler.codec.dns.DnsRecordType;
import io.netty.resolver.dns.DnsNameResolver;
import io.netty.resolver.dns.DnsNameResolverBuilder;
import io.netty.resolver.dns.DnsServerAddressStreamProviders;
import io.netty.resolver.dns.NoopAuthoritativeDnsServerCache;
import io.netty.resolver.dns.NoopDnsCache;
import io.netty.resolver.dns.NoopDnsCnameCache;
import io.netty.resolver.dns.SequentialDnsServerAddressStreamProvider;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import vetchpost.net.Network;
import vetchpost.sources.ReportedServer;
import vetchpost.sources.ReportedServer.State;
import vetchpost.sources.SourceDeclaration;

/**
 * Resolves a DNS name to servers: its A records or, where there are none, AAAA records (RFC 1035), or its SRV records
 * (RFC 2782). It queries again when the shortest time to live of the answer has passed, within bounds, and repeats a
 * truncated query over TCP. Of SRV records only those of the lowest priority are used, and their weights become
 * servers' weights. {@link SourceWatcher} creates and closes it; all of it runs on the event loop.
 */
final class NameWatch implements AutoCloseable {
    private static final long QUERY_TIMEOUT_MS = 2_000;
    private static final long MIN_QUERY_INTERVAL_S = 1;
    /** Further records are ignored: a name of thousands of servers is a mistake. */
    private static final int MAX_RECORDS = 5_000;

    private static final int MAX_SERVICES = 1_000;

    private final SourceDeclaration source;
    private final EventLoop loop;
    private final SourceListener listener;
    private final DnsNameResolver resolver;
    private ScheduledFuture<?> nextQuery;
    private boolean isClosed;

    /** One SRV record, before its target is resolved. */
    private record Service(String target, int port, int priority, int weight) {}

    /**
     * The result of resolving one name.
     *
     * @param ttlS shortest time to live, in seconds
     * @param failure why there are no addresses, or null
     */
    private record AddressLookup(List<InetAddress> addresses, long ttlS, Throwable failure) {}

    /** Creates a watch that sends its first query at once. */
    NameWatch(SourceDeclaration source, EventLoop loop, Network network, SourceListener listener) {
        this.source = source;
        this.loop = loop;
        this.listener = listener;
        resolver = new DnsNameResolverBuilder(loop)
                .datagramChannelFactory(network::newDatagramChannel)
                .socketChannelFactory(() -> (SocketChannel) network.newClientChannel(), true)
                .queryTimeoutMillis(QUERY_TIMEOUT_MS)
                .resolveCache(NoopDnsCache.INSTANCE)
                .cnameCache(NoopDnsCnameCache.INSTANCE)
                .authoritativeDnsServerCache(NoopAuthoritativeDnsServerCache.INSTANCE)
                .nameServerProvider(
                        source.resolvers().isEmpty()
                                ? DnsServerAddressStreamProviders.platformDefault()
                                : new SequentialDnsServerAddressStreamProvider(source.resolvers()))
                .build();
        query();
    }

    private String absoluteName() {
        return source.location().endsWith(".") ? source.location() : source.location() + ".";
    }

    private void query() {
        if (isClosed) {
            return;
        }
        if (source.kind() == SourceDeclaration.Kind.SRV) {
            queryServices();
        } else {
            resolveAddresses(absoluteName(), lookup -> {
                if (lookup.failure() != null) {
                    reportFailure(lookup.failure());
                    return;
                }
                List<ReportedServer> servers = new ArrayList<>();
                for (InetAddress address : lookup.addresses()) {
                    servers.add(ReportedServer.of(new InetSocketAddress(address, source.port())));
                }
                listener.serversReported(servers);
                scheduleNextQuery(lookup.ttlS());
            });
        }
    }

    /** Resolves a name's IPv4 addresses, or its IPv6 addresses where it has none. */
    private void resolveAddresses(String name, Consumer<AddressLookup> callback) {
        resolveAddresses(name, DnsRecordType.A, ipv4 -> {
            if (!ipv4.addresses().isEmpty()) {
                callback.accept(ipv4);
            } else {
                resolveAddresses(
                        name,
                        DnsRecordType.AAAA,
                        ipv6 ->
                                // The first failure tells more: a name without either has no AAAA records as well.
                                callback.accept(ipv6.addresses().isEmpty() && ipv4.failure() != null ? ipv4 : ipv6));
            }
        });
    }

    private void resolveAddresses(String name, DnsRecordType type, Consumer<AddressLookup> callback) {
        resolver.resolveAll(new DefaultDnsQuestion(name, type)).addListener((Future<List<DnsRecord>> query) -> {
            if (isClosed) {
                release(query);
                return;
            }
            if (!query.isSuccess()) {
                callback.accept(new AddressLookup(List.of(), MIN_QUERY_INTERVAL_S, query.cause()));
                return;
            }
            List<InetAddress> addresses = new ArrayList<>();
            long ttlS = Long.MAX_VALUE;
            for (DnsRecord record : query.getNow()) {
                if (record.type().equals(type)
                        && record instanceof DnsRawRecord rawRecord
                        && addresses.size() < MAX_RECORDS) {
                    addresses.add(InetAddress.getByAddress(ByteBufUtil.getBytes(rawRecord.content())));
                    ttlS = Math.min(ttlS, record.timeToLive());
                }
            }
            release(query);
            callback.accept(new AddressLookup(
                    addresses,
                    ttlS,
                    addresses.isEmpty() ? new UnknownHostException("the answer names no address") : null));
        });
    }

    private static void release(Future<List<DnsRecord>> query) {
        if (query.isSuccess()) {
            query.getNow().forEach(ReferenceCountUtil::release);
        }
    }

    // ---------------------------------------------------------------- services

    private void queryServices() {
        resolver.resolveAll(new DefaultDnsQuestion(absoluteName(), DnsRecordType.SRV))
                .addListener((Future<List<DnsRecord>> query) -> {
                    if (isClosed) {
                        release(query);
                        return;
                    }
                    if (!query.isSuccess()) {
                        reportFailure(query.cause());
                        return;
                    }
                    List<Service> services = new ArrayList<>();
                    long ttlS = Long.MAX_VALUE;
                    for (DnsRecord record : query.getNow()) {
                        Service service = parseService(record);
                        if (service != null && services.size() < MAX_SERVICES) {
                            services.add(service);
                            ttlS = Math.min(ttlS, record.timeToLive());
                        }
                    }
                    release(query);
                    int lowestPriority =
                            services.stream().mapToInt(Service::priority).min().orElse(0);
                    services.removeIf(service -> service.priority() != lowestPriority);
                    if (services.isEmpty()) {
                        listener.serversReported(List.of());
                        scheduleNextQuery(ttlS);
                    } else {
                        resolveTargets(services, ttlS);
                    }
                });
    }

    /** Parses an SRV record; null if it is none, or if it states that there is no service (target "."). */
    private static Service parseService(DnsRecord record) {
        if (!record.type().equals(DnsRecordType.SRV) || !(record instanceof DnsRawRecord rawRecord)) {
            return null;
        }
        ByteBuf content = rawRecord.content().duplicate();
        if (content.readableBytes() < 7) {
            return null;
        }
        int priority = content.readUnsignedShort();
        int weight = content.readUnsignedShort();
        int port = content.readUnsignedShort();
        String target = DefaultDnsRecordDecoder.decodeName(content);
        return target.equals(".") || port == 0 ? null : new Service(target, port, priority, weight);
    }

    /** Resolves the targets of all services; targets that resolve are reported even if others fail. */
    private void resolveTargets(List<Service> services, long ttlS) {
        List<ReportedServer> servers = new ArrayList<>();
        int[] remaining = {services.size()};
        long[] shortestTtlS = {ttlS};
        Throwable[] failure = new Throwable[1];
        for (Service service : services) {
            resolveAddresses(service.target(), lookup -> {
                if (lookup.failure() != null) {
                    failure[0] = lookup.failure();
                } else {
                    List<InetSocketAddress> addresses = new ArrayList<>();
                    lookup.addresses()
                            .forEach(address -> addresses.add(new InetSocketAddress(address, service.port())));
                    shortestTtlS[0] = Math.min(shortestTtlS[0], lookup.ttlS());
                    servers.add(new ReportedServer(
                            service.target() + ":" + service.port(),
                            addresses,
                            State.READY,
                            // A service of weight 0 still gets a little traffic (RFC 2782).
                            Math.max(1, service.weight()),
                            ""));
                }
                if (--remaining[0] == 0) {
                    if (servers.isEmpty()) {
                        reportFailure(failure[0]);
                    } else {
                        listener.serversReported(servers);
                        scheduleNextQuery(shortestTtlS[0]);
                    }
                }
            });
        }
    }

    private void reportFailure(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        listener.sourceFailed(cause.getMessage() == null ? cause.toString() : cause.getMessage());
        scheduleNextQuery(MIN_QUERY_INTERVAL_S);
    }

    /**
     * Schedules the next query: not before the minimum interval, whatever the answer says, and not after the source's
     * own interval.
     */
    private void scheduleNextQuery(long ttlS) {
        long delayUs = Math.min(
                source.intervalUs(), TimeUnit.SECONDS.toMicros(Math.max(MIN_QUERY_INTERVAL_S, Math.min(ttlS, 86_400))));
        nextQuery = loop.schedule(this::query, delayUs, TimeUnit.MICROSECONDS);
    }

    @Override
    public void close() {
        isClosed = true;
        if (nextQuery != null) {
            nextQuery.cancel(false);
        }
        resolver.close();
    }
}
