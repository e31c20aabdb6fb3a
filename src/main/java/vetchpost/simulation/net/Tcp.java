package vetchpost.simulation.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The simulated network: listening addresses, delays of segments and how writes are split into segments. The
 * sockets and hosts of a run share one instance, on the thread of the run.
 */
public final class Tcp {
    private static final long MIN_DELAY_NS = 100_000;
    private static final long DELAY_SPREAD_NS = 600_000;
    /** One segment in this many is retransmitted, which delays it by up to the time below. */
    private static final int RETRANSMIT_ONE_IN = 200;

    private static final long MAX_RETRANSMIT_DELAY_NS = 8_000_000;
    private static final int SPLIT_ONE_IN = 3;
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 50_000;

    /** A listening process and its handler for accepted connections. */
    private record Listener(SimulatedHost host, Consumer<SimulatedSocket> accepted) {}

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private int connectionCount;

    public Tcp(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    /** Creates a process on a machine of its own. */
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
        Listener listener = listeners.get(address);
        if (listener != null && listener.host == host) {
            listeners.remove(address);
        }
    }

    /** Whether a process listens on the address. */
    boolean isListening(InetSocketAddress address) {
        return listeners.containsKey(address);
    }

    SimulatedSocket connect(SimulatedHost from, InetSocketAddress to, Runnable handler) {
        InetSocketAddress local = new InetSocketAddress(to.getAddress(), FIRST_PORT + connectionCount++ % PORT_COUNT);
        SimulatedSocket socket = new SimulatedSocket(this, from, local, to, handler);
        time.after(delayNs(), () -> onConnectRequest(socket, local, to));
        return socket;
    }

    private void onConnectRequest(SimulatedSocket from, InetSocketAddress local, InetSocketAddress to) {
        Listener listener = listeners.get(to);
        if (listener == null) {
            time.after(delayNs(), from::onRefused);
        } else if (!listener.host.isVanished()) {
            SimulatedSocket acceptedSocket = new SimulatedSocket(this, listener.host, to, local, null);
            acceptedSocket.establish(from);
            // Data that the listener sends at once arrives after the handshake.
            from.connectAfter(delayNs(), () -> {
                if (!from.host().isDead()) {
                    from.establish(acceptedSocket);
                    from.onConnected();
                }
            });
            listener.accepted.accept(acceptedSocket);
        }
    }

    long delayNs() {
        long retransmitDelayNs = random.nextInt(RETRANSMIT_ONE_IN) == 0 ? random.nextLong(MAX_RETRANSMIT_DELAY_NS) : 0;
        return MIN_DELAY_NS + random.nextLong(DELAY_SPREAD_NS) + retransmitDelayNs;
    }

    /** Number of bytes, from 1 to {@code bytes}, that go into the next segment. */
    int segmentSize(int bytes) {
        return bytes == 1 || random.nextInt(SPLIT_ONE_IN) > 0 ? bytes : 1 + random.nextInt(bytes);
    }

    /** Whether a reset discards unread input; operating systems differ. */
    boolean isPurgedByReset() {
        return random.nextBoolean();
    }
}
