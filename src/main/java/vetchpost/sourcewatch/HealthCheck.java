package vetchpost.sourcewatch;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import vetchpost.net.Network;
import vetchpost.sources.CheckPlan.Finding;
import vetchpost.sources.CheckRules;

/** One check of one server: a connection, and where a path is named, a request and the head of its answer. */
final class HealthCheck extends ChannelInboundHandlerAdapter {
    private static final int MAX_LINE_LENGTH = 4_096;
    private static final int MAX_HEADERS_LENGTH = 16_384;

    private final CheckRules rules;
    private final String requiredHeader;
    private final Consumer<Finding> onFinished;
    private Channel channel;
    private ScheduledFuture<?> timeout;
    private boolean isFinished;

    private HealthCheck(CheckRules rules, String mark, Consumer<Finding> report) {
        this.rules = rules;
        this.requiredHeader = mark;
        this.onFinished = report;
    }

    /**
     * Checks a server, and reports once, within the rules' time.
     *
     * @param mark the field that every answer of this application has; empty for none
     */
    static void start(
            EventLoop loop,
            Network network,
            InetSocketAddress address,
            CheckRules rules,
            String mark,
            Consumer<Finding> report) {
        HealthCheck check = new HealthCheck(rules, mark, report);
        check.timeout = loop.schedule(() -> check.finish(Finding.UNHEALTHY), rules.timeoutUs(), TimeUnit.MICROSECONDS);
        Channel fresh;
        try {
            fresh = network.newClientChannel();
        } catch (ChannelException e) {
            // Out of descriptors: that is no fault of the server's, but nothing good is known of it either.
            check.finish(Finding.HEALTHY);
            return;
        }
        check.channel = fresh;
        new Bootstrap()
                .group(loop)
                .channelFactory(() -> fresh)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, rules.timeoutUs() / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel to) {
                        to.pipeline()
                                .addLast(
                                        new HttpClientCodec(MAX_LINE_LENGTH, MAX_HEADERS_LENGTH, MAX_LINE_LENGTH),
                                        check);
                    }
                })
                .connect(address)
                .addListener(done -> check.onConnected(done.isSuccess()));
    }

    private void onConnected(boolean is) {
        if (!is || rules.path().isEmpty()) {
            finish(is ? Finding.HEALTHY : Finding.UNHEALTHY);
            return;
        }
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, rules.path());
        request.headers().set(HttpHeaderNames.HOST, rules.host());
        request.headers().set(HttpHeaderNames.USER_AGENT, "vetchpost-check");
        request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(request);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpResponse response
                    && (response.decoderResult().isFailure()
                            || response.status().codeClass() != HttpStatusClass.INFORMATIONAL)) {
                int status = response.status().code();
                finish(
                        response.decoderResult().isFailure()
                                ? Finding.UNHEALTHY
                                : !requiredHeader.isEmpty()
                                                && !response.headers().contains(requiredHeader)
                                        ? Finding.WRONG_SERVER
                                        : status >= rules.minStatus() && status <= rules.maxStatus()
                                                ? Finding.HEALTHY
                                                : Finding.UNHEALTHY);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        finish(Finding.UNHEALTHY);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        finish(Finding.UNHEALTHY);
    }

    private void finish(Finding finding) {
        if (!isFinished) {
            isFinished = true;
            timeout.cancel(false);
            if (channel != null) {
                channel.close();
            }
            onFinished.accept(finding);
        }
    }
}
