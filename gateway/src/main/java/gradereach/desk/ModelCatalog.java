package gradereach.desk;

import gradereach.api.ModelGroup;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The models that may be requested: by name, or by prefix for model families with many releases. Immutable. */
public final class ModelCatalog {
    /**
     * One model, or a family of models.
     *
     * @param name the model's name, or a prefix of names followed by {@code *}
     * @param lanes concurrent inferences of one copy
     */
    public record Entry(String name, long id, ModelGroup group, double memoryMegabytes, int lanes, double loadMillis) { }

    private final Map<String, Entry> byName = new HashMap<>();
    private final List<Entry> prefixEntries;

    /** A name that ends in {@code *} covers all names with that prefix; the longest matching prefix wins. */
    public ModelCatalog(List<Entry> entries) {
        for (Entry entry : entries) {
            if (!entry.name().endsWith("*")) {
                byName.put(entry.name(), entry);
            }
        }
        prefixEntries = entries.stream().filter(entry -> entry.name().endsWith("*"))
                .sorted((a, b) -> Integer.compare(b.name().length(), a.name().length())).toList();
    }

    /** The entry for a model, null where none covers the name. */
    public Entry find(String name) {
        Entry exact = byName.get(name);
        if (exact != null) {
            return exact;
        }
        for (Entry prefixEntry : prefixEntries) {
            if (name.startsWith(prefixEntry.name().substring(0, prefixEntry.name().length() - 1))) {
                return new Entry(name, hash(name), prefixEntry.group(), prefixEntry.memoryMegabytes(),
                        prefixEntry.lanes(), prefixEntry.loadMillis());
            }
        }
        return null;
    }

    /** FNV-1a over UTF-8. The id depends on the name alone, since all front ends must rank executors alike for a model. */
    public static long hash(String name) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash;
    }
}
