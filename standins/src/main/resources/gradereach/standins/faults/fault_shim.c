/*
 * Makes selected system calls of one process fail with errors that Linux documents for them. Loaded by LD_PRELOAD into a
 * front end under test; nothing outside of that process is affected.
 *
 * GRADEREACH_FAULTS holds rules separated by ';', each CALL:FAULT:RATE:FROM:TO
 *   CALL   accept, connect, socket, read, write (TCP sockets), read.out, write.out (TCP sockets that this process connected),
 *          wait (epoll_wait), sync (fsync, fdatasync), file (writes to regular files), clock (CLOCK_REALTIME)
 *   FAULT  an errno number; "short" (a partial read or write); for TCP sockets also "stop" (the process sends itself SIGSTOP
 *          before the read or write and makes the call once it is continued); for clock the step in milliseconds
 *   RATE   probability of the fault in one call, 0 to 1
 *   FROM, TO  milliseconds since the process loaded this library, on the monotonic clock
 * GRADEREACH_FAULT_SEED seeds the random numbers. GRADEREACH_FAULT_COUNTS names a file that counts the faults injected by
 * each rule, one native 64-bit number per rule. GRADEREACH_FAULT_CONNECTIONS names a file that records when TCP connections
 * are opened, broken by a fault, and closed: see struct record.
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

enum { MAX_RULES = 64, MAX_DESCRIPTORS = 65536, STOP = -2, SHORT = -1, NONE = 0 };

struct rule {
    enum call call;
    long fault; /* an errno, SHORT or STOP; for CLOCK the step in milliseconds */
    double rate;
    int64_t from_millis;
    int64_t to_millis;
};

static struct rule rules[MAX_RULES];
static int rule_count;
static _Atomic uint64_t *counts;
static _Atomic uint64_t random_count; /* random numbers drawn so far */
static uint64_t seed;
static int64_t loaded_at_millis;
/* Whether this process made the connection behind the descriptor with connect(). */
static _Atomic char connected_by_process[MAX_DESCRIPTORS];

enum event { CONNECTED = 1, ACCEPTED, BROKEN, SHUT_DOWN, CLOSED, HELD_UP };

enum { MAX_RECORDS = 65536, MIN_WRITE_STALL_MILLIS = 20 };

/* One event of one TCP connection; native byte order. */
struct record {
    int64_t nanos;    /* nanoseconds on the monotonic clock */
    int64_t received; /* bytes that the process has read from the connection */
    int32_t unread;   /* bytes in the receive buffer of the kernel */
    int32_t detail;   /* for BROKEN the errno; for HELD_UP the milliseconds since this thread last read the clock */
    uint16_t local_port;
    uint16_t remote_port;
    uint32_t event;
};

/* The count includes the records that were dropped because the array was full. */
struct records {
    _Atomic int64_t count;
    struct record entries[MAX_RECORDS];
};

/* The TCP connection of a descriptor; a remote port of 0 means that there is none. */
struct connection {
    _Atomic uint16_t remote_port;
    uint16_t local_port;
    _Atomic int64_t received;
};

static struct records *records;
/* When this thread last read the monotonic clock, in nanoseconds; 0 before the first time. */
static __thread int64_t clock_read_at_nanos;
static struct connection connections[MAX_DESCRIPTORS];

static int (*real_clock_gettime)(clockid_t, struct timespec *);

/* Declares real, the replaced function of the C library, and looks it up at the first call. */
#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) { \
        real = (__typeof__(name) *) dlsym(RTLD_NEXT, #name); \
    }

static int64_t monotonic_millis(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static int64_t monotonic_nanos(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static uint64_t random_bits(void) {
    uint64_t z = seed + 0x9e3779b97f4a7c15ULL * (1 + atomic_fetch_add(&random_count, 1));
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
    if (to == NULL || rule_count == MAX_RULES) {
        fprintf(stderr, "fault shim: malformed rule or too many rules: %s\n", text);
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
        fprintf(stderr, "fault shim: unknown call in rule: %s\n", name);
        _exit(2);
    }
    rule->fault = strcmp(fault, "short") == 0 ? SHORT : strcmp(fault, "stop") == 0 ? STOP : atol(fault);
    rule->rate = atof(rate);
    rule->from_millis = atoll(from);
    rule->to_millis = atoll(to);
}

/* Maps the file, or returns NULL if there is no file name or the file cannot be opened or mapped. */
static void *map_file(const char *file, size_t size) {
    int fd = file == NULL ? -1 : open(file, O_RDWR | O_CREAT, 0600);
    if (fd < 0) {
        return NULL;
    }
    void *mapping = ftruncate(fd, size) != 0 ? MAP_FAILED : mmap(NULL, size, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    return mapping == MAP_FAILED ? NULL : mapping;
}

/* Reads the configuration from the environment. */
__attribute__((constructor)) static void load(void) {
    real_clock_gettime = (int (*)(clockid_t, struct timespec *)) dlsym(RTLD_NEXT, "clock_gettime");
    loaded_at_millis = monotonic_millis();
    const char *seed_text = getenv("GRADEREACH_FAULT_SEED");
    seed = seed_text == NULL ? 1 : strtoull(seed_text, NULL, 10);
    const char *text = getenv("GRADEREACH_FAULTS");
    if (text != NULL) {
        char *copy = strdup(text);
        char *rest = NULL;
        for (char *rule_text = strtok_r(copy, ";", &rest); rule_text != NULL; rule_text = strtok_r(NULL, ";", &rest)) {
            parse_rule(rule_text);
        }
        free(copy);
    }
    static _Atomic uint64_t unshared_counts[MAX_RULES];
    records = map_file(getenv("GRADEREACH_FAULT_CONNECTIONS"), sizeof(struct records));
    void *mapping = map_file(getenv("GRADEREACH_FAULT_COUNTS"), MAX_RULES * sizeof(uint64_t));
    counts = mapping == NULL ? unshared_counts : mapping;
}

/* Records an event of the connection of a descriptor; does nothing if there is none. */
static void record(int fd, enum event event, int detail) {
    struct connection *connection = &connections[fd];
    uint16_t remote_port = atomic_load(&connection->remote_port);
    if (records == NULL || remote_port == 0) {
        return;
    }
    int unread = 0;
    ioctl(fd, FIONREAD, &unread);
    int64_t index = atomic_fetch_add(&records->count, 1);
    if (index < MAX_RECORDS) {
        records->entries[index] = (struct record) {monotonic_nanos(), atomic_load(&connection->received), unread, detail,
            connection->local_port, remote_port, event};
    }
}

static uint16_t port_of(const struct sockaddr_storage *address) {
    return ntohs(address->ss_family == AF_INET6 ? ((const struct sockaddr_in6 *) address)->sin6_port
        : ((const struct sockaddr_in *) address)->sin_port);
}

/* Starts to record a connection that is being made or has been accepted. */
static void connection_opened(int fd, uint16_t remote_port, enum event event) {
    struct sockaddr_storage local = {0};
    socklen_t length = sizeof local;
    if (fd < 0 || fd >= MAX_DESCRIPTORS || getsockname(fd, (struct sockaddr *) &local, &length) != 0
        || (local.ss_family != AF_INET && local.ss_family != AF_INET6)) {
        return;
    }
    connections[fd].local_port = port_of(&local);
    atomic_store(&connections[fd].received, 0);
    atomic_store(&connections[fd].remote_port, remote_port);
    record(fd, event, 0);
}

/* Records the close of the connection of a descriptor that is about to be closed. */
static void connection_closed(int fd) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS && atomic_load(&connections[fd].remote_port) != 0) {
        record(fd, CLOSED, 0);
        atomic_store(&connections[fd].remote_port, 0);
    }
}

/* Records the connections that are still open at a normal process exit as closed. */
__attribute__((destructor)) static void unload(void) {
    for (int fd = 0; fd < MAX_DESCRIPTORS; fd++) {
        connection_closed(fd);
    }
}

/* Adds the bytes of a read to those received on its connection, and returns them. */
static ssize_t count_received(int fd, ssize_t bytes) {
    if (bytes > 0 && fd >= 0 && fd < MAX_DESCRIPTORS) {
        atomic_fetch_add(&connections[fd].received, bytes);
    }
    return bytes;
}

/* Decides at random which fault to inject into this call: an errno, SHORT, STOP, or NONE. */
static long draw_fault(enum call call) {
    if (counts == NULL) {
        return NONE; /* called before the constructor of this library has run */
    }
    for (int i = 0; i < rule_count; i++) {
        const struct rule *rule = &rules[i];
        if (rule->call != call) {
            continue;
        }
        int64_t now = monotonic_millis() - loaded_at_millis;
        if (now < rule->from_millis || now >= rule->to_millis) {
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

static int is_connected_by_process(int fd) {
    return fd >= 0 && fd < MAX_DESCRIPTORS && atomic_load(&connected_by_process[fd]);
}

static void set_connected_by_process(int fd, int value) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) {
        atomic_store(&connected_by_process[fd], value);
    }
}

/* Shuts the connection down for both ends, as errors like ETIMEDOUT do; EINTR and EAGAIN leave it open. */
static void shut_down_connection(int fd, long error) {
    if (error != EINTR && error != EAGAIN) {
        shutdown(fd, SHUT_RDWR);
    }
}

/*
 * Injects a fault into a read or write of a TCP socket. The caller handles NONE and SHORT; for any other value errno is set
 * and the call must return -1.
 */
static long transfer_fault(int fd, enum call any_socket, enum call own_connection) {
    if (!is_tcp(fd)) {
        return NONE;
    }
    long fault = draw_fault(any_socket);
    if (fault == NONE && is_connected_by_process(fd)) {
        fault = draw_fault(own_connection);
    }
    if (fault == STOP) {
        kill(getpid(), SIGSTOP);
        fault = NONE;
    }
    if (fault > 0) {
        if (fd < MAX_DESCRIPTORS) {
            record(fd, BROKEN, (int) fault);
        }
        shut_down_connection(fd, fault);
        errno = (int) fault;
    }
    return fault;
}

/* A random length for a partial transfer: at least 1, and less than the requested length if that is above 1. */
static size_t random_prefix_length(size_t length) {
    return length < 2 ? length : 1 + random_bits() % (length - 1);
}

static void connection_accepted(int fd) {
    struct sockaddr_storage peer = {0};
    socklen_t length = sizeof peer;
    if (fd >= 0 && getpeername(fd, (struct sockaddr *) &peer, &length) == 0) {
        connection_opened(fd, port_of(&peer), ACCEPTED);
    }
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept)
    long fault = draw_fault(ACCEPT);
    if (fault > 0) {
        errno = (int) fault;
        return -1;
    }
    int new_fd = real(fd, address, length);
    set_connected_by_process(new_fd, 0);
    connection_accepted(new_fd);
    return new_fd;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4)
    long fault = draw_fault(ACCEPT);
    if (fault > 0) {
        errno = (int) fault;
        return -1;
    }
    int new_fd = real(fd, address, length, flags);
    set_connected_by_process(new_fd, 0);
    connection_accepted(new_fd);
    return new_fd;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect)
    if (!is_tcp(fd)) {
        return real(fd, address, length);
    }
    long fault = draw_fault(CONNECT);
    if (fault > 0 && fault != EINTR) {
        errno = (int) fault;
        return -1;
    }
    int result = real(fd, address, length);
    set_connected_by_process(fd, 1);
    int error = errno;
    connection_opened(fd, port_of((const struct sockaddr_storage *) address), CONNECTED);
    errno = error;
    if (fault == EINTR) { /* the connect continues in the background */
        errno = EINTR;
        return -1;
    }
    return result;
}

int socket(int domain, int type, int protocol) {
    REAL(socket)
    if ((domain == AF_INET || domain == AF_INET6) && (type & SOCK_STREAM) != 0) {
        long fault = draw_fault(SOCKET);
        if (fault > 0) {
            errno = (int) fault;
            return -1;
        }
    }
    int new_fd = real(domain, type, protocol);
    set_connected_by_process(new_fd, 0);
    return new_fd;
}

int close(int fd) {
    REAL(close)
    set_connected_by_process(fd, 0);
    connection_closed(fd);
    return real(fd);
}

int dup2(int from, int to) {
    REAL(dup2)
    set_connected_by_process(to, 0);
    connection_closed(to);
    return real(from, to);
}

int shutdown(int fd, int how) {
    REAL(shutdown)
    if (how != SHUT_RD && fd >= 0 && fd < MAX_DESCRIPTORS) {
        record(fd, SHUT_DOWN, 0);
    }
    return real(fd, how);
}

ssize_t read(int fd, void *bytes, size_t length) {
    REAL(read)
    long fault = transfer_fault(fd, READ, READ_OUT);
    return fault > 0 ? -1 : count_received(fd, real(fd, bytes, fault == SHORT ? random_prefix_length(length) : length));
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    REAL(recv)
    long fault = transfer_fault(fd, READ, READ_OUT);
    return fault > 0 ? -1 : count_received(fd, real(fd, bytes, fault == SHORT ? random_prefix_length(length) : length, flags));
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv)
    long fault = transfer_fault(fd, READ, READ_OUT);
    if (fault == SHORT && count > 0) {
        struct iovec first = {parts[0].iov_base, random_prefix_length(parts[0].iov_len)};
        return count_received(fd, real(fd, &first, 1));
    }
    return fault > 0 ? -1 : count_received(fd, real(fd, parts, count));
}

/* The fault to inject into a write to a regular file, or NONE. */
static long file_fault(int fd) {
    struct stat status;
    if (rule_count == 0 || fd <= STDERR_FILENO || fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) {
        return NONE;
    }
    long fault = draw_fault(FILE_WRITE);
    if (fault > 0) {
        errno = (int) fault;
    }
    return fault;
}

/*
 * Records a long time between the last clock reading of this thread and a write: what a process sends after it was stopped
 * there may be outdated.
 */
static void record_stalled_write(int fd) {
    int64_t stall_millis = clock_read_at_nanos == 0 ? 0 : (monotonic_nanos() - clock_read_at_nanos) / 1000000;
    if (stall_millis > MIN_WRITE_STALL_MILLIS && is_connected_by_process(fd)) {
        record(fd, HELD_UP, (int) stall_millis);
    }
}

static long write_fault(int fd) {
    long fault = transfer_fault(fd, WRITE, WRITE_OUT);
    record_stalled_write(fd);
    return fault == NONE ? file_fault(fd) : fault;
}

ssize_t write(int fd, const void *bytes, size_t length) {
    REAL(write)
    long fault = write_fault(fd);
    return fault > 0 ? -1 : real(fd, bytes, fault == SHORT ? random_prefix_length(length) : length);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    REAL(send)
    long fault = write_fault(fd);
    return fault > 0 ? -1 : real(fd, bytes, fault == SHORT ? random_prefix_length(length) : length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev)
    long fault = write_fault(fd);
    if (fault == SHORT && count > 0) {
        struct iovec first = {parts[0].iov_base, random_prefix_length(parts[0].iov_len)};
        return real(fd, &first, 1);
    }
    return fault > 0 ? -1 : real(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *bytes, size_t length, off64_t offset) {
    REAL(pwrite64)
    long fault = file_fault(fd);
    return fault > 0 ? -1 : real(fd, bytes, fault == SHORT ? random_prefix_length(length) : length, offset);
}

static int sync_fault(void) {
    long fault = draw_fault(SYNC);
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

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait)
    long fault = draw_fault(WAIT);
    if (fault > 0) {
        errno = (int) fault;
        return -1;
    }
    return real(fd, events, max_events, timeout);
}

/* Milliseconds that the rules add to the wall clock now. */
static int64_t clock_step_millis(void) {
    int64_t step_millis = 0;
    for (int i = 0; i < rule_count; i++) {
        if (rules[i].call == CLOCK) {
            int64_t now = monotonic_millis() - loaded_at_millis;
            if (now >= rules[i].from_millis && now < rules[i].to_millis) {
                step_millis += rules[i].fault;
                atomic_fetch_add(&counts[i], 1);
            }
        }
    }
    return step_millis;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    if (real_clock_gettime == NULL) {
        real_clock_gettime = (int (*)(clockid_t, struct timespec *)) dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real_clock_gettime(clock, time);
    if (result == 0 && clock == CLOCK_MONOTONIC) {
        clock_read_at_nanos = time->tv_sec * 1000000000LL + time->tv_nsec;
    }
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t step_millis = clock_step_millis();
        int64_t nanos = time->tv_nsec + step_millis % 1000 * 1000000;
        time->tv_sec += step_millis / 1000 + (nanos < 0 ? -1 : nanos / 1000000000);
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
