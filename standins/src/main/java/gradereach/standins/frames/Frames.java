package gradereach.standins.frames;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Decodes the commands and encodes the answers of the executors' binary protocol. A frame consists of magic, code, length of the
 * fields, length of the body, id, fields, body, and the CRC-32 of fields and body.
 */
final class Frames {
    // Codes of commands.
    static final int REQUEST = 65;
    static final int REPORT = 68;
    static final int HOLD = 69;
    static final int UNLOAD = 71;
    // Codes of answers.
    static final int OK = 97;
    static final int MISSING = 99;
    static final int FULL = 100;
    static final int READY = 103;
    static final int NOT_READY = 104;

    /** First byte of an answer. */
    private static final int ANSWER_MAGIC = 108;
    private static final int HEADER_BYTES = 16;
    private static final int CHECKSUM_BYTES = 4;
    private static final int FIELDS_LENGTH_OFFSET = 2;
    private static final int BODY_LENGTH_OFFSET = 4;
    private static final int ID_OFFSET = 8;

    /** A decoded command; {@code fields} are {@code name=value} pairs, separated by commas. */
    record Command(int code, long id, String fields, byte[] body) {
        /** The value of a numeric field, or {@code defaultValue} if the field is missing. */
        double numberField(String name, double defaultValue) {
            String value = textField(name);
            return value == null ? defaultValue : Double.parseDouble(value);
        }

        /** The value of a field, or null if the field is missing. */
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

    /** Reads the next command; null while it is incomplete. The checksum is not verified. */
    static Command read(ByteBuf in) {
        int start = in.readerIndex();
        if (in.readableBytes() < HEADER_BYTES) {
            return null;
        }
        int fieldsLength = in.getUnsignedShort(start + FIELDS_LENGTH_OFFSET);
        int bodyLength = in.getInt(start + BODY_LENGTH_OFFSET);
        if (in.readableBytes() < HEADER_BYTES + fieldsLength + bodyLength + CHECKSUM_BYTES) {
            return null;
        }
        byte[] body = new byte[bodyLength];
        in.getBytes(start + HEADER_BYTES + fieldsLength, body);
        Command command = new Command(in.getUnsignedByte(start + 1), in.getLong(start + ID_OFFSET),
                in.toString(start + HEADER_BYTES, fieldsLength, StandardCharsets.US_ASCII), body);
        in.skipBytes(HEADER_BYTES + fieldsLength + bodyLength + CHECKSUM_BYTES);
        return command;
    }

    /** Encodes an answer without a body. */
    static ByteBuf encodeWithoutBody(int code, long id, String fields) {
        return Unpooled.wrappedBuffer(encode(code, id, fields, new byte[0]));
    }

    /** Encodes an answer. */
    static byte[] encode(int code, long id, String fields, byte[] body) {
        byte[] fieldBytes = fields.getBytes(StandardCharsets.US_ASCII);
        CRC32 checksum = new CRC32();
        checksum.update(fieldBytes);
        checksum.update(body);
        return ByteBuffer.allocate(HEADER_BYTES + fieldBytes.length + body.length + CHECKSUM_BYTES)
                .put((byte) ANSWER_MAGIC).put((byte) code)
                .putShort((short) fieldBytes.length).putInt(body.length).putLong(id).put(fieldBytes).put(body)
                .putInt((int) checksum.getValue()).array();
    }
}
