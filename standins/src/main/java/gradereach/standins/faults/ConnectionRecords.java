package gradereach.standins.faults;

import gradereach.standins.faults.ConnectionEvent.Kind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the file in which {@link FaultShim} records the connections of a process; fault_shim.c defines the layout. */
final class ConnectionRecords {
    private static final int HEADER_BYTES = 8;
    private static final int RECORD_BYTES = 32;
    private static final int PORT_MASK = 0xffff;

    private ConnectionRecords() { }

    /**
     * All events so far, in the order in which the shim began to write them.
     *
     * @throws IOException if the file was too small for some of the events
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
            throw new IOException(file + ": too small for " + count + " connection events");
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

    /** Reads one event; null if it was not written completely because the process was killed. */
    private static ConnectionEvent readEvent(ByteBuffer bytes) {
        long nanoTime = bytes.getLong();
        long bytesReceived = bytes.getLong();
        int bytesUnread = bytes.getInt();
        int detail = bytes.getInt();
        int localPort = bytes.getShort() & PORT_MASK;
        int remotePort = bytes.getShort() & PORT_MASK;
        int kind = bytes.getInt();
        return kind < 1 || kind > Kind.values().length ? null
                : new ConnectionEvent(Kind.values()[kind - 1], nanoTime, localPort, remotePort, bytesReceived, bytesUnread, detail);
    }
}
