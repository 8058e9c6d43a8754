package gradereach.plan;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.webhook.WebhookKey;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads keys that a deployment file contains ({@code inline}) or refers to ({@code file}). */
final class KeySettings {
    /** Scheme of shared secrets, {@code whsec_}. */
    static final String SHARED_SECRET = "v1";
    /** Scheme of private and public keys, {@code whsk_} and {@code whpk_}. */
    static final String KEY_PAIR = "v1a";

    private static final Set<PosixFilePermission> OWNER_ONLY =
            Set.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

    private final Path folder;
    private final List<String> errors;

    /**
     * Creates a reader of keys.
     *
     * @param folder folder against which relative paths of key files are resolved
     * @param errors receives the errors found
     */
    KeySettings(Path folder, List<String> errors) {
        this.folder = folder;
        this.errors = errors;
    }

    /** Reads the key at a path of the deployment file; on an error, adds it to the errors and returns null. */
    WebhookKey read(String path, JsonNode settings) {
        try {
            if (settings.has("inline")) {
                return WebhookKey.parse(settings.path("inline").asText());
            }
            Path file = folder.resolve(settings.path("file").asText());
            if (isReadableByOthers(file)) {
                errors.add(path + "/file: readable by others; set its mode to 0600 or 0400");
                return null;
            }
            return WebhookKey.parse(Files.readString(file));
        } catch (IllegalArgumentException e) {
            errors.add(path + ": " + e.getMessage());
        } catch (IOException e) {
            errors.add(path + "/file: cannot be read: " + e.getClass().getSimpleName());
        }
        return null;
    }

    private static boolean isReadableByOthers(Path file) throws IOException {
        Set<PosixFilePermission> permissions = new HashSet<>(Files.getPosixFilePermissions(file));
        permissions.removeAll(OWNER_ONLY);
        return !permissions.isEmpty();
    }

    /**
     * Reads a key and its validity period, {@code from} to {@code until}; null if the key is invalid. An invalid time is only
     * added to the errors.
     */
    WebhookKey readWithValidity(String path, JsonNode settings) {
        if (settings.has("inline") == settings.has("file")) {
            errors.add(path + ": exactly one of inline and file is needed");
            return null;
        }
        WebhookKey key = read(path, settings);
        long validFrom = parseEpochSecond(path + "/from", settings.path("from").asText(""), Long.MIN_VALUE);
        long validUntil = parseEpochSecond(path + "/until", settings.path("until").asText(""), Long.MAX_VALUE);
        if (validUntil <= validFrom) {
            errors.add(path + "/until: not after /from");
        }
        return key == null ? null : key.withValidityPeriod(validFrom, validUntil);
    }

    private long parseEpochSecond(String path, String text, long defaultValue) {
        try {
            return text.isEmpty() ? defaultValue : Instant.parse(text).getEpochSecond();
        } catch (DateTimeParseException e) {
            errors.add(path + ": not a time like 2027-03-01T06:00:00Z");
            return defaultValue;
        }
    }
}
