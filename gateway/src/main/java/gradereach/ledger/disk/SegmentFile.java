package gradereach.ledger.disk;

import gradereach.counts.FailureText;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.SegmentScanner;
import gradereach.ledger.SegmentScanner.Damage;
import gradereach.loop.StartRetry;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A segment of a ledger as read from disk.
 *
 * @param length bytes of the file
 * @param records the valid records, in order
 * @param lastModifiedAt Unix milliseconds
 */
record SegmentFile(long number, String fileName, long length, List<LedgerRecord> records, SegmentScanner.Result result,
        long lastModifiedAt) {
    private static final Logger LOG = LoggerFactory.getLogger(SegmentFile.class);

    /**
     * Reads and verifies a segment.
     *
     * @param isLast whether it is the last segment, whose tail may be torn
     * @param tailMark number of the segment that was durable last, and its durable length; null if that is not known
     */
    static SegmentFile read(Path folder, long number, boolean isLast, long[] tailMark) throws IOException {
        Path file = LedgerFolder.segmentPath(folder, number);
        String fileName = file.getFileName().toString();
        byte[] bytes = Files.readAllBytes(file);
        long lastModifiedAt = Files.getLastModifiedTime(file).toMillis();
        boolean hasTailMark = tailMark != null && tailMark[0] == number;
        if (bytes.length < LedgerFolder.MAGIC.length
                || !Arrays.equals(bytes, 0, LedgerFolder.MAGIC.length, LedgerFolder.MAGIC, 0, LedgerFolder.MAGIC.length)) {
            // The process may have been killed while it created the last segment.
            SegmentScanner.Result result = isLast && !hasTailMark ? new SegmentScanner.Result(List.of(), 0, bytes.length, 0)
                    : new SegmentScanner.Result(List.of(new Damage(fileName, 0, bytes.length, "no ledger segment")), 0, 0, 0);
            return new SegmentFile(number, fileName, bytes.length, List.of(), result, lastModifiedAt);
        }
        // In the last segment only what the tail mark covers is known to have been durable.
        long durableLength = !isLast ? -1 : hasTailMark ? tailMark[1] : LedgerFolder.MAGIC.length;
        List<LedgerRecord> records = new ArrayList<>();
        SegmentScanner.Result scanned = SegmentScanner.scan(fileName, bytes, LedgerFolder.MAGIC.length, bytes.length, durableLength,
                records::add);
        SegmentScanner.Result result = new SegmentScanner.Result(scanned.damage(), scanned.validLength(),
                isLast ? scanned.tornBytes() : 0, scanned.recordCount());
        return new SegmentFile(number, fileName, bytes.length, records, result, lastModifiedAt);
    }

    /** Cuts off a torn tail. Retries after a failure, since a temporary one must not make the start fail. */
    static void truncate(Path segment, long length) throws IOException {
        try {
            StartRetry.run(() -> {
                try (FileChannel channel = FileChannel.open(segment, StandardOpenOption.WRITE)) {
                    channel.truncate(length);
                    channel.force(true);
                }
                return length;
            }, () -> true, failure -> LOG.atWarn().addKeyValue("segment", segment)
                    .log("cannot cut off the torn tail of a ledger segment, retrying: {}", FailureText.describe(failure)));
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
