package gradereach.ledger.disk;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A small file of a ledger's folder that is replaced atomically: after a crash at any step it holds the old text or the new one. */
final class AtomicTextFile {
    private AtomicTextFile() { }

    /** The text of the file; null if it does not exist. */
    static String read(Path folder, String name) throws IOException {
        Path file = folder.resolve(name);
        return Files.exists(file) ? Files.readString(file).strip() : null;
    }

    /**
     * Creates the temporary file that the next {@link #write} fills and renames, so that its inode is known before its text is
     * written.
     */
    static Path createTemporary(Path folder, String name) throws IOException {
        Path temporary = folder.resolve(name + ".new");
        Files.deleteIfExists(temporary);
        return Files.createFile(temporary);
    }

    /** Replaces the text of the file; durable on return. */
    static void write(Path folder, String name, String text) throws IOException {
        Path temporary = folder.resolve(name + ".new");
        Files.writeString(temporary, text);
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
        Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        LedgerFolder.syncFolder(folder);
    }
}
