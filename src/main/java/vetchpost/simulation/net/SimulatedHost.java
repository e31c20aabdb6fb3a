package vetchpost.simulation.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** A process on a machine of its own, with its listening addresses and its sockets. */
public final class SimulatedHost {
    final Tcp tcp;
    final Tap tap;
    private final String name;
    private final Set<SimulatedSocket> sockets = new LinkedHashSet<>();
    private final List<InetSocketAddress> listening = new ArrayList<>();
    private boolean vanished;
    private boolean dead;

    SimulatedHost(Tcp tcp, String name, Tap tap) {
        this.tcp = tcp;
        this.name = name;
        this.tap = tap;
    }

    public String name() {
        return name;
    }

    /** Listens on this address. */
    public void listen(InetSocketAddress address, Consumer<SimulatedSocket> accepted) {
        listening.add(address);
        tcp.listen(address, this, accepted);
    }

    /** Stops listening on this address. */
    public void unlisten(InetSocketAddress address) {
        if (listening.remove(address)) {
            tcp.unlisten(address, this);
        }
    }

    /** Opens a connection; the handler runs when it is established or has failed. */
    public SimulatedSocket connect(InetSocketAddress to, Runnable handler) {
        return tcp.connect(this, to, handler);
    }

    void opened(SimulatedSocket socket) {
        sockets.add(socket);
    }

    void closed(SimulatedSocket socket) {
        sockets.remove(socket);
    }

    /** Number of open sockets. */
    public int connectionCount() {
        return sockets.size();
    }

    public boolean isVanished() {
        return vanished;
    }

    /** Whether its process has died. */
    public boolean isDead() {
        return dead;
    }

    /** Disconnects the machine: nothing goes in or out, and peers are not notified. */
    public void vanish() {
        vanished = true;
    }

    /** Reconnects the machine as after a restart: old connections are reset when something arrives on them. */
    public void reappear() {
        vanished = false;
        for (SimulatedSocket socket : new ArrayList<>(sockets)) {
            socket.forget();
        }
        sockets.clear();
    }

    /** Kills the process: its connections are reset and its addresses no longer listen. */
    public void kill() {
        dead = true;
        for (InetSocketAddress address : new ArrayList<>(listening)) {
            unlisten(address);
        }
        for (SimulatedSocket socket : new ArrayList<>(sockets)) {
            socket.reset();
        }
    }
}
