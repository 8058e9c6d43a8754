/*
 * Makes chosen system calls of one process fail, as Linux documents that they may. Loaded by LD_PRELOAD into a front end
 * under test; it changes nothing outside of that process.
 *
 * GRADEREACH_FAULTS holds rules separated by ';', each CALL:FAULT:RATE:FROM:TO
 *   CALL   accept, connect, socket, read, write (TCP sockets), read.out, write.out (those that this process connected),
 *          wait (epoll_wait), sync (fsync, fdatasync), file (writes to regular files), clock (CLOCK_REALTIME)
 *   FAULT  a number of errno, "short", or "stop" (SIGSTOP to the process itself, before the call, which then goes on); of
 *          clock the step in milliseconds
 *   RATE   probability for one call, 0 to 1
 *   FROM, TO  milliseconds since the process has loaded this, on the monotonic clock
 * GRADEREACH_FAULT_SEED seeds the draws. GRADEREACH_FAULT_COUNTS names a file in which each rule's faults are counted, as
 * one native 64-bit number a rule. GRADEREACH_FAULT_CONNECTIONS names a file in which TCP connections are recorded as they
 * come up, are broken by a fault, and are closed: see struct record.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, CONNECT, SOCKET, READ, WRITE, READ_OUT, WRITE_OUT, WAIT, SYNC, FILE_WRITE, CLOCK, CALLS };

static const char *const CALL_NAMES[CALLS] = {
    "accept", "connect", "socket", "read", "write", "read.out", "write.out", "wait", "sync", "file", "clock"};

enum { MOST_RULES = 64, MOST_DESCRIPTORS = 65536, STOP = -2, SHORT = -1, NONE = 0 };

struct rule {
    enum call call;
    long fault;
    double rate;
    int64_t from;
    int64_t to;
};

static struct rule rules[MOST_RULES];
static int rule_count;
static _Atomic uint64_t *counts;
static _Atomic uint64_t draws;
static uint64_t seed;
static int64_t loaded_at;
/* Descriptors that this process has connected. */
static _Atomic char connected[MOST_DESCRIPTORS];

enum event { CONNECTED = 1, ACCEPTED, BROKEN, SHUT_DOWN, CLOSED, HELD_UP };

enum { MOST_RECORDS = 65536, HELD_UP_MILLIS = 20 };

/* One event of one TCP connection; native byte order. */
struct record {
    int64_t nanos;    /* on the monotonic clock */
    int64_t received; /* bytes that the process has read of it */
    int32_t unread;   /* bytes that the system still holds for the process */
    int32_t detail;   /* of BROKEN the error; of HELD_UP the milliseconds since this thread has read the clock */
    uint16_t local_port;
    uint16_t remote_port;
    uint32_t event;
};

/* Counts every record that was to be made, also beyond the room for them. */
struct records {
    _Atomic int64_t count;
    struct record all[MOST_RECORDS];
};

/* A TCP connection behind a descriptor; none where the remote port is 0. */
struct connection {
    _Atomic uint16_t remote_port;
    uint16_t local_port;
    _Atomic int64_t received;
};

static struct records *records;
/* When this thread has read the monotonic clock last; nanoseconds, 0 before. */
static __thread int64_t clock_read_at;
static struct connection connections[MOST_DESCRIPTORS];

static int (*real_clock_gettime)(clockid_t, struct timespec *);

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) { \
        real = (__typeof__(name) *) dlsym(RTLD_NEXT, #name); \
    }

static int64_t milliseconds(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static int64_t nanoseconds(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static uint64_t random_bits(void) {
    uint64_t z = seed + 0x9e3779b97f4a7c15ULL * (1 + atomic_fetch_add(&draws, 1));
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

static void parse_rule(char *text) {
    char *rest = NULL;
    char *name = strtok_r(text, ":", &rest);
    char *fault = strtok_r(NULL, ":", &rest);
    char *rate = strtok_r(NULL, ":", &rest);
    char *from = strtok_r(NULL, ":", &rest);
    char *to = strtok_r(NULL, ":", &rest);
    if (to == NULL || rule_count == MOST_RULES) {
        fprintf(stderr, "fault shim: cannot be read: %s\n", text);
        _exit(2);
    }
    struct rule *rule = &rules[rule_count++];
    rule->call = CALLS;
    for (int i = 0; i < CALLS; i++) {
        if (strcmp(name, CALL_NAMES[i]) == 0) {
            rule->call = i;
        }
    }
    if (rule->call == CALLS) {
        fprintf(stderr, "fault shim: no such call: %s\n", name);
        _exit(2);
    }
    rule->fault = strcmp(fault, "short") == 0 ? SHORT : strcmp(fault, "stop") == 0 ? STOP : atol(fault);
    rule->rate = atof(rate);
    rule->from = atoll(from);
    rule->to = atoll(to);
}

/* NULL where there is no such file, or it cannot be mapped. */
static void *map_file(const char *file, size_t size) {
    int fd = file == NULL ? -1 : open(file, O_RDWR | O_CREAT, 0600);
    if (fd < 0) {
        return NULL;
    }
    void *shared = ftruncate(fd, size) != 0 ? MAP_FAILED : mmap(NULL, size, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    return shared == MAP_FAILED ? NULL : shared;
}

__attribute__((constructor)) static void load(void) {
    real_clock_gettime = (int (*)(clockid_t, struct timespec *)) dlsym(RTLD_NEXT, "clock_gettime");
    loaded_at = milliseconds();
    const char *seeded = getenv("GRADEREACH_FAULT_SEED");
    seed = seeded == NULL ? 1 : strtoull(seeded, NULL, 10);
    const char *text = getenv("GRADEREACH_FAULTS");
    if (text != NULL) {
        char *copy = strdup(text);
        char *rest = NULL;
        for (char *part = strtok_r(copy, ";", &rest); part != NULL; part = strtok_r(NULL, ";", &rest)) {
            parse_rule(part);
        }
        free(copy);
    }
    static _Atomic uint64_t none[MOST_RULES];
    records = map_file(getenv("GRADEREACH_FAULT_CONNECTIONS"), sizeof(struct records));
    void *shared = map_file(getenv("GRADEREACH_FAULT_COUNTS"), MOST_RULES * sizeof(uint64_t));
    counts = shared == NULL ? none : shared;
}

static void record(int fd, enum event event, int detail) {
    struct connection *connection = &connections[fd];
    uint16_t remote_port = atomic_load(&connection->remote_port);
    if (records == NULL || remote_port == 0) {
        return;
    }
    int unread = 0;
    ioctl(fd, FIONREAD, &unread);
    int64_t at = atomic_fetch_add(&records->count, 1);
    if (at < MOST_RECORDS) {
        records->all[at] = (struct record) {nanoseconds(), atomic_load(&connection->received), unread, detail,
            connection->local_port, remote_port, event};
    }
}

static uint16_t port_of(const struct sockaddr_storage *address) {
    return ntohs(address->ss_family == AF_INET6 ? ((const struct sockaddr_in6 *) address)->sin6_port
        : ((const struct sockaddr_in *) address)->sin_port);
}

/* A connection has begun to be made, or has been accepted. */
static void begin(int fd, uint16_t remote_port, enum event event) {
    struct sockaddr_storage local = {0};
    socklen_t length = sizeof local;
    if (fd < 0 || fd >= MOST_DESCRIPTORS || getsockname(fd, (struct sockaddr *) &local, &length) != 0
        || (local.ss_family != AF_INET && local.ss_family != AF_INET6)) {
        return;
    }
    connections[fd].local_port = port_of(&local);
    atomic_store(&connections[fd].received, 0);
    atomic_store(&connections[fd].remote_port, remote_port);
    record(fd, event, 0);
}

/* The descriptor is about to be closed. */
static void end(int fd) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS && atomic_load(&connections[fd].remote_port) != 0) {
        record(fd, CLOSED, 0);
        atomic_store(&connections[fd].remote_port, 0);
    }
}

/* What is open when the process ends by itself is closed then. */
__attribute__((destructor)) static void unload(void) {
    for (int fd = 0; fd < MOST_DESCRIPTORS; fd++) {
        end(fd);
    }
}

static ssize_t received(int fd, ssize_t bytes) {
    if (bytes > 0 && fd >= 0 && fd < MOST_DESCRIPTORS) {
        atomic_fetch_add(&connections[fd].received, bytes);
    }
    return bytes;
}

/* The fault that this call is to meet now: an errno, SHORT, or NONE. */
static long drawn(enum call call) {
    if (counts == NULL) {
        return NONE; /* before this library was loaded itself */
    }
    for (int i = 0; i < rule_count; i++) {
        const struct rule *rule = &rules[i];
        if (rule->call != call) {
            continue;
        }
        int64_t now = milliseconds() - loaded_at;
        if (now < rule->from || now >= rule->to) {
            continue;
        }
        if ((double) (random_bits() >> 11) / (double) (1ULL << 53) < rule->rate) {
            atomic_fetch_add(&counts[i], 1);
            return rule->fault;
        }
    }
    return NONE;
}

static int is_tcp(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    if (getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) != 0 || (domain != AF_INET && domain != AF_INET6)) {
        return 0;
    }
    int type = 0;
    length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

static int is_connected_by_us(int fd) {
    return fd >= 0 && fd < MOST_DESCRIPTORS && atomic_load(&connected[fd]);
}

static void note(int fd, int by_us) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS) {
        atomic_store(&connected[fd], by_us);
    }
}

/* After ETIMEDOUT and its like a connection is over for both ends. */
static void break_off(int fd, long error) {
    if (error != EINTR && error != EAGAIN) {
        shutdown(fd, SHUT_RDWR);
    }
}

/* What a read or write of a TCP socket meets: NONE and SHORT are for the caller, else -1 has to be returned. */
static long transfer(int fd, enum call all, enum call out) {
    if (!is_tcp(fd)) {
        return NONE;
    }
    long fault = drawn(all);
    if (fault == NONE && is_connected_by_us(fd)) {
        fault = drawn(out);
    }
    if (fault == STOP) {
        kill(getpid(), SIGSTOP);
        fault = NONE;
    }
    if (fault > 0) {
        if (fd < MOST_DESCRIPTORS) {
            record(fd, BROKEN, (int) fault);
        }
        break_off(fd, fault);
        errno = (int) fault;
    }
    return fault;
}

static size_t part_of(size_t length) {
    return length < 2 ? length : 1 + random_bits() % (length - 1);
}

static void accepted(int fd) {
    struct sockaddr_storage peer = {0};
    socklen_t length = sizeof peer;
    if (fd >= 0 && getpeername(fd, (struct sockaddr *) &peer, &length) == 0) {
        begin(fd, port_of(&peer), ACCEPTED);
    }
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept)
    long fault = drawn(ACCEPT);
    if (fault > 0) {
        errno = (int) fault;
        return -1;
    }
    int made = real(fd, address, length);
    note(made, 0);
    accepted(made);
    return made;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4)
    long fault = drawn(ACCEPT);
    if (fault > 0) {
        errno = (int) fault;
        return -1;
    }
    int made = real(fd, address, length, flags);
    note(made, 0);
    accepted(made);
    return made;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect)
    if (!is_tcp(fd)) {
        return real(fd, address, length);
    }
    long fault = drawn(CONNECT);
    if (fault > 0 && fault != EINTR) {
        errno = (int) fault;
        return -1;
    }
    int result = real(fd, address, length);
    note(fd, 1);
    int error = errno;
    begin(fd, port_of((const struct sockaddr_storage *) address), CONNECTED);
    errno = error;
    if (fault == EINTR) { /* it goes on without the caller */
        errno = EINTR;
        return -1;
    }
    return result;
}

int socket(int domain, int type, int protocol) {
    REAL(socket)
    if ((domain == AF_INET || domain == AF_INET6) && (type & SOCK_STREAM) != 0) {
        long fault = drawn(SOCKET);
        if (fault > 0) {
            errno = (int) fault;
            return -1;
        }
    }
    int made = real(domain, type, protocol);
    note(made, 0);
    return made;
}

int close(int fd) {
    REAL(close)
    note(fd, 0);
    end(fd);
    return real(fd);
}

int dup2(int from, int to) {
    REAL(dup2)
    note(to, 0);
    end(to);
    return real(from, to);
}

int shutdown(int fd, int how) {
    REAL(shutdown)
    if (how != SHUT_RD && fd >= 0 && fd < MOST_DESCRIPTORS) {
        record(fd, SHUT_DOWN, 0);
    }
    return real(fd, how);
}

ssize_t read(int fd, void *bytes, size_t length) {
    REAL(read)
    long fault = transfer(fd, READ, READ_OUT);
    return fault > 0 ? -1 : received(fd, real(fd, bytes, fault == SHORT ? part_of(length) : length));
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    REAL(recv)
    long fault = transfer(fd, READ, READ_OUT);
    return fault > 0 ? -1 : received(fd, real(fd, bytes, fault == SHORT ? part_of(length) : length, flags));
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv)
    long fault = transfer(fd, READ, READ_OUT);
    if (fault == SHORT && count > 0) {
        struct iovec first = {parts[0].iov_base, part_of(parts[0].iov_len)};
        return received(fd, real(fd, &first, 1));
    }
    return fault > 0 ? -1 : received(fd, real(fd, parts, count));
}

/* Bytes of a regular file: a fault that is drawn, or NONE. */
static long file_fault(int fd) {
    struct stat about;
    if (rule_count == 0 || fd <= STDERR_FILENO || fstat(fd, &about) != 0 || !S_ISREG(about.st_mode)) {
        return NONE;
    }
    long fault = drawn(FILE_WRITE);
    if (fault > 0) {
        errno = (int) fault;
    }
    return fault;
}

/* A process that is stopped between its last look at the clock and a write sends what may be over by then. */
static void note_held_up(int fd) {
    int64_t held_up = clock_read_at == 0 ? 0 : (nanoseconds() - clock_read_at) / 1000000;
    if (held_up > HELD_UP_MILLIS && is_connected_by_us(fd)) {
        record(fd, HELD_UP, (int) held_up);
    }
}

static long write_fault(int fd) {
    long fault = transfer(fd, WRITE, WRITE_OUT);
    note_held_up(fd);
    return fault == NONE ? file_fault(fd) : fault;
}

ssize_t write(int fd, const void *bytes, size_t length) {
    REAL(write)
    long fault = write_fault(fd);
    return fault > 0 ? -1 : real(fd, bytes, fault == SHORT ? part_of(length) : length);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    REAL(send)
    long fault = write_fault(fd);
    return fault > 0 ? -1 : real(fd, bytes, fault == SHORT ? part_of(length) : length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev)
    long fault = write_fault(fd);
    if (fault == SHORT && count > 0) {
        struct iovec first = {parts[0].iov_base, part_of(parts[0].iov_len)};
        return real(fd, &first, 1);
    }
    return fault > 0 ? -1 : real(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *bytes, size_t length, off64_t offset) {
    REAL(pwrite64)
    long fault = file_fault(fd);
    return fault > 0 ? -1 : real(fd, bytes, fault == SHORT ? part_of(length) : length, offset);
}

static int sync_fault(void) {
    long fault = drawn(SYNC);
    if (fault > 0) {
        errno = (int) fault;
    }
    return fault > 0;
}

int fsync(int fd) {
    REAL(fsync)
    return sync_fault() ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync)
    return sync_fault() ? -1 : real(fd);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait)
    long fault = drawn(WAIT);
    if (fault > 0) {
        errno = (int) fault;
        return -1;
    }
    return real(fd, events, most, timeout);
}

/* Milliseconds by which the wall clock is off now. */
static int64_t clock_step(void) {
    int64_t step = 0;
    for (int i = 0; i < rule_count; i++) {
        if (rules[i].call == CLOCK) {
            int64_t now = milliseconds() - loaded_at;
            if (now >= rules[i].from && now < rules[i].to) {
                step += rules[i].fault;
                atomic_fetch_add(&counts[i], 1);
            }
        }
    }
    return step;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    if (real_clock_gettime == NULL) {
        real_clock_gettime = (int (*)(clockid_t, struct timespec *)) dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real_clock_gettime(clock, time);
    if (result == 0 && clock == CLOCK_MONOTONIC) {
        clock_read_at = time->tv_sec * 1000000000LL + time->tv_nsec;
    }
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t step = clock_step();
        int64_t nanos = time->tv_nsec + step % 1000 * 1000000;
        time->tv_sec += step / 1000 + (nanos < 0 ? -1 : nanos / 1000000000);
        time->tv_nsec = nanos < 0 ? nanos + 1000000000 : nanos % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    (void) zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    if (result == 0) {
        time->tv_sec = now.tv_sec;
        time->tv_usec = now.tv_nsec / 1000;
    }
    return result;
}
