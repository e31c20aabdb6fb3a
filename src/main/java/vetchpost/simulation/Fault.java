package vetchpost.simulation;

import java.util.Locale;

/**
 * Something that goes wrong, or changes, at some time of a run.
 *
 * @param atMs when, from the run's start
 * @param target number of the node or box; 0 where there is only one
 * @param forMs for how long, where it ends by itself
 * @param amount a part of what passes, a count or a factor, by kind
 */
public record Fault(long atMs, Kind kind, int target, long durationMs, double amount) {

    /** What can go wrong. The words are those of the script form. */
    public enum Kind {
        /** A box drains: it is told to discovery, and a while later the box turns new work away. */
        DRAIN("drain box", "a box drains and is gone after FOR"),
        /** A box is replaced by another one under a new id at the same address. */
        REPLACE("replace box", "a box gives way to a new one, cold, at the same address"),
        /** A box's process dies, and is back, cold, some time later. */
        KILL("kill box", "a box dies and is back, cold, after FOR"),
        /** A box's machine says nothing any more. */
        SILENCE("silence box", "a box's machine says nothing for FOR, then is back, cold"),
        /** A box fails a part of what it gets, at once. */
        FAIL("fail box", "a box answers the part AMOUNT with errors for FOR"),
        /** A box takes so many times as long. */
        SLOW("slow box", "a box takes AMOUNT times as long for FOR"),
        /** A box's answers are spoilt in part. */
        SPOIL("spoil box", "a box spoils the part AMOUNT of its answers for FOR"),
        /** A box resets a part of connections just after it has read a request. */
        RESET("reset box", "a box resets the part AMOUNT of requests after reading them for FOR"),
        /** A box stops reading: what is written to it fills buffers. */
        DEAF("deaf box", "a box reads nothing for FOR"),
        /** A node is killed outright. */
        CRASH("crash node", "a node is killed and back after FOR"),
        /** A node gets SIGTERM. */
        STOP("stop node", "a node gets SIGTERM and is back after FOR"),
        /** A node's loop does nothing for a while. */
        STALL("stall node", "a node's process does nothing for FOR"),
        /** A node gets SIGHUP and another address of discovery. */
        MOVE("move discovery", "discovery moves to another address, and nodes get SIGHUP"),
        /** Discovery says nothing. */
        MUTE("mute discovery", "discovery says nothing for FOR"),
        /** Watches on the list break. */
        BREAK("break discovery", "the watches on the list break"),
        /** Discovery's word takes so much longer. */
        LATE("late discovery", "what discovery tells is FOR late from then on"),
        /** Discovery's whole lists leave out most of the boxes. */
        SHRINK("shrink discovery", "discovery's whole lists leave out nine boxes of ten for FOR"),
        /** Many requests at once, safe ones unless a class is named. */
        BURST("burst view-page", "AMOUNT requests at once"),
        /** The same of the unsafe class. */
        ORDERS("burst place-order", "AMOUNT requests at once"),
        /** The same of the keyed class. */
        PHOTOS("burst add-photo", "AMOUNT requests at once"),
        /** Clients that send half a request, rubbish, or do not read. */
        RUDE("rude clients", "AMOUNT clients that send rubbish, halves, or don't read");

        private final String scriptName;
        private final String help;

        Kind(String words, String help) {
            this.scriptName = words;
            this.help = help;
        }

        /** How a script names it. */
        public String scriptName() {
            return scriptName;
        }

        /** What it does, for the help text. */
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
