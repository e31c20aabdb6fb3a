package vetchpost.simulation.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * One end of a simulated TCP connection, with the operating system's buffers in both directions. Writes are
 * sent in order as segments of arbitrary sizes, each after a delay of its own. Input that is not read fills
 * the buffers until the writer can't write. Segments to a vanished machine wait until it is back. Channels and
 * simulated peers use it on the thread of the run.
 */
public final class SimulatedSocket {
    /** Bytes that may be sent and not yet be in the peer's receive buffer. */
    private static final int SEND_BUFFER_BYTES = 32 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private enum Kind {
        DATA,
        FIN,
        RESET,
        DELIVERED
    }

    /** Something on its way to a socket. */
    private record Segment(Kind kind, byte[] bytes, Runnable action) {}

    private final Tcp tcp;
    private final SimulatedHost host;
    private final InetSocketAddress local;
    private final InetSocketAddress remote;
    private final ByteQueue inbox = new ByteQueue();
    /** Segments that arrived when the receive buffer was full or the machine had vanished. */
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

    /** Sets the action to run on each change: connected, failed, input, end of stream, or room to write. */
    public void setHandler(Runnable next) {
        handler = next;
    }

    public SimulatedHost host() {
        return host;
    }

    /** The process at the other end, or null before the connection is established. */
    public SimulatedHost peerHost() {
        return peer == null ? null : peer.host;
    }

    public InetSocketAddress local() {
        return local;
    }

    public InetSocketAddress remote() {
        return remote;
    }

    /** Whether the connection is established and this end is not closed. */
    public boolean isOpen() {
        return open && !closed;
    }

    /** Whether the connection was refused. */
    public boolean isFailed() {
        return failed;
    }

    /** Whether the peer has reset the connection. */
    public boolean isReset() {
        return resetReceived;
    }

    /** Whether the peer has ended or reset the connection and all input before that is read. */
    public boolean isAtEnd() {
        return (finReceived || resetReceived) && inbox.size() == 0;
    }

    public int readable() {
        return inbox.size();
    }

    /** Bytes that the process has read since the connection was established. */
    public long consumed() {
        return consumed;
    }

    /** Bytes that have reached the receive buffer since then. */
    public long received() {
        return received;
    }

    /** Bytes sent by this end that the peer process has read. */
    public long readByPeer() {
        return peer == null ? 0 : peer.consumed;
    }

    /** Ends the handshake after this many nanoseconds; nothing arrives here before. */
    void connectAfter(long delayNs, Runnable action) {
        lastArrivalNs = tcp.time().nanoTime() + delayNs;
        tcp.time().at(lastArrivalNs, action);
    }

    void establish(SimulatedSocket other) {
        peer = other;
        open = true;
    }

    /** Called when the handshake has ended at this end. */
    void onConnected() {
        if (closed) {
            // Closed meanwhile: the peer is notified by a reset.
            peer.arrive(new Segment(Kind.RESET, null, null));
        } else {
            notifyHandler();
        }
    }

    void onRefused() {
        failed = true;
        notifyHandler();
    }

    private void notifyHandler() {
        if (handler != null && !closed && !host.isVanished() && !host.isDead()) {
            handler.run();
        }
    }

    /**
     * Writes as much as the send buffer has room for.
     *
     * @return number of bytes written, from 0 to {@code bytes.length}
     * @throws IOException if the connection is not established, closed or reset
     */
    public int write(byte[] bytes) throws IOException {
        if (resetReceived || closed || finSent || !open) {
            throw new IOException(resetReceived ? "Connection reset by peer" : "Broken pipe");
        }
        int size = Math.min(bytes.length, SEND_BUFFER_BYTES - unacknowledgedBytes);
        if (size > 0) {
            byte[] accepted = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
            unacknowledgedBytes += size;
            host.tap.wrote(this, accepted);
            for (int at = 0; at < size; ) {
                int length = tcp.segmentSize(size - at);
                send(new Segment(Kind.DATA, Arrays.copyOfRange(accepted, at, at + length), null));
                at += length;
            }
        }
        return size;
    }

    /** Writes bytes that are known to fit the send buffer. Does nothing on a broken connection. */
    public void put(byte[] bytes) {
        try {
            write(bytes);
        } catch (IOException e) {
            // The handler has been notified, or the peer of a test has closed this end itself.
            return;
        }
    }

    /** Writes one segment that arrives whole, or nothing if it doesn't fit the send buffer. */
    public void putUnsplit(byte[] bytes) {
        if (!resetReceived && !closed && !finSent && open && unacknowledgedBytes + bytes.length <= SEND_BUFFER_BYTES) {
            unacknowledgedBytes += bytes.length;
            host.tap.wrote(this, bytes);
            send(new Segment(Kind.DATA, bytes, null));
        }
    }

    /** Runs the action when all bytes written so far have reached the peer's operating system. */
    public void whenDelivered(Runnable action) {
        if (peer != null && !host.isVanished()) {
            // At the same instant, or the peer could act on the bytes before the action has run.
            SimulatedSocket target = peer;
            tcp.time().at(target.lastArrivalNs, () -> target.arrive(new Segment(Kind.DELIVERED, null, action)));
        }
    }

    /** Reads at most this many bytes. */
    public byte[] read(int maxBytes) {
        byte[] accepted = inbox.take(maxBytes);
        consumed += accepted.length;
        if (!undelivered.isEmpty()) {
            // As an event of its own, since notifying the reader from here would recurse for each segment.
            tcp.time().after(0, this::deliverPending);
        }
        return accepted;
    }

    /** Sends the end of the stream after all written bytes. */
    public void shutdownOutput() {
        if (open && !finSent && !closed && !resetReceived) {
            finSent = true;
            send(new Segment(Kind.FIN, null, null));
        }
    }

    /** Closes this end; if input is unread, this resets the connection, as in TCP. */
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

    /** Closes this end and resets the connection. */
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

    /** Drops the connection, which the restarted machine no longer knows. */
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
        SimulatedSocket target = peer;
        target.lastArrivalNs = Math.max(target.lastArrivalNs, tcp.time().nanoTime() + tcp.delayNs());
        tcp.time().at(target.lastArrivalNs, () -> target.arrive(segment));
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

    /** Sends a reset from the operating system for input after this end was closed. */
    private void sendResetBack() {
        if (peer != null && !peer.closed && !host.isVanished()) {
            SimulatedSocket target = peer;
            tcp.time().after(tcp.delayNs(), () -> target.arrive(new Segment(Kind.RESET, null, null)));
        }
    }

    private void deliverPending() {
        while (!undelivered.isEmpty() && !host.isVanished() && deliver(undelivered.peek())) {
            undelivered.poll();
        }
    }

    /** Processes a segment and returns true, or returns false if the receive buffer is full. */
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
                peer.onAcknowledged(segment.bytes.length);
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

    private void onAcknowledged(int bytes) {
        boolean wasFull = unacknowledgedBytes >= SEND_BUFFER_BYTES;
        unacknowledgedBytes -= bytes;
        if (wasFull) {
            notifyHandler();
        }
    }
}
