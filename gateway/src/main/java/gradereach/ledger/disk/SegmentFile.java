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

/** One segment of a ledger as read: whole frames in order, and what was not one. */
record SegmentFile(long number, String fileName, long length, List<LedgerRecord> records, SegmentScanner.Result result, long lastModifiedAt) {
    private static final Logger LOG = LoggerFactory.getLogger(SegmentFile.class);

    /**
     * Reads one and checks it.
     *
     * @param last whether it is the last one, whose tail may be torn
     * @param durable segment and length that were durable last; null where that is not known
     */
    static SegmentFile read(Path folder, long number, boolean last, long[] durable) throws IOException {
        Path file = LedgerFolder.segmentPath(folder, number);
        String name = file.getFileName().toString();
        byte[] bytes = Files.readAllBytes(file);
        long writtenAt = Files.getLastModifiedTime(file).toMillis();
        boolean marked = durable != null && durable[0] == number;
        if (bytes.length < LedgerFolder.MAGIC.length || !Arrays.equals(bytes, 0, LedgerFolder.MAGIC.length, LedgerFolder.MAGIC, 0, LedgerFolder.MAGIC.length)) {
            // The last one may have been killed while it was made.
            SegmentScanner.Result result = last && !marked ? new SegmentScanner.Result(List.of(), 0, bytes.length, 0)
                    : new SegmentScanner.Result(List.of(new Damage(name, 0, bytes.length, "no ledger segment")), 0, 0, 0);
            return new SegmentFile(number, name, bytes.length, List.of(), result, writtenAt);
        }
        // Of the last segment only what the mark covers is known to have been durable.
        long sure = !last ? -1 : marked ? durable[1] : LedgerFolder.MAGIC.length;
        List<LedgerRecord> records = new ArrayList<>();
        SegmentScanner.Result found = SegmentScanner.scan(name, bytes, LedgerFolder.MAGIC.length, bytes.length, sure, records::add);
        SegmentScanner.Result result = new SegmentScanner.Result(found.damage(), found.validLength(), last ? found.tornBytes() : 0, found.recordCount());
        return new SegmentFile(number, name, bytes.length, records, result, writtenAt);
    }

    /** A start must not fail by a disk that fails for a moment, and a torn tail must not stay. */
    static void truncate(Path segment, long end) throws IOException {
        try {
            StartRetry.run(() -> {
                try (FileChannel file = FileChannel.open(segment, StandardOpenOption.WRITE)) {
                    file.truncate(end);
                    file.force(true);
                }
                return end;
            }, () -> true, failure -> LOG.atWarn().addKeyValue("segment", segment)
                    .log("torn tail not cut off yet: {}", FailureText.describe(failure)));
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
