package vetchpost.simulation.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The simulated network: who listens where, how long things take, and in what pieces they come. */
public final class Tcp {
    private static final long LEAST_DELAY_NS = 100_000;
    private static final long MORE_DELAY_NS = 600_000;
    /** One in so many segments is late by up to this: it was lost and sent again. */
    private static final int LATE_ONE_IN = 200;

    private static final long LATE_NS = 8_000_000;
    private static final int WHOLE_ONE_IN = 3;
    private static final int FIRST_PORT = 10_000;
    private static final int PORTS = 50_000;

    /** Somebody who takes connections. */
    private record Listener(SimulatedHost host, Consumer<SimulatedSocket> accepted) {}

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private int opened;

    public Tcp(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    /** A new process on a machine of its own. */
    public SimulatedHost host(String name, Tap tap) {
        return new SimulatedHost(this, name, tap);
    }

    public VirtualTime time() {
        return time;
    }

    void listen(InetSocketAddress address, SimulatedHost host, Consumer<SimulatedSocket> accepted) {
        listeners.put(address, new Listener(host, accepted));
    }

    void unlisten(InetSocketAddress address, SimulatedHost host) {
        Listener there = listeners.get(address);
        if (there != null && there.host == host) {
            listeners.remove(address);
        }
    }

    /** Whether the address is taken. */
    boolean isListening(InetSocketAddress address) {
        return listeners.containsKey(address);
    }

    SimulatedSocket connect(SimulatedHost from, InetSocketAddress to, Runnable handler) {
        InetSocketAddress local = new InetSocketAddress(to.getAddress(), FIRST_PORT + opened++ % PORTS);
        SimulatedSocket end = new SimulatedSocket(this, from, local, to, handler);
        time.after(delayNs(), () -> arrive(end, local, to));
        return end;
    }

    private void arrive(SimulatedSocket from, InetSocketAddress local, InetSocketAddress to) {
        Listener listener = listeners.get(to);
        if (listener == null) {
            time.after(delayNs(), from::refused);
        } else if (!listener.host.isVanished()) {
            SimulatedSocket there = new SimulatedSocket(this, listener.host, to, local, null);
            there.up(from);
            // What the other side says at once comes after its answer to the call.
            from.comesUpIn(delayNs(), () -> {
                if (!from.host().isDead()) {
                    from.up(there);
                    from.connected();
                }
            });
            listener.accepted.accept(there);
        }
    }

    long delayNs() {
        long late = random.nextInt(LATE_ONE_IN) == 0 ? random.nextLong(LATE_NS) : 0;
        return LEAST_DELAY_NS + random.nextLong(MORE_DELAY_NS) + late;
    }

    /** How much of so many bytes comes in one piece. */
    int pieceOf(int bytes) {
        return bytes == 1 || random.nextInt(WHOLE_ONE_IN) > 0 ? bytes : 1 + random.nextInt(bytes);
    }

    /** Whether a reset takes what has not been read yet with it: systems differ. */
    boolean isPurgedByReset() {
        return random.nextBoolean();
    }
}
