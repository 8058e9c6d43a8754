package gradereach.standins.faults;

/** Linux error numbers, the same on x86-64 and arm64 (include/uapi/asm-generic/errno.h and errno-base.h). */
public enum Errno {
    EINTR(4),
    EIO(5),
    ENOMEM(12),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EADDRNOTAVAIL(99),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ENOBUFS(105),
    ETIMEDOUT(110),
    EHOSTUNREACH(113);

    final int number;

    Errno(int number) {
        this.number = number;
    }
}
