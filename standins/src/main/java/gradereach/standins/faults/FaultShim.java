package gradereach.standins.faults;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A library that makes chosen system calls of one process fail, loaded into it by {@code LD_PRELOAD}. It is compiled from
 * its source by the machine's C compiler.
 */
public final class FaultShim {
    private static final String SOURCE = "fault_shim.c";
    private static final String COMPILER = "cc";

    private final Path library;

    private FaultShim(Path library) {
        this.library = library;
    }

    /**
     * Compiles it into a folder.
     *
     * @throws IOException where there is no C compiler, or it fails; the message holds what it printed
     */
    public static FaultShim compile(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream shipped = FaultShim.class.getResourceAsStream(SOURCE)) {
            Files.write(source, shipped.readAllBytes());
        }
        Path library = folder.resolve("libfaultshim.so").toAbsolutePath();
        Process compiler = new ProcessBuilder(COMPILER, "-Wall", "-Wextra", "-Werror", "-O2", "-shared", "-fPIC", "-o",
                library.toString(), source.toString(), "-ldl").redirectErrorStream(true).start();
        String printed = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (compiler.waitFor() != 0) {
            throw new IOException("the fault shim cannot be compiled: " + printed);
        }
        return new FaultShim(library);
    }

    /**
     * Has a process that is about to be started meet these faults.
     *
     * @param counts a file in which each fault is counted as it is met; one beside it records the process's connections
     */
    public void preload(ProcessBuilder process, List<SystemFault> faults, long seed, Path counts) {
        process.environment().put("LD_PRELOAD", library.toString());
        process.environment().put("GRADEREACH_FAULTS", faults.stream().map(SystemFault::toRule).collect(Collectors.joining(";")));
        process.environment().put("GRADEREACH_FAULT_SEED", Long.toUnsignedString(seed));
        process.environment().put("GRADEREACH_FAULT_COUNTS", counts.toAbsolutePath().toString());
        process.environment().put("GRADEREACH_FAULT_CONNECTIONS", connectionsFile(counts).toAbsolutePath().toString());
    }

    private static Path connectionsFile(Path counts) {
        return counts.resolveSibling(counts.getFileName() + ".connections");
    }

    /** What became of the connections of the process that counts its faults there; none where it has not begun. */
    public static List<ConnectionEvent> connectionEvents(Path counts) throws IOException {
        return ConnectionRecords.read(connectionsFile(counts));
    }

    /** How often each of these faults was met, in their order; zeros where the process has not begun. */
    public static long[] faultCounts(Path counts, List<SystemFault> faults) throws IOException {
        long[] met = new long[faults.size()];
        if (Files.exists(counts)) {
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(counts)).order(ByteOrder.nativeOrder());
            for (int i = 0; i < met.length && bytes.remaining() >= Long.BYTES; i++) {
                met[i] = bytes.getLong();
            }
        }
        return met;
    }
}
