package gradereach.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the records of one reply. */
final class ReplyWriter {
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

    private ByteBuffer out = ByteBuffer.allocate(1 << 16).position(8);
    private int recordCount;

    /** Starts a record. The caller puts exactly {@code size} bytes into the returned buffer. */
    ByteBuffer startRecord(int code, int size) {
        if (out.remaining() < size + 5) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(out.capacity() * 2, out.position() + size + 5));
            out = larger.put(out.flip());
        }
        recordCount++;
        return out.put((byte) code).putInt(size);
    }

    /** Writes a record with a text, cut off at the maximum length. */
    void writeText(int code, int instance, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            bytes = Arrays.copyOf(bytes, MAX_TEXT_BYTES);
        }
        startRecord(code, 6 + bytes.length).putInt(instance).putShort((short) bytes.length).put(bytes);
    }

    static void putAddress(ByteBuffer to, long address) {
        to.putInt((int) (address >>> 16)).putShort((short) address);
    }

    /** Writes the reply and starts a new one. */
    void flush(OutputStream to) throws IOException {
        out.putInt(0, recordCount).putInt(4, out.position());
        to.write(out.array(), 0, out.position());
        to.flush();
        out.clear().position(8);
        recordCount = 0;
    }
}
