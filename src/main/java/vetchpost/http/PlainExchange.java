package vetchpost.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import vetchpost.core.ServerResponse;
import vetchpost.decision.Balancer.Result;

/**
 * An exchange in the platform's protocol: a buffered request and a buffered response, where only status 200 is a
 * success and a marked 503 or 504 a rejection.
 */
final class PlainExchange implements Exchange {
    private static final String REJECTED_HEADER = "X-Turned-Away";

    private final FullHttpRequest message;
    private final ResponseReader reader = new ResponseReader();

    PlainExchange(FullHttpRequest message) {
        this.message = message;
    }

    @Override
    public ChannelFuture write(Channel channel) {
        return channel.writeAndFlush(message);
    }

    @Override
    public boolean isBodyless() {
        return false;
    }

    @Override
    public boolean read(HttpObject part) throws MalformedResponse {
        return reader.read(part);
    }

    @Override
    public boolean isComplete() {
        return reader.isComplete();
    }

    @Override
    public boolean isReusable() {
        return reader.isKeepAlive();
    }

    @Override
    public Result result() {
        int status = reader.status();
        boolean isRejected = (status == 503 || status == 504) && "1".equals(reader.header(REJECTED_HEADER));
        return status == 200 ? Result.OK : isRejected ? Result.FULL : Result.ERROR;
    }

    @Override
    public ServerResponse response() {
        return reader.response();
    }

    @Override
    public void abort() {}
}
