package gradereach.rehearsal;

import gradereach.desk.ExecutorTransport;
import gradereach.desk.InFlightForward;
import gradereach.ledger.disk.Disk;
import gradereach.plan.Deployment;
import gradereach.serve.FaultInjection;
import gradereach.serve.FrontEndProcess;
import gradereach.serve.Gateway;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/**
 * A front end process with one injected fault. Arguments: {@code FAULT FILE}, or {@code FAULT warm FILE} for a front end
 * that warms up and shuts down gracefully; {@code FILE} is its deployment file.
 *
 * <p>{@code write:N:before|torn|after}, {@code force:N:after} and {@code forward:N:before|after} end the process at the
 * N-th such step like kill -9: nothing is flushed and no shutdown hook runs. {@code full:MILLIS} simulates a full disk for
 * that long from the first write on, {@code slow:MILLIS} a disk whose force takes that much longer, {@code none} injects
 * nothing. The header of a segment, and its force, are not counted.
 */
public final class FaultyFrontEnd {
    /** The exit code of a process that was killed by SIGKILL: 128 + 9. */
    static final int KILLED_EXIT_CODE = 137;

    /** The fault argument, split at its colons. */
    private static String[] fault;
    /** When the simulated disk has space again, by {@link System#nanoTime}. */
    private static volatile long fullUntilNanos;

    private FaultyFrontEnd() { }

    public static void main(String[] args) throws Exception {
        fault = args[0].split(":");
        FaultInjection faultInjection = new FaultInjection(UnaryOperator.identity(), FaultyFrontEnd::wrapTransport, createDisk());
        if (args.length > 2) {
            System.exit(FrontEndProcess.run(Path.of(args[2]), faultInjection, System.out, System.err));
        }
        InetSocketAddress address = new Gateway(Deployment.read(Path.of(args[1])), faultInjection).listen();
        System.out.println("listening 127.0.0.1:" + address.getPort());
        Thread.sleep(Long.MAX_VALUE); // runs until it is killed from outside or by its fault
    }

    /** Whether the fault is {@code step:number:when}. */
    private static boolean faultMatches(String step, int number, String when) {
        return fault[0].equals(step) && Integer.parseInt(fault[1]) == number && fault[2].equals(when);
    }

    /** Ends the process if the fault is {@code step:number:when}. */
    private static void crashAt(String step, int number, String when) {
        if (faultMatches(step, number, when)) {
            Runtime.getRuntime().halt(KILLED_EXIT_CODE);
        }
    }

    private static ExecutorTransport wrapTransport(ExecutorTransport real) {
        AtomicInteger forwards = new AtomicInteger();
        return (ExecutorTransport) Proxy.newProxyInstance(ExecutorTransport.class.getClassLoader(),
                new Class<?>[] {ExecutorTransport.class},
                (proxy, method, args) -> {
                    boolean isForward = args[0] instanceof InFlightForward && method.getName().equals("forward");
                    int number = isForward ? forwards.incrementAndGet() : 0;
                    crashAt("forward", number, "before");
                    try {
                        method.invoke(real, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                    if (faultMatches("forward", number, "after")) {
                        Thread.sleep(100); // for the I/O thread to write the forward to the connection
                        crashAt("forward", number, "after");
                    }
                    return null;
                });
    }

    private static Disk createDisk() {
        AtomicInteger writes = new AtomicInteger();
        AtomicInteger forces = new AtomicInteger();
        return new Disk() {
            @Override
            public Appender create(Path file) throws IOException {
                throwIfFull();
                Appender real = FILE_SYSTEM.create(file);
                return new Appender() {
                    private boolean headerWritten;
                    private boolean headerForced;

                    @Override
                    public void write(ByteBuffer bytes) throws IOException {
                        if (!headerWritten) {
                            headerWritten = true;
                            real.write(bytes);
                            return;
                        }
                        int number = writes.incrementAndGet();
                        if (number == 1 && fault[0].equals("full")) {
                            fullUntilNanos = System.nanoTime() + Long.parseLong(fault[1]) * 1_000_000;
                        }
                        throwIfFull();
                        crashAt("write", number, "before");
                        if (faultMatches("write", number, "torn")) {
                            real.write(bytes.duplicate().limit(bytes.position() + bytes.remaining() / 2));
                            crashAt("write", number, "torn");
                        }
                        real.write(bytes);
                        crashAt("write", number, "after");
                    }

                    @Override
                    public void force() throws IOException {
                        if (fault[0].equals("slow")) {
                            try {
                                Thread.sleep(Long.parseLong(fault[1]));
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        }
                        throwIfFull();
                        real.force();
                        if (headerForced) {
                            crashAt("force", forces.incrementAndGet(), "after");
                        }
                        headerForced = true;
                    }

                    @Override
                    public void truncate(long length) throws IOException {
                        real.truncate(length);
                    }

                    @Override
                    public void close() throws IOException {
                        real.close();
                    }
                };
            }

            @Override
            public long usableSpace(Path folder) throws IOException {
                return isFull() ? 0 : FILE_SYSTEM.usableSpace(folder);
            }
        };
    }

    private static boolean isFull() {
        return fullUntilNanos - System.nanoTime() > 0;
    }

    private static void throwIfFull() throws IOException {
        if (isFull()) {
            throw new IOException("No space left on device");
        }
    }
}
