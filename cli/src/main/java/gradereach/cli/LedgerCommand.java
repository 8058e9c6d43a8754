package gradereach.cli;

import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
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

/** Inspects a ledger, also while a front end has it open, or compacts one that no front end has open. */
@Command(name = "ledger", mixinStandardHelpOptions = true, description = "Look into a front end's ledger.")
final class LedgerCommand {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private LedgerFolder.ReadResult read(Path folder, java.util.function.Consumer<LedgerRecord> consumer) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new CommandLine.ParameterException(spec.commandLine(), folder + ": no such folder");
        }
        return LedgerFolder.read(folder, false, (record, segment) -> consumer.accept(record));
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Print the life of one message, a line a record.")
    int show(@Parameters(paramLabel = "FOLDER") Path folder, @Parameters(paramLabel = "CUSTOMER") String customer,
            @Parameters(paramLabel = "ID") String id) throws IOException {
        LedgerState ledger = new LedgerState();
        read(folder, record -> {
            if (record.customer().equals(customer) && record.id().equals(id)) {
                System.out.println(Instant.ofEpochMilli((long) record.timestamp()) + " " + describe(record));
                ledger.apply(record);
            }
        });
        LedgerState.Message message = ledger.find(customer, id);
        System.out.println(message == null ? "not there" : "now: " + message.state().name().toLowerCase().replace('_', ' ')
                + (message.hasUnknownOutcome() ? ", unknown" : "") + (message.isDeliveryPending() ? ", an answer by webhook is owed" : ""));
        return message == null ? 1 : 0;
    }

    private static String describe(LedgerRecord record) {
        if (record instanceof LedgerRecord.ForwardIntended intended) {
            return "intended " + intended.model() + " at " + intended.recipient().address() + " as " + intended.forwardId();
        } else if (record instanceof LedgerRecord.Answered answered) {
            return "answered " + answered.answer().kind().name().toLowerCase() + " " + answered.answer().status() + " "
                    + new String(answered.answer().body(), StandardCharsets.UTF_8);
        } else if (record instanceof LedgerRecord.DeliveryAttempted delivery) {
            return "delivery tried " + delivery.attempts() + " times" + (delivery.finished() ? ", over" : "");
        } else if (record instanceof LedgerRecord.ClaimGranted claim) {
            return "claimed by " + claim.claimant();
        }
        return record instanceof LedgerRecord.ProvenNotRun ? "proven not to have run" : "promised an answer by webhook";
    }

    @Command(name = "unknown", mixinStandardHelpOptions = true, description = "List messages of which nobody knows whether they ran.")
    int unknown(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        LedgerState ledger = new LedgerState();
        read(folder, ledger::apply);
        int count = 0;
        for (LedgerState.Message message : ledger.messages()) {
            if (message.hasUnknownOutcome()) {
                count++;
                System.out.println(Instant.ofEpochMilli((long) message.lastRecordedAt()) + " " + message.customer + " " + message.id
                        + " " + message.model() + " " + message.unresolvedForwards().stream()
                        .map(forward -> forward.recipient().address()).toList());
            }
        }
        System.out.println(count + " unknown of " + ledger.size());
        return 0;
    }

    @Command(name = "compact", mixinStandardHelpOptions = true, description = "Write anew what is still needed of a ledger "
            + "that no front end has open. Exits with 1, and changes nothing, where it is damaged.")
    int compact(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new CommandLine.ParameterException(spec.commandLine(), folder + ": no such folder");
        }
        LedgerFolder.CompactionResult result = LedgerFolder.compact(folder,
                LedgerClock.retentionCutoff(folder, KeyRing.REPLAY_WINDOW_MILLIS));
        result.readResult().damage().forEach(System.out::println);
        boolean intact = result.readResult().damage().isEmpty();
        System.out.println(intact ? "kept " + result.keptRecords() + " of " + result.readResult().recordCount() + " records, "
                + result.bytes() + " of " + result.readResult().bytes() + " bytes" : "damaged: nothing was changed");
        return intact ? 0 : 1;
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Read all of it and name what is damaged, or that it was restored from a copy. Exits with 1 where something is.")
    int verify(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        LedgerState ledger = new LedgerState();
        LedgerFolder.ReadResult result = read(folder, ledger::apply);
        for (SegmentScanner.Damage damage : result.damage()) {
            System.out.println(damage);
        }
        ledger.anomalies().forEach(System.out::println);
        boolean restored = LedgerFolder.isRestoredCopy(folder);
        if (restored) {
            System.out.println("restored from a copy: what its front end did since is not in it");
        }
        System.out.println(result.recordCount() + " records of " + ledger.size() + " messages, " + result.bytes() + " bytes, torn tail "
                + result.tornBytes() + " bytes, damaged places " + result.damage().size());
        return result.damage().isEmpty() && !restored ? 0 : 1;
    }
}
