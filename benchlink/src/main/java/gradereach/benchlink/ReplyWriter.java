package gradereach.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Collects the records of one reply and writes it. A reply is a record count, its length, and then the records, each with a code
 * and a size.
 */
final class ReplyWriter {
    // Record codes of the protocol.
    static final int FAIL = 0;
    static final int SHED = 1;
    static final int LOG = 2;
    static final int REQUEST_ROSTER = 3;
    static final int CANCEL = 4;
    static final int UNLOAD_IDLE = 5;
    static final int CLOSE_CONNECTIONS = 6;
    static final int ORDER = 7;
    static final int FAULT = 8;
    static final int SCHEDULE_TIMER = 9;
    static final int FORWARD = 10;
    static final int ROSTER_SUBSCRIPTION = 11;
    static final int PROBE = 12;
    static final int PEER_MESSAGE = 13;

    private static final int MAX_TEXT_BYTES = 4000;
    /** Record count and length. */
    private static final int HEADER_BYTES = 8;
    /** Code and size. */
    private static final int RECORD_HEADER_BYTES = 5;

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16).position(HEADER_BYTES);
    private int recordCount;

    /** Starts a record. The caller puts exactly {@code size} bytes into the returned buffer. */
    ByteBuffer startRecord(int code, int size) {
        if (buffer.remaining() < size + RECORD_HEADER_BYTES) {
            ByteBuffer larger = ByteBuffer.allocate(
                    Math.max(buffer.capacity() * 2, buffer.position() + size + RECORD_HEADER_BYTES));
            buffer = larger.put(buffer.flip());
        }
        recordCount++;
        return buffer.put((byte) code).putInt(size);
    }

    /** Writes a record with a text, which is cut off at the maximum length. */
    void writeText(int code, int instanceId, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            bytes = Arrays.copyOf(bytes, MAX_TEXT_BYTES);
        }
        startRecord(code, 6 + bytes.length).putInt(instanceId).putShort((short) bytes.length).put(bytes);
    }

    /** Puts an IPv4 address and a port, given as one number, into a record. */
    static void putAddress(ByteBuffer record, long address) {
        record.putInt((int) (address >>> 16)).putShort((short) address);
    }

    /** Writes the reply and starts a new one. */
    void flush(OutputStream out) throws IOException {
        buffer.putInt(0, recordCount).putInt(4, buffer.position());
        out.write(buffer.array(), 0, buffer.position());
        out.flush();
        buffer.clear().position(HEADER_BYTES);
        recordCount = 0;
    }
}
