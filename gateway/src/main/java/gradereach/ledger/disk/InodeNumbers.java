package gradereach.ledger.disk;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The inode numbers of a ledger's files, as listed in a file of the folder itself. A folder that was restored from a copy lists the
 * inodes of the original files and has others. A folder that was renamed, or whose owner or mode was changed, keeps its inodes.
 */
final class InodeNumbers {
    private static final String LIST_FILE = "files";
    /** On a file system without inode numbers, a copy cannot be detected. */
    private static final long NO_INODE = 0;

    private final Path folder;

    InodeNumbers(Path folder) {
        this.folder = folder;
    }

    /** Whether a file has another inode than listed; false without a list, as earlier versions left the folder. */
    boolean haveChanged() throws IOException {
        String text = AtomicTextFile.read(folder, LIST_FILE);
        return text != null && !matches(parse(text), currentInodes());
    }

    /** A listed segment may have been removed by compaction since; any other difference counts. */
    private static boolean matches(Map<String, Long> listed, Map<String, Long> actual) {
        return actual.entrySet().stream().allMatch(file -> file.getValue().equals(listed.get(file.getKey())));
    }

    /** The listed inodes by file name; empty if the text cannot be parsed, so that all files differ. */
    private static Map<String, Long> parse(String text) {
        Map<String, Long> inodes = new TreeMap<>();
        try {
            for (String line : text.lines().toList()) {
                String[] fields = line.split(" ");
                inodes.put(fields[0], Long.parseLong(fields[1]));
            }
        } catch (RuntimeException e) {
            return Map.of();
        }
        return inodes;
    }

    /** The inodes of the permanent files, of the list itself, and of all segments that hold a record. */
    private Map<String, Long> currentInodes() throws IOException {
        Map<String, Long> inodes = new TreeMap<>();
        put(inodes, folder.resolve(LedgerFolder.IDENTITY_FILE));
        put(inodes, folder.resolve(LedgerFolder.LOCK_FILE));
        put(inodes, folder.resolve(LIST_FILE));
        for (long segment : LedgerFolder.segmentNumbers(folder)) {
            Path file = LedgerFolder.segmentPath(folder, segment);
            if (Files.size(file) > LedgerFolder.MAGIC.length) {
                put(inodes, file);
            }
        }
        return inodes;
    }

    private static void put(Map<String, Long> inodes, Path file) throws IOException {
        if (Files.exists(file)) {
            inodes.put(file.getFileName().toString(), inodeOf(file));
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
     * Saves the present inodes; durable on return.
     *
     * @param segmentPath path that the next segment will have
     * @param file the file that becomes the next segment and has its inode already
     */
    void save(Path segmentPath, Path file) throws IOException {
        Map<String, Long> inodes = currentInodes();
        inodes.put(segmentPath.getFileName().toString(), inodeOf(file));
        inodes.put(LIST_FILE, inodeOf(AtomicTextFile.createTemporary(folder, LIST_FILE)));
        StringBuilder text = new StringBuilder();
        inodes.forEach((name, inode) -> text.append(name).append(' ').append(inode).append('\n'));
        AtomicTextFile.write(folder, LIST_FILE, text.toString());
    }
}
