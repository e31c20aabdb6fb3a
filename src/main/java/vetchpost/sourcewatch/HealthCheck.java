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

/**
 * Performs one health check of one server: opens a connection and, where a path is configured, sends a request and
 * reads the head of the response. {@link SourceWatcher} starts it; all of it runs on the event loop.
 */
final class HealthCheck extends ChannelInboundHandlerAdapter {
    private static final int MAX_LINE_LENGTH = 4_096;
    private static final int MAX_HEADERS_LENGTH = 16_384;

    private final CheckRules rules;
    private final String requiredHeader;
    private final Consumer<Finding> onFinished;
    private Channel channel;
    private ScheduledFuture<?> timeout;
    private boolean isFinished;

    private HealthCheck(CheckRules rules, String requiredHeader, Consumer<Finding> onFinished) {
        this.rules = rules;
        this.requiredHeader = requiredHeader;
        this.onFinished = onFinished;
    }

    /**
     * Starts a check, which reports its result exactly once, within the rules' timeout.
     *
     * @param requiredHeader the header that every response of this application has; empty for none
     * @param onFinished receives the result, on the loop
     */
    static void start(
            EventLoop loop,
            Network network,
            InetSocketAddress address,
            CheckRules rules,
            String requiredHeader,
            Consumer<Finding> onFinished) {
        HealthCheck check = new HealthCheck(rules, requiredHeader, onFinished);
        check.timeout = loop.schedule(() -> check.finish(Finding.UNHEALTHY), rules.timeoutUs(), TimeUnit.MICROSECONDS);
        Channel clientChannel;
        try {
            clientChannel = network.newClientChannel();
        } catch (ChannelException e) {
            // Out of file descriptors: not the server's fault, although nothing good is known of it either.
            check.finish(Finding.HEALTHY);
            return;
        }
        check.channel = clientChannel;
        new Bootstrap()
                .group(loop)
                .channelFactory(() -> clientChannel)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, rules.timeoutUs() / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(MAX_LINE_LENGTH, MAX_HEADERS_LENGTH, MAX_LINE_LENGTH),
                                        check);
                    }
                })
                .connect(address)
                .addListener(connecting -> check.onConnected(connecting.isSuccess()));
    }

    private void onConnected(boolean isSuccess) {
        if (!isSuccess || rules.path().isEmpty()) {
            finish(isSuccess ? Finding.HEALTHY : Finding.UNHEALTHY);
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
