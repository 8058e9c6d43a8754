import gradereach.webhook.WebhookKey;
import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;

/** A small deployment of the webhook form: the project's stand-ins, and front ends with ledgers that are each other's peers. */
final class Fleet {
    static final String GROUPS = "\"model_groups\": ["
            + "{\"name\": \"lookup\", \"repeat\": \"retriable\", \"slo_ms\": 1200, \"route_timeout_ms\": 4000},"
            + "{\"name\": \"reserve\", \"repeat\": \"non-retriable\", \"slo_ms\": 800, \"route_timeout_ms\": 3000, \"value\": 3}],"
            + " \"models\": [{\"name\": \"lookup-*\", \"group\": \"lookup\", \"memory_mb\": 100, \"lanes\": 4, \"load_ms\": 50},"
            + "{\"name\": \"hull-*\", \"group\": \"reserve\", \"memory_mb\": 400, \"lanes\": 2, \"load_ms\": 1100},"
            + "{\"name\": \"reserve-*\", \"group\": \"reserve\", \"memory_mb\": 100, \"lanes\": 4, \"load_ms\": 50}]";

    final Kit.StandIns standIns;
    final WebhookKey key;
    String extraSettings = "";
    /** Where answers by webhook go; the stand-ins' receiver where it is null. */
    String answersTo;

    Fleet(int executors) throws IOException {
        this(executors, executors);
    }

    /** @param listed how many of the executors discovery lists at first */
    Fleet(int executors, int listed) throws IOException {
        standIns = new Kit.StandIns("{\"executors\": " + executors + ", \"listed\": " + listed + ", \"work_ms\": 20, \"machine\": {\"cores\": 4, \"memory_mb\": 4000}, "
                + GROUPS + "}");
        key = Kit.newKey("yard.key");
        Kit.newKey("peers.key");
    }

    /**
     * The deployment file of a front end.
     *
     * @param members front ends in the list of peers; null for none
     * @param before names in the list that is being replaced; null for none
     */
    String deployment(Kit.FrontEnd frontEnd, int index, int count, List<Kit.FrontEnd> members, List<Kit.FrontEnd> before) {
        StringBuilder text = new StringBuilder("{\"name\": \"" + frontEnd.name + "\", \"listen\": \"127.0.0.1:" + frontEnd.port
                + "\", \"admin\": \"127.0.0.1:" + frontEnd.adminPort + "\", \"tier\": {\"me\": " + index + ", \"front_ends\": " + count
                + "}, \"roster\": {\"server\": \"http://127.0.0.1:" + standIns.rosterPort + "\"}, \"customers\": [{\"name\": \"yard\","
                + " \"keys\": [{\"file\": \"yard.key\"}], \"answers_to\": \"" + (answersTo != null ? answersTo : "http://127.0.0.1:" + standIns.controlPort + "/answers")
                + "\"}], "
                + "\"ledger\": {\"folder\": \"" + frontEnd.name + ".ledger\", \"reserve_bytes\": 1048576}, " + GROUPS + extraSettings);
        if (members != null) {
            text.append(", \"peers\": {\"listen\": \"127.0.0.1:" + frontEnd.peersPort + "\", \"key\": {\"file\": \"peers.key\"}, \"members\": ["
                    + members.stream().map(member -> "{\"name\": \"" + member.name + "\", \"peers\": \"127.0.0.1:" + member.peersPort
                            + "\", \"front\": \"127.0.0.1:" + member.port + "\"}").collect(Collectors.joining(", ")) + "]");
            if (before != null) {
                text.append(", \"before\": [" + before.stream().map(member -> "\"" + member.name + "\"").collect(Collectors.joining(", "))
                        + "]");
            }
            text.append("}");
        }
        return text.append("}").toString();
    }

    /** Sends a message again until it is returned, as after a shed or harmless answer; for a start. */
    static void warmUp(Kit.FrontEnd frontEnd, WebhookKey key, String model) throws InterruptedException {
        for (int i = 0; i < 40; i++) {
            if (Kit.ask(frontEnd, Kit.Message.of(key, "warm-" + frontEnd.name + "-" + System.nanoTime(), model, 3000, 20), 5000).returned()) {
                return;
            }
            Kit.sleep(100);
        }
        throw new Kit.CannotRun(frontEnd.name + " returns nothing");
    }
}
