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
final class InodeNumbers {
    private static final String FILE = "files";
    /** Where the file system has no such numbers, no copy can be told. */
    private static final long NO_INODE = 0;

    private final Path folder;

    InodeNumbers(Path folder) {
        this.folder = folder;
    }

    /** Whether a file has another number than the folder tells; not where it tells none, as earlier versions left it. */
    boolean haveChanged() throws IOException {
        String text = AtomicTextFile.read(folder, FILE);
        return text != null && !matches(parse(text), current());
    }

    /** A segment may have gone by compaction since; every other difference is one. */
    private static boolean matches(Map<String, Long> kept, Map<String, Long> present) {
        return present.entrySet().stream().allMatch(file -> file.getValue().equals(kept.get(file.getKey())));
    }

    /** Empty where it cannot be read: then all files differ. */
    private static Map<String, Long> parse(String text) {
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
    private Map<String, Long> current() throws IOException {
        Map<String, Long> numbers = new TreeMap<>();
        put(numbers, folder.resolve(LedgerFolder.IDENTITY_FILE));
        put(numbers, folder.resolve(LedgerFolder.LOCK_FILE));
        put(numbers, folder.resolve(FILE));
        for (long segment : LedgerFolder.segmentNumbers(folder)) {
            Path file = LedgerFolder.segmentPath(folder, segment);
            if (Files.size(file) > LedgerFolder.MAGIC.length) {
                put(numbers, file);
            }
        }
        return numbers;
    }

    private static void put(Map<String, Long> numbers, Path file) throws IOException {
        if (Files.exists(file)) {
            numbers.put(file.getFileName().toString(), inodeOf(file));
        }
    }

    private static long inodeOf(Path file) throws IOException {
        try {
            return ((Number) Files.getAttribute(file, "unix:ino")).longValue();
        } catch (UnsupportedOperationException | IllegalArgumentException e) {
            return NO_INODE;
        }
    }

    /**
     * Keeps the numbers as they are, durable when it returns.
     *
     * @param next the segment that is written next, in a file that has its number already
     */
    void save(Path next, Path file) throws IOException {
        Map<String, Long> numbers = current();
        numbers.put(next.getFileName().toString(), inodeOf(file));
        numbers.put(FILE, inodeOf(AtomicTextFile.createTemporary(folder, FILE)));
        StringBuilder text = new StringBuilder();
        numbers.forEach((name, number) -> text.append(name).append(' ').append(number).append('\n'));
        AtomicTextFile.write(folder, FILE, text.toString());
    }
}
