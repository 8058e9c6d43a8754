package gradereach.ledger;

import gradereach.message.FinalAnswer;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Encodes records as frames: u32 payload length, u32 CRC-32C (RFC 3720, appendix B.4) over length and payload, payload;
 * big-endian. The checksum covers the length, so that a flipped bit in it is detected and not taken for another length. A payload
 * is a type byte, the timestamp, the customer, the id and the fields of the record. Texts are UTF-8 with two bytes of length; an
 * answer's kind is its ordinal, so the order of {@link FinalAnswer.Kind} is part of the format.
 */
public final class RecordCodec {
    /** Length and checksum of a frame. */
    public static final int HEADER_BYTES = 8;
    /** Enough for an answer with its customer and id; a frame with a longer payload counts as damaged. */
    static final int MAX_PAYLOAD_BYTES = 32 << 20;

    private static final int MIN_PAYLOAD_BYTES = 9; // type and timestamp
    private static final int MAX_FIXED_FIELDS_BYTES = 64; // of any record, with the lengths of its texts
    // Types of records: the first byte of a payload.
    private static final int FORWARD_INTENDED_WITHOUT_PROCESS = 1; // of earlier versions
    private static final int PROVEN_NOT_RUN = 2;
    private static final int ANSWERED = 3;
    private static final int DELIVERY_PROMISED = 4;
    private static final int DELIVERY_ATTEMPTED = 5;
    private static final int CLAIM_GRANTED_WITHOUT_SIGNED_AT = 6; // of earlier versions
    private static final int FORWARD_INTENDED = 7;
    private static final int CLAIM_GRANTED = 8;

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
        out.put((byte) typeOf(record)).putDouble(record.timestamp());
        writeText(out, record.customer());
        writeText(out, record.id());
        if (record instanceof LedgerRecord.ForwardIntended intended) {
            out.putLong(intended.digestHigh()).putLong(intended.digestLow());
            writeText(out, intended.group());
            writeText(out, intended.model());
            writeText(out, intended.recipient().address());
            writeText(out, intended.forwardId());
            writeText(out, intended.recipient().instance());
            out.putDouble(intended.recipient().processNumber());
            out.putLong(intended.signedAt());
        } else if (record instanceof LedgerRecord.Answered answered) {
            FinalAnswer answer = answered.answer();
            out.put((byte) answer.kind().ordinal()).putShort((short) answer.status()).putDouble(answer.retryAfterMillis())
                    .put((byte) (answer.repeatHarmless() ? 1 : 0)).putInt(answer.body().length).put(answer.body());
        } else if (record instanceof LedgerRecord.DeliveryPromised promised) {
            out.putLong(promised.digestHigh()).putLong(promised.digestLow());
            writeText(out, promised.group());
        } else if (record instanceof LedgerRecord.DeliveryAttempted attempted) {
            out.putDouble(attempted.promisedAt()).putInt(attempted.attempts()).put((byte) (attempted.finished() ? 1 : 0));
        } else if (record instanceof LedgerRecord.ClaimGranted granted) {
            out.putLong(granted.digestHigh()).putLong(granted.digestLow());
            writeText(out, granted.claimant());
            out.putLong(granted.signedAt()).putLong(granted.claimantPosition());
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

    /** Verifies the length and checksum of the frame at an offset, and returns the length of the frame. */
    public static int checkFrame(byte[] in, int offset, int end) throws InvalidFrameException {
        if (end - offset < HEADER_BYTES) {
            throw new InvalidFrameException("truncated header", true);
        }
        ByteBuffer header = ByteBuffer.wrap(in);
        int length = header.getInt(offset);
        if (length < MIN_PAYLOAD_BYTES || length > MAX_PAYLOAD_BYTES) {
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
        ByteBuffer payload = ByteBuffer.wrap(in, offset + HEADER_BYTES, ByteBuffer.wrap(in).getInt(offset));
        try {
            int type = payload.get();
            double timestamp = payload.getDouble();
            String customer = readText(payload);
            String id = readText(payload);
            return switch (type) {
                case FORWARD_INTENDED_WITHOUT_PROCESS -> new LedgerRecord.ForwardIntended(customer, id, timestamp,
                        payload.getLong(), payload.getLong(), readText(payload), readText(payload), readText(payload),
                        readText(payload));
                case PROVEN_NOT_RUN -> new LedgerRecord.ProvenNotRun(customer, id, timestamp);
                case ANSWERED -> {
                    FinalAnswer.Kind kind = FinalAnswer.Kind.values()[payload.get()];
                    int status = payload.getShort();
                    double retryAfterMillis = payload.getDouble();
                    boolean repeatHarmless = payload.get() != 0;
                    byte[] body = new byte[payload.getInt()];
                    payload.get(body);
                    yield new LedgerRecord.Answered(customer, id, timestamp,
                            new FinalAnswer(kind, status, body, retryAfterMillis, repeatHarmless));
                }
                case DELIVERY_PROMISED -> new LedgerRecord.DeliveryPromised(customer, id, timestamp, payload.getLong(),
                        payload.getLong(), readText(payload));
                case DELIVERY_ATTEMPTED -> new LedgerRecord.DeliveryAttempted(customer, id, timestamp, payload.getDouble(),
                        payload.getInt(), payload.get() != 0);
                case CLAIM_GRANTED_WITHOUT_SIGNED_AT -> new LedgerRecord.ClaimGranted(customer, id, timestamp, payload.getLong(),
                        payload.getLong(), readText(payload));
                case FORWARD_INTENDED -> readForwardIntended(payload, customer, id, timestamp);
                case CLAIM_GRANTED -> new LedgerRecord.ClaimGranted(customer, id, timestamp, payload.getLong(), payload.getLong(),
                        readText(payload), payload.getLong(), payload.getLong());
                default -> throw new InvalidFrameException("unknown record type " + type, false);
            };
        } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new InvalidFrameException("payload too short for its record type", false);
        }
    }

    private static LedgerRecord readForwardIntended(ByteBuffer payload, String customer, String id, double timestamp) {
        long digestHigh = payload.getLong();
        long digestLow = payload.getLong();
        String group = readText(payload);
        String model = readText(payload);
        String address = readText(payload);
        String forwardId = readText(payload);
        Recipient recipient = new Recipient(readText(payload), address, payload.getDouble());
        return new LedgerRecord.ForwardIntended(customer, id, timestamp, digestHigh, digestLow, group, model, recipient, forwardId,
                payload.getLong());
    }

    private static int typeOf(LedgerRecord record) {
        if (record instanceof LedgerRecord.ForwardIntended) {
            return FORWARD_INTENDED;
        } else if (record instanceof LedgerRecord.ProvenNotRun) {
            return PROVEN_NOT_RUN;
        } else if (record instanceof LedgerRecord.Answered) {
            return ANSWERED;
        } else if (record instanceof LedgerRecord.DeliveryPromised) {
            return DELIVERY_PROMISED;
        }
        return record instanceof LedgerRecord.DeliveryAttempted ? DELIVERY_ATTEMPTED : CLAIM_GRANTED;
    }

    /** An upper bound of the payload's length: up to three bytes of UTF-8 a character, and the fixed parts. */
    private static int maxPayloadBytes(LedgerRecord record) {
        int size = MAX_FIXED_FIELDS_BYTES + 3 * (record.customer().length() + record.id().length());
        if (record instanceof LedgerRecord.ForwardIntended intended) {
            size += 3 * (intended.group().length() + intended.model().length() + intended.forwardId().length()
                    + intended.recipient().address().length() + intended.recipient().instance().length());
        } else if (record instanceof LedgerRecord.Answered answered) {
            size += answered.answer().body().length;
        } else if (record instanceof LedgerRecord.DeliveryPromised promised) {
            size += 3 * promised.group().length();
        } else if (record instanceof LedgerRecord.ClaimGranted granted) {
            size += 3 * granted.claimant().length();
        }
        return size;
    }

    private static void writeText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.putShort((short) bytes.length).put(bytes);
    }

    private static String readText(ByteBuffer payload) {
        byte[] bytes = new byte[payload.getShort() & 0xffff];
        payload.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
