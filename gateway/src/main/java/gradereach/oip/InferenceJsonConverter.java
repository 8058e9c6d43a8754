package gradereach.oip;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.message.InvalidMessageException;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferRequest.InferInputTensor;
import gradereach.protocol.inference.ModelInferRequest.InferRequestedOutputTensor;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelInferResponse.InferOutputTensor;
import gradereach.protocol.inference.ModelStreamInferResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * Converts between the two forms that the Open Inference Protocol defines for an inference: its gRPC messages and the JSON
 * objects of its HTTP/REST protocol ("Inference Request JSON Object", "Tensor Data"). Tensors are validated during the
 * conversion: a message whose data do not match its shapes is rejected with the path of the faulty field.
 */
public final class InferenceJsonConverter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final String RAW_INPUTS = "raw_input_contents";

    private InferenceJsonConverter() { }

    /**
     * Converts a gRPC request to the JSON request object for an executor.
     *
     * @throws InvalidMessageException if it has no JSON form, or its data do not match its shapes
     */
    public static byte[] requestToJson(ModelInferRequest request) throws InvalidMessageException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + request.getSerializedSize() * 2);
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartObject();
            if (!request.getId().isEmpty()) {
                out.writeStringField("id", request.getId());
            }
            InferParameters.write(out, InferParameters.FIELD, request.getParametersMap());
            writeInputs(out, request);
            writeOutputs(out, request);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeInputs(JsonGenerator out, ModelInferRequest request) throws IOException, InvalidMessageException {
        int rawContents = request.getRawInputContentsCount();
        MessageChecks.require(rawContents == 0 || rawContents == request.getInputsCount(), RAW_INPUTS, "not one for each input");
        out.writeArrayFieldStart("inputs");
        for (int i = 0; i < request.getInputsCount(); i++) {
            writeInput(out, request, i);
        }
        out.writeEndArray();
    }

    private static void writeInput(JsonGenerator out, ModelInferRequest request, int index) throws IOException, InvalidMessageException {
        InferInputTensor tensor = request.getInputs(index);
        String path = "inputs[" + index + "]";
        boolean hasRawContents = request.getRawInputContentsCount() > 0;
        MessageChecks.require(!tensor.getName().isEmpty(), path + ".name", "missing");
        MessageChecks.require(!hasRawContents || !tensor.hasContents(), path + ".contents", "beside raw_input_contents");
        out.writeStartObject();
        out.writeStringField("name", tensor.getName());
        out.writeArrayFieldStart("shape");
        for (long size : tensor.getShapeList()) {
            out.writeNumber(size);
        }
        out.writeEndArray();
        out.writeStringField("datatype", tensor.getDatatype());
        InferParameters.write(out, path + ".parameters", tensor.getParametersMap());
        out.writeArrayFieldStart("data");
        if (hasRawContents) {
            TensorWriter.writeRaw(out, tensor, request.getRawInputContents(index), RAW_INPUTS + "[" + index + "]", path);
        } else {
            TensorWriter.writeContents(out, tensor, path);
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private static void writeOutputs(JsonGenerator out, ModelInferRequest request) throws IOException, InvalidMessageException {
        if (request.getOutputsCount() == 0) {
            return;
        }
        out.writeArrayFieldStart("outputs");
        for (int i = 0; i < request.getOutputsCount(); i++) {
            InferRequestedOutputTensor requested = request.getOutputs(i);
            out.writeStartObject();
            out.writeStringField("name", requested.getName());
            InferParameters.write(out, "outputs[" + i + "].parameters", requested.getParametersMap());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    /**
     * Converts an executor's JSON response to a gRPC response.
     *
     * @throws IOException if it is no inference response object
     */
    public static ModelInferResponse responseFromJson(JsonNode output, String model, String id) throws IOException {
        if (!output.isObject()) {
            throw new IOException("no object");
        }
        ModelInferResponse.Builder response = ModelInferResponse.newBuilder()
                .setModelName(output.path("model_name").asText(model))
                .setModelVersion(output.path("model_version").asText("")).setId(id)
                .putAllParameters(InferParameters.read(output));
        for (JsonNode tensor : output.path("outputs")) {
            InferOutputTensor.Builder out = response.addOutputsBuilder().setName(tensor.path("name").asText())
                    .setDatatype(tensor.path("datatype").asText());
            tensor.path("shape").forEach(size -> out.addShape(size.asLong()));
            out.putAllParameters(InferParameters.read(tensor));
            TensorReader.addData(out.getContentsBuilder(), out.getDatatype(), tensor.path("data"));
        }
        return response.build();
    }

    /** Converts a JSON request object to an encoded gRPC request. */
    public static byte[] requestBytesFromJson(byte[] json, String model) throws InvalidMessageException {
        try {
            return requestFromJson(JSON.readTree(json), model).toByteArray();
        } catch (IOException e) {
            throw new InvalidMessageException("data.input: cannot be put as a ModelInferRequest: " + e.getMessage());
        }
    }

    /**
     * Converts an executor's encoded gRPC response to the JSON response object that is recorded and sent to clients.
     *
     * @throws IOException if it cannot be parsed, or its data do not match its shapes
     */
    public static byte[] responseToJson(byte[] message, int offset, int length) throws IOException {
        ModelInferResponse response = ModelInferResponse.parser().parseFrom(message, offset, length);
        try {
            JsonNode converted = JSON.readTree(requestToJson(requestWithTensorsOf(response)));
            ObjectNode out = JSON.createObjectNode().put("model_name", response.getModelName());
            if (!response.getModelVersion().isEmpty()) {
                out.put("model_version", response.getModelVersion());
            }
            if (converted.has(InferParameters.FIELD)) {
                out.set(InferParameters.FIELD, converted.path(InferParameters.FIELD));
            }
            out.set("outputs", converted.path("inputs"));
            return JSON.writeValueAsBytes(out);
        } catch (InvalidMessageException e) {
            throw new IOException(e.getMessage());
        }
    }

    /** Returns a request with the tensors of a response, so that one validated conversion serves both. */
    private static ModelInferRequest requestWithTensorsOf(ModelInferResponse response) {
        ModelInferRequest.Builder request = ModelInferRequest.newBuilder();
        for (InferOutputTensor tensor : response.getOutputsList()) {
            InferInputTensor.Builder input = request.addInputsBuilder().setName(tensor.getName())
                    .setDatatype(tensor.getDatatype()).addAllShape(tensor.getShapeList())
                    .putAllParameters(tensor.getParametersMap());
            if (tensor.hasContents()) {
                input.setContents(tensor.getContents());
            }
        }
        return request.addAllRawInputContents(response.getRawOutputContentsList())
                .putAllParameters(response.getParametersMap()).build();
    }

    /** Converts the parts of a streamed answer to a JSON array of response objects. */
    public static byte[] responsesToJsonArray(List<ModelStreamInferResponse> parts) throws IOException {
        ByteArrayOutputStream array = new ByteArrayOutputStream();
        array.write('[');
        for (ModelStreamInferResponse part : parts) {
            if (array.size() > 1) {
                array.write(',');
            }
            byte[] message = part.getInferResponse().toByteArray();
            array.write(responseToJson(message, 0, message.length));
        }
        array.write(']');
        return array.toByteArray();
    }

    /** Converts a JSON request object to a gRPC request. */
    public static ModelInferRequest requestFromJson(JsonNode input, String model) throws IOException {
        ModelInferRequest.Builder request = ModelInferRequest.newBuilder().setModelName(model)
                .setId(input.path("id").asText("")).putAllParameters(InferParameters.read(input));
        for (JsonNode tensor : input.path("inputs")) {
            InferInputTensor.Builder in = request.addInputsBuilder().setName(tensor.path("name").asText())
                    .setDatatype(tensor.path("datatype").asText());
            tensor.path("shape").forEach(size -> in.addShape(size.asLong()));
            in.putAllParameters(InferParameters.read(tensor));
            TensorReader.addData(in.getContentsBuilder(), in.getDatatype(), tensor.path("data"));
        }
        for (JsonNode requested : input.path("outputs")) {
            request.addOutputsBuilder().setName(requested.path("name").asText())
                    .putAllParameters(InferParameters.read(requested));
        }
        return request.build();
    }
}
