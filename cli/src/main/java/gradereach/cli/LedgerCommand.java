package gradereach.cli;

import gradereach.ledger.LedgerBook;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.SegmentScan;
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

    private LedgerFolder.Found read(Path folder, java.util.function.Consumer<LedgerRecord> each) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new CommandLine.ParameterException(spec.commandLine(), folder + ": no such folder");
        }
        return LedgerFolder.read(folder, false, (record, segment) -> each.accept(record));
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Print the life of one message, a line a record.")
    int show(@Parameters(paramLabel = "FOLDER") Path folder, @Parameters(paramLabel = "CUSTOMER") String customer,
            @Parameters(paramLabel = "ID") String id) throws IOException {
        LedgerBook book = new LedgerBook();
        read(folder, record -> {
            if (record.customer().equals(customer) && record.id().equals(id)) {
                System.out.println(Instant.ofEpochMilli((long) record.at()) + " " + line(record));
                book.apply(record);
            }
        });
        LedgerBook.Message message = book.find(customer, id);
        System.out.println(message == null ? "not there" : "now: " + message.state().name().toLowerCase().replace('_', ' ')
                + (message.unknown() ? ", unknown" : "") + (message.owed() ? ", an answer by webhook is owed" : ""));
        return message == null ? 1 : 0;
    }

    private static String line(LedgerRecord record) {
        if (record instanceof LedgerRecord.Intended r) {
            return "intended " + r.model() + " at " + r.recipient().address() + " as " + r.forward();
        } else if (record instanceof LedgerRecord.Answered r) {
            return "answered " + r.answer().kind().name().toLowerCase() + " " + r.answer().status() + " "
                    + new String(r.answer().body(), StandardCharsets.UTF_8);
        } else if (record instanceof LedgerRecord.Delivered r) {
            return "delivery tried " + r.tries() + " times" + (r.over() ? ", over" : "");
        } else if (record instanceof LedgerRecord.Claimed r) {
            return "claimed by " + r.claimant();
        }
        return record instanceof LedgerRecord.NotRun ? "proven not to have run" : "promised an answer by webhook";
    }

    @Command(name = "unknown", mixinStandardHelpOptions = true, description = "List messages of which nobody knows whether they ran.")
    int unknown(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        LedgerBook book = new LedgerBook();
        read(folder, book::apply);
        int count = 0;
        for (LedgerBook.Message m : book.messages()) {
            if (m.unknown()) {
                count++;
                System.out.println(Instant.ofEpochMilli((long) m.lastAt()) + " " + m.customer + " " + m.id + " " + m.model()
                        + " " + m.forwards().stream().map(open -> open.recipient().address()).toList());
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
        LedgerFolder.Compacted done = LedgerFolder.compact(folder, LedgerClock.keptSince(folder, KeyRing.REPLAYABLE_MILLIS));
        done.found().damage().forEach(System.out::println);
        boolean whole = done.found().damage().isEmpty();
        System.out.println(whole ? "kept " + done.kept() + " of " + done.found().records() + " records, " + done.bytes()
                + " of " + done.found().bytes() + " bytes" : "damaged: nothing was changed");
        return whole ? 0 : 1;
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Read all of it and name what is damaged, or that it was restored from a copy. Exits with 1 where something is.")
    int verify(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        LedgerBook book = new LedgerBook();
        LedgerFolder.Found found = read(folder, book::apply);
        for (SegmentScan.Damage damage : found.damage()) {
            System.out.println(damage);
        }
        book.oddities().forEach(System.out::println);
        boolean restored = LedgerFolder.isRestoredCopy(folder);
        if (restored) {
            System.out.println("restored from a copy: what its front end did since is not in it");
        }
        System.out.println(found.records() + " records of " + book.size() + " messages, " + found.bytes() + " bytes, torn tail "
                + found.tornBytes() + " bytes, damaged places " + found.damage().size());
        return found.damage().isEmpty() && !restored ? 0 : 1;
    }
}
