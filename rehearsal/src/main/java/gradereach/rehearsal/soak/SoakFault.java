package gradereach.rehearsal.soak;

import gradereach.standins.faults.Errno;
import gradereach.standins.faults.FaultyCall;
import gradereach.standins.faults.SystemFault;
import java.util.List;
import java.util.Random;

/** A kind of trouble that a soak may play; each can be left out, so that a failing seed is cut down. */
public enum SoakFault {
    /** The change log is out of reach for some seconds. */
    OUTAGE,
    /** An executor drains, ends and starts anew. */
    DRAIN,
    /** A process of an executor ends, and a new one is there at once at its address, with nothing loaded. */
    TAKEOVER,
    /** A front end is stopped by SIGSTOP for a while. */
    STANDSTILL,
    /** A front end is told to stop by SIGTERM, killed at the earliest time allowed, and replaced. */
    TERMINATION,
    /** A front end is killed and replaced. */
    KILL,
    /** SIGHUP in quick succession, each with another address of the change log. */
    RELOAD,
    /** Clients that say nothing fill the connections of a front end. */
    CROWD,
    /** An executor is silent, closes connections, spoils or doubles answers. */
    BAD_ANSWERS,
    /** Executors answer probes and questions late for a while, some of them twice, with what held when they were asked. */
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
    /** Waits are interrupted. */
    INTERRUPTED_WAITS,
    /** Connections to executors and to the change log end by ETIMEDOUT or EHOSTUNREACH. */
    BROKEN_CONNECTIONS,
    /** The wall clock is stepped, by seconds or by an hour, either way. */
    WALL_CLOCK;

    /** Beyond the life of every process of a soak. */
    private static final long UNLIMITED_MILLIS = 1_000_000_000;
    private static final long HOUR_MILLIS = 3_600_000;
    /** A process fails within its first seconds, or later. */
    private static final int MAX_START_MILLIS = 8000;
    private static final int MAX_BURST_MILLIS = 3000;

    private static final Errno[] ACCEPT_ERRORS = {Errno.ECONNABORTED, Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM};
    private static final Errno[] SOCKET_ERRORS = {Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM};
    private static final Errno[] CONNECT_ERRORS = {Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EHOSTUNREACH, Errno.ETIMEDOUT,
        Errno.EINTR};
    private static final Errno[] TRANSFER_ERRORS = {Errno.ETIMEDOUT, Errno.EHOSTUNREACH};

    /** What a front end's system calls meet by it during one life; nothing where this trouble comes from elsewhere. */
    List<SystemFault> systemFaults(Random chance) {
        long from = chance.nextInt(MAX_START_MILLIS);
        long burst = from + 500 + chance.nextInt(MAX_BURST_MILLIS);
        return switch (this) {
            case ACCEPT -> List.of(SystemFault.error(FaultyCall.ACCEPT, randomErrno(ACCEPT_ERRORS, chance), 0.3, 0, burst),
                    SystemFault.error(FaultyCall.ACCEPT, randomErrno(ACCEPT_ERRORS, chance), 0.03, 0, UNLIMITED_MILLIS));
            case CONNECT -> List.of(SystemFault.error(FaultyCall.SOCKET, randomErrno(SOCKET_ERRORS, chance), 0.3, from, burst),
                    SystemFault.error(FaultyCall.SOCKET, randomErrno(SOCKET_ERRORS, chance), 0.05, 0, UNLIMITED_MILLIS),
                    SystemFault.error(FaultyCall.CONNECT, randomErrno(CONNECT_ERRORS, chance), 0.5, from, burst),
                    SystemFault.error(FaultyCall.CONNECT, randomErrno(CONNECT_ERRORS, chance), 0.05, 0, UNLIMITED_MILLIS));
            case SHORT_TRANSFERS -> List.of(SystemFault.shortTransfer(FaultyCall.READ, 0.3, 0, UNLIMITED_MILLIS),
                    SystemFault.shortTransfer(FaultyCall.WRITE, 0.3, 0, UNLIMITED_MILLIS));
            case INTERRUPTED_WAITS -> List.of(SystemFault.error(FaultyCall.WAIT, Errno.EINTR, 0.1, 0, UNLIMITED_MILLIS));
            case BROKEN_CONNECTIONS -> List.of(
                    SystemFault.error(FaultyCall.READ_CONNECTED, randomErrno(TRANSFER_ERRORS, chance), 0.002, 0, UNLIMITED_MILLIS),
                    SystemFault.error(FaultyCall.WRITE_CONNECTED, randomErrno(TRANSFER_ERRORS, chance), 0.002, 0, UNLIMITED_MILLIS),
                    SystemFault.error(FaultyCall.WRITE_CONNECTED, randomErrno(TRANSFER_ERRORS, chance), 0.1, from, burst));
            case WALL_CLOCK -> List.of(SystemFault.clockStep(randomClockStepMillis(chance), from, burst),
                    SystemFault.clockStep(randomClockStepMillis(chance), burst + chance.nextInt(MAX_START_MILLIS), UNLIMITED_MILLIS));
            default -> List.of();
        };
    }

    private static Errno randomErrno(Errno[] errors, Random chance) {
        return errors[chance.nextInt(errors.length)];
    }

    private static long randomClockStepMillis(Random chance) {
        long size = chance.nextBoolean() ? HOUR_MILLIS : 1000 + chance.nextInt(20_000);
        return chance.nextBoolean() ? size : -size;
    }
}
