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
 * Asks for a name's addresses (RFC 1035, A and, where there is none, AAAA) or its servers (RFC 2782), again
 * when the shortest of the answer's times to live has passed, within bounds. An answer that was cut is asked
 * for by TCP. Of services the lowest priority alone counts, and weights are sizes.
 */
final class NameWatch implements AutoCloseable {
    private static final long QUERY_TIMEOUT_MS = 2_000;
    private static final long MIN_QUERY_INTERVAL_S = 1;
    /** Beyond, records are passed over: a name of thousands of servers is none that was meant. */
    private static final int MAX_RECORDS = 5_000;

    private static final int MAX_SERVICES = 1_000;

    private final SourceDeclaration source;
    private final EventLoop loop;
    private final SourceListener listener;
    private final DnsNameResolver resolver;
    private ScheduledFuture<?> nextQuery;
    private boolean isClosed;

    /** One server of a service, before its name is looked up. */
    private record Service(String target, int port, int priority, int weight) {}

    /** What an answer has come to. */
    private record AddressLookup(List<InetAddress> addresses, long ttlS, Throwable failure) {}

    /** Begins at once. */
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
            resolveAddresses(absoluteName(), found -> {
                if (found.failure() != null) {
                    reportFailure(found.failure());
                    return;
                }
                List<ReportedServer> servers = new ArrayList<>();
                for (InetAddress address : found.addresses()) {
                    servers.add(ReportedServer.of(new InetSocketAddress(address, source.port())));
                }
                listener.serversReported(servers);
                scheduleNextQuery(found.ttlS());
            });
        }
    }

    /** The addresses of one family, or of the other where there are none. */
    private void resolveAddresses(String name, Consumer<AddressLookup> then) {
        resolveAddresses(name, DnsRecordType.A, four -> {
            if (!four.addresses().isEmpty()) {
                then.accept(four);
            } else {
                resolveAddresses(
                        name,
                        DnsRecordType.AAAA,
                        six ->
                                // What is said of the first tells more: a name without either has no AAAA as well.
                                then.accept(six.addresses().isEmpty() && four.failure() != null ? four : six));
            }
        });
    }

    private void resolveAddresses(String name, DnsRecordType type, Consumer<AddressLookup> then) {
        resolver.resolveAll(new DefaultDnsQuestion(name, type)).addListener((Future<List<DnsRecord>> done) -> {
            if (isClosed) {
                release(done);
                return;
            }
            if (!done.isSuccess()) {
                then.accept(new AddressLookup(List.of(), MIN_QUERY_INTERVAL_S, done.cause()));
                return;
            }
            List<InetAddress> addresses = new ArrayList<>();
            long ttl = Long.MAX_VALUE;
            for (DnsRecord record : done.getNow()) {
                if (record.type().equals(type)
                        && record instanceof DnsRawRecord raw
                        && addresses.size() < MAX_RECORDS) {
                    addresses.add(InetAddress.getByAddress(ByteBufUtil.getBytes(raw.content())));
                    ttl = Math.min(ttl, record.timeToLive());
                }
            }
            release(done);
            then.accept(new AddressLookup(
                    addresses,
                    ttl,
                    addresses.isEmpty() ? new UnknownHostException("the answer names no address") : null));
        });
    }

    private static void release(Future<List<DnsRecord>> done) {
        if (done.isSuccess()) {
            done.getNow().forEach(ReferenceCountUtil::release);
        }
    }

    // ---------------------------------------------------------------- services

    private void queryServices() {
        resolver.resolveAll(new DefaultDnsQuestion(absoluteName(), DnsRecordType.SRV))
                .addListener((Future<List<DnsRecord>> done) -> {
                    if (isClosed) {
                        release(done);
                        return;
                    }
                    if (!done.isSuccess()) {
                        reportFailure(done.cause());
                        return;
                    }
                    List<Service> services = new ArrayList<>();
                    long ttl = Long.MAX_VALUE;
                    for (DnsRecord record : done.getNow()) {
                        Service service = parseService(record);
                        if (service != null && services.size() < MAX_SERVICES) {
                            services.add(service);
                            ttl = Math.min(ttl, record.timeToLive());
                        }
                    }
                    release(done);
                    int first =
                            services.stream().mapToInt(Service::priority).min().orElse(0);
                    services.removeIf(s -> s.priority() != first);
                    if (services.isEmpty()) {
                        listener.serversReported(List.of());
                        scheduleNextQuery(ttl);
                    } else {
                        resolveTargets(services, ttl);
                    }
                });
    }

    /** A service, or null for what is none, and for the one that says that there is none (a lone dot). */
    private static Service parseService(DnsRecord record) {
        if (!record.type().equals(DnsRecordType.SRV) || !(record instanceof DnsRawRecord raw)) {
            return null;
        }
        ByteBuf content = raw.content().duplicate();
        if (content.readableBytes() < 7) {
            return null;
        }
        int priority = content.readUnsignedShort();
        int weight = content.readUnsignedShort();
        int port = content.readUnsignedShort();
        String target = DefaultDnsRecordDecoder.decodeName(content);
        return target.equals(".") || port == 0 ? null : new Service(target, port, priority, weight);
    }

    /** Looks up all of their names; an answer that is there in part is said in part, as all are. */
    private void resolveTargets(List<Service> services, long ttl) {
        List<ReportedServer> servers = new ArrayList<>();
        int[] left = {services.size()};
        long[] shortest = {ttl};
        Throwable[] failure = new Throwable[1];
        for (Service service : services) {
            resolveAddresses(service.target(), found -> {
                if (found.failure() != null) {
                    failure[0] = found.failure();
                } else {
                    List<InetSocketAddress> addresses = new ArrayList<>();
                    found.addresses().forEach(a -> addresses.add(new InetSocketAddress(a, service.port())));
                    shortest[0] = Math.min(shortest[0], found.ttlS());
                    servers.add(new ReportedServer(
                            service.target() + ":" + service.port(),
                            addresses,
                            State.READY,
                            // One of no weight is still to get a little (RFC 2782).
                            Math.max(1, service.weight()),
                            ""));
                }
                if (--left[0] == 0) {
                    if (servers.isEmpty()) {
                        reportFailure(failure[0]);
                    } else {
                        listener.serversReported(servers);
                        scheduleNextQuery(shortest[0]);
                    }
                }
            });
        }
    }

    private void reportFailure(Throwable why) {
        Throwable cause = why.getCause() == null ? why : why.getCause();
        listener.sourceFailed(cause.getMessage() == null ? cause.toString() : cause.getMessage());
        scheduleNextQuery(MIN_QUERY_INTERVAL_S);
    }

    /** No sooner than after a second, whatever the answer says, and no later than the file does. */
    private void scheduleNextQuery(long ttlS) {
        long us = Math.min(
                source.intervalUs(), TimeUnit.SECONDS.toMicros(Math.max(MIN_QUERY_INTERVAL_S, Math.min(ttlS, 86_400))));
        nextQuery = loop.schedule(this::query, us, TimeUnit.MICROSECONDS);
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
