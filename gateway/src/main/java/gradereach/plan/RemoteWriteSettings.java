package gradereach.plan;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.remotewrite.Pusher;
import gradereach.remotewrite.SendQueue;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Settings for pushing metrics. The defaults suit a front end with 2,000 series. */
final class RemoteWriteSettings {
    private static final String DEFAULT_VERSION = "2.0";
    private static final String VERSION_1 = "1.0";
    private static final long DEFAULT_INTERVAL_MILLIS = 15_000;
    private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;
    private static final int DEFAULT_SHARDS = 4;
    private static final long DEFAULT_STOP_TIMEOUT_MILLIS = 1000;
    private static final int DEFAULT_MAX_SAMPLES = 200_000;
    private static final long DEFAULT_MAX_BYTES = 32L << 20;
    private static final int DEFAULT_BATCH_SAMPLES = 2000;
    private static final long DEFAULT_BATCH_BYTES = 512 << 10;
    private static final double MAX_BATCH_WAIT_MILLIS = 1000;
    private static final double DEFAULT_RETENTION_MILLIS = 600_000;
    private static final double DEFAULT_INITIAL_BACKOFF_MILLIS = 500;
    private static final double DEFAULT_MAX_BACKOFF_MILLIS = 30_000;

    private RemoteWriteSettings() { }

    /**
     * Reads the receiver of pushed metrics.
     *
     * @param settings the object at {@code /metrics/remote_write}
     * @param frontEnd name of this front end
     */
    static Pusher.Receiver receiver(JsonNode settings, String frontEnd) {
        long interval = settings.path("interval_ms").asLong(DEFAULT_INTERVAL_MILLIS);
        boolean version1 = settings.path("version").asText(DEFAULT_VERSION).equals(VERSION_1);
        return new Pusher.Receiver(URI.create(settings.path("url").asText()), version1, labels(settings, frontEnd), frontEnd,
                interval, settings.path("timeout_ms").asLong(DEFAULT_TIMEOUT_MILLIS),
                settings.path("shards").asInt(DEFAULT_SHARDS), limits(settings, interval),
                settings.path("stop_ms").asLong(DEFAULT_STOP_TIMEOUT_MILLIS));
    }

    /** Returns alternating names and values of the labels that every series has, sorted by name. */
    private static List<String> labels(JsonNode settings, String frontEnd) {
        Map<String, String> labels = new TreeMap<>(Map.of("instance", frontEnd, "job", "gradereach"));
        settings.path("labels").properties().forEach(label -> labels.put(label.getKey(), label.getValue().asText()));
        List<String> flat = new ArrayList<>();
        labels.forEach((name, value) -> flat.addAll(List.of(name, value)));
        return flat;
    }

    /** Returns the limits of the queue of samples that wait to be sent. */
    private static SendQueue.Limits limits(JsonNode settings, long interval) {
        return new SendQueue.Limits(settings.path("samples").asInt(DEFAULT_MAX_SAMPLES),
                settings.path("bytes").asLong(DEFAULT_MAX_BYTES),
                settings.path("batch_samples").asInt(DEFAULT_BATCH_SAMPLES),
                settings.path("batch_bytes").asLong(DEFAULT_BATCH_BYTES),
                Math.min(MAX_BATCH_WAIT_MILLIS, interval / 2.0),
                settings.path("keep_ms").asDouble(DEFAULT_RETENTION_MILLIS),
                settings.path("first_pause_ms").asDouble(DEFAULT_INITIAL_BACKOFF_MILLIS),
                settings.path("longest_pause_ms").asDouble(DEFAULT_MAX_BACKOFF_MILLIS));
    }
}
