package vetchpost.simulation.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * One end of a simulated TCP connection: the system's buffers in both directions. What is written goes out in
 * pieces of arbitrary sizes, in order, each after a delay of its own; what nobody reads fills the buffers up
 * to the writer; what is sent to a machine that has vanished stays under way.
 */
public final class SimulatedSocket {
    /** Bytes that the system takes to send ahead of what the other side's has taken. */
    private static final int SEND_BUFFER_BYTES = 32 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private enum Kind {
        DATA,
        FIN,
        RESET,
        DELIVERED
    }

    /** On its way to this end. */
    private record Segment(Kind kind, byte[] bytes, Runnable action) {}

    private final Tcp tcp;
    private final SimulatedHost host;
    private final InetSocketAddress local;
    private final InetSocketAddress remote;
    private final ByteQueue inbox = new ByteQueue();
    /** Arrived, but there was no room, or the machine was silent. */
    private final Deque<Segment> undelivered = new ArrayDeque<>();

    private Runnable handler;
    private SimulatedSocket peer;
    private boolean open;
    private boolean failed;
    private boolean closed;
    private boolean finSent;
    private boolean finReceived;
    private boolean resetReceived;
    private int unacknowledgedBytes;
    private long lastArrivalNs;
    private long consumed;
    private long received;

    SimulatedSocket(Tcp tcp, SimulatedHost host, InetSocketAddress local, InetSocketAddress remote, Runnable handler) {
        this.tcp = tcp;
        this.host = host;
        this.local = local;
        this.remote = remote;
        this.handler = handler;
        host.opened(this);
    }

    /** Whom to tell when something has changed: up, failed, bytes, the end, or room to write. */
    public void handler(Runnable next) {
        handler = next;
    }

    public SimulatedHost host() {
        return host;
    }

    /** The process at the other side, or null before the connection is up. */
    public SimulatedHost peerHost() {
        return peer == null ? null : peer.host;
    }

    public InetSocketAddress local() {
        return local;
    }

    public InetSocketAddress remote() {
        return remote;
    }

    /** Whether the connection has come up and this end is not closed. */
    public boolean isOpen() {
        return open && !closed;
    }

    /** Whether the connection was refused. */
    public boolean isFailed() {
        return failed;
    }

    /** Whether the other side has reset it. */
    public boolean isReset() {
        return resetReceived;
    }

    /** Whether there is nothing more to read: the end has come and all before it is read. */
    public boolean isAtEnd() {
        return (finReceived || resetReceived) && inbox.size() == 0;
    }

    public int readable() {
        return inbox.size();
    }

    /** Bytes read by the process since the connection came up. */
    public long consumed() {
        return consumed;
    }

    /** Bytes that have come to the system since then. */
    public long received() {
        return received;
    }

    /** How much of what this end has sent the other process has read. */
    public long readByPeer() {
        return peer == null ? 0 : peer.consumed;
    }

    /** The handshake ends so much later; nothing arrives here before. */
    void connectAfter(long delayNs, Runnable action) {
        lastArrivalNs = tcp.time().nanoTime() + delayNs;
        tcp.time().at(lastArrivalNs, action);
    }

    void establish(SimulatedSocket other) {
        peer = other;
        open = true;
    }

    /** The handshake has come to its end here. */
    void connected() {
        if (closed) {
            // Given up meanwhile: the other side learns by a reset.
            peer.arrive(new Segment(Kind.RESET, null, null));
        } else {
            notifyHandler();
        }
    }

    void refused() {
        failed = true;
        notifyHandler();
    }

    private void notifyHandler() {
        if (handler != null && !closed && !host.isVanished() && !host.isDead()) {
            handler.run();
        }
    }

    /**
     * Takes as much as there is room for, and says how much.
     *
     * @throws IOException if the connection is broken
     */
    public int write(byte[] bytes) throws IOException {
        if (resetReceived || closed || finSent || !open) {
            throw new IOException(resetReceived ? "Connection reset by peer" : "Broken pipe");
        }
        int size = Math.min(bytes.length, SEND_BUFFER_BYTES - unacknowledgedBytes);
        if (size > 0) {
            byte[] taken = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
            unacknowledgedBytes += size;
            host.tap.wrote(this, taken);
            for (int at = 0; at < size; ) {
                int piece = tcp.segmentSize(size - at);
                send(new Segment(Kind.DATA, Arrays.copyOfRange(taken, at, at + piece), null));
                at += piece;
            }
        }
        return size;
    }

    /** Writes what must fit; for peers that send little. Without effect on a broken connection. */
    public void put(byte[] bytes) {
        try {
            write(bytes);
        } catch (IOException e) {
            // The handler has been told, or the test's peer ended it itself.
            return;
        }
    }

    /** Writes so that all arrives at once, as one packet does. */
    public void putUnsplit(byte[] bytes) {
        if (!resetReceived && !closed && !finSent && open && unacknowledgedBytes + bytes.length <= SEND_BUFFER_BYTES) {
            unacknowledgedBytes += bytes.length;
            host.tap.wrote(this, bytes);
            send(new Segment(Kind.DATA, bytes, null));
        }
    }

    /** Runs the action as soon as all that has been written so far has come to the other side's system. */
    public void whenDelivered(Runnable action) {
        if (peer != null && !host.isVanished()) {
            // In the same instant, or the other side could act on it before its watchers know.
            SimulatedSocket to = peer;
            tcp.time().at(to.lastArrivalNs, () -> to.arrive(new Segment(Kind.DELIVERED, null, action)));
        }
    }

    /** Takes up to so many bytes that have come. */
    public byte[] read(int most) {
        byte[] taken = inbox.take(most);
        consumed += taken.length;
        if (!undelivered.isEmpty()) {
            // As an event of its own: told from within, a reader would read as deep as there is to read.
            tcp.time().after(0, this::deliverPending);
        }
        return taken;
    }

    /** Sends the end after all that has been written. */
    public void shutdownOutput() {
        if (open && !finSent && !closed && !resetReceived) {
            finSent = true;
            send(new Segment(Kind.FIN, null, null));
        }
    }

    /** Closes this end; unread bytes have the other side reset, as they do in life. */
    public void close() {
        if (closed) {
            return;
        }
        boolean unread = inbox.size() > 0 || !undelivered.isEmpty();
        if (open && unread) {
            sendReset();
        } else {
            shutdownOutput();
        }
        finish();
    }

    /** Closes this end and resets the other. */
    public void reset() {
        if (!closed) {
            sendReset();
            finish();
        }
    }

    private void finish() {
        closed = true;
        host.tap.closed(this);
        host.closed(this);
        inbox.clear();
        undelivered.clear();
    }

    /** The machine knows of this connection no more. */
    void forget() {
        closed = true;
        inbox.clear();
        if (!undelivered.isEmpty()) {
            undelivered.clear();
            sendReset();
        }
    }

    private void sendReset() {
        if (open && !resetReceived) {
            send(new Segment(Kind.RESET, null, null));
        }
    }

    private void send(Segment segment) {
        if (peer == null || host.isVanished()) {
            return;
        }
        SimulatedSocket to = peer;
        to.lastArrivalNs = Math.max(to.lastArrivalNs, tcp.time().nanoTime() + tcp.delayNs());
        tcp.time().at(to.lastArrivalNs, () -> to.arrive(segment));
    }

    private void arrive(Segment segment) {
        if (closed) {
            if (segment.kind == Kind.DATA) {
                sendResetBack();
            }
        } else if (host.isVanished()) {
            undelivered.add(segment);
        } else if (!undelivered.isEmpty()) {
            undelivered.add(segment);
            deliverPending();
        } else if (!deliver(segment)) {
            undelivered.add(segment);
        }
    }

    /** An answer of the system's, for a process that has closed its end. */
    private void sendResetBack() {
        if (peer != null && !peer.closed && !host.isVanished()) {
            SimulatedSocket to = peer;
            tcp.time().after(tcp.delayNs(), () -> to.arrive(new Segment(Kind.RESET, null, null)));
        }
    }

    private void deliverPending() {
        while (!undelivered.isEmpty() && !host.isVanished() && deliver(undelivered.peek())) {
            undelivered.poll();
        }
    }

    /** Takes in a segment if there is room. */
    private boolean deliver(Segment segment) {
        switch (segment.kind) {
            case DATA -> {
                if (resetReceived) {
                    return true;
                }
                if (inbox.size() > 0 && inbox.size() + segment.bytes.length > RECEIVE_BUFFER_BYTES) {
                    return false;
                }
                inbox.add(segment.bytes);
                received += segment.bytes.length;
                peer.acknowledged(segment.bytes.length);
                host.tap.received(this, segment.bytes);
            }
            case FIN -> {
                finReceived = true;
                host.tap.ended(this, false);
            }
            case RESET -> {
                if (!resetReceived) {
                    resetReceived = true;
                    if (tcp.isPurgedByReset()) {
                        inbox.clear();
                    }
                    host.tap.ended(this, true);
                }
            }
            case DELIVERED -> {
                segment.action.run();
                return true;
            }
        }
        notifyHandler();
        return true;
    }

    private void acknowledged(int bytes) {
        boolean full = unacknowledgedBytes >= SEND_BUFFER_BYTES;
        unacknowledgedBytes -= bytes;
        if (full) {
            notifyHandler();
        }
    }
}
