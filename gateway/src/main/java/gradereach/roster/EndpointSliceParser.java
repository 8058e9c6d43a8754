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
 * Reads the Kubernetes EndpointSlice format, {@code discovery.k8s.io/v1} (API reference, "EndpointSlice"): per
 * endpoint {@code addresses}, {@code conditions} (ready, serving, terminating), {@code targetRef.uid}, {@code zone},
 * {@code nodeName}; per slice {@code ports}. The format has no start time and no size; they come in the slice's annotations
 * {@code gradereach.io/started-at} (RFC 3339), {@code gradereach.io/size} and {@code gradereach.io/kind}.
 */
public final class EndpointSliceParser {
    /** A slice that cannot be read; names the place. */
    public static final class MalformedRosterException extends Exception {
        private static final long serialVersionUID = 1L;

        public MalformedRosterException(String what) {
            super(what);
        }
    }

    private static final String ANNOTATION_PREFIX = "gradereach.io/";

    private final List<String> locations;

    /** {@code locations} are the deployment's zone names, in its order. */
    public EndpointSliceParser(List<String> locations) {
        this.locations = locations;
    }

    /** The name under which a slice replaces its earlier self. */
    static String sliceName(JsonNode slice) throws MalformedRosterException {
        String name = slice.path("metadata").path("name").asText("");
        if (name.isEmpty()) {
            throw new MalformedRosterException("metadata.name: missing");
        }
        return slice.path("metadata").path("namespace").asText("") + "/" + name;
    }

    /** All executors of one slice. */
    public List<RosterEntry> parseExecutors(JsonNode slice) throws MalformedRosterException {
        String at = sliceName(slice);
        JsonNode notes = slice.path("metadata").path("annotations");
        double startedAt = parseStartTime(at, notes.path(ANNOTATION_PREFIX + "started-at").asText(""));
        double size = notes.has(ANNOTATION_PREFIX + "size") ? parseNumber(at, notes.path(ANNOTATION_PREFIX + "size").asText()) : 1;
        int kind = notes.has(ANNOTATION_PREFIX + "kind") ? (int) parseNumber(at, notes.path(ANNOTATION_PREFIX + "kind").asText()) : 0;
        JsonNode ports = slice.path("ports");
        if (!ports.isArray() || ports.isEmpty() || !ports.path(0).path("port").isInt()) {
            throw new MalformedRosterException(at + ": ports[0].port: missing");
        }
        int port = ports.path(0).path("port").asInt();
        List<RosterEntry> lines = new ArrayList<>();
        JsonNode endpoints = slice.path("endpoints");
        for (int i = 0; i < endpoints.size(); i++) {
            JsonNode endpoint = endpoints.path(i);
            String address = endpoint.path("addresses").path(0).asText("");
            if (address.isEmpty()) {
                throw new MalformedRosterException(at + ": endpoints[" + i + "].addresses[0]: missing");
            }
            String hostPort = (address.indexOf(':') >= 0 ? "[" + address + "]" : address) + ":" + port;
            lines.add(new RosterEntry(instanceId(endpoint, hostPort), hostPort, size, startedAt,
                    statusOf(endpoint.path("conditions")), locations.indexOf(endpoint.path("zone").asText("")), kind,
                    cellOf(endpoint)));
        }
        return lines;
    }

    /** The uid of the pod that is met there, which the next one at its address does not have; else the address. */
    private static String instanceId(JsonNode endpoint, String hostPort) {
        String uid = endpoint.path("targetRef").path("uid").asText("");
        return uid.isEmpty() ? hostPort : uid;
    }

    /**
     * By the API reference: {@code terminating} means it is going; {@code ready} absent counts as true. Not ready
     * without terminating is taken as draining as well: nothing new, but what is there may end.
     */
    static ExecutorState statusOf(JsonNode conditions) {
        boolean ready = !conditions.has("ready") || conditions.path("ready").isNull()
                || conditions.path("ready").asBoolean();
        boolean terminating = conditions.path("terminating").asBoolean(false);
        return ready && !terminating ? ExecutorState.READY : ExecutorState.DRAINING;
    }

    /** Executors of one node share what repeats they have seen; -1 where no node is told. */
    private static int cellOf(JsonNode endpoint) {
        String node = endpoint.path("nodeName").asText("");
        if (node.isEmpty()) {
            return -1;
        }
        CRC32 sum = new CRC32();
        sum.update(node.toLowerCase(Locale.ROOT).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return (int) sum.getValue() & Integer.MAX_VALUE;
    }

    private static double parseStartTime(String at, String text) throws MalformedRosterException {
        if (text.isEmpty()) {
            return 0;
        }
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new MalformedRosterException(at + ": annotation " + ANNOTATION_PREFIX + "started-at: no RFC 3339 time");
        }
    }

    private static double parseNumber(String at, String text) throws MalformedRosterException {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value < 1e6) {
                return value;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new MalformedRosterException(at + ": annotation " + ANNOTATION_PREFIX + "size or kind: no number from 0 on");
    }
}
