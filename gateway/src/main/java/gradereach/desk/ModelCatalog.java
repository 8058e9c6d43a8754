package gradereach.desk;

import gradereach.api.ModelGroup;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The models that may be asked for: by name, or by a prefix for families with many releases. Immutable. */
public final class ModelCatalog {
    /** What is told of a model; {@code memory} in MB, {@code loadTime} in milliseconds. */
    public record Entry(String name, long id, ModelGroup group, double memoryMegabytes, int lanes, double loadMillis) { }

    private final Map<String, Entry> byName = new HashMap<>();
    private final List<Entry> prefixEntries;

    /** Names that end in {@code *} stand for all names that begin so; the longest prefix wins. */
    public ModelCatalog(List<Entry> entries) {
        for (Entry entry : entries) {
            if (!entry.name().endsWith("*")) {
                byName.put(entry.name(), entry);
            }
        }
        prefixEntries = entries.stream().filter(e -> e.name().endsWith("*"))
                .sorted((a, b) -> Integer.compare(b.name().length(), a.name().length())).toList();
    }

    /** Null where no entry covers the name. */
    public Entry find(String name) {
        Entry known = byName.get(name);
        if (known != null) {
            return known;
        }
        for (Entry family : prefixEntries) {
            if (name.startsWith(family.name().substring(0, family.name().length() - 1))) {
                return new Entry(name, hash(name), family.group(), family.memoryMegabytes(), family.lanes(), family.loadMillis());
            }
        }
        return null;
    }

    /** FNV-1a over UTF-8: every front end must rank executors alike for a model, so the id comes from its name alone. */
    public static long hash(String name) {
        long h = 0xcbf29ce484222325L;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ b & 0xff) * 0x100000001b3L;
        }
        return h;
    }
}
