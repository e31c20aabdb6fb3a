package vetchpost.sourcewatch;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.dns.DatagramDnsQuery;
import io.netty.handler.codec.dns.DatagramDnsQueryDecoder;
import io.netty.handler.codec.dns.DatagramDnsResponse;
import io.netty.handler.codec.dns.DatagramDnsResponseEncoder;
import io.netty.handler.codec.dns.DefaultDnsQuery;
import io.netty.handler.codec.dns.DefaultDnsRawRecord;
import io.netty.handler.codec.dns.DefaultDnsResponse;
import io.netty.handler.codec.dns.DnsQuestion;
import io.netty.handler.codec.dns.DnsRecordType;
import io.netty.handler.codec.dns.DnsResponse;
import io.netty.handler.codec.dns.DnsResponseCode;
import io.netty.handler.codec.dns.DnsSection;
import io.netty.handler.codec.dns.TcpDnsQueryDecoder;
import io.netty.handler.codec.dns.TcpDnsResponseEncoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A name server on a loopback port, by datagrams and TCP, that answers as it is told. */
final class FakeNameServer implements AutoCloseable {
    private static final int MAX_DATAGRAM_RECORDS = 20;

    /** What is said of a name and type. */
    record Answer(DnsResponseCode code, long ttlS, List<ByteBuf> records) {}

    final Map<String, Answer> answers = new ConcurrentHashMap<>();
    final AtomicInteger queryCount = new AtomicInteger();
    final AtomicInteger tcpQueryCount = new AtomicInteger();
    private final Channel datagrams;
    private final Channel streams;

    FakeNameServer(EventLoopGroup group) throws Exception {
        // TCP first: its numbers are often taken by connections of other programs, those of UDP hardly ever.
        streams = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new TcpDnsQueryDecoder(), new TcpDnsResponseEncoder(), new Streams());
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
        datagrams = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new DatagramDnsQueryDecoder(),
                                        new DatagramDnsResponseEncoder(),
                                        new Datagrams());
                    }
                })
                .bind(streams.localAddress())
                .sync()
                .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) datagrams.localAddress();
    }

    void setAddresses(String name, long ttlS, String... addresses) throws Exception {
        List<ByteBuf> records = new ArrayList<>();
        boolean six = addresses.length > 0 && addresses[0].indexOf(':') >= 0;
        for (String address : addresses) {
            records.add(Unpooled.wrappedBuffer(InetAddress.getByName(address).getAddress()));
        }
        answers.put(
                name + ". " + (six ? DnsRecordType.AAAA : DnsRecordType.A).name(),
                new Answer(DnsResponseCode.NOERROR, ttlS, records));
    }

    void setFailure(String name, DnsResponseCode code) {
        answers.put(name + ". A", new Answer(code, 0, List.of()));
        answers.put(name + ". AAAA", new Answer(code, 0, List.of()));
    }

    /** Services as priority, weight, port and name. */
    void setServices(String name, long ttlS, Object[]... services) throws Exception {
        List<ByteBuf> records = new ArrayList<>();
        for (Object[] each : services) {
            ByteBuf record = Unpooled.buffer();
            record.writeShort((Integer) each[0]).writeShort((Integer) each[1]).writeShort((Integer) each[2]);
            for (String label : ((String) each[3]).split("\\.")) {
                record.writeByte(label.length()).writeBytes(label.getBytes());
            }
            records.add(record.writeByte(0));
        }
        answers.put(name + ". SRV", new Answer(DnsResponseCode.NOERROR, ttlS, records));
    }

    private void fillResponse(DnsQuestion question, DnsResponse response, boolean whole) {
        queryCount.incrementAndGet();
        response.addRecord(DnsSection.QUESTION, question);
        Answer said = answers.get(question.name() + " " + question.type().name());
        if (said == null) {
            return;
        }
        response.setCode(said.code());
        boolean cut = !whole && said.records().size() > MAX_DATAGRAM_RECORDS;
        response.setTruncated(cut);
        for (ByteBuf record : cut ? said.records().subList(0, MAX_DATAGRAM_RECORDS) : said.records()) {
            response.addRecord(
                    DnsSection.ANSWER,
                    new DefaultDnsRawRecord(question.name(), question.type(), said.ttlS(), record.retainedDuplicate()));
        }
    }

    private final class Datagrams extends SimpleChannelInboundHandler<DatagramDnsQuery> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramDnsQuery query) {
            DatagramDnsResponse response = new DatagramDnsResponse(query.recipient(), query.sender(), query.id());
            fillResponse(query.recordAt(DnsSection.QUESTION), response, false);
            ctx.writeAndFlush(response);
        }
    }

    private final class Streams extends SimpleChannelInboundHandler<DefaultDnsQuery> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DefaultDnsQuery query) {
            tcpQueryCount.incrementAndGet();
            DefaultDnsResponse response = new DefaultDnsResponse(query.id());
            fillResponse(query.recordAt(DnsSection.QUESTION), response, true);
            ctx.writeAndFlush(response);
        }
    }

    @Override
    public void close() {
        datagrams.close().awaitUninterruptibly();
        streams.close().awaitUninterruptibly();
    }
}
