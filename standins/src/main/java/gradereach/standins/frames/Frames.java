package gradereach.standins.frames;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** The executors' side of the binary frames: {@code mark, code, fields' length, body's length, id, fields, body, CRC-32}. */
final class Frames {
    static final int REQUEST = 65;
    static final int REPORT = 68;
    static final int HOLD = 69;
    static final int UNLOAD = 71;
    static final int RETURNED = 97;
    static final int MISSING = 99;
    static final int FULL = 100;
    static final int READY = 103;
    static final int DRAINING = 104;

    private static final int MAGIC = 108;
    private static final int HEADER_BYTES = 16;
    private static final int CHECKSUM_BYTES = 4;
    private static final int FIELDS_LENGTH_OFFSET = 2;
    private static final int BODY_LENGTH_OFFSET = 4;
    private static final int ID_OFFSET = 8;

    /** One that was read. */
    record Command(int code, long id, String fields, byte[] body) {
        /** A number among the fields, {@code otherwise} where it is not there. */
        double numberField(String name, double otherwise) {
            String value = textField(name);
            return value == null ? otherwise : Double.parseDouble(value);
        }

        /** The value of a field, null where it is not there. */
        String textField(String name) {
            for (String field : fields.split(",")) {
                if (field.startsWith(name + "=")) {
                    return field.substring(name.length() + 1);
                }
            }
            return null;
        }
    }

    private Frames() { }

    /** The next one, or null while it is not whole; front ends' check sums are not looked at. */
    static Command read(ByteBuf in) {
        int at = in.readerIndex();
        if (in.readableBytes() < HEADER_BYTES) {
            return null;
        }
        int fields = in.getUnsignedShort(at + FIELDS_LENGTH_OFFSET);
        int length = in.getInt(at + BODY_LENGTH_OFFSET);
        if (in.readableBytes() < HEADER_BYTES + fields + length + CHECKSUM_BYTES) {
            return null;
        }
        byte[] body = new byte[length];
        in.getBytes(at + HEADER_BYTES + fields, body);
        Command command = new Command(in.getUnsignedByte(at + 1), in.getLong(at + ID_OFFSET),
                in.toString(at + HEADER_BYTES, fields, StandardCharsets.US_ASCII), body);
        in.skipBytes(HEADER_BYTES + fields + length + CHECKSUM_BYTES);
        return command;
    }

    static ByteBuf of(int code, long id, String fields) {
        return Unpooled.wrappedBuffer(encode(code, id, fields, new byte[0]));
    }

    static byte[] encode(int code, long id, String fields, byte[] body) {
        byte[] head = fields.getBytes(StandardCharsets.US_ASCII);
        CRC32 check = new CRC32();
        check.update(head);
        check.update(body);
        return ByteBuffer.allocate(HEADER_BYTES + head.length + body.length + CHECKSUM_BYTES).put((byte) MAGIC).put((byte) code)
                .putShort((short) head.length).putInt(body.length).putLong(id).put(head).put(body)
                .putInt((int) check.getValue()).array();
    }
}
