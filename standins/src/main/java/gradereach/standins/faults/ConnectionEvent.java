package gradereach.standins.faults;

/**
 * One event of a TCP connection of a process, recorded by {@link FaultShim} from its system calls.
 *
 * @param nanoTime time of the event, as {@link System#nanoTime} of this machine
 * @param bytesReceived bytes that the process had read from the connection
 * @param bytesUnread bytes in the receive buffer of the kernel
 * @param detail for a broken connection the errno, for a delayed write its delay in milliseconds; otherwise 0
 */
public record ConnectionEvent(Kind kind, long nanoTime, int localPort, int remotePort, long bytesReceived, int bytesUnread, int detail) {
    /** Kind of event; the order matches {@code enum event} in fault_shim.c, which starts at 1. */
    public enum Kind {
        /** The process called connect. */
        CONNECTED,
        ACCEPTED,
        /** A fault of the shim shut the connection down for both sides. */
        BROKEN,
        /** The process shut down its sending side. */
        SHUT_DOWN,
        /** The process closed the connection or exited normally. */
        CLOSED,
        /** The process wrote long after the writing thread had last read the clock, as it does if it was stopped in between. */
        HELD_UP
    }
}
