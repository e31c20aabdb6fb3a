package vetchpost.replication;

/**
 * Keeps a replica connected to a publisher: starts with the replica's preferred one, moves to the next if a
 * publisher is silent, disconnects or is rejected, and fails back to a better one once that recovers. Confined
 * to one thread; sockets and time come from its {@link Transport}.
 */
public final class PublisherFailover {
    /** Time without a frame after which a publisher is left, in microseconds: three heartbeats. */
    public static final long SILENCE_TIMEOUT_US = 15_000_000;

    private static final long CHECK_INTERVAL_US = 1_000_000;
    private static final long RETRY_DELAY_US = 1_000;
    /** Checks between attempts to fail back, which is not urgent. */
    private static final int CHECKS_BEFORE_FAILBACK = 30;

    /** Connections and time, provided by the owner. */
    public interface Transport {
        /**
         * Opens a connection to a publisher, replacing an open one. The owner then calls {@link #opened} or
         * {@link #failed}.
         *
         * @param publisher index in the list of publishers
         */
        void open(int publisher);

        /** Sends a frame on the open connection. */
        void send(Frame frame);

        /** Closes the connection. */
        void close();

        /** Returns the current time in microseconds. */
        long nowUs();

        /** Runs a task after a delay in microseconds. */
        void schedule(long delayUs, Runnable task);
    }

    private final Replica replica;
    private final PublisherChoice choice;
    private final Transport transport;
    private int publisherIndex = -1;
    private boolean isConnected;
    private boolean isStopped;
    /** Incremented per connection, so that tasks of an earlier one do nothing. */
    private long generation;

    private String lastFailure = "";

    /** Creates a failover that does nothing before {@link #start}. */
    public PublisherFailover(Replica replica, PublisherChoice choice, Transport line) {
        this.replica = replica;
        this.choice = choice;
        this.transport = line;
    }

    /** Connects after a delay in microseconds. */
    public void start(long delayUs) {
        long startedGeneration = ++generation;
        transport.schedule(delayUs, () -> {
            if (generation == startedGeneration && !isStopped) {
                open();
            }
        });
    }

    private void open() {
        int next = choice.next(transport.nowUs());
        long whenUs = choice.retryAtUs(next);
        if (whenUs > transport.nowUs()) {
            start(whenUs - transport.nowUs());
            return;
        }
        publisherIndex = next;
        generation++;
        transport.open(next);
    }

    /** Called by the owner once the connection is authenticated. */
    public void opened() {
        isConnected = true;
        replica.connected(transport::send, transport.nowUs());
        scheduleCheck(generation, 0);
    }

    /** Called by the owner when the connection could not be opened or was lost. */
    public void failed(String reason) {
        if (isStopped) {
            return;
        }
        lastFailure = reason;
        isConnected = false;
        replica.disconnected();
        choice.failed(publisherIndex, transport.nowUs());
        start(RETRY_DELAY_US);
    }

    private void scheduleCheck(long expectedGeneration, int checks) {
        transport.schedule(CHECK_INTERVAL_US, () -> {
            if (generation != expectedGeneration || !isConnected || isStopped) {
                return;
            }
            long now = transport.nowUs();
            if (now - replica.lastReceivedUs() > SILENCE_TIMEOUT_US) {
                transport.close();
                failed("publisher has been silent for too long");
            } else if (checks >= CHECKS_BEFORE_FAILBACK && choice.hasBetter(publisherIndex, now)) {
                isConnected = false;
                replica.disconnected();
                transport.close();
                start(RETRY_DELAY_US);
            } else {
                scheduleCheck(expectedGeneration, checks + 1);
            }
        });
    }

    /** Passes a frame of the publisher to the replica; leaves the publisher if the frame is rejected. */
    public void receive(Frame frame) {
        long nowUs = transport.nowUs();
        try {
            replica.receive(frame, nowUs);
            if (replica.lastCurrentUs() == nowUs) {
                choice.succeeded(publisherIndex);
                lastFailure = "";
            }
        } catch (Replica.FrameRejectedException | MalformedFrameException e) {
            rejected(e.getMessage());
        }
    }

    /** Leaves the publisher after a frame that could not be parsed or used. */
    public void rejected(String reason) {
        transport.close();
        failed(reason);
    }

    /** Disconnects for good; the store in force stays. */
    public void stop() {
        isStopped = true;
        if (isConnected) {
            isConnected = false;
            replica.disconnected();
            transport.close();
        }
    }

    /** Whether a connection is up. */
    public boolean isUp() {
        return isConnected;
    }

    /** Returns the last failure, empty since a publisher confirmed the newest version. */
    public String failure() {
        return lastFailure;
    }
}
