package gradereach.standins.faults;

/**
 * One event of one TCP connection of a process, as {@link FaultShim} saw its system calls.
 *
 * @param nanos when, by {@link System#nanoTime} of this machine
 * @param received bytes that the process had read of the connection
 * @param unread bytes that the system still held for it
 * @param detail of a broken one the number of the error, of a write that was held up for how many milliseconds; else 0
 */
public record ConnectionEvent(Kind kind, long nanoTime, int localPort, int remotePort, long bytesReceived, int bytesUnread, int detail) {
    /** What happened; in the shim's order, from 1. */
    public enum Kind {
        /** The process has begun to connect. */
        CONNECTED,
        ACCEPTED,
        /** A fault of the shim has ended it, for both sides. */
        BROKEN,
        /** The process sends nothing more. */
        SHUT_DOWN,
        /** The process has closed it, or has ended by itself. */
        CLOSED,
        /** It is about to write, long after the writing thread has read the clock: it was stopped in between. */
        HELD_UP
    }
}
