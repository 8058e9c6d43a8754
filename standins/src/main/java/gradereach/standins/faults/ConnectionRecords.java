package gradereach.standins.faults;

import gradereach.standins.faults.ConnectionEvent.Kind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The file in which {@link FaultShim} records a process's connections; the layout is that of the shim's source. */
final class ConnectionRecords {
    private static final int HEADER_BYTES = 8;
    private static final int RECORD_BYTES = 32;
    private static final int PORT_MASK = 0xffff;

    private ConnectionRecords() { }

    /**
     * All events so far, in the order of their beginning.
     *
     * @throws IOException where there was no room for some of them
     */
    static List<ConnectionEvent> read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return List.of();
        }
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file)).order(ByteOrder.nativeOrder());
        if (bytes.remaining() < HEADER_BYTES) {
            return List.of();
        }
        long count = bytes.getLong();
        if (count > bytes.remaining() / RECORD_BYTES) {
            throw new IOException(file + ": no room for " + count + " events of connections");
        }
        List<ConnectionEvent> events = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            ConnectionEvent event = readEvent(bytes);
            if (event != null) {
                events.add(event);
            }
        }
        return events;
    }

    /** Null for one that was not written to its end, as by a process that was killed. */
    private static ConnectionEvent readEvent(ByteBuffer bytes) {
        long nanos = bytes.getLong();
        long received = bytes.getLong();
        int unread = bytes.getInt();
        int detail = bytes.getInt();
        int localPort = bytes.getShort() & PORT_MASK;
        int remotePort = bytes.getShort() & PORT_MASK;
        int kind = bytes.getInt();
        return kind < 1 || kind > Kind.values().length ? null
                : new ConnectionEvent(Kind.values()[kind - 1], nanos, localPort, remotePort, received, unread, detail);
    }
}
