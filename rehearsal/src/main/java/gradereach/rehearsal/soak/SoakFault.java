package gradereach.rehearsal.soak;

import gradereach.standins.faults.Errno;
import gradereach.standins.faults.FaultyCall;
import gradereach.standins.faults.SystemFault;
import java.util.List;
import java.util.Random;

/** A kind of fault that a soak may inject. Each can be left out, to find the ones that a failing seed needs. */
public enum SoakFault {
    /** The change log is unavailable for some seconds. */
    OUTAGE,
    /** An executor drains, exits and restarts. */
    DRAIN,
    /** The process of an executor ends, and a new one with nothing loaded replaces it at once at its address. */
    TAKEOVER,
    /** A front end is suspended by SIGSTOP for a while. */
    STANDSTILL,
    /** A front end gets SIGTERM, is killed at the earliest time allowed, and is replaced. */
    TERMINATION,
    /** A front end is killed and replaced. */
    KILL,
    /** A front end gets SIGHUP several times in quick succession, each time with another address of the change log. */
    RELOAD,
    /** Clients that send nothing use up the connections of a front end. */
    CROWD,
    /** An executor does not answer, closes connections, or corrupts or duplicates answers. */
    BAD_ANSWERS,
    /** Executors answer probes and status queries late for a while, some twice, with their state at the time of the request. */
    LATE_PROBES,
    /** An executor reads nothing for a while. */
    UNREAD,
    /** An executor resets all its connections. */
    RESET,
    /** {@code accept} fails. */
    ACCEPT,
    /** {@code socket} and {@code connect} fail. */
    CONNECT,
    /** Sockets transfer fewer bytes than they are asked to. */
    SHORT_TRANSFERS,
    /** System calls that wait are interrupted by EINTR. */
    INTERRUPTED_WAITS,
    /** Connections to executors and to the change log end by ETIMEDOUT or EHOSTUNREACH. */
    BROKEN_CONNECTIONS,
    /** The wall clock is stepped, by seconds or by an hour, either way. */
    WALL_CLOCK;

    /** Longer than any process of a soak runs. */
    private static final long UNLIMITED_MILLIS = 1_000_000_000;
    private static final long HOUR_MILLIS = 3_600_000;
    /** The latest start of a burst of faults within a process run, and of the second clock step after the first. */
    private static final int MAX_START_MILLIS = 8000;
    private static final int MAX_BURST_MILLIS = 3000;

    private static final Errno[] ACCEPT_ERRORS = {Errno.ECONNABORTED, Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM};
    private static final Errno[] SOCKET_ERRORS = {Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM};
    private static final Errno[] CONNECT_ERRORS = {Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EHOSTUNREACH, Errno.ETIMEDOUT,
        Errno.EINTR};
    private static final Errno[] TRANSFER_ERRORS = {Errno.ETIMEDOUT, Errno.EHOSTUNREACH};

    /** Draws the system call faults of one process run; empty where this fault is injected in another way. */
    List<SystemFault> drawSystemFaults(Random random) {
        long burstStart = random.nextInt(MAX_START_MILLIS);
        long burstEnd = burstStart + 500 + random.nextInt(MAX_BURST_MILLIS);
        return switch (this) {
            case ACCEPT -> List.of(SystemFault.error(FaultyCall.ACCEPT, randomErrno(ACCEPT_ERRORS, random), 0.3, 0, burstEnd),
                    SystemFault.error(FaultyCall.ACCEPT, randomErrno(ACCEPT_ERRORS, random), 0.03, 0, UNLIMITED_MILLIS));
            case CONNECT -> List.of(SystemFault.error(FaultyCall.SOCKET, randomErrno(SOCKET_ERRORS, random), 0.3, burstStart, burstEnd),
                    SystemFault.error(FaultyCall.SOCKET, randomErrno(SOCKET_ERRORS, random), 0.05, 0, UNLIMITED_MILLIS),
                    SystemFault.error(FaultyCall.CONNECT, randomErrno(CONNECT_ERRORS, random), 0.5, burstStart, burstEnd),
                    SystemFault.error(FaultyCall.CONNECT, randomErrno(CONNECT_ERRORS, random), 0.05, 0, UNLIMITED_MILLIS));
            case SHORT_TRANSFERS -> List.of(SystemFault.shortTransfer(FaultyCall.READ, 0.3, 0, UNLIMITED_MILLIS),
                    SystemFault.shortTransfer(FaultyCall.WRITE, 0.3, 0, UNLIMITED_MILLIS));
            case INTERRUPTED_WAITS -> List.of(SystemFault.error(FaultyCall.WAIT, Errno.EINTR, 0.1, 0, UNLIMITED_MILLIS));
            case BROKEN_CONNECTIONS -> List.of(
                    SystemFault.error(FaultyCall.READ_CONNECTED, randomErrno(TRANSFER_ERRORS, random), 0.002, 0, UNLIMITED_MILLIS),
                    SystemFault.error(FaultyCall.WRITE_CONNECTED, randomErrno(TRANSFER_ERRORS, random), 0.002, 0, UNLIMITED_MILLIS),
                    SystemFault.error(FaultyCall.WRITE_CONNECTED, randomErrno(TRANSFER_ERRORS, random), 0.1, burstStart, burstEnd));
            case WALL_CLOCK -> List.of(SystemFault.clockStep(randomClockStepMillis(random), burstStart, burstEnd),
                    SystemFault.clockStep(randomClockStepMillis(random), burstEnd + random.nextInt(MAX_START_MILLIS), UNLIMITED_MILLIS));
            default -> List.of();
        };
    }

    private static Errno randomErrno(Errno[] errors, Random random) {
        return errors[random.nextInt(errors.length)];
    }

    private static long randomClockStepMillis(Random random) {
        long size = random.nextBoolean() ? HOUR_MILLIS : 1000 + random.nextInt(20_000);
        return random.nextBoolean() ? size : -size;
    }
}
