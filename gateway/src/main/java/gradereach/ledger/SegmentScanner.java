package gradereach.ledger;

import gradereach.ledger.RecordCodec.InvalidFrameException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads the records of a segment and reports what could not be read. Bytes that are no valid frame are skipped up to the next valid
 * one, and reported as damage. Bytes after the last valid frame are a torn tail if they lie beyond what was known to be durable, and
 * damage otherwise.
 */
public final class SegmentScanner {
    /**
     * A range of bytes that held no valid record.
     *
     * @param startOffset offset of the first byte
     * @param endOffset offset of the first byte after the range
     */
    public record Damage(String segment, long startOffset, long endOffset, String reason) {
        @Override
        public String toString() {
            return segment + ": bytes " + startOffset + " to " + endOffset + ": " + reason;
        }
    }

    /**
     * The result of a scan.
     *
     * @param validLength offset of the end of the last valid frame
     * @param tornBytes bytes after it
     */
    public record Result(List<Damage> damage, int validLength, int tornBytes, int recordCount) { }

    private SegmentScanner() { }

    /**
     * Scans the bytes of a segment.
     *
     * @param start offset of the first frame
     * @param end offset of the end of the bytes
     * @param durableEnd offset up to which the segment was known to be durable; -1 if all of it was
     * @param consumer receives each valid record
     */
    public static Result scan(String segment, byte[] bytes, int start, int end, long durableEnd,
            Consumer<LedgerRecord> consumer) {
        List<Damage> damage = new ArrayList<>();
        int offset = start;
        int validLength = start;
        int recordCount = 0;
        while (offset < end) {
            InvalidFrameException invalid;
            try {
                int length = RecordCodec.checkFrame(bytes, offset, end);
                consumer.accept(RecordCodec.decode(bytes, offset));
                recordCount++;
                offset += length;
                validLength = offset;
                continue;
            } catch (InvalidFrameException e) {
                invalid = e;
            }
            int next = findNextFrame(bytes, offset + 1, end);
            if (next < 0) {
                if (durableEnd < 0 || validLength < durableEnd) {
                    damage.add(new Damage(segment, offset, durableEnd < 0 ? end : durableEnd, invalid.getMessage()));
                }
                break;
            }
            damage.add(new Damage(segment, offset, next, invalid.getMessage()));
            offset = next;
        }
        if (offset >= end && durableEnd > end) {
            damage.add(new Damage(segment, end, durableEnd, "the file is shorter than its durable length"));
        }
        return new Result(damage, validLength, end - validLength, recordCount);
    }

    /** The offset of the next valid frame; -1 for none. */
    private static int findNextFrame(byte[] bytes, int start, int end) {
        for (int offset = start; offset <= end - RecordCodec.HEADER_BYTES; offset++) {
            // The first byte of a length below 32 MiB is 0 or 1. It is checked first, because a checksum may cover megabytes.
            if (bytes[offset] == 0 || bytes[offset] == 1) {
                try {
                    RecordCodec.checkFrame(bytes, offset, end);
                    return offset;
                } catch (InvalidFrameException e) {
                    // no valid frame at this offset
                }
            }
        }
        return -1;
    }
}
