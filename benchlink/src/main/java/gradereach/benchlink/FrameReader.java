package gradereach.benchlink;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/** Reads frames and the records in them; keeps the position so that errors can name the byte. */
final class FrameReader {
    private static final int HEADER_BYTES = 16;
    private static final int RECORD_HEADER_BYTES = 5;

    private final InputStream in;
    private final byte[] lengthPrefix = new byte[4];
    private byte[] bytes = new byte[1 << 16];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes);
    private long frameStart;
    private long nextFrame;
    private int frameLength;
    private int recordEnd;

    int recordCount;
    double clock;
    int recordCode;

    FrameReader(InputStream in) {
        this.in = in;
    }

    /** False at the end of input between frames. */
    boolean nextFrame() throws IOException {
        frameStart = nextFrame;
        int got = in.readNBytes(lengthPrefix, 0, 4);
        if (got == 0) {
            return false;
        }
        if (got < 4) {
            throw new InvalidInputException("input ends inside a frame's length at byte " + (frameStart + got));
        }
        long length = ByteBuffer.wrap(lengthPrefix).getInt() & 0xffffffffL;
        if (length < HEADER_BYTES || length > Integer.MAX_VALUE - 8) {
            throw new InvalidInputException("frame length " + length + " at byte " + frameStart + " is out of range");
        }
        frameLength = (int) length;
        int rest = frameLength - 4;
        if (rest <= bytes.length) {
            got = in.readNBytes(bytes, 0, rest);
        } else {
            // Grows as bytes come, so a wild length does not claim its memory at once.
            byte[] larger = in.readNBytes(rest);
            got = larger.length;
            bytes = larger;
            buffer = ByteBuffer.wrap(bytes);
        }
        if (got < rest) {
            throw new EOFException("input ends inside a frame at byte " + (frameStart + 4 + got));
        }
        nextFrame = frameStart + frameLength;
        buffer.clear().limit(rest);
        recordCount = buffer.getInt();
        clock = buffer.getDouble();
        recordEnd = buffer.position();
        return true;
    }

    void nextRecord() throws InvalidInputException {
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

    void endFrame() throws InvalidInputException {
        if (recordEnd != frameLength - 4) {
            throw new InvalidInputException("frame holds " + (frameLength - 4 - recordEnd)
                    + " bytes beyond its records at byte " + (frameStart + 4 + recordEnd));
        }
    }

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

    int u8() throws InvalidInputException {
        require(1);
        return buffer.get() & 0xff;
    }

    int u16() throws InvalidInputException {
        require(2);
        return buffer.getShort() & 0xffff;
    }

    long u32() throws InvalidInputException {
        require(4);
        return buffer.getInt() & 0xffffffffL;
    }

    long u64() throws InvalidInputException {
        require(8);
        return buffer.getLong();
    }

    double f32() throws InvalidInputException {
        require(4);
        return buffer.getFloat();
    }

    double f64() throws InvalidInputException {
        require(8);
        return buffer.getDouble();
    }

    /** Four address bytes and a port, as one number. */
    long address() throws InvalidInputException {
        return u32() << 16 | u16();
    }

    byte[] bytes(long n) throws InvalidInputException {
        if (n > buffer.remaining()) {
            throw new InvalidInputException("record of code " + recordCode + " is too short at byte " + position());
        }
        byte[] content = new byte[(int) n];
        buffer.get(content);
        return content;
    }
}
