package gradereach.roster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.api.ExecutorState;
import gradereach.desk.RosterEntry;
import gradereach.roster.EndpointSliceParser.MalformedRosterException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The roster updates that lists and watch events of slices lead to. */
class RosterTrackerTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final List<String> updates = new ArrayList<>();
    private final Map<String, ExecutorState> executorStates = new LinkedHashMap<>();
    private final RosterTracker tracker = new RosterTracker(new EndpointSliceParser(List.of("halle-a", "halle-b")), (kind, entries) -> {
        updates.add(kind + " " + entries.stream().map(entry -> entry.address() + "=" + entry.state()).toList());
        if (kind == gradereach.api.RosterUpdateKind.FULL) {
            executorStates.clear();
        }
        for (RosterEntry entry : entries) {
            if (entry.state() == ExecutorState.REMOVED) {
                executorStates.remove(entry.address());
            } else {
                executorStates.put(entry.address(), entry.state());
            }
        }
    });

    private static String slice(String name, int port, String conditions, String... addresses) {
        StringBuilder endpoints = new StringBuilder();
        for (String address : addresses) {
            endpoints.append(endpoints.length() == 0 ? "" : ",").append("{\"addresses\":[\"").append(address)
                    .append("\"],\"conditions\":{").append(conditions).append("},\"zone\":\"halle-b\"}");
        }
        return "{\"metadata\":{\"name\":\"" + name + "\",\"resourceVersion\":\"7\",\"annotations\":{\"gradereach.io/started-at\":"
                + "\"2026-12-01T00:00:00Z\",\"gradereach.io/size\":\"2\"}},\"ports\":[{\"port\":" + port
                + "}],\"endpoints\":[" + endpoints + "]}";
    }

    private void applyList(String... slices) throws Exception {
        tracker.applyList(JSON.readTree("{\"metadata\":{\"resourceVersion\":\"5\"},\"items\":[" + String.join(",", slices) + "]}"));
    }

    private boolean applyWatchEvent(String type, String object) throws Exception {
        return tracker.applyWatchEvent(JSON.readTree("{\"type\":\"" + type + "\",\"object\":" + object + "}"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "\"ready\":true | READY", "`` | READY", "\"ready\":null | READY", "\"ready\":false | DRAINING",
        "\"ready\":true,\"serving\":true,\"terminating\":true | DRAINING",
        "\"ready\":false,\"serving\":true,\"terminating\":true | DRAINING",
    })
    void mapsConditionsToState(String conditions, ExecutorState state) throws Exception {
        applyList(slice("a", 80, conditions == null ? "" : conditions, "10.0.0.1"));
        assertEquals(List.of("FULL [10.0.0.1:80=" + state + "]"), updates);
    }

    @Test
    void publishesOnlyDifferences() throws Exception {
        applyList(slice("a", 80, "\"ready\":true", "10.0.0.1", "10.0.0.2"));
        assertEquals("5", tracker.resourceVersion());
        assertTrue(applyWatchEvent("BOOKMARK", "{\"metadata\":{\"resourceVersion\":\"6\"}}"));
        assertEquals("6", tracker.resourceVersion());
        applyWatchEvent("MODIFIED", slice("a", 80, "\"ready\":true", "10.0.0.1", "10.0.0.2"));
        assertEquals(1, updates.size());
        applyWatchEvent("MODIFIED", slice("a", 80, "\"ready\":true", "10.0.0.2"));
        assertEquals("CHANGES [10.0.0.1:80=REMOVED]", updates.get(1));
        // An executor may be in two slices for a while, as when endpoints are redistributed: it is ready if one of them says so,
        // and removed if none has it.
        applyWatchEvent("ADDED", slice("b", 80, "\"ready\":false", "10.0.0.2"));
        applyWatchEvent("DELETED", slice("b", 80, "", "10.0.0.2"));
        assertEquals(2, updates.size());
        assertFalse(applyWatchEvent("ERROR", "{\"code\":410}"));
        assertEquals(2, updates.size());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "{\"metadata\":{}} | metadata.name: missing", "{\"metadata\":{\"name\":\"x\"}} | /x: ports[0].port: missing",
        "{\"metadata\":{\"name\":\"x\"},\"ports\":[{\"port\":1}],\"endpoints\":[{}]} | /x: endpoints[0].addresses[0]: missing",
        "{\"metadata\":{\"name\":\"x\",\"annotations\":{\"gradereach.io/started-at\":\"y\"}},\"ports\":[{\"port\":1}]}"
            + " | /x: annotation gradereach.io/started-at: not an RFC 3339 time",
    })
    void malformedSliceIsNamedAndChangesNothing(String malformed, String message) throws Exception {
        applyList(slice("a", 80, "", "10.0.0.1"));
        assertEquals(message, assertThrows(MalformedRosterException.class, () -> applyWatchEvent("ADDED", malformed)).getMessage());
        assertEquals(message, assertThrows(MalformedRosterException.class, () -> applyList(malformed)).getMessage());
        assertEquals(1, updates.size());
        assertEquals(1, tracker.size());
    }

    /** A malformed slice in a list must not hide that executors of another drain; slices missing from the list stay. */
    @Test
    void malformedSliceInListHidesNoOtherSlice() throws Exception {
        applyList(slice("a", 80, "\"ready\":true", "10.0.0.1"), slice("b", 80, "\"ready\":true", "10.0.0.2"));
        assertThrows(MalformedRosterException.class, () -> applyList(slice("a", 80, "\"ready\":false", "10.0.0.1"), "{\"metadata\":{}}"));
        assertEquals("CHANGES [10.0.0.1:80=DRAINING]", updates.get(1));
        assertEquals(2, tracker.size());
    }

    /** Guards against a new pod being taken for the previous one at its address: its start may be unlisted, but its uid differs. */
    @Test
    void newPodAtSameAddressIsAnotherInstance() throws Exception {
        List<String> published = new ArrayList<>();
        RosterTracker pods = new RosterTracker(new EndpointSliceParser(List.of("halle-b")),
                (kind, entries) -> entries.forEach(entry -> published.add(kind + " " + entry.instance() + " " + entry.address())));
        String pod = slice("a", 80, "", "10.0.0.1").replace("\"zone\"", "\"targetRef\":{\"kind\":\"Pod\",\"uid\":\"UID\"},\"zone\"");
        for (String uid : List.of("one", "one", "two")) {
            pods.applyList(JSON.readTree("{\"items\":[" + pod.replace("UID", uid) + "]}"));
        }
        assertEquals(List.of("FULL one 10.0.0.1:80", "FULL two 10.0.0.1:80"), published);
    }

    /** A change whose listener failed must not count as published, or it would be missing until the next change. */
    @Test
    void publishesAgainAfterListenerFailure() throws Exception {
        List<String> published = new java.util.ArrayList<>();
        boolean[] failNext = {true};
        RosterTracker trackerWithFailingListener = new RosterTracker(new EndpointSliceParser(List.of("halle-b")), (kind, entries) -> {
            if (failNext[0]) {
                failNext[0] = false;
                throw new IllegalStateException("planted");
            }
            published.add(kind + " " + entries.size());
        });
        JsonNode list = JSON.readTree("{\"items\":[" + slice("a", 80, "", "10.0.0.1") + "]}");
        assertThrows(IllegalStateException.class, () -> trackerWithFailingListener.applyList(list));
        trackerWithFailingListener.applyList(list);
        assertEquals(List.of("FULL 1"), published);
    }

    /** The published differences add up to the full roster for any sequence of watch events and lists. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void differencesAddUpToFullRoster(long seed) throws Exception {
        Random random = new Random(seed);
        Map<String, String> currentSlices = new LinkedHashMap<>();
        applyList();
        for (int i = 0; i < 500; i++) {
            String name = "s" + random.nextInt(6);
            if (random.nextInt(10) == 0) {
                currentSlices.remove("s" + random.nextInt(6));
                applyList(currentSlices.values().toArray(new String[0]));
            } else if (random.nextInt(4) == 0) {
                String removed = currentSlices.remove(name);
                applyWatchEvent("DELETED", removed == null ? slice(name, 80, "") : removed);
            } else {
                String changed = slice(name, 80, "\"ready\":" + random.nextBoolean(), "10.0.0." + random.nextInt(8),
                        "10.0.0." + random.nextInt(8));
                currentSlices.put(name, changed);
                applyWatchEvent("MODIFIED", changed);
            }
            Map<String, ExecutorState> expected = new LinkedHashMap<>();
            for (String text : currentSlices.values()) {
                JsonNode slice = JSON.readTree(text);
                boolean ready = slice.at("/endpoints/0/conditions/ready").asBoolean();
                slice.path("endpoints").forEach(endpoint -> expected.merge(endpoint.at("/addresses/0").asText() + ":80",
                        ready ? ExecutorState.READY : ExecutorState.DRAINING, (a, b) -> a == ExecutorState.READY ? a : b));
            }
            assertEquals(expected, executorStates);
        }
    }
}
