package gradereach.oip;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.protocol.inference.ModelInferResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads the JSON body of a final answer, as a webhook's sender gets it, for the gRPC calls. */
public final class AnswerBodyReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private AnswerBodyReader() { }

    /**
     * The executor's response in the body of a returned answer.
     *
     * @throws IOException where there is none, or it came in parts
     */
    public static ModelInferResponse response(byte[] body, String id) throws IOException {
        List<ModelInferResponse> parts = responseParts(body, id);
        if (parts.size() != 1) {
            throw new IOException("it came in " + parts.size() + " parts, which the streamed call has");
        }
        return parts.get(0);
    }

    /** The same where the executor's response may have come in parts. */
    public static List<ModelInferResponse> responseParts(byte[] body, String id) throws IOException {
        JsonNode data = JSON.readTree(body).path("data");
        JsonNode output = data.path("output");
        List<ModelInferResponse> parts = new ArrayList<>();
        for (JsonNode part : output.isArray() ? output : List.of(output)) {
            parts.add(InferenceJsonConverter.responseFromJson(part, data.path("model").asText(), id));
        }
        return parts;
    }

    /** Whether the executor's response in the body of a returned answer came in parts. */
    public static boolean isStreamed(byte[] body) throws IOException {
        return JSON.readTree(body).path("data").path("output").isArray();
    }

    /** The sentence of a shed or failed answer; empty where there is none. */
    public static String detail(byte[] body) {
        try {
            return JSON.readTree(body).path("detail").asText();
        } catch (IOException e) {
            return "";
        }
    }
}
