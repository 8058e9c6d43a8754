package gradereach.ledger;

import gradereach.ledger.RecordCodec.InvalidFrameException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads a segment's bytes and tells what it could not read. Nothing is guessed: bytes that are no frame are passed over
 * up to the next whole one, and named. What follows the last whole frame is a torn tail if it lies beyond what was
 * known to be durable, and damage otherwise.
 */
public final class SegmentScanner {
    /** A stretch of bytes that held no record. */
    public record Damage(String segment, long from, long to, String reason) {
        @Override
        public String toString() {
            return segment + ": bytes " + from + " to " + to + ": " + reason;
        }
    }

    /** What a scan found: damage, the end of the last whole frame, and how many bytes of a torn tail follow it. */
    public record Result(List<Damage> damage, int validLength, int tornBytes, int recordCount) { }

    private SegmentScanner() { }

    /**
     * @param start where the first frame begins
     * @param end where the bytes end
     * @param durable up to where the segment was known to be on disk, -1 where all of it was
     */
    public static Result scan(String segment, byte[] bytes, int start, int end, long durable,
            Consumer<LedgerRecord> each) {
        List<Damage> damage = new ArrayList<>();
        int at = start;
        int good = start;
        int records = 0;
        while (at < end) {
            InvalidFrameException bad;
            try {
                int length = RecordCodec.checkFrame(bytes, at, end);
                each.accept(RecordCodec.decode(bytes, at));
                records++;
                at += length;
                good = at;
                continue;
            } catch (InvalidFrameException e) {
                bad = e;
            }
            int next = findNextFrame(bytes, at + 1, end);
            if (next < 0) {
                if (durable < 0 || good < durable) {
                    damage.add(new Damage(segment, at, durable < 0 ? end : durable, bad.getMessage()));
                }
                break;
            }
            damage.add(new Damage(segment, at, next, bad.getMessage()));
            at = next;
        }
        if (at >= end && durable > end) {
            damage.add(new Damage(segment, end, durable, "the file ends before what was written"));
        }
        return new Result(damage, good, end - good, records);
    }

    private static int findNextFrame(byte[] bytes, int from, int end) {
        for (int at = from; at <= end - RecordCodec.HEADER_BYTES; at++) {
            // The first byte of a length is 0 or 1: a cheap look before a sum over what may be megabytes.
            if (bytes[at] == 0 || bytes[at] == 1) {
                try {
                    RecordCodec.checkFrame(bytes, at, end);
                    return at;
                } catch (InvalidFrameException e) {
                    // not here
                }
            }
        }
        return -1;
    }
}
