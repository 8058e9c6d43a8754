package gradereach.ledger.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.counts.Counts;
import gradereach.ledger.CompactionPlanner;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The folder keeps the signed timestamp of a claim whose record is removed. Without it, a repeat of that message would be granted
 * to another front end as if it were new.
 */
@Timeout(30)
class ForgottenClaimsTest {
    private static final double RETENTION_MILLIS = 600_000;
    private static final long SIGNED_AT = 1_900_000_000L;
    private static final DiskLedger.Limits ONE_RECORD_A_SEGMENT = new DiskLedger.Limits(50, 0, 64);

    @TempDir
    private Path folder;
    private volatile double now = 1000;
    private DiskLedger ledger;

    @BeforeEach
    void writeTwoClaims() throws Exception {
        ledger = new DiskLedger(Disk.FILE_SYSTEM, ONE_RECORD_A_SEGMENT, new CompactionPlanner(RETENTION_MILLIS, 1000), () -> now,
                Runnable::run, new Counts());
        ledger.start(new LedgerFolder(folder), 1);
        appendClaim("old", 1000, SIGNED_AT);
        appendClaim("young", 899_000, SIGNED_AT + 1000);
        appendClaim("young", 900_000, SIGNED_AT + 1000); // granted a second time
    }

    private void appendClaim(String id, double timestamp, long signedAt) throws Exception {
        CompletableFuture<Boolean> durable = new CompletableFuture<>();
        ledger.append(new LedgerRecord.ClaimGranted("yard", id, timestamp, 1, 2, "fe-1/x", signedAt, 0), durable::complete);
        assertTrue(durable.get(10, TimeUnit.SECONDS));
    }

    private void assertOnlyTheOldClaimIsForgotten() throws Exception {
        LedgerState remaining = new LedgerState();
        LedgerFolder.read(folder, false, (record, segment) -> remaining.apply(record));
        List<String> ids = new ArrayList<>();
        remaining.claims().forEach(claim -> ids.add(claim.id()));
        assertEquals(List.of("young"), ids);
        try (LedgerFolder ledgerFolder = new LedgerFolder(folder)) {
            assertEquals(SIGNED_AT, ledgerFolder.claimsForgottenUpTo());
            assertEquals(Long.MIN_VALUE, ledgerFolder.forgottenUpTo(), "messages of its own are not affected");
        }
    }

    @Test
    void segmentRemovalRaisesTheTimestamp() throws Exception {
        Path oldest = folder.resolve("0000000000000001.ledger");
        assertTrue(Files.exists(oldest));
        now = 1000 + RETENTION_MILLIS + 1;
        while (Files.exists(oldest)) {
            Thread.onSpinWait();
        }
        ledger.close();
        assertOnlyTheOldClaimIsForgotten();
    }

    @Test
    void compactionByHandRaisesTheTimestamp() throws Exception {
        ledger.close();
        LedgerFolder.compact(folder, 300_000);
        assertOnlyTheOldClaimIsForgotten();
    }
}
