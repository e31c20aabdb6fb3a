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
    private static final long QUERY_MS = 2_000;
    private static final long LEAST_S = 1;
    /** Beyond, records are passed over: a name of thousands of servers is none that was meant. */
    private static final int MOST_RECORDS = 5_000;

    private static final int MOST_TARGETS = 1_000;

    private final SourceDeclaration source;
    private final EventLoop loop;
    private final SourceListener listener;
    private final DnsNameResolver resolver;
    private ScheduledFuture<?> again;
    private boolean closed;

    /** One server of a service, before its name is looked up. */
    private record Service(String target, int port, int priority, int weight) {}

    /** What an answer has come to. */
    private record Found(List<InetAddress> addresses, long ttlS, Throwable failure) {}

    /** Begins at once. */
    NameWatch(SourceDeclaration source, EventLoop loop, Network network, SourceListener listener) {
        this.source = source;
        this.loop = loop;
        this.listener = listener;
        resolver = new DnsNameResolverBuilder(loop)
                .datagramChannelFactory(network::newDatagramChannel)
                .socketChannelFactory(() -> (SocketChannel) network.newClientChannel(), true)
                .queryTimeoutMillis(QUERY_MS)
                .resolveCache(NoopDnsCache.INSTANCE)
                .cnameCache(NoopDnsCnameCache.INSTANCE)
                .authoritativeDnsServerCache(NoopAuthoritativeDnsServerCache.INSTANCE)
                .nameServerProvider(
                        source.resolvers().isEmpty()
                                ? DnsServerAddressStreamProviders.platformDefault()
                                : new SequentialDnsServerAddressStreamProvider(source.resolvers()))
                .build();
        ask();
    }

    private String name() {
        return source.location().endsWith(".") ? source.location() : source.location() + ".";
    }

    private void ask() {
        if (closed) {
            return;
        }
        if (source.kind() == SourceDeclaration.Kind.SRV) {
            services();
        } else {
            addresses(name(), found -> {
                if (found.failure() != null) {
                    failed(found.failure());
                    return;
                }
                List<ReportedServer> servers = new ArrayList<>();
                for (InetAddress address : found.addresses()) {
                    servers.add(ReportedServer.of(new InetSocketAddress(address, source.port())));
                }
                listener.said(servers);
                later(found.ttlS());
            });
        }
    }

    /** The addresses of one family, or of the other where there are none. */
    private void addresses(String name, Consumer<Found> then) {
        addresses(name, DnsRecordType.A, four -> {
            if (!four.addresses().isEmpty()) {
                then.accept(four);
            } else {
                addresses(
                        name,
                        DnsRecordType.AAAA,
                        six ->
                                // What is said of the first tells more: a name without either has no AAAA as well.
                                then.accept(six.addresses().isEmpty() && four.failure() != null ? four : six));
            }
        });
    }

    private void addresses(String name, DnsRecordType type, Consumer<Found> then) {
        resolver.resolveAll(new DefaultDnsQuestion(name, type)).addListener((Future<List<DnsRecord>> done) -> {
            if (closed) {
                release(done);
                return;
            }
            if (!done.isSuccess()) {
                then.accept(new Found(List.of(), LEAST_S, done.cause()));
                return;
            }
            List<InetAddress> addresses = new ArrayList<>();
            long ttl = Long.MAX_VALUE;
            for (DnsRecord record : done.getNow()) {
                if (record.type().equals(type)
                        && record instanceof DnsRawRecord raw
                        && addresses.size() < MOST_RECORDS) {
                    addresses.add(InetAddress.getByAddress(ByteBufUtil.getBytes(raw.content())));
                    ttl = Math.min(ttl, record.timeToLive());
                }
            }
            release(done);
            then.accept(new Found(
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

    private void services() {
        resolver.resolveAll(new DefaultDnsQuestion(name(), DnsRecordType.SRV))
                .addListener((Future<List<DnsRecord>> done) -> {
                    if (closed) {
                        release(done);
                        return;
                    }
                    if (!done.isSuccess()) {
                        failed(done.cause());
                        return;
                    }
                    List<Service> services = new ArrayList<>();
                    long ttl = Long.MAX_VALUE;
                    for (DnsRecord record : done.getNow()) {
                        Service service = service(record);
                        if (service != null && services.size() < MOST_TARGETS) {
                            services.add(service);
                            ttl = Math.min(ttl, record.timeToLive());
                        }
                    }
                    release(done);
                    int first =
                            services.stream().mapToInt(Service::priority).min().orElse(0);
                    services.removeIf(s -> s.priority() != first);
                    if (services.isEmpty()) {
                        listener.said(List.of());
                        later(ttl);
                    } else {
                        targets(services, ttl);
                    }
                });
    }

    /** A service, or null for what is none, and for the one that says that there is none (a lone dot). */
    private static Service service(DnsRecord record) {
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
    private void targets(List<Service> services, long ttl) {
        List<ReportedServer> servers = new ArrayList<>();
        int[] left = {services.size()};
        long[] shortest = {ttl};
        Throwable[] failure = new Throwable[1];
        for (Service service : services) {
            addresses(service.target(), found -> {
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
                        failed(failure[0]);
                    } else {
                        listener.said(servers);
                        later(shortest[0]);
                    }
                }
            });
        }
    }

    private void failed(Throwable why) {
        Throwable cause = why.getCause() == null ? why : why.getCause();
        listener.silent(cause.getMessage() == null ? cause.toString() : cause.getMessage());
        later(LEAST_S);
    }

    /** No sooner than after a second, whatever the answer says, and no later than the file does. */
    private void later(long ttlS) {
        long us = Math.min(source.intervalUs(), TimeUnit.SECONDS.toMicros(Math.max(LEAST_S, Math.min(ttlS, 86_400))));
        again = loop.schedule(this::ask, us, TimeUnit.MICROSECONDS);
    }

    @Override
    public void close() {
        closed = true;
        if (again != null) {
            again.cancel(false);
        }
        resolver.close();
    }
}
