package vetchpost.simulation.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** A process on a machine of its own: what it listens on and its ends of connections. */
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

    /** Takes connections at this address. */
    public void listen(InetSocketAddress address, Consumer<SimulatedSocket> accepted) {
        listening.add(address);
        tcp.listen(address, this, accepted);
    }

    /** Takes no more connections there. */
    public void unlisten(InetSocketAddress address) {
        if (listening.remove(address)) {
            tcp.unlisten(address, this);
        }
    }

    /** Opens a connection; the handler hears when it is up, or has failed. */
    public SimulatedSocket connect(InetSocketAddress to, Runnable handler) {
        return tcp.connect(this, to, handler);
    }

    void opened(SimulatedSocket end) {
        sockets.add(end);
    }

    void closed(SimulatedSocket end) {
        sockets.remove(end);
    }

    /** How many connections it has open. */
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

    /** The machine falls silent: nothing goes in or out, and nobody is told. */
    public void vanish() {
        vanished = true;
    }

    /** It is back, as a new process: the old connections are reset as soon as something comes on them. */
    public void reappear() {
        vanished = false;
        for (SimulatedSocket end : new ArrayList<>(sockets)) {
            end.forget();
        }
        sockets.clear();
    }

    /** The process dies: its connections are reset and nothing listens any more. */
    public void kill() {
        dead = true;
        for (InetSocketAddress address : new ArrayList<>(listening)) {
            unlisten(address);
        }
        for (SimulatedSocket end : new ArrayList<>(sockets)) {
            end.reset();
        }
    }
}
