package gradereach.standins.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;

/** Makes calls of every kind that {@link FaultShim} can fail, and prints the observed errors, partial transfers and clocks. */
final class FaultedProcess {
    static final int ROUNDS = 200;
    static final int BYTES = 1000;

    private final Set<String> errors = new TreeSet<>();
    private int shortReads;
    private int shortWrites;

    private FaultedProcess() { }

    /** Runs the calls; the argument is the file to write to. */
    public static void main(String[] args) throws Exception {
        FaultedProcess process = new FaultedProcess();
        long startNanos = System.nanoTime();
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress("127.0.0.1", 0));
            for (int i = 0; i < ROUNDS; i++) {
                process.transfer(listener);
            }
        }
        process.writeAndSync(Path.of(args[0]));
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < ROUNDS; i++) {
                selector.select(1);
            }
        }
        System.out.println("errors=" + process.errors);
        System.out.println("short=" + (process.shortReads > 0) + "," + (process.shortWrites > 0));
        // A dot ends each number.
        System.out.println("unix=" + System.currentTimeMillis() + ".");
        System.out.println("monotonic=" + (System.nanoTime() - startNanos) / 1_000_000 + ".");
    }

    private void transfer(ServerSocketChannel listener) {
        try (SocketChannel client = SocketChannel.open(listener.getLocalAddress());
                SocketChannel accepted = accept(listener)) {
            shortWrites += client.write(ByteBuffer.allocate(BYTES)) < BYTES ? 1 : 0;
            shortReads += accepted.read(ByteBuffer.allocate(BYTES)) < BYTES ? 1 : 0;
        } catch (IOException e) {
            errors.add(e.getMessage());
        }
    }

    private SocketChannel accept(ServerSocketChannel listener) {
        while (true) {
            try {
                return listener.accept();
            } catch (IOException e) {
                errors.add(e.getMessage());
            }
        }
    }

    private void writeAndSync(Path path) throws IOException {
        try (FileChannel file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            for (int i = 0; i < ROUNDS; i++) {
                try {
                    file.write(ByteBuffer.allocate(1));
                    file.force(true);
                } catch (IOException e) {
                    errors.add(e.getMessage());
                }
            }
        }
    }
}
