import gradereach.webhook.WebhookKey;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A small deployment of the webhook form, with the figures of the site's model groups: the project's stand-ins, and front ends with
 * ledgers that are each other's peers.
 */
final class Fleet {
    private static final String GROUPS = "\"model_groups\": ["
            + "{\"name\": \"part-lookup\", \"repeat\": \"retriable\", \"slo_ms\": 1200, \"route_timeout_ms\": 4000, \"value\": 1},"
            + "{\"name\": \"fit-check\", \"repeat\": \"retriable\", \"slo_ms\": 600, \"route_timeout_ms\": 2000, \"value\": 2},"
            + "{\"name\": \"pool-reserve\", \"repeat\": \"non-retriable\", \"slo_ms\": 800, \"route_timeout_ms\": 3000, \"value\": 3}],"
            + " \"models\": [{\"name\": \"lookup-*\", \"group\": \"part-lookup\", \"memory_mb\": 400, \"lanes\": 1, \"load_ms\": 400},"
            + "{\"name\": \"fit-*\", \"group\": \"fit-check\", \"memory_mb\": 400, \"lanes\": 2, \"load_ms\": 520},"
            + "{\"name\": \"hull-*\", \"group\": \"pool-reserve\", \"memory_mb\": 400, \"lanes\": 2, \"load_ms\": 1100},"
            + "{\"name\": \"reserve-*\", \"group\": \"pool-reserve\", \"memory_mb\": 400, \"lanes\": 4, \"load_ms\": 350}]";
    /** Milliseconds that an inference works on average. */
    static final int WORK_MILLIS = 150;

    final Kit.StandIns standIns;
    final WebhookKey key;
    final List<Kit.FrontEnd> frontEnds = new ArrayList<>();
    String extraSettings = "";
    /** Where answers by webhook go; the stand-ins' receiver where it is null. */
    String answersTo;
    /** Where the roster is read; 0 for the stand-ins' own server. */
    int rosterPort;

    /**
     * @param executors stand-in executors
     * @param listed how many of them discovery lists at first
     * @param frontEndCount front ends; {@link #start} starts them
     */
    Fleet(int executors, int listed, int frontEndCount) throws IOException {
        standIns = new Kit.StandIns("{\"executors\": " + executors + ", \"listed\": " + listed + ", \"work_ms\": " + WORK_MILLIS
                + ", \"machine\": {\"cores\": 4, \"memory_mb\": 15808, \"keeps_idle_ms\": 11000}, " + GROUPS + "}");
        key = Kit.newKey("yard.key");
        Kit.newKey("peers.key");
        for (int i = 1; i <= frontEndCount; i++) {
            frontEnds.add(new Kit.FrontEnd("fe-" + i));
        }
    }

    /** Starts all front ends and waits until they are ready. */
    void start() throws IOException, InterruptedException {
        for (Kit.FrontEnd frontEnd : frontEnds) {
            frontEnd.start(deployment(frontEnd));
        }
        for (Kit.FrontEnd frontEnd : frontEnds) {
            frontEnd.awaitReady();
        }
    }

    /** The deployment file of a front end. */
    String deployment(Kit.FrontEnd frontEnd) {
        String members = frontEnds.stream().map(member -> "{\"name\": \"" + member.name + "\", \"peers\": \"127.0.0.1:" + member.peersPort
                + "\", \"front\": \"127.0.0.1:" + member.port + "\"}").collect(Collectors.joining(", "));
        return "{\"name\": \"" + frontEnd.name + "\", \"listen\": \"127.0.0.1:" + frontEnd.port + "\", \"admin\": \"127.0.0.1:"
                + frontEnd.adminPort + "\", \"tier\": {\"me\": " + frontEnds.indexOf(frontEnd) + ", \"front_ends\": " + frontEnds.size()
                + "}, \"roster\": {\"server\": \"http://127.0.0.1:" + (rosterPort != 0 ? rosterPort : standIns.rosterPort)
                + "\"}, \"customers\": [{\"name\": \"yard\", \"keys\": [{\"file\": \"yard.key\"}], \"answers_to\": \""
                + (answersTo != null ? answersTo : "http://127.0.0.1:" + standIns.controlPort + "/answers") + "\"}], \"ledger\": {\"folder\": \""
                + frontEnd.name + ".ledger\", \"reserve_bytes\": 1048576}, " + GROUPS + ", \"peers\": {\"listen\": \"127.0.0.1:"
                + frontEnd.peersPort + "\", \"key\": {\"file\": \"peers.key\"}, \"members\": [" + members + "]}" + extraSettings + "}";
    }

    /** Sends inferences of a model until one is returned, so that a copy is loaded. */
    void warmUp(Kit.FrontEnd frontEnd, String model) throws InterruptedException {
        for (int i = 0; i < 20; i++) {
            if (Kit.ask(frontEnd, Kit.Message.of(key, "warm-" + frontEnd.name + "-" + System.nanoTime(), model, 2000, WORK_MILLIS), 5000)
                    .returned()) {
                return;
            }
            Kit.sleep(100);
        }
        throw new Kit.CannotRun(frontEnd.name + " returns nothing of " + model);
    }
}
