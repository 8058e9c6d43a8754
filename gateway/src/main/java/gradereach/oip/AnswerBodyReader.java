package gradereach.oip;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.protocol.inference.ModelInferResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads the JSON body of a final answer, in the form that webhook clients receive, to answer gRPC calls. */
public final class AnswerBodyReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private AnswerBodyReader() { }

    /**
     * Returns the executor's response in the body of a returned answer.
     *
     * @throws IOException if the body holds none, or a streamed one
     */
    public static ModelInferResponse response(byte[] body, String id) throws IOException {
        List<ModelInferResponse> parts = responseParts(body, id);
        if (parts.size() != 1) {
            throw new IOException("it came in " + parts.size() + " parts, which the streamed call has");
        }
        return parts.get(0);
    }

    /** Returns the parts of the executor's response; a single one if the response was not streamed. */
    public static List<ModelInferResponse> responseParts(byte[] body, String id) throws IOException {
        JsonNode data = JSON.readTree(body).path("data");
        JsonNode output = data.path("output");
        List<ModelInferResponse> parts = new ArrayList<>();
        for (JsonNode part : output.isArray() ? output : List.of(output)) {
            parts.add(InferenceJsonConverter.responseFromJson(part, data.path("model").asText(), id));
        }
        return parts;
    }

    /** Returns whether the body of a returned answer holds a streamed response. */
    public static boolean isStreamed(byte[] body) throws IOException {
        return JSON.readTree(body).path("data").path("output").isArray();
    }

    /** Returns the detail of a shed or failed answer, empty if there is none. */
    public static String detail(byte[] body) {
        try {
            return JSON.readTree(body).path("detail").asText();
        } catch (IOException e) {
            return "";
        }
    }
}
