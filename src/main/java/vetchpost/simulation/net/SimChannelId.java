package vetchpost.simulation.net;

import io.netty.channel.ChannelId;

/** A channel's number as its id, since Netty's own ids differ from run to run. */
record SimChannelId(int number) implements ChannelId {
    private static final long serialVersionUID = 1;

    @Override
    public String asShortText() {
        return Integer.toString(number);
    }

    @Override
    public String asLongText() {
        return asShortText();
    }

    @Override
    public int compareTo(ChannelId other) {
        return other instanceof SimChannelId id
                ? Integer.compare(number, id.number)
                : asLongText().compareTo(other.asLongText());
    }
}
