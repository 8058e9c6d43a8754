package gradereach.roster;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.api.ExecutorState;
import gradereach.desk.RosterEntry;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.zip.CRC32;

/**
 * Parses the Kubernetes EndpointSlice format, {@code discovery.k8s.io/v1} (API reference, "EndpointSlice"): per
 * endpoint {@code addresses}, {@code conditions} (ready, serving, terminating), {@code targetRef.uid}, {@code zone},
 * {@code nodeName}; per slice {@code ports}. The format has no start time, size or kind of an executor; they are read from the
 * slice's annotations {@code gradereach.io/started-at} (RFC 3339), {@code gradereach.io/size} and {@code gradereach.io/kind}.
 */
public final class EndpointSliceParser {
    /** A roster or slice is malformed; the message names the field. */
    public static final class MalformedRosterException extends Exception {
        private static final long serialVersionUID = 1L;

        public MalformedRosterException(String message) {
            super(message);
        }
    }

    private static final String ANNOTATION_PREFIX = "gradereach.io/";

    private final List<String> locations;

    /** @param locations the deployment's zone names, in the order of their indices */
    public EndpointSliceParser(List<String> locations) {
        this.locations = locations;
    }

    /** Namespace and name, which identify a slice across its versions. */
    static String sliceName(JsonNode slice) throws MalformedRosterException {
        String name = slice.path("metadata").path("name").asText("");
        if (name.isEmpty()) {
            throw new MalformedRosterException("metadata.name: missing");
        }
        return slice.path("metadata").path("namespace").asText("") + "/" + name;
    }

    /** Returns all executors of one slice. */
    public List<RosterEntry> parseExecutors(JsonNode slice) throws MalformedRosterException {
        String sliceName = sliceName(slice);
        JsonNode annotations = slice.path("metadata").path("annotations");
        double startedAt = parseStartTime(sliceName, annotations.path(ANNOTATION_PREFIX + "started-at").asText(""));
        double size = annotations.has(ANNOTATION_PREFIX + "size")
                ? parseNumber(sliceName, annotations.path(ANNOTATION_PREFIX + "size").asText()) : 1;
        int kind = annotations.has(ANNOTATION_PREFIX + "kind")
                ? (int) parseNumber(sliceName, annotations.path(ANNOTATION_PREFIX + "kind").asText()) : 0;
        JsonNode ports = slice.path("ports");
        if (!ports.isArray() || ports.isEmpty() || !ports.path(0).path("port").isInt()) {
            throw new MalformedRosterException(sliceName + ": ports[0].port: missing");
        }
        int port = ports.path(0).path("port").asInt();
        List<RosterEntry> entries = new ArrayList<>();
        JsonNode endpoints = slice.path("endpoints");
        for (int i = 0; i < endpoints.size(); i++) {
            JsonNode endpoint = endpoints.path(i);
            String address = endpoint.path("addresses").path(0).asText("");
            if (address.isEmpty()) {
                throw new MalformedRosterException(sliceName + ": endpoints[" + i + "].addresses[0]: missing");
            }
            String hostPort = (address.indexOf(':') >= 0 ? "[" + address + "]" : address) + ":" + port;
            entries.add(new RosterEntry(instanceId(endpoint, hostPort), hostPort, size, startedAt,
                    stateOf(endpoint.path("conditions")), locations.indexOf(endpoint.path("zone").asText("")), kind,
                    cellOf(endpoint)));
        }
        return entries;
    }

    /** The uid of the pod, which tells it from a later pod at the same address; the address if there is no uid. */
    private static String instanceId(JsonNode endpoint, String hostPort) {
        String uid = endpoint.path("targetRef").path("uid").asText("");
        return uid.isEmpty() ? hostPort : uid;
    }

    /**
     * Follows the API reference: {@code terminating} means that the endpoint is shutting down, and a missing {@code ready} counts
     * as true. An endpoint that is not ready and not terminating counts as draining too: it gets nothing new, but what it runs
     * may finish.
     */
    static ExecutorState stateOf(JsonNode conditions) {
        boolean ready = !conditions.has("ready") || conditions.path("ready").isNull()
                || conditions.path("ready").asBoolean();
        boolean terminating = conditions.path("terminating").asBoolean(false);
        return ready && !terminating ? ExecutorState.READY : ExecutorState.DRAINING;
    }

    /** A number for the node, whose executors share what they know of repeats; -1 if the node is unknown. */
    private static int cellOf(JsonNode endpoint) {
        String node = endpoint.path("nodeName").asText("");
        if (node.isEmpty()) {
            return -1;
        }
        CRC32 checksum = new CRC32();
        checksum.update(node.toLowerCase(Locale.ROOT).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return (int) checksum.getValue() & Integer.MAX_VALUE;
    }

    private static double parseStartTime(String sliceName, String text) throws MalformedRosterException {
        if (text.isEmpty()) {
            return 0;
        }
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new MalformedRosterException(sliceName + ": annotation " + ANNOTATION_PREFIX + "started-at: not an RFC 3339 time");
        }
    }

    private static double parseNumber(String sliceName, String text) throws MalformedRosterException {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value < 1e6) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new MalformedRosterException(sliceName + ": annotation " + ANNOTATION_PREFIX
                + "size or kind: not a number from 0 to below 1000000");
    }
}
