package gradereach.ledger.disk;

import gradereach.ledger.LedgerBook;
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
    private static final String FRESH = "restored.new";

    private final LedgerFolder opened;
    private final LedgerBook book = new LedgerBook();
    private double youngest = Double.NEGATIVE_INFINITY;

    private RestoredCopy(LedgerFolder opened) {
        this.opened = opened;
    }

    /**
     * Returns once all that it may have forgotten is durably of unknown end.
     *
     * @param reached how far the ledger is known to have got before: it goes on beyond that ({@link LedgerPosition})
     */
    static void takeOver(LedgerFolder opened, long reached) throws IOException {
        new RestoredCopy(opened).takeOver(reached);
    }

    private void takeOver(long reached) throws IOException {
        LedgerFolder.Found found = LedgerFolder.read(opened.folder, true, (record, segment) -> {
            book.apply(record);
            youngest = Math.max(youngest, record.at());
        });
        long signedUpTo = LedgerRecord.signableUntil(latestTime() + KeyRing.REPLAYABLE_MILLIS);
        opened.suspect(signedUpTo);
        List<LedgerRecord> doubts = doubts();
        long next = Math.max(found.nextSegment(), LedgerPosition.segment(reached) + 1);
        append(doubts, next);
        opened.keepFileNumbers(next);
        LOG.atError().addKeyValue("folder", opened.folder).addKeyValue("messages", doubts.size()).addKeyValue("signed_up_to", signedUpTo)
                .log("ledger restored from a copy: what its front end did since is not in it, so what was not returned, and what is "
                        + "not known and signed by then, is answered as unknown");
    }

    /** Unix milliseconds, by whichever clock is furthest: one that was set back must not open what may have run. */
    private double latestTime() {
        double byUptime = LedgerClock.now(opened.folder);
        double byWallClock = Math.max(System.currentTimeMillis(), youngest);
        return Double.isNaN(byUptime) ? byWallClock : Math.max(byUptime, byWallClock);
    }

    /** A forward of unknown way for each message that may have run since, dated as early as that can have been. */
    private List<LedgerRecord> doubts() {
        List<LedgerRecord> doubts = new ArrayList<>();
        for (LedgerBook.Message message : book.messages()) {
            boolean returned = message.answer() != null && message.answer().kind() == FinalAnswer.Kind.RETURNED;
            if (!returned) {
                doubts.add(new LedgerRecord.Intended(message.customer, message.id, message.lastAt(), message.digestHigh(),
                        message.digestLow(), message.group(), message.model(), Recipient.UNKNOWN, "", message.signedAt()));
            }
        }
        return doubts;
    }

    private void append(List<LedgerRecord> records, long segment) throws IOException {
        Path fresh = opened.folder.resolve(FRESH);
        Files.deleteIfExists(fresh);
        long bytes = LedgerFolder.write(fresh, records);
        Files.move(fresh, LedgerFolder.segment(opened.folder, segment), StandardCopyOption.ATOMIC_MOVE);
        LedgerFolder.force(opened.folder);
        opened.mark(segment, bytes);
    }
}
