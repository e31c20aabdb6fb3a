package vetchpost.http;

import io.netty.channel.Channel;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.Set;

/**
 * The accepted connections that belong to the node's own rehearsal, whose requests {@link ClientServer} answers itself.
 * They are known by the connection and not by anything in a request, which a client could send or a protocol adapter
 * could leave out: the other end of such a connection is a socket of this process.
 */
public final class RehearsalConnections {
    /** Addresses of the rehearsal's ends of connections that are not recognised yet. */
    private final Set<SocketAddress> clientAddresses = new HashSet<>();

    private final Set<Channel> accepted = new HashSet<>();
    private boolean running;

    /** Expects connections from now on. */
    public void start() {
        running = true;
    }

    /** No new connections are made; what arrives on existing ones still belongs to the rehearsal. */
    public void stop() {
        running = false;
    }

    /** Adds a connection that the rehearsal has made; to be called before the node reads what is sent on it. */
    public void addClient(SocketAddress clientAddress) {
        clientAddresses.add(clientAddress);
    }

    /** Adds a connection that was opened within the process. */
    void addAccepted(Channel channel) {
        accepted.add(channel);
        channel.closeFuture().addListener(closed -> accepted.remove(channel));
    }

    /** Recognises an accepted connection. */
    void onAccepted(Channel channel) {
        if (!contains(channel) && running) {
            // The other end may not know its address yet. A port is not used again while this end is open.
            channel.closeFuture().addListener(closed -> clientAddresses.remove(channel.remoteAddress()));
        }
    }

    /** Whether an accepted connection belongs to the rehearsal. */
    boolean contains(Channel channel) {
        if (!clientAddresses.isEmpty() && clientAddresses.remove(channel.remoteAddress())) {
            addAccepted(channel);
        }
        return accepted.contains(channel);
    }
}
