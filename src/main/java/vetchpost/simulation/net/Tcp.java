package vetchpost.simulation.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The simulated network: who listens where, how long things take, and in what pieces they come. */
public final class Tcp {
    private static final long MIN_DELAY_NS = 100_000;
    private static final long DELAY_SPREAD_NS = 600_000;
    /** One in so many segments is late by up to this: it was lost and sent again. */
    private static final int RETRANSMIT_ONE_IN = 200;

    private static final long MAX_RETRANSMIT_DELAY_NS = 8_000_000;
    private static final int SPLIT_ONE_IN = 3;
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 50_000;

    /** Somebody who takes connections. */
    private record Listener(SimulatedHost host, Consumer<SimulatedSocket> accepted) {}

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private int connectionCount;

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
        InetSocketAddress local = new InetSocketAddress(to.getAddress(), FIRST_PORT + connectionCount++ % PORT_COUNT);
        SimulatedSocket end = new SimulatedSocket(this, from, local, to, handler);
        time.after(delayNs(), () -> onConnectRequest(end, local, to));
        return end;
    }

    private void onConnectRequest(SimulatedSocket from, InetSocketAddress local, InetSocketAddress to) {
        Listener listener = listeners.get(to);
        if (listener == null) {
            time.after(delayNs(), from::refused);
        } else if (!listener.host.isVanished()) {
            SimulatedSocket there = new SimulatedSocket(this, listener.host, to, local, null);
            there.establish(from);
            // What the other side says at once comes after its answer to the call.
            from.connectAfter(delayNs(), () -> {
                if (!from.host().isDead()) {
                    from.establish(there);
                    from.connected();
                }
            });
            listener.accepted.accept(there);
        }
    }

    long delayNs() {
        long late = random.nextInt(RETRANSMIT_ONE_IN) == 0 ? random.nextLong(MAX_RETRANSMIT_DELAY_NS) : 0;
        return MIN_DELAY_NS + random.nextLong(DELAY_SPREAD_NS) + late;
    }

    /** How much of so many bytes comes in one piece. */
    int segmentSize(int bytes) {
        return bytes == 1 || random.nextInt(SPLIT_ONE_IN) > 0 ? bytes : 1 + random.nextInt(bytes);
    }

    /** Whether a reset takes what has not been read yet with it: systems differ. */
    boolean isPurgedByReset() {
        return random.nextBoolean();
    }
}
