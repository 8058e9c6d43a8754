package gradereach.ledger.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The file system operations that a ledger needs; tests inject faults here. */
public interface Disk {
    /** An append-only file. */
    interface Appender extends Closeable {
        /** Appends all of the bytes. */
        void write(ByteBuffer bytes) throws IOException;

        /** Makes what was written durable. */
        void force() throws IOException;

        /** Cuts the file to that length. */
        void truncate(long length) throws IOException;
    }

    /** Creates a file whose name is durable on return; fails if it exists. */
    Appender create(Path file) throws IOException;

    /** The bytes that can still be written on the folder's file system. */
    long usableSpace(Path folder) throws IOException;

    /** The operating system's file system. */
    Disk FILE_SYSTEM = new Disk() {
        @Override
        public Appender create(Path file) throws IOException {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            // The file's name must be durable before any of its content counts as durable.
            try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
                folder.force(true);
            } catch (IOException e) {
                channel.close();
                Files.deleteIfExists(file);
                throw e;
            }
            return new Appender() {
                @Override
                public void write(ByteBuffer bytes) throws IOException {
                    while (bytes.hasRemaining()) {
                        channel.write(bytes);
                    }
                }

                @Override
                public void force() throws IOException {
                    channel.force(false);
                }

                @Override
                public void truncate(long length) throws IOException {
                    channel.truncate(length);
                }

                @Override
                public void close() throws IOException {
                    channel.close();
                }
            };
        }

        @Override
        public long usableSpace(Path folder) throws IOException {
            return Files.getFileStore(folder).getUsableSpace();
        }
    };
}
