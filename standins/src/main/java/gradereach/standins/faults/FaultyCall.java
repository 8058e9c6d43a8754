package gradereach.standins.faults;

/** A kind of system call that {@link FaultShim} can make fail. */
public enum FaultyCall {
    ACCEPT("accept"),
    CONNECT("connect"),
    SOCKET("socket"),
    /** Reads of TCP sockets. */
    READ("read"),
    /** Writes to TCP sockets. */
    WRITE("write"),
    /** Reads of TCP sockets that the process itself connected. */
    READ_CONNECTED("read.out"),
    /** Writes to TCP sockets that the process itself connected. */
    WRITE_CONNECTED("write.out"),
    /** {@code epoll_wait}. */
    WAIT("wait"),
    /** {@code fsync} and {@code fdatasync}. */
    SYNC("sync"),
    /** Writes to regular files. */
    FILE("file"),
    /** Readings of the wall clock. */
    CLOCK("clock");

    /** Name of the call in a rule of the shim. */
    final String ruleName;

    FaultyCall(String ruleName) {
        this.ruleName = ruleName;
    }
}
