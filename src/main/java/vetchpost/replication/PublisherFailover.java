package vetchpost.replication;

/**
 * Keeps a replica with a publisher: asks the one that comes first for it, leaves one that is silent, breaks
 * off or is of no use for the next, and comes back to its own once that is well. Without a socket or a clock.
 */
public final class PublisherFailover {
    /** A publisher that has said nothing for so long, in microseconds, is left: three heartbeats. */
    public static final long SILENCE_TIMEOUT_US = 15_000_000;

    private static final long LOOK_US = 1_000_000;
    private static final long AGAIN_US = 1_000;
    /** Looked for a better one so often only: coming back is no hurry. */
    private static final int LOOKS_FOR_BETTER = 30;

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
        void after(long us, Runnable task);
    }

    private final Replica replica;
    private final PublisherChoice choice;
    private final Transport line;
    private int asked = -1;
    private boolean up;
    private boolean over;
    /** Tells tasks of an earlier connection from those of this one. */
    private long turn;

    private String trouble = "";

    /** Begins when it is told to. */
    public PublisherFailover(Replica replica, PublisherChoice choice, Transport line) {
        this.replica = replica;
        this.choice = choice;
        this.line = line;
    }

    /** Asks in so many microseconds from now on. */
    public void start(long afterUs) {
        long now = ++turn;
        line.after(afterUs, () -> {
            if (turn == now && !over) {
                open();
            }
        });
    }

    private void open() {
        int next = choice.next(line.nowUs());
        long whenUs = choice.whenUs(next);
        if (whenUs > line.nowUs()) {
            start(whenUs - line.nowUs());
            return;
        }
        asked = next;
        turn++;
        line.open(next);
    }

    /** The connection is up. */
    public void opened() {
        up = true;
        replica.connected(line::send, line.nowUs());
        look(turn, 0);
    }

    /** It could not be opened, or has broken. */
    public void failed(String why) {
        if (over) {
            return;
        }
        trouble = why;
        up = false;
        replica.disconnected();
        choice.failed(asked, line.nowUs());
        start(AGAIN_US);
    }

    private void look(long of, int looks) {
        line.after(LOOK_US, () -> {
            if (turn != of || !up || over) {
                return;
            }
            long now = line.nowUs();
            if (now - replica.lastReceivedUs() > SILENCE_TIMEOUT_US) {
                line.close();
                failed("it has fallen silent");
            } else if (looks >= LOOKS_FOR_BETTER && choice.hasBetter(asked, now)) {
                up = false;
                replica.disconnected();
                line.close();
                start(AGAIN_US);
            } else {
                look(of, looks + 1);
            }
        });
    }

    /** Takes a frame of the publisher's. */
    public void receive(Frame frame) {
        long nowUs = line.nowUs();
        try {
            replica.receive(frame, nowUs);
            if (replica.lastCurrentUs() == nowUs) {
                choice.worked(asked);
                trouble = "";
            }
        } catch (Replica.FrameRejectedException | MalformedFrameException e) {
            rejected(e.getMessage());
        }
    }

    /** What has come is no frame, or none of a publisher's. */
    public void rejected(String why) {
        line.close();
        failed(why);
    }

    /** Ends; what is in force stays so. */
    public void stop() {
        over = true;
        if (up) {
            up = false;
            replica.disconnected();
            line.close();
        }
    }

    /** Whether it is connected. */
    public boolean isUp() {
        return up;
    }

    /** What went wrong last, or empty since a publisher has said that all is the newest. */
    public String failure() {
        return trouble;
    }
}
