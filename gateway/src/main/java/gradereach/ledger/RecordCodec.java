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
    public static final int HEAD = 8;
    /** An answer and its names; a longer one is damage. */
    static final int LONGEST = 32 << 20;

    /** A frame that is none; {@code torn} where the bytes end before it does. */
    public static final class BadFrame extends Exception {
        private static final long serialVersionUID = 1L;
        public final boolean torn;

        BadFrame(String what, boolean torn) {
            super(what, null, false, false);
            this.torn = torn;
        }
    }

    private RecordCodec() { }

    public static byte[] frame(LedgerRecord record) {
        ByteBuffer out = ByteBuffer.allocate(HEAD + size(record));
        out.position(HEAD);
        out.put((byte) type(record)).putDouble(record.at());
        put(out, record.customer());
        put(out, record.id());
        if (record instanceof LedgerRecord.Intended r) {
            out.putLong(r.digestHigh()).putLong(r.digestLow());
            put(out, r.group());
            put(out, r.model());
            put(out, r.recipient().address());
            put(out, r.forward());
            put(out, r.recipient().instance());
            out.putDouble(r.recipient().process());
            out.putLong(r.signedAt());
        } else if (record instanceof LedgerRecord.Answered r) {
            FinalAnswer a = r.answer();
            out.put((byte) a.kind().ordinal()).putShort((short) a.status()).putDouble(a.pause())
                    .put((byte) (a.repeatHarmless() ? 1 : 0)).putInt(a.body().length).put(a.body());
        } else if (record instanceof LedgerRecord.Promised r) {
            out.putLong(r.digestHigh()).putLong(r.digestLow());
            put(out, r.group());
        } else if (record instanceof LedgerRecord.Delivered r) {
            out.putDouble(r.of()).putInt(r.tries()).put((byte) (r.over() ? 1 : 0));
        } else if (record instanceof LedgerRecord.Claimed r) {
            out.putLong(r.digestHigh()).putLong(r.digestLow());
            put(out, r.claimant());
            out.putLong(r.signedAt()).putLong(r.claimantPosition());
        }
        int length = out.position() - HEAD;
        byte[] frame = java.util.Arrays.copyOf(out.array(), HEAD + length);
        ByteBuffer.wrap(frame).putInt(0, length).putInt(4, sum(frame, 0, length));
        return frame;
    }

    private static int sum(byte[] in, int at, int length) {
        CRC32C crc = new CRC32C();
        crc.update(in, at, 4);
        crc.update(in, at + HEAD, length);
        return (int) crc.getValue();
    }

    /** The length of the whole frame at a place, checked against its sum. */
    public static int check(byte[] in, int at, int end) throws BadFrame {
        if (end - at < HEAD) {
            throw new BadFrame("head cut off", true);
        }
        ByteBuffer head = ByteBuffer.wrap(in);
        int length = head.getInt(at);
        if (length < 9 || length > LONGEST) {
            throw new BadFrame("length " + length, false);
        }
        if (end - at - HEAD < length) {
            throw new BadFrame("payload cut off", true);
        }
        if (head.getInt(at + 4) != sum(in, at, length)) {
            throw new BadFrame("sum does not fit", false);
        }
        return HEAD + length;
    }

    /** The record of a frame that was checked. */
    public static LedgerRecord read(byte[] in, int at) throws BadFrame {
        ByteBuffer from = ByteBuffer.wrap(in, at + HEAD, ByteBuffer.wrap(in).getInt(at));
        try {
            int type = from.get();
            double time = from.getDouble();
            String customer = text(from);
            String id = text(from);
            return switch (type) {
                case 1 -> new LedgerRecord.Intended(customer, id, time, from.getLong(), from.getLong(), text(from),
                        text(from), text(from), text(from));
                case 2 -> new LedgerRecord.NotRun(customer, id, time);
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
                case 4 -> new LedgerRecord.Promised(customer, id, time, from.getLong(), from.getLong(), text(from));
                case 5 -> new LedgerRecord.Delivered(customer, id, time, from.getDouble(), from.getInt(),
                        from.get() != 0);
                case 6 -> new LedgerRecord.Claimed(customer, id, time, from.getLong(), from.getLong(), text(from));
                case 7 -> intended(from, customer, id, time);
                case 8 -> new LedgerRecord.Claimed(customer, id, time, from.getLong(), from.getLong(), text(from), from.getLong(), from.getLong());
                default -> throw new BadFrame("type " + type, false);
            };
        } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new BadFrame("payload too short for its type", false);
        }
    }

    private static LedgerRecord intended(ByteBuffer from, String customer, String id, double time) {
        long digestHigh = from.getLong();
        long digestLow = from.getLong();
        String group = text(from);
        String model = text(from);
        String address = text(from);
        String forward = text(from);
        Recipient recipient = new Recipient(text(from), address, from.getDouble());
        return new LedgerRecord.Intended(customer, id, time, digestHigh, digestLow, group, model, recipient, forward,
                from.getLong());
    }

    /** Types 1 and 6 are an intention and a claim as earlier versions wrote them. */
    private static int type(LedgerRecord record) {
        if (record instanceof LedgerRecord.Intended) {
            return 7;
        } else if (record instanceof LedgerRecord.NotRun) {
            return 2;
        } else if (record instanceof LedgerRecord.Answered) {
            return 3;
        } else if (record instanceof LedgerRecord.Promised) {
            return 4;
        }
        return record instanceof LedgerRecord.Delivered ? 5 : 8;
    }

    /** At least what it takes: three bytes a character of all names, and the fixed parts. */
    private static int size(LedgerRecord record) {
        int size = 64 + 3 * (record.customer().length() + record.id().length());
        if (record instanceof LedgerRecord.Intended r) {
            size += 3 * (r.group().length() + r.model().length() + r.forward().length() + r.recipient().address().length()
                    + r.recipient().instance().length());
        } else if (record instanceof LedgerRecord.Answered r) {
            size += r.answer().body().length;
        } else if (record instanceof LedgerRecord.Promised r) {
            size += 3 * r.group().length();
        } else if (record instanceof LedgerRecord.Claimed r) {
            size += 3 * r.claimant().length();
        }
        return size;
    }

    private static void put(ByteBuffer to, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        to.putShort((short) bytes.length).put(bytes);
    }

    private static String text(ByteBuffer from) {
        byte[] bytes = new byte[from.getShort() & 0xffff];
        from.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
