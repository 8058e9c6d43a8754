package gradereach.plan;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Parses a deployment file, validates it against {@code deployment.schema.json} and converts single JSON values. */
final class DeploymentJson {
    private static final String SCHEMA = "deployment.schema.json";
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private DeploymentJson() { }

    /**
     * Parses a file.
     *
     * @throws InvalidDeploymentException if the file cannot be read, or is no JSON; it names the line and the column
     */
    static JsonNode parse(Path file) throws InvalidDeploymentException {
        try {
            return JSON.readTree(file.toFile());
        } catch (JsonProcessingException e) {
            throw new InvalidDeploymentException(List.of(file + position(e.getLocation()) + ": " + e.getOriginalMessage()));
        } catch (IOException e) {
            throw new InvalidDeploymentException(List.of(file + ": cannot be read: " + e.getClass().getSimpleName()));
        }
    }

    private static String position(JsonLocation location) {
        return location == null ? "" : ":" + location.getLineNr() + ":" + location.getColumnNr();
    }

    /**
     * Validates a parsed file against the schema.
     *
     * @throws InvalidDeploymentException with every violation of the schema, each naming its path in the file
     */
    static void validate(JsonNode tree) throws InvalidDeploymentException {
        List<String> errors = new ArrayList<>();
        for (Error error : schema().validate(tree)) {
            String pointer = error.getInstanceLocation().toString();
            errors.add((pointer.isEmpty() ? "/" : pointer) + ": " + error.getMessage());
        }
        if (!errors.isEmpty()) {
            throw new InvalidDeploymentException(errors);
        }
    }

    private static Schema schema() {
        try (InputStream in = DeploymentJson.class.getResourceAsStream(SCHEMA)) {
            return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(JSON.readTree(in));
        } catch (IOException e) {
            throw new IllegalStateException("schema is missing in the jar", e);
        }
    }

    /** Returns a member of an object as a number, or the default if it is missing. */
    static double number(JsonNode object, String member, double defaultValue) {
        return object.path(member).asDouble(defaultValue);
    }

    /** Returns the elements of an array of strings, none if the array is missing. */
    static List<String> strings(JsonNode array) {
        List<String> values = new ArrayList<>();
        array.forEach(value -> values.add(value.asText()));
        return values;
    }

    /** Parses {@code host:port}, with an IPv6 host in brackets. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, port(text));
    }

    /** Returns the port of {@code host:port}. */
    static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
