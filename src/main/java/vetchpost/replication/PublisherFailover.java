package vetchpost.replication;

/**
 * Keeps a replica with a publisher: asks the one that comes first for it, leaves one that is silent, breaks
 * off or is of no use for the next, and comes back to its own once that is well. Without a socket or a clock.
 */
public final class PublisherFailover {
    /** A publisher that has said nothing for so long, in microseconds, is left: three heartbeats. */
    public static final long SILENCE_TIMEOUT_US = 15_000_000;

    private static final long CHECK_INTERVAL_US = 1_000_000;
    private static final long RETRY_DELAY_US = 1_000;
    /** Looked for a better one so often only: coming back is no hurry. */
    private static final int CHECKS_BEFORE_FAILBACK = 30;

    /** Connections and time, as their owner has them. */
    public interface Transport {
        /**
         * Opens a connection to a publisher, in place of one that is open; hears {@code opened} or {@code
         * failed}.
         */
        void open(int publisher);

        /** Sends on the connection that is open. */
        void send(Frame frame);

        /** Closes it. */
        void close();

        /** The time now, in microseconds. */
        long nowUs();

        /** Runs a task in so many microseconds. */
        void schedule(long us, Runnable task);
    }

    private final Replica replica;
    private final PublisherChoice choice;
    private final Transport transport;
    private int publisherIndex = -1;
    private boolean isConnected;
    private boolean isStopped;
    /** Tells tasks of an earlier connection from those of this one. */
    private long generation;

    private String lastFailure = "";

    /** Begins when it is told to. */
    public PublisherFailover(Replica replica, PublisherChoice choice, Transport line) {
        this.replica = replica;
        this.choice = choice;
        this.transport = line;
    }

    /** Asks in so many microseconds from now on. */
    public void start(long afterUs) {
        long now = ++generation;
        transport.schedule(afterUs, () -> {
            if (generation == now && !isStopped) {
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

    /** The connection is up. */
    public void opened() {
        isConnected = true;
        replica.connected(transport::send, transport.nowUs());
        scheduleCheck(generation, 0);
    }

    /** It could not be opened, or has broken. */
    public void failed(String why) {
        if (isStopped) {
            return;
        }
        lastFailure = why;
        isConnected = false;
        replica.disconnected();
        choice.failed(publisherIndex, transport.nowUs());
        start(RETRY_DELAY_US);
    }

    private void scheduleCheck(long of, int looks) {
        transport.schedule(CHECK_INTERVAL_US, () -> {
            if (generation != of || !isConnected || isStopped) {
                return;
            }
            long now = transport.nowUs();
            if (now - replica.lastReceivedUs() > SILENCE_TIMEOUT_US) {
                transport.close();
                failed("it has fallen silent");
            } else if (looks >= CHECKS_BEFORE_FAILBACK && choice.hasBetter(publisherIndex, now)) {
                isConnected = false;
                replica.disconnected();
                transport.close();
                start(RETRY_DELAY_US);
            } else {
                scheduleCheck(of, looks + 1);
            }
        });
    }

    /** Takes a frame of the publisher's. */
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

    /** What has come is no frame, or none of a publisher's. */
    public void rejected(String why) {
        transport.close();
        failed(why);
    }

    /** Ends; what is in force stays so. */
    public void stop() {
        isStopped = true;
        if (isConnected) {
            isConnected = false;
            replica.disconnected();
            transport.close();
        }
    }

    /** Whether it is connected. */
    public boolean isUp() {
        return isConnected;
    }

    /** What went wrong last, or empty since a publisher has said that all is the newest. */
    public String failure() {
        return lastFailure;
    }
}
