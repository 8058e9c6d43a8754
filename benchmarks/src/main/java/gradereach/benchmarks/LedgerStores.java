package gradereach.benchmarks;

import gradereach.counts.Counts;
import gradereach.ledger.CompactionPlanner;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
import gradereach.ledger.RecordCodec;
import gradereach.ledger.disk.Disk;
import gradereach.ledger.disk.DiskLedger;
import gradereach.ledger.disk.LedgerFolder;
import gradereach.message.FinalAnswer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Recorder;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/**
 * Compares the ledger's append-only log with an embedded store (H2 MVStore) that also uses group commit, in one run. Prints records
 * per second, the time until a record is durable at 2,000 per second, and the time to read many records. Arguments: a folder, the
 * number of records to read (a million by default).
 */
public final class LedgerStores {
    private static final byte[] BODY = new byte[300];
    private static final long THROUGHPUT_RUN_NANOS = 4_000_000_000L;
    private static final long MAX_SLEEP_NANOS = 50_000;

    private LedgerStores() { }

    /** A store that makes records durable and reports when they are. */
    private interface Store extends AutoCloseable {
        void append(LedgerRecord record, Runnable onDurable) throws InterruptedException;

        @Override
        void close() throws IOException;
    }

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args.length > 0 ? args[0] : "ledger-stores");
        int recordCount = args.length > 1 ? Integer.parseInt(args[1]) : 1_000_000;
        System.out.println("forced alone: " + medianForceMicros(folder) + " us a force of 200 bytes (median of 200)");
        for (int round = 0; round < 2; round++) {
            try (Store log = openLedger(folder.resolve("log" + round))) {
                measure("log", log);
            }
            try (Store store = openMvStore(folder.resolve("mvstore" + round))) {
                measure("mvstore", store);
            }
        }
        try (Store log = openLedger(folder.resolve("log-big"))) {
            fill(log, recordCount);
        }
        try (Store store = openMvStore(folder.resolve("mvstore-big"))) {
            fill(store, recordCount);
        }
        long start = System.nanoTime();
        LedgerState fromLog = new LedgerState();
        LedgerFolder.read(folder.resolve("log-big"), true, (record, segment) -> fromLog.apply(record));
        System.out.printf("log      read %d records, %d messages in %d ms%n", recordCount, fromLog.size(),
                (System.nanoTime() - start) / 1_000_000);
        start = System.nanoTime();
        LedgerState fromMvStore = new LedgerState();
        try (MVStore store = MVStore.open(folder.resolve("mvstore-big").toString())) {
            MVMap<Long, byte[]> map = store.openMap("records");
            for (byte[] frame : map.values()) {
                fromMvStore.apply(RecordCodec.decode(frame, 0));
            }
        }
        System.out.printf("mvstore  read %d records, %d messages in %d ms%n", recordCount, fromMvStore.size(),
                (System.nanoTime() - start) / 1_000_000);
    }

    private static long medianForceMicros(Path folder) throws IOException {
        Files.createDirectories(folder);
        List<Long> forceMicros = new ArrayList<>();
        Path file = folder.resolve("force-" + System.nanoTime());
        try (Disk.Appender out = Disk.FILE_SYSTEM.create(file)) {
            for (int i = 0; i < 200; i++) {
                long start = System.nanoTime();
                out.write(java.nio.ByteBuffer.wrap(new byte[200]));
                out.force();
                forceMicros.add((System.nanoTime() - start) / 1000);
            }
        }
        Files.delete(file);
        return forceMicros.stream().sorted().toList().get(100);
    }

    private static LedgerRecord record(long i) {
        String id = "m-" + i / 2;
        return i % 2 == 0
                ? new LedgerRecord.ForwardIntended("yard", id, 1e12 + i, i, -i, "book", "book-1", "10.0.0.1:8080", "yard/" + id + "#fe-0")
                : new LedgerRecord.Answered("yard", id, 1e12 + i, new FinalAnswer(FinalAnswer.Kind.RETURNED, 200, BODY, 0, true));
    }

    private static void measure(String name, Store store) throws InterruptedException {
        int maxPending = 2048;
        Semaphore permits = new Semaphore(maxPending);
        long start = System.nanoTime();
        int count = 0;
        while (System.nanoTime() - start < THROUGHPUT_RUN_NANOS) {
            permits.acquire();
            store.append(record(count++), permits::release);
        }
        permits.acquire(maxPending);
        permits.release(maxPending);
        double perSecond = count / ((System.nanoTime() - start) / 1e9);
        Recorder durableTimes = new Recorder(3);
        long startedAt = System.nanoTime();
        int recordsPerSecond = 2000;
        for (int i = 0; i < recordsPerSecond * 5; i++) { // five seconds
            long dueAt = startedAt + i * 1_000_000_000L / recordsPerSecond;
            while (System.nanoTime() < dueAt) {
                LockSupport.parkNanos(MAX_SLEEP_NANOS);
            }
            permits.acquire();
            store.append(record(i), () -> {
                durableTimes.recordValue((System.nanoTime() - dueAt) / 1000);
                permits.release();
            });
        }
        permits.acquire(maxPending);
        var histogram = durableTimes.getIntervalHistogram();
        System.out.printf("%-8s %8.0f records/s at most; at 2,000/s durable after p50 %d us, p99 %d us%n", name, perSecond,
                histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99));
    }

    private static void fill(Store store, int count) throws InterruptedException {
        Semaphore permits = new Semaphore(8192);
        for (int i = 0; i < count; i++) {
            permits.acquire();
            store.append(record(i), permits::release);
        }
        permits.acquire(8192);
    }

    private static Store openLedger(Path folder) throws IOException {
        DiskLedger ledger = new DiskLedger(Disk.FILE_SYSTEM, new DiskLedger.Limits(64L << 20, 0, 65_536),
                new CompactionPlanner(1e15, 1_000_000), () -> 1e12, Runnable::run, new Counts());
        ledger.start(new LedgerFolder(folder), 1);
        return new Store() {
            @Override
            public void append(LedgerRecord record, Runnable onDurable) {
                ledger.append(record, success -> {
                    if (!success) {
                        throw new IllegalStateException("not durable");
                    }
                    onDurable.run();
                });
            }

            @Override
            public void close() throws IOException {
                ledger.close();
            }
        };
    }

    private static Store openMvStore(Path file) {
        MVStore store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
        MVMap<Long, byte[]> map = store.openMap("records");
        record Pending(byte[] frame, Runnable onDurable) { }
        ArrayBlockingQueue<Pending> queue = new ArrayBlockingQueue<>(65_536);
        boolean[] closing = new boolean[1];
        Thread writer = new Thread(() -> {
            long nextKey = 0;
            List<Pending> batch = new ArrayList<>();
            try {
                while (!closing[0] || !queue.isEmpty()) {
                    Pending first = queue.poll(10, TimeUnit.MILLISECONDS);
                    if (first == null) {
                        continue;
                    }
                    batch.add(first);
                    queue.drainTo(batch, 2047);
                    for (Pending pending : batch) {
                        map.put(nextKey++, pending.frame);
                    }
                    store.commit();
                    store.sync();
                    batch.forEach(pending -> pending.onDurable.run());
                    batch.clear();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        writer.start();
        return new Store() {
            @Override
            public void append(LedgerRecord record, Runnable onDurable) throws InterruptedException {
                queue.put(new Pending(RecordCodec.encode(record), onDurable));
            }

            @Override
            public void close() throws IOException {
                closing[0] = true;
                try {
                    writer.join();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                store.close();
            }
        };
    }
}
