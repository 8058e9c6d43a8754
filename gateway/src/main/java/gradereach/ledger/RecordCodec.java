package gradereach.ledger;

import gradereach.message.FinalAnswer;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Encodes records as frames: u32 payload length, u32 CRC-32C (RFC 3720, appendix B.4) over length and payload, payload; big-endian.
 * The checksum covers the length, so that a flipped bit in it is detected and not taken for another length.
 */
public final class RecordCodec {
    /** Length and checksum of a frame. */
    public static final int HEADER_BYTES = 8;
    /** Enough for an answer with its customer and id; a frame with a longer payload counts as damaged. */
    static final int MAX_PAYLOAD_BYTES = 32 << 20;

    /** Bytes that are no valid frame. */
    public static final class InvalidFrameException extends Exception {
        private static final long serialVersionUID = 1L;
        /** Whether the bytes end before the frame does. */
        public final boolean truncated;

        InvalidFrameException(String message, boolean truncated) {
            super(message, null, false, false);
            this.truncated = truncated;
        }
    }

    private RecordCodec() { }

    /** A record as a frame. */
    public static byte[] encode(LedgerRecord record) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + maxPayloadBytes(record));
        out.position(HEADER_BYTES);
        out.put((byte) type(record)).putDouble(record.timestamp());
        writeText(out, record.customer());
        writeText(out, record.id());
        if (record instanceof LedgerRecord.ForwardIntended r) {
            out.putLong(r.digestHigh()).putLong(r.digestLow());
            writeText(out, r.group());
            writeText(out, r.model());
            writeText(out, r.recipient().address());
            writeText(out, r.forwardId());
            writeText(out, r.recipient().instance());
            out.putDouble(r.recipient().processNumber());
            out.putLong(r.signedAt());
        } else if (record instanceof LedgerRecord.Answered r) {
            FinalAnswer a = r.answer();
            out.put((byte) a.kind().ordinal()).putShort((short) a.status()).putDouble(a.retryAfterMillis())
                    .put((byte) (a.repeatHarmless() ? 1 : 0)).putInt(a.body().length).put(a.body());
        } else if (record instanceof LedgerRecord.DeliveryPromised r) {
            out.putLong(r.digestHigh()).putLong(r.digestLow());
            writeText(out, r.group());
        } else if (record instanceof LedgerRecord.DeliveryAttempted r) {
            out.putDouble(r.promisedAt()).putInt(r.attempts()).put((byte) (r.finished() ? 1 : 0));
        } else if (record instanceof LedgerRecord.ClaimGranted r) {
            out.putLong(r.digestHigh()).putLong(r.digestLow());
            writeText(out, r.claimant());
            out.putLong(r.signedAt()).putLong(r.claimantPosition());
        }
        int length = out.position() - HEADER_BYTES;
        byte[] frame = java.util.Arrays.copyOf(out.array(), HEADER_BYTES + length);
        ByteBuffer.wrap(frame).putInt(0, length).putInt(4, checksum(frame, 0, length));
        return frame;
    }

    private static int checksum(byte[] in, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(in, offset, 4);
        crc.update(in, offset + HEADER_BYTES, length);
        return (int) crc.getValue();
    }

    /** Verifies the checksum of the frame at an offset, and returns the length of the frame. */
    public static int checkFrame(byte[] in, int offset, int end) throws InvalidFrameException {
        if (end - offset < HEADER_BYTES) {
            throw new InvalidFrameException("truncated header", true);
        }
        ByteBuffer header = ByteBuffer.wrap(in);
        int length = header.getInt(offset);
        if (length < 9 || length > MAX_PAYLOAD_BYTES) {
            throw new InvalidFrameException("invalid payload length " + length, false);
        }
        if (end - offset - HEADER_BYTES < length) {
            throw new InvalidFrameException("truncated payload", true);
        }
        if (header.getInt(offset + 4) != checksum(in, offset, length)) {
            throw new InvalidFrameException("checksum mismatch", false);
        }
        return HEADER_BYTES + length;
    }

    /** Decodes the record of a frame that {@link #checkFrame} has verified. */
    public static LedgerRecord decode(byte[] in, int offset) throws InvalidFrameException {
        ByteBuffer from = ByteBuffer.wrap(in, offset + HEADER_BYTES, ByteBuffer.wrap(in).getInt(offset));
        try {
            int type = from.get();
            double timestamp = from.getDouble();
            String customer = readText(from);
            String id = readText(from);
            return switch (type) {
                case 1 -> new LedgerRecord.ForwardIntended(customer, id, timestamp, from.getLong(), from.getLong(), readText(from),
                        readText(from), readText(from), readText(from));
                case 2 -> new LedgerRecord.ProvenNotRun(customer, id, timestamp);
                case 3 -> {
                    FinalAnswer.Kind kind = FinalAnswer.Kind.values()[from.get()];
                    int status = from.getShort();
                    double retryAfterMillis = from.getDouble();
                    boolean repeatHarmless = from.get() != 0;
                    byte[] body = new byte[from.getInt()];
                    from.get(body);
                    yield new LedgerRecord.Answered(customer, id, timestamp,
                            new FinalAnswer(kind, status, body, retryAfterMillis, repeatHarmless));
                }
                case 4 -> new LedgerRecord.DeliveryPromised(customer, id, timestamp, from.getLong(), from.getLong(), readText(from));
                case 5 -> new LedgerRecord.DeliveryAttempted(customer, id, timestamp, from.getDouble(), from.getInt(),
                        from.get() != 0);
                case 6 -> new LedgerRecord.ClaimGranted(customer, id, timestamp, from.getLong(), from.getLong(), readText(from));
                case 7 -> readForwardIntended(from, customer, id, timestamp);
                case 8 -> new LedgerRecord.ClaimGranted(customer, id, timestamp, from.getLong(), from.getLong(), readText(from),
                        from.getLong(), from.getLong());
                default -> throw new InvalidFrameException("unknown record type " + type, false);
            };
        } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new InvalidFrameException("payload too short for its record type", false);
        }
    }

    private static LedgerRecord readForwardIntended(ByteBuffer from, String customer, String id, double timestamp) {
        long digestHigh = from.getLong();
        long digestLow = from.getLong();
        String group = readText(from);
        String model = readText(from);
        String address = readText(from);
        String forwardId = readText(from);
        Recipient recipient = new Recipient(readText(from), address, from.getDouble());
        return new LedgerRecord.ForwardIntended(customer, id, timestamp, digestHigh, digestLow, group, model, recipient, forwardId,
                from.getLong());
    }

    /** Types 1 and 6 are the intents and claims of earlier versions. */
    private static int type(LedgerRecord record) {
        if (record instanceof LedgerRecord.ForwardIntended) {
            return 7;
        } else if (record instanceof LedgerRecord.ProvenNotRun) {
            return 2;
        } else if (record instanceof LedgerRecord.Answered) {
            return 3;
        } else if (record instanceof LedgerRecord.DeliveryPromised) {
            return 4;
        }
        return record instanceof LedgerRecord.DeliveryAttempted ? 5 : 8;
    }

    /** An upper bound of the payload's length: up to three bytes of UTF-8 a character, and the fixed parts. */
    private static int maxPayloadBytes(LedgerRecord record) {
        int size = 64 + 3 * (record.customer().length() + record.id().length());
        if (record instanceof LedgerRecord.ForwardIntended r) {
            size += 3 * (r.group().length() + r.model().length() + r.forwardId().length() + r.recipient().address().length()
                    + r.recipient().instance().length());
        } else if (record instanceof LedgerRecord.Answered r) {
            size += r.answer().body().length;
        } else if (record instanceof LedgerRecord.DeliveryPromised r) {
            size += 3 * r.group().length();
        } else if (record instanceof LedgerRecord.ClaimGranted r) {
            size += 3 * r.claimant().length();
        }
        return size;
    }

    private static void writeText(ByteBuffer to, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        to.putShort((short) bytes.length).put(bytes);
    }

    private static String readText(ByteBuffer from) {
        byte[] bytes = new byte[from.getShort() & 0xffff];
        from.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
