package gradereach.ledger.disk;

import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
import gradereach.ledger.Recipient;
import gradereach.message.FinalAnswer;
import gradereach.webhook.KeyRing;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Recovers a folder that was restored from a copy. The copy lacks what its front end did after it was made: a message that it
 * does not hold, or holds as not run, may have run since. Messages that it holds without a returned answer are recorded with an
 * unknown outcome. Messages that it does not hold are refused by their signed timestamp for one more retention from now on,
 * because a client may sign its message anew when it repeats it. After a crash at any step, the folder is detected as a copy
 * again.
 */
final class RestoredCopy {
    private static final Logger LOG = LoggerFactory.getLogger(RestoredCopy.class);
    private static final String TEMPORARY_FILE = "restored.new";

    private final LedgerFolder ledgerFolder;
    private final LedgerState state = new LedgerState();
    private double latestTimestamp = Double.NEGATIVE_INFINITY;

    private RestoredCopy(LedgerFolder ledgerFolder) {
        this.ledgerFolder = ledgerFolder;
    }

    /**
     * Records every message that may have been lost with an unknown outcome; durable on return.
     *
     * @param knownPosition the {@link LedgerPosition} that the ledger is known to have reached; it continues beyond it
     */
    static void recover(LedgerFolder ledgerFolder, long knownPosition) throws IOException {
        new RestoredCopy(ledgerFolder).recover(knownPosition);
    }

    private void recover(long knownPosition) throws IOException {
        LedgerFolder.ReadResult readResult = LedgerFolder.read(ledgerFolder.folder, true, (record, segment) -> {
            state.apply(record);
            latestTimestamp = Math.max(latestTimestamp, record.timestamp());
        });
        long signedUpTo = LedgerRecord.latestPossibleSignedAt(latestTime() + KeyRing.REPLAY_WINDOW_MILLIS);
        ledgerFolder.raiseSuspectUpTo(signedUpTo);
        List<LedgerRecord> intents = unknownOutcomeIntents();
        long nextSegment = Math.max(readResult.nextSegment(), LedgerPosition.segment(knownPosition) + 1);
        writeSegment(intents, nextSegment);
        ledgerFolder.saveInodeNumbers(nextSegment);
        LOG.atError().addKeyValue("folder", ledgerFolder.folder).addKeyValue("messages", intents.size())
                .addKeyValue("signed_up_to", signedUpTo)
                .log("ledger restored from a copy, which lacks later records: its messages without a returned answer, and "
                        + "unknown messages signed no later than signed_up_to, are answered with an unknown outcome");
    }

    /**
     * Unix milliseconds by the clock that is furthest ahead: with one that was set back, messages that may have run would be
     * admitted.
     */
    private double latestTime() {
        double byUptime = LedgerClock.now(ledgerFolder.folder);
        double byWallClock = Math.max(System.currentTimeMillis(), latestTimestamp);
        return Double.isNaN(byUptime) ? byWallClock : Math.max(byUptime, byWallClock);
    }

    /**
     * For each message that may have run since the copy was made, an intent of a forward to an unknown executor, dated at its
     * last record.
     */
    private List<LedgerRecord> unknownOutcomeIntents() {
        List<LedgerRecord> intents = new ArrayList<>();
        for (LedgerState.Message message : state.messages()) {
            boolean returned = message.answer() != null && message.answer().kind() == FinalAnswer.Kind.RETURNED;
            if (!returned) {
                intents.add(new LedgerRecord.ForwardIntended(message.customer, message.id, message.lastRecordedAt(), message.digestHigh(),
                        message.digestLow(), message.group(), message.model(), Recipient.UNKNOWN, "", message.signedAt()));
            }
        }
        return intents;
    }

    private void writeSegment(List<LedgerRecord> records, long segment) throws IOException {
        Path temporary = ledgerFolder.folder.resolve(TEMPORARY_FILE);
        Files.deleteIfExists(temporary);
        long bytes = LedgerFolder.writeSegment(temporary, records);
        Files.move(temporary, LedgerFolder.segmentPath(ledgerFolder.folder, segment), StandardCopyOption.ATOMIC_MOVE);
        LedgerFolder.syncFolder(ledgerFolder.folder);
        ledgerFolder.writeTailMark(segment, bytes);
    }
}
