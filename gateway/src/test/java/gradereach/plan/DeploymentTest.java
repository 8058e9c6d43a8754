package gradereach.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.webhook.WebhookKey;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading and validating deployment files. */
class DeploymentTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    @TempDir
    private Path folder;

    private ObjectNode validDeployment() throws Exception {
        String text = """
                {"name": "fe", "listen": "127.0.0.1:0", "roster": {"file": "r.json"},
                 "tier": {"me": 0, "front_ends": 2, "location": "a", "locations": ["a", "b"]},
                 "customers": [{"name": "yard", "keys": [{"inline": "KEY"}]}],
                 "model_groups": [{"name": "g", "repeat": "deduped", "dedup_window_ms": 10, "slo_ms": 5, "route_timeout_ms": 9}],
                 "models": [{"name": "m*", "group": "g"}, {"name": "m1", "group": "g", "lanes": 3}]}""";
        return (ObjectNode) JSON.readTree(text.replace("KEY", WebhookKey.newSecret(new SecureRandom())));
    }

    @Test
    void aValidFileIsRead() throws Exception {
        Files.writeString(folder.resolve("fe.json"), validDeployment().toString());
        Deployment deployment = Deployment.read(folder.resolve("fe.json"));
        assertEquals(folder.resolve("r.json"), deployment.rosterFile());
        assertEquals(2, deployment.frontEndSettings().frontEndCount());
        assertEquals(3, deployment.modelCatalog().find("m1").lanes());
        assertEquals(1, deployment.modelCatalog().find("m2").lanes());
        assertEquals(null, deployment.modelCatalog().find("x"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        // JSON pointer of the member to set | its value | start of the expected error
        "/name | \"a b\" | /name: ", "/nam | 1 | /: property 'nam'", "/listen | \"x\" | /listen: ",
        "/listen | \"h:99999\" | /listen: port above 65535", "/roster/server | \"http://h\" | /roster: ",
        "/tier/me | 2 | /tier/me: must be less than /tier/front_ends", "/tier/location | \"c\" | /tier/location: not in /tier/locations",
        "/tier/tick_ms | 0 | /tier/tick_ms: ",
        "/customers/0/keys/0/inline | \"whsec_AA==\" | /customers/0/keys/0: whsec_ key holds 1 bytes",
        "/customers/0/keys/0 | {\"file\":\"none\"} | /customers/0/keys/0/file: cannot be read",
        "/customers/0/keys/0 | {} | /customers/0/keys/0: ", "/model_groups/0/repeat | \"x\" | /model_groups/0/repeat: ",
        "/model_groups/0/dedup_window_ms | 0 | /model_groups/0/dedup_window_ms: a deduped",
        "/model_groups/0/route_timeout_ms | 4 | /model_groups/0/route_timeout_ms: shorter",
        "/models/0/group | \"h\" | /models/0/group: no such", "/models/0/name | \"m1\" | /models/1/name: duplicate",
        "/customers/0/keys/0/until | \"2027-03-01T06:00:00Z\" | /customers/0/keys: every key expires",
        "/customers/0/keys/0/from | \"spring\" | /customers/0/keys/0/from: not a time like",
        "/limits | {\"held\":0} | /limits/held: ",
        "/answers_key | {\"inline\":\"whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw\"} | /answers_key: not a whsk_ key",
    })
    void everyErrorNamesItsPath(String pointer, String value, String expected) throws Exception {
        ObjectNode deployment = validDeployment();
        int slash = pointer.lastIndexOf('/');
        var parent = deployment.at(pointer.substring(0, slash));
        String name = pointer.substring(slash + 1);
        if (parent.isArray()) {
            ((com.fasterxml.jackson.databind.node.ArrayNode) parent).set(Integer.parseInt(name), JSON.readTree(value));
        } else {
            ((ObjectNode) parent).set(name, JSON.readTree(value));
        }
        InvalidDeploymentException exception = assertThrows(InvalidDeploymentException.class, () -> Deployment.of(deployment, folder));
        assertEquals(1, exception.errors().size(), exception.getMessage());
        assertTrue(exception.errors().get(0).startsWith(expected), exception.getMessage());
        assertFalse(exception.getMessage().contains("MfKQ9r8"), "quotes a key");
    }

    @ParameterizedTest
    @CsvSource({"rw-------, true", "r--------, true", "rw-r-----, false", "rw----r--, false"})
    void keyFilesMustBeAccessibleToTheirOwnerOnly(String mode, boolean valid) throws Exception {
        Path key = folder.resolve("k");
        Files.writeString(key, WebhookKey.newSecret(new SecureRandom()) + "\n");
        Files.setPosixFilePermissions(key, PosixFilePermissions.fromString(mode));
        ObjectNode deployment = validDeployment();
        ((ObjectNode) deployment.at("/customers/0")).putArray("keys").addObject().put("file", "k");
        if (valid) {
            assertEquals("v1", Deployment.of(deployment, folder).customerKeys().get(0).get(0).scheme());
        } else {
            assertTrue(assertThrows(InvalidDeploymentException.class, () -> Deployment.of(deployment, folder)).getMessage()
                    .startsWith("/customers/0/keys/0/file: readable by others"));
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {"{ | :1:", "{\"a\":1,\"a\":2} | Duplicate field 'a'"})
    void malformedJsonIsReportedWithItsPosition(String text, String expected) throws Exception {
        Path file = folder.resolve("fe.json");
        Files.writeString(file, text);
        String error = assertThrows(InvalidDeploymentException.class, () -> Deployment.read(file)).getMessage();
        assertTrue(error.startsWith(file.toString()) && error.contains(expected), error);
    }

    @Test
    void customersWithOnlyPublicKeysRequireAnAnswersKey() throws Exception {
        ObjectNode deployment = validDeployment();
        String pair = WebhookKey.newPrivateKey(new SecureRandom());
        ((ObjectNode) deployment.at("/customers/0")).putArray("keys").addObject().put("inline", WebhookKey.parse(pair).publicKeyText());
        assertTrue(assertThrows(InvalidDeploymentException.class, () -> Deployment.of(deployment, folder)).getMessage()
                .contains("/answers_key"));
        deployment.putObject("answers_key").put("inline", pair);
        assertEquals("v1a", Deployment.of(deployment, folder).answerKeys().get(0).get(0).scheme());
    }
}
