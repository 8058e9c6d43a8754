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
 * A native library that makes selected system calls of a process fail, loaded by {@code LD_PRELOAD}. It is compiled from its
 * source by the C compiler of the machine.
 */
public final class FaultShim {
    private static final String SOURCE = "fault_shim.c";
    private static final String COMPILER = "cc";

    private final Path library;

    private FaultShim(Path library) {
        this.library = library;
    }

    /**
     * Compiles the library into a folder.
     *
     * @throws IOException if there is no C compiler or it fails; the message contains its output
     */
    public static FaultShim compile(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream resource = FaultShim.class.getResourceAsStream(SOURCE)) {
            Files.write(source, resource.readAllBytes());
        }
        Path library = folder.resolve("libfaultshim.so").toAbsolutePath();
        Process compiler = new ProcessBuilder(COMPILER, "-Wall", "-Wextra", "-Werror", "-O2", "-shared", "-fPIC", "-o",
                library.toString(), source.toString(), "-ldl").redirectErrorStream(true).start();
        String output = new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (compiler.waitFor() != 0) {
            throw new IOException("cannot compile the fault shim: " + output);
        }
        return new FaultShim(library);
    }

    /**
     * Configures a process, before it is started, to preload the library and to inject these faults.
     *
     * @param countsFile file in which the shim counts the injected faults; a file beside it records the connections of the
     *        process
     */
    public void preload(ProcessBuilder process, List<SystemFault> faults, long seed, Path countsFile) {
        process.environment().put("LD_PRELOAD", library.toString());
        process.environment().put("GRADEREACH_FAULTS", faults.stream().map(SystemFault::toRule).collect(Collectors.joining(";")));
        process.environment().put("GRADEREACH_FAULT_SEED", Long.toUnsignedString(seed));
        process.environment().put("GRADEREACH_FAULT_COUNTS", countsFile.toAbsolutePath().toString());
        process.environment().put("GRADEREACH_FAULT_CONNECTIONS", connectionsFile(countsFile).toAbsolutePath().toString());
    }

    private static Path connectionsFile(Path countsFile) {
        return countsFile.resolveSibling(countsFile.getFileName() + ".connections");
    }

    /** The connection events of the process that counts its faults in this file; empty if it has not started yet. */
    public static List<ConnectionEvent> connectionEvents(Path countsFile) throws IOException {
        return ConnectionRecords.read(connectionsFile(countsFile));
    }

    /** How often each of these faults was injected, in their order; zeros if the process has not started yet. */
    public static long[] faultCounts(Path countsFile, List<SystemFault> faults) throws IOException {
        long[] counts = new long[faults.size()];
        if (Files.exists(countsFile)) {
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(countsFile)).order(ByteOrder.nativeOrder());
            for (int i = 0; i < counts.length && bytes.remaining() >= Long.BYTES; i++) {
                counts[i] = bytes.getLong();
            }
        }
        return counts;
    }
}
