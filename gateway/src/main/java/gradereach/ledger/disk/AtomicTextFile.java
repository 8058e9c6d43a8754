package gradereach.ledger.disk;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A small file of a ledger's folder that is replaced as a whole: cut at any step, it holds the old text or the new one. */
final class AtomicTextFile {
    private AtomicTextFile() { }

    /** Null where there is none. */
    static String read(Path folder, String name) throws IOException {
        Path file = folder.resolve(name);
        return Files.exists(file) ? Files.readString(file).strip() : null;
    }

    /** Makes the file that the next {@link #write} gives its text and its name. */
    static Path createTemporary(Path folder, String name) throws IOException {
        Path fresh = folder.resolve(name + ".new");
        Files.deleteIfExists(fresh);
        return Files.createFile(fresh);
    }

    /** Durable when it returns. */
    static void write(Path folder, String name, String text) throws IOException {
        Path fresh = folder.resolve(name + ".new");
        Files.writeString(fresh, text);
        try (FileChannel file = FileChannel.open(fresh, StandardOpenOption.WRITE)) {
            file.force(true);
        }
        Files.move(fresh, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        LedgerFolder.syncFolder(folder);
    }
}
