package gradereach.benchlink;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/** Reads frames and the records in them, and keeps the position so that errors can name the byte. */
final class FrameReader {
    private static final int HEADER_BYTES = 16;
    private static final int RECORD_HEADER_BYTES = 5;

    private final InputStream in;
    private final byte[] lengthPrefix = new byte[4];
    private byte[] readBytes = new byte[1 << 16];
    private ByteBuffer buffer = ByteBuffer.wrap(readBytes);
    private long frameStart;
    private long readNextFrame;
    private int frameLength;
    private int recordEnd;

    /** Number of records in the current frame. */
    int recordCount;
    /** Time of the current frame, milliseconds. */
    double frameTime;
    /** Code of the current record. */
    int recordCode;

    FrameReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next frame. Returns false if the input ended. */
    boolean readNextFrame() throws IOException {
        frameStart = readNextFrame;
        int bytesRead = in.readNBytes(lengthPrefix, 0, 4);
        if (bytesRead == 0) {
            return false;
        }
        if (bytesRead < 4) {
            throw new InvalidInputException("input ends inside a frame's length at byte " + (frameStart + bytesRead));
        }
        long length = ByteBuffer.wrap(lengthPrefix).getInt() & 0xffffffffL;
        if (length < HEADER_BYTES || length > Integer.MAX_VALUE - 8) {
            throw new InvalidInputException("frame length " + length + " at byte " + frameStart + " is out of range");
        }
        frameLength = (int) length;
        int remaining = frameLength - 4;
        if (remaining <= readBytes.length) {
            bytesRead = in.readNBytes(readBytes, 0, remaining);
        } else {
            // Grows as bytes arrive, so that a corrupt length does not allocate its memory at once.
            byte[] larger = in.readNBytes(remaining);
            bytesRead = larger.length;
            readBytes = larger;
            buffer = ByteBuffer.wrap(readBytes);
        }
        if (bytesRead < remaining) {
            throw new EOFException("input ends inside a frame at byte " + (frameStart + 4 + bytesRead));
        }
        readNextFrame = frameStart + frameLength;
        buffer.clear().limit(remaining);
        recordCount = buffer.getInt();
        frameTime = buffer.getDouble();
        recordEnd = buffer.position();
        return true;
    }

    /** Moves to the next record of the frame. */
    void readNextRecord() throws InvalidInputException {
        buffer.limit(frameLength - 4).position(recordEnd);
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
        if (recordEnd != frameLength - 4) {
            throw new InvalidInputException("frame holds " + (frameLength - 4 - recordEnd)
                    + " bytes beyond its records at byte " + (frameStart + 4 + recordEnd));
        }
    }

    /** Position in the input, in bytes. */
    long position() {
        return frameStart + 4 + buffer.position();
    }

    private void require(int n) throws InvalidInputException {
        if (buffer.remaining() < n) {
            throw new InvalidInputException("record of code " + recordCode + " is too short at byte " + position());
        }
    }

    boolean hasRemaining(int n) {
        return buffer.remaining() >= n;
    }

    int readU8() throws InvalidInputException {
        require(1);
        return buffer.get() & 0xff;
    }

    int readU16() throws InvalidInputException {
        require(2);
        return buffer.getShort() & 0xffff;
    }

    long readU32() throws InvalidInputException {
        require(4);
        return buffer.getInt() & 0xffffffffL;
    }

    long readU64() throws InvalidInputException {
        require(8);
        return buffer.getLong();
    }

    double readF32() throws InvalidInputException {
        require(4);
        return buffer.getFloat();
    }

    double readF64() throws InvalidInputException {
        require(8);
        return buffer.getDouble();
    }

    /** Reads an IPv4 address and a port as one number. */
    long readAddress() throws InvalidInputException {
        return readU32() << 16 | readU16();
    }

    byte[] readBytes(long n) throws InvalidInputException {
        if (n > buffer.remaining()) {
            throw new InvalidInputException("record of code " + recordCode + " is too short at byte " + position());
        }
        byte[] content = new byte[(int) n];
        buffer.get(content);
        return content;
    }
}
