package gradereach.ledger.disk;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The numbers (inodes) that the file system gave to a ledger's files, as the folder itself keeps them. A folder that was
 * restored from a copy tells the numbers of the files it was copied from, and has others. One that was renamed, or whose owner
 * or mode was changed, has its own still.
 */
final class FileNumbers {
    private static final String FILE = "files";
    /** Where the file system has no such numbers, no copy can be told. */
    private static final long NONE = 0;

    private final Path folder;

    FileNumbers(Path folder) {
        this.folder = folder;
    }

    /** Whether a file has another number than the folder tells; not where it tells none, as earlier versions left it. */
    boolean differ() throws IOException {
        String text = KeptText.read(folder, FILE);
        return text != null && !agree(kept(text), present());
    }

    /** A segment may have gone by compaction since; every other difference is one. */
    private static boolean agree(Map<String, Long> kept, Map<String, Long> present) {
        return present.entrySet().stream().allMatch(file -> file.getValue().equals(kept.get(file.getKey())));
    }

    /** Empty where it cannot be read: then all files differ. */
    private static Map<String, Long> kept(String text) {
        Map<String, Long> numbers = new TreeMap<>();
        try {
            for (String line : text.lines().toList()) {
                String[] words = line.split(" ");
                numbers.put(words[0], Long.parseLong(words[1]));
            }
        } catch (RuntimeException e) {
            return Map.of();
        }
        return numbers;
    }

    /** Of the files that stay from the first start on, of this list, and of all segments that hold a record. */
    private Map<String, Long> present() throws IOException {
        Map<String, Long> numbers = new TreeMap<>();
        put(numbers, folder.resolve(LedgerFolder.IDENTITY));
        put(numbers, folder.resolve(LedgerFolder.LOCK));
        put(numbers, folder.resolve(FILE));
        for (long segment : LedgerFolder.segments(folder)) {
            Path file = LedgerFolder.segment(folder, segment);
            if (Files.size(file) > LedgerFolder.MAGIC.length) {
                put(numbers, file);
            }
        }
        return numbers;
    }

    private static void put(Map<String, Long> numbers, Path file) throws IOException {
        if (Files.exists(file)) {
            numbers.put(file.getFileName().toString(), numberOf(file));
        }
    }

    private static long numberOf(Path file) throws IOException {
        try {
            return ((Number) Files.getAttribute(file, "unix:ino")).longValue();
        } catch (UnsupportedOperationException | IllegalArgumentException e) {
            return NONE;
        }
    }

    /**
     * Keeps the numbers as they are, durable when it returns.
     *
     * @param next the segment that is written next, in a file that has its number already
     */
    void keep(Path next, Path file) throws IOException {
        Map<String, Long> numbers = present();
        numbers.put(next.getFileName().toString(), numberOf(file));
        numbers.put(FILE, numberOf(KeptText.create(folder, FILE)));
        StringBuilder text = new StringBuilder();
        numbers.forEach((name, number) -> text.append(name).append(' ').append(number).append('\n'));
        KeptText.write(folder, FILE, text.toString());
    }
}
