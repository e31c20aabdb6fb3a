package vetchpost.simulation;

import java.util.Locale;

/**
 * A fault or change that is injected into a run.
 *
 * @param atMs time from the run's start, in milliseconds
 * @param target number of the node or server; 0 where there is only one
 * @param durationMs how long it lasts, in milliseconds, if it ends by itself
 * @param amount a fraction from 0 to 1, a count or a factor, by kind
 */
public record Fault(long atMs, Kind kind, int target, long durationMs, double amount) {

    /** The kinds of faults, each with its name in scripts and its text in the help. */
    public enum Kind {
        /** A server drains: discovery announces it, and a while later the server rejects new requests. */
        DRAIN("drain box", "a server drains and is gone after FOR"),
        /** A server is replaced by another one under a new id at the same address. */
        REPLACE("replace box", "a server is replaced by a new, cold one at the same address"),
        /** A server's process dies and restarts cold some time later. */
        KILL("kill box", "a server dies and restarts cold after FOR"),
        /** A server's machine stops answering. */
        VANISH("silence box", "a server's machine is unreachable for FOR, then restarts cold"),
        /** A server answers a fraction of requests with errors at once. */
        FAIL("fail box", "a server answers the fraction AMOUNT of requests with errors for FOR"),
        /** A server is slower by a factor. */
        SLOW("slow box", "a server takes AMOUNT times as long for FOR"),
        /** A server sends a fraction of its responses malformed. */
        CORRUPT_RESPONSES("spoil box", "a server sends the fraction AMOUNT of its responses malformed for FOR"),
        /** A server resets a fraction of connections just after it has read a request. */
        RESET("reset box", "a server resets the fraction AMOUNT of requests after reading them for FOR"),
        /** A server stops reading, so that input fills its buffers. */
        STOP_READING("deaf box", "a server reads nothing for FOR"),
        /** A node's process is killed and starts again some time later. */
        CRASH("crash node", "a node is killed and restarts after FOR"),
        /** A node gets SIGTERM. */
        STOP("stop node", "a node gets SIGTERM and restarts after FOR"),
        /** A node's event loop is paused. */
        PAUSE("stall node", "a node's process is paused for FOR"),
        /** Discovery moves, and nodes get SIGHUP with its new address. */
        MOVE_DISCOVERY("move discovery", "discovery moves to another address, and nodes get SIGHUP"),
        /** Discovery sends nothing. */
        SILENCE_DISCOVERY("mute discovery", "discovery sends nothing for FOR"),
        /** Watches on the server list are reset. */
        BREAK_WATCHES("break discovery", "the watches on the server list are reset"),
        /** Discovery sends changes late. */
        DELAY_DISCOVERY("late discovery", "discovery sends changes FOR late from then on"),
        /** Discovery's full lists omit most servers. */
        SHRINK_LISTS("shrink discovery", "discovery's full lists omit nine servers of ten for FOR"),
        /** Many requests of the safe class at once. */
        PAGE_BURST("burst view-page", "AMOUNT requests at once"),
        /** Many requests of the unsafe class at once. */
        ORDER_BURST("burst place-order", "AMOUNT requests at once"),
        /** Many requests of the keyed class at once. */
        PHOTO_BURST("burst add-photo", "AMOUNT requests at once"),
        /** Clients that send malformed or partial requests, or do not read. */
        MALFORMED_CLIENTS("rude clients", "AMOUNT clients that send malformed or partial requests, or don't read");

        private final String scriptName;
        private final String help;

        Kind(String words, String help) {
            this.scriptName = words;
            this.help = help;
        }

        /** Its name in scripts, of two words. */
        public String scriptName() {
            return scriptName;
        }

        /** What it does, for the help text; AMOUNT and FOR are its script values. */
        public String help() {
            return help;
        }
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "at %.3fs %s %d for %.3fs amount %s",
                atMs / 1e3,
                kind.scriptName,
                target,
                durationMs / 1e3,
                amount);
    }
}
