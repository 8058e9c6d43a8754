package gradereach.benchmarks;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.RecordCodec;
import gradereach.ledger.disk.Disk;
import gradereach.ledger.disk.LedgerFolder;
import gradereach.message.FinalAnswer;
import gradereach.plan.Deployment;
import gradereach.serve.FaultInjection;
import gradereach.serve.Gateway;
import gradereach.webhook.WebhookKey;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;

/**
 * Measures the time from the start of a front end until it has read a ledger of a given number of messages, each with an intent
 * and an answer of 300 bytes. Arguments: a folder, then numbers of messages.
 */
public final class FrontEndRecovery {
    private FrontEndRecovery() { }

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args.length > 0 ? args[0] : "front-end-recovery");
        for (int i = 1; i < Math.max(args.length, 2); i++) {
            int messages = args.length > 1 ? Integer.parseInt(args[i]) : 500_000;
            Path ledger = folder.resolve("ledger-" + messages + "-" + System.nanoTime());
            writeLedger(ledger, messages);
            ObjectNode deployment = (ObjectNode) new ObjectMapper().readTree("""
                    {"name": "fe", "listen": "127.0.0.1:0", "roster": {"file": "none.json"},
                     "customers": [{"name": "yard", "keys": [{"inline": "KEY"}]}],
                     "model_groups": [{"name": "book", "repeat": "non-retriable", "slo_ms": 500, "route_timeout_ms": 2000}],
                     "models": [{"name": "book-*", "group": "book", "lanes": 1}],
                     "limits": {"remembered": 2000000, "remembered_bytes": 1000000000}}"""
                    .replace("KEY", WebhookKey.newSecret(new SecureRandom())));
            deployment.putObject("ledger").put("folder", ledger.toAbsolutePath().toString());
            long start = System.nanoTime();
            Gateway gateway = new Gateway(Deployment.of(deployment, folder), FaultInjection.NONE);
            gateway.listen();
            while (storedMessages(gateway) < messages) {
                Thread.sleep(1);
            }
            long elapsedMillis = (System.nanoTime() - start) / 1_000_000;
            System.gc();
            Runtime memory = Runtime.getRuntime();
            System.out.printf("%d messages, %d records: front end decides %d ms after its start; heap used %d MB%n", messages,
                    2 * messages, elapsedMillis, (memory.totalMemory() - memory.freeMemory()) >> 20);
            gateway.close();
        }
    }

    private static long storedMessages(Gateway gateway) {
        return gateway.counts().limits().stream().filter(limit -> limit.name.equals("messages_remembered"))
                .mapToLong(limit -> limit.inUse()).findFirst().orElse(0);
    }

    private static void writeLedger(Path folder, int messages) throws Exception {
        new LedgerFolder(folder).close();
        byte[] body = new byte[300];
        double now = System.currentTimeMillis();
        ByteBuffer segment = ByteBuffer.allocate(SEGMENT_BYTES);
        int segments = 0;
        for (int i = 0; i < messages; i++) {
            String id = "m-" + i;
            for (LedgerRecord record : new LedgerRecord[] {
                new LedgerRecord.ForwardIntended("yard", id, now, i, -i, "book", "book-1", "10.0.0.1:8080", "yard/" + id + "#fe-0"),
                new LedgerRecord.Answered("yard", id, now, new FinalAnswer(FinalAnswer.Kind.RETURNED, 200, body, 0, true))}) {
                byte[] frame = RecordCodec.encode(record);
                if (frame.length > segment.remaining()) {
                    writeSegment(folder, ++segments, segment);
                }
                segment.put(frame);
            }
        }
        writeSegment(folder, ++segments, segment);
    }

    /** Default segment size of a front end's ledger. */
    private static final int SEGMENT_BYTES = 64 << 20;

    private static void writeSegment(Path folder, int number, ByteBuffer segment) throws Exception {
        try (Disk.Appender out = Disk.FILE_SYSTEM.create(folder.resolve(String.format("%016x.ledger", number)))) {
            out.write(ByteBuffer.wrap("gradereach ledger 1\n".getBytes(StandardCharsets.US_ASCII)));
            out.write(segment.flip());
            out.force();
        }
        segment.clear();
    }
}
