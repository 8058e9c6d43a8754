package gradereach.benchlink;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/**
 * Reads the frames of the simulator protocol and the records in them. Keeps the position in the input, so that errors can name
 * the byte. A frame is its length, a record count, a time, and then the records, each with a code and a size.
 */
final class FrameReader {
    private static final int LENGTH_PREFIX_BYTES = 4;
    /** Length prefix, record count and time. */
    private static final int HEADER_BYTES = 16;
    /** Code and size. */
    private static final int RECORD_HEADER_BYTES = 5;
    /** The largest array that every Java virtual machine can allocate. */
    private static final int MAX_FRAME_BYTES = Integer.MAX_VALUE - 8;

    private final InputStream in;
    private final byte[] lengthPrefix = new byte[LENGTH_PREFIX_BYTES];
    /** The current frame after its length prefix. */
    private byte[] frameBytes = new byte[1 << 16];
    private ByteBuffer buffer = ByteBuffer.wrap(frameBytes);
    /** Position of the current frame in the input, in bytes. */
    private long frameStart;
    private long nextFrameStart;
    /** With the length prefix. */
    private int frameLength;
    /** End of the current record in the buffer. */
    private int recordEnd;

    /** The number of records in the current frame. */
    int recordCount;
    /** The time of the current frame, in milliseconds. */
    double frameTime;
    /** The code of the current record. */
    int recordCode;

    FrameReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next frame up to its first record. Returns false if the input ended. */
    boolean readNextFrame() throws IOException {
        frameStart = nextFrameStart;
        int bytesRead = in.readNBytes(lengthPrefix, 0, LENGTH_PREFIX_BYTES);
        if (bytesRead == 0) {
            return false;
        }
        if (bytesRead < LENGTH_PREFIX_BYTES) {
            throw new InvalidInputException("input ends inside a frame's length at byte " + (frameStart + bytesRead));
        }
        long length = ByteBuffer.wrap(lengthPrefix).getInt() & 0xffffffffL;
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new InvalidInputException("frame length " + length + " at byte " + frameStart + " is out of range");
        }
        frameLength = (int) length;
        int remaining = frameLength - LENGTH_PREFIX_BYTES;
        if (remaining <= frameBytes.length) {
            bytesRead = in.readNBytes(frameBytes, 0, remaining);
        } else {
            // readNBytes(int) allocates memory as bytes arrive, so that a corrupt length does not allocate gigabytes at once.
            byte[] larger = in.readNBytes(remaining);
            bytesRead = larger.length;
            frameBytes = larger;
            buffer = ByteBuffer.wrap(frameBytes);
        }
        if (bytesRead < remaining) {
            throw new EOFException("input ends inside a frame at byte " + (frameStart + LENGTH_PREFIX_BYTES + bytesRead));
        }
        nextFrameStart = frameStart + frameLength;
        buffer.clear().limit(remaining);
        recordCount = buffer.getInt();
        frameTime = buffer.getDouble();
        recordEnd = buffer.position();
        return true;
    }

    /** Moves to the next record of the frame. */
    void readNextRecord() throws InvalidInputException {
        buffer.limit(frameLength - LENGTH_PREFIX_BYTES).position(recordEnd);
        if (buffer.remaining() < RECORD_HEADER_BYTES) {
            throw new InvalidInputException("frame has no room for a record's header at byte " + position());
        }
        recordCode = buffer.get() & 0xff;
        long size = buffer.getInt() & 0xffffffffL;
        if (size > buffer.remaining()) {
            throw new InvalidInputException("record size " + size + " runs over its frame at byte " + (position() - 4));
        }
        recordEnd = buffer.position() + (int) size;
        buffer.limit(recordEnd);
    }

    /** Checks that the frame has no bytes after its records. */
    void checkFrameEnd() throws InvalidInputException {
        if (recordEnd != frameLength - LENGTH_PREFIX_BYTES) {
            throw new InvalidInputException("frame holds " + (frameLength - LENGTH_PREFIX_BYTES - recordEnd)
                    + " bytes beyond its records at byte " + (frameStart + LENGTH_PREFIX_BYTES + recordEnd));
        }
    }

    /** The position in the input, in bytes. */
    long position() {
        return frameStart + LENGTH_PREFIX_BYTES + buffer.position();
    }

    private void requireRemaining(int byteCount) throws InvalidInputException {
        if (buffer.remaining() < byteCount) {
            throw new InvalidInputException("record of code " + recordCode + " is too short at byte " + position());
        }
    }

    /** Whether the current record has at least this many bytes left; optional fields at its end may be missing. */
    boolean hasRemaining(int byteCount) {
        return buffer.remaining() >= byteCount;
    }

    int readU8() throws InvalidInputException {
        requireRemaining(1);
        return buffer.get() & 0xff;
    }

    int readU16() throws InvalidInputException {
        requireRemaining(2);
        return buffer.getShort() & 0xffff;
    }

    long readU32() throws InvalidInputException {
        requireRemaining(4);
        return buffer.getInt() & 0xffffffffL;
    }

    long readU64() throws InvalidInputException {
        requireRemaining(8);
        return buffer.getLong();
    }

    double readF32() throws InvalidInputException {
        requireRemaining(4);
        return buffer.getFloat();
    }

    double readF64() throws InvalidInputException {
        requireRemaining(8);
        return buffer.getDouble();
    }

    /** Reads an IPv4 address and a port as one number. */
    long readAddress() throws InvalidInputException {
        return readU32() << 16 | readU16();
    }

    byte[] readBytes(long byteCount) throws InvalidInputException {
        if (byteCount > buffer.remaining()) {
            throw new InvalidInputException("record of code " + recordCode + " is too short at byte " + position());
        }
        byte[] content = new byte[(int) byteCount];
        buffer.get(content);
        return content;
    }
}
