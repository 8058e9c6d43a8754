package gradereach.ledger.disk;

import gradereach.ledger.LedgerState;
import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
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
 * Takes over a folder that was restored from a copy. What its front end did after the copy was made is not in it: a message
 * that it does not know, or knows as not run, may have run since. The latter are recorded as of unknown end. The former are
 * barred by the timestamp that they are signed with, for as long as a message is remembered from now on: a client that
 * repeats its message may sign it anew. Cut at any step, it is found as a copy again.
 */
final class RestoredCopy {
    private static final Logger LOG = LoggerFactory.getLogger(RestoredCopy.class);
    private static final String TEMPORARY_FILE = "restored.new";

    private final LedgerFolder ledgerFolder;
    private final LedgerState state = new LedgerState();
    private double latestTimestamp = Double.NEGATIVE_INFINITY;

    private RestoredCopy(LedgerFolder opened) {
        this.ledgerFolder = opened;
    }

    /**
     * Returns once all that it may have forgotten is durably of unknown end.
     *
     * @param reached how far the ledger is known to have got before: it goes on beyond that ({@link LedgerPosition})
     */
    static void recover(LedgerFolder opened, long reached) throws IOException {
        new RestoredCopy(opened).recover(reached);
    }

    private void recover(long reached) throws IOException {
        LedgerFolder.ReadResult found = LedgerFolder.read(ledgerFolder.folder, true, (record, segment) -> {
            state.apply(record);
            latestTimestamp = Math.max(latestTimestamp, record.timestamp());
        });
        long signedUpTo = LedgerRecord.latestPossibleSignedAt(latestTime() + KeyRing.REPLAY_WINDOW_MILLIS);
        ledgerFolder.raiseSuspectUpTo(signedUpTo);
        List<LedgerRecord> doubts = unknownOutcomeIntents();
        long next = Math.max(found.nextSegment(), LedgerPosition.segment(reached) + 1);
        writeSegment(doubts, next);
        ledgerFolder.saveInodeNumbers(next);
        LOG.atError().addKeyValue("folder", ledgerFolder.folder).addKeyValue("messages", doubts.size()).addKeyValue("signed_up_to", signedUpTo)
                .log("ledger restored from a copy: what its front end did since is not in it, so what was not returned, and what is "
                        + "not known and signed by then, is answered as unknown");
    }

    /** Unix milliseconds, by whichever clock is furthest: one that was set back must not open what may have run. */
    private double latestTime() {
        double byUptime = LedgerClock.now(ledgerFolder.folder);
        double byWallClock = Math.max(System.currentTimeMillis(), latestTimestamp);
        return Double.isNaN(byUptime) ? byWallClock : Math.max(byUptime, byWallClock);
    }

    /** A forward of unknown way for each message that may have run since, dated as early as that can have been. */
    private List<LedgerRecord> unknownOutcomeIntents() {
        List<LedgerRecord> doubts = new ArrayList<>();
        for (LedgerState.Message message : state.messages()) {
            boolean returned = message.answer() != null && message.answer().kind() == FinalAnswer.Kind.RETURNED;
            if (!returned) {
                doubts.add(new LedgerRecord.ForwardIntended(message.customer, message.id, message.lastRecordedAt(), message.digestHigh(),
                        message.digestLow(), message.group(), message.model(), Recipient.UNKNOWN, "", message.signedAt()));
            }
        }
        return doubts;
    }

    private void writeSegment(List<LedgerRecord> records, long segment) throws IOException {
        Path fresh = ledgerFolder.folder.resolve(TEMPORARY_FILE);
        Files.deleteIfExists(fresh);
        long bytes = LedgerFolder.writeSegment(fresh, records);
        Files.move(fresh, LedgerFolder.segmentPath(ledgerFolder.folder, segment), StandardCopyOption.ATOMIC_MOVE);
        LedgerFolder.syncFolder(ledgerFolder.folder);
        ledgerFolder.tailMark(segment, bytes);
    }
}
