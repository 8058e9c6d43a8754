package gradereach.ledger;

import gradereach.message.FinalAnswer;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Records as frames: u32 payload length, u32 CRC-32C (RFC 3720, appendix B.4) over length and payload, payload. The
 * length is under the sum, so that a flipped bit in it is not taken for another length. Big-endian.
 */
public final class RecordCodec {
    public static final int HEADER_BYTES = 8;
    /** An answer and its names; a longer one is damage. */
    static final int MAX_PAYLOAD_BYTES = 32 << 20;

    /** A frame that is none; {@code torn} where the bytes end before it does. */
    public static final class InvalidFrameException extends Exception {
        private static final long serialVersionUID = 1L;
        public final boolean truncated;

        InvalidFrameException(String what, boolean torn) {
            super(what, null, false, false);
            this.truncated = torn;
        }
    }

    private RecordCodec() { }

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

    private static int checksum(byte[] in, int at, int length) {
        CRC32C crc = new CRC32C();
        crc.update(in, at, 4);
        crc.update(in, at + HEADER_BYTES, length);
        return (int) crc.getValue();
    }

    /** The length of the whole frame at a place, checked against its sum. */
    public static int checkFrame(byte[] in, int at, int end) throws InvalidFrameException {
        if (end - at < HEADER_BYTES) {
            throw new InvalidFrameException("head cut off", true);
        }
        ByteBuffer head = ByteBuffer.wrap(in);
        int length = head.getInt(at);
        if (length < 9 || length > MAX_PAYLOAD_BYTES) {
            throw new InvalidFrameException("length " + length, false);
        }
        if (end - at - HEADER_BYTES < length) {
            throw new InvalidFrameException("payload cut off", true);
        }
        if (head.getInt(at + 4) != checksum(in, at, length)) {
            throw new InvalidFrameException("sum does not fit", false);
        }
        return HEADER_BYTES + length;
    }

    /** The record of a frame that was checked. */
    public static LedgerRecord decode(byte[] in, int at) throws InvalidFrameException {
        ByteBuffer from = ByteBuffer.wrap(in, at + HEADER_BYTES, ByteBuffer.wrap(in).getInt(at));
        try {
            int type = from.get();
            double time = from.getDouble();
            String customer = readText(from);
            String id = readText(from);
            return switch (type) {
                case 1 -> new LedgerRecord.ForwardIntended(customer, id, time, from.getLong(), from.getLong(), readText(from),
                        readText(from), readText(from), readText(from));
                case 2 -> new LedgerRecord.ProvenNotRun(customer, id, time);
                case 3 -> {
                    FinalAnswer.Kind kind = FinalAnswer.Kind.values()[from.get()];
                    int status = from.getShort();
                    double pause = from.getDouble();
                    boolean harmless = from.get() != 0;
                    byte[] body = new byte[from.getInt()];
                    from.get(body);
                    yield new LedgerRecord.Answered(customer, id, time,
                            new FinalAnswer(kind, status, body, pause, harmless));
                }
                case 4 -> new LedgerRecord.DeliveryPromised(customer, id, time, from.getLong(), from.getLong(), readText(from));
                case 5 -> new LedgerRecord.DeliveryAttempted(customer, id, time, from.getDouble(), from.getInt(),
                        from.get() != 0);
                case 6 -> new LedgerRecord.ClaimGranted(customer, id, time, from.getLong(), from.getLong(), readText(from));
                case 7 -> readForwardIntended(from, customer, id, time);
                case 8 -> new LedgerRecord.ClaimGranted(customer, id, time, from.getLong(), from.getLong(), readText(from), from.getLong(), from.getLong());
                default -> throw new InvalidFrameException("type " + type, false);
            };
        } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new InvalidFrameException("payload too short for its type", false);
        }
    }

    private static LedgerRecord readForwardIntended(ByteBuffer from, String customer, String id, double time) {
        long digestHigh = from.getLong();
        long digestLow = from.getLong();
        String group = readText(from);
        String model = readText(from);
        String address = readText(from);
        String forward = readText(from);
        Recipient recipient = new Recipient(readText(from), address, from.getDouble());
        return new LedgerRecord.ForwardIntended(customer, id, time, digestHigh, digestLow, group, model, recipient, forward,
                from.getLong());
    }

    /** Types 1 and 6 are an intention and a claim as earlier versions wrote them. */
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

    /** At least what it takes: three bytes a character of all names, and the fixed parts. */
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
