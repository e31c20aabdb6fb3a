package vetchpost.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import vetchpost.core.ServerResponse;
import vetchpost.decision.Balancer.Result;

/** A request and an answer of the platform's: short, whole, and 200 or nothing. */
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
        boolean away = (status == 503 || status == 504) && "1".equals(reader.header(REJECTED_HEADER));
        return status == 200 ? Result.OK : away ? Result.FULL : Result.ERROR;
    }

    @Override
    public ServerResponse response() {
        return reader.response();
    }

    @Override
    public void abort() {}
}
