package gradereach.ledger.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The few things that a ledger asks of a disk; tests put faults here. */
public interface Disk {
    /** A file that is only appended to. */
    interface Appender extends Closeable {
        void write(ByteBuffer bytes) throws IOException;

        void force() throws IOException;

        void truncate(long length) throws IOException;
    }

    Appender create(Path file) throws IOException;

    /** Bytes that may still be written. */
    long usableSpace(Path folder) throws IOException;

    Disk FILE_SYSTEM = new Disk() {
        @Override
        public Appender create(Path file) throws IOException {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            // The name must be durable before anything in the file is said to be.
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
