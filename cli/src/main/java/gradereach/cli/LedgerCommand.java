package gradereach.cli;

import gradereach.ledger.LedgerState;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.SegmentScanner;
import gradereach.ledger.disk.LedgerClock;
import gradereach.ledger.disk.LedgerFolder;
import gradereach.webhook.KeyRing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** What a ledger holds, read only; also while a front end has it open. */
@Command(name = "ledger", mixinStandardHelpOptions = true, description = "Look into a front end's ledger.")
final class LedgerCommand {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private LedgerFolder.ReadResult read(Path folder, java.util.function.Consumer<LedgerRecord> each) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new CommandLine.ParameterException(spec.commandLine(), folder + ": no such folder");
        }
        return LedgerFolder.read(folder, false, (record, segment) -> each.accept(record));
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Print the life of one message, a line a record.")
    int show(@Parameters(paramLabel = "FOLDER") Path folder, @Parameters(paramLabel = "CUSTOMER") String customer,
            @Parameters(paramLabel = "ID") String id) throws IOException {
        LedgerState book = new LedgerState();
        read(folder, record -> {
            if (record.customer().equals(customer) && record.id().equals(id)) {
                System.out.println(Instant.ofEpochMilli((long) record.timestamp()) + " " + describe(record));
                book.apply(record);
            }
        });
        LedgerState.Message message = book.find(customer, id);
        System.out.println(message == null ? "not there" : "now: " + message.state().name().toLowerCase().replace('_', ' ')
                + (message.hasUnknownOutcome() ? ", unknown" : "") + (message.isDeliveryPending() ? ", an answer by webhook is owed" : ""));
        return message == null ? 1 : 0;
    }

    private static String describe(LedgerRecord record) {
        if (record instanceof LedgerRecord.ForwardIntended r) {
            return "intended " + r.model() + " at " + r.recipient().address() + " as " + r.forwardId();
        } else if (record instanceof LedgerRecord.Answered r) {
            return "answered " + r.answer().kind().name().toLowerCase() + " " + r.answer().status() + " "
                    + new String(r.answer().body(), StandardCharsets.UTF_8);
        } else if (record instanceof LedgerRecord.DeliveryAttempted r) {
            return "delivery tried " + r.attempts() + " times" + (r.finished() ? ", over" : "");
        } else if (record instanceof LedgerRecord.ClaimGranted r) {
            return "claimed by " + r.claimant();
        }
        return record instanceof LedgerRecord.ProvenNotRun ? "proven not to have run" : "promised an answer by webhook";
    }

    @Command(name = "unknown", mixinStandardHelpOptions = true, description = "List messages of which nobody knows whether they ran.")
    int unknown(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        LedgerState book = new LedgerState();
        read(folder, book::apply);
        int count = 0;
        for (LedgerState.Message m : book.messages()) {
            if (m.hasUnknownOutcome()) {
                count++;
                System.out.println(Instant.ofEpochMilli((long) m.lastRecordedAt()) + " " + m.customer + " " + m.id + " " + m.model()
                        + " " + m.unresolvedForwards().stream().map(open -> open.recipient().address()).toList());
            }
        }
        System.out.println(count + " unknown of " + book.size());
        return 0;
    }

    @Command(name = "compact", mixinStandardHelpOptions = true, description = "Write anew what is still needed of a ledger "
            + "that no front end has open. Exits with 1, and changes nothing, where it is damaged.")
    int compact(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new CommandLine.ParameterException(spec.commandLine(), folder + ": no such folder");
        }
        LedgerFolder.CompactionResult done = LedgerFolder.compact(folder, LedgerClock.retentionCutoff(folder, KeyRing.REPLAY_WINDOW_MILLIS));
        done.readResult().damage().forEach(System.out::println);
        boolean whole = done.readResult().damage().isEmpty();
        System.out.println(whole ? "kept " + done.keptRecords() + " of " + done.readResult().recordCount() + " records, " + done.bytes()
                + " of " + done.readResult().bytes() + " bytes" : "damaged: nothing was changed");
        return whole ? 0 : 1;
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Read all of it and name what is damaged, or that it was restored from a copy. Exits with 1 where something is.")
    int verify(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        LedgerState book = new LedgerState();
        LedgerFolder.ReadResult found = read(folder, book::apply);
        for (SegmentScanner.Damage damage : found.damage()) {
            System.out.println(damage);
        }
        book.anomalies().forEach(System.out::println);
        boolean restored = LedgerFolder.isRestoredCopy(folder);
        if (restored) {
            System.out.println("restored from a copy: what its front end did since is not in it");
        }
        System.out.println(found.recordCount() + " records of " + book.size() + " messages, " + found.bytes() + " bytes, torn tail "
                + found.tornBytes() + " bytes, damaged places " + found.damage().size());
        return found.damage().isEmpty() && !restored ? 0 : 1;
    }
}
