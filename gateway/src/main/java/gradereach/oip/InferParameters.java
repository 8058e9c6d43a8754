package gradereach.oip;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import gradereach.message.InvalidMessageException;
import gradereach.protocol.inference.InferParameter;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Converts the parameters of requests, responses and tensors between their gRPC and JSON forms. */
final class InferParameters {
    static final String FIELD = "parameters";

    private InferParameters() { }

    /**
     * Writes the member {@code parameters} of an object, unless there are no parameters.
     *
     * @param path path of the parameters in the message, for errors
     */
    static void write(JsonGenerator out, String path, Map<String, InferParameter> parameters)
            throws IOException, InvalidMessageException {
        if (parameters.isEmpty()) {
            return;
        }
        out.writeObjectFieldStart(FIELD);
        for (Map.Entry<String, InferParameter> parameter : parameters.entrySet()) {
            out.writeFieldName(parameter.getKey());
            writeValue(out, path + "." + parameter.getKey(), parameter.getValue());
        }
        out.writeEndObject();
    }

    private static void writeValue(JsonGenerator out, String path, InferParameter value) throws IOException, InvalidMessageException {
        switch (value.getParameterChoiceCase()) {
            case BOOL_PARAM -> out.writeBoolean(value.getBoolParam());
            case INT64_PARAM -> out.writeNumber(value.getInt64Param());
            case STRING_PARAM -> out.writeString(value.getStringParam());
            case DOUBLE_PARAM -> out.writeNumber(MessageChecks.requireFinite(value.getDoubleParam(), path));
            case UINT64_PARAM -> out.writeNumber(Long.toUnsignedString(value.getUint64Param()));
            default -> throw new InvalidMessageException(path + ": no value");
        }
    }

    /** Reads the parameters of a JSON object, in their order. */
    static Map<String, InferParameter> read(JsonNode object) {
        Map<String, InferParameter> parameters = new LinkedHashMap<>();
        object.path(FIELD).properties().forEach(member ->
                parameters.put(member.getKey(), readValue(member.getValue())));
        return parameters;
    }

    private static InferParameter readValue(JsonNode value) {
        InferParameter.Builder parameter = InferParameter.newBuilder();
        if (value.isBoolean()) {
            parameter.setBoolParam(value.asBoolean());
        } else if (value.isIntegralNumber()) {
            parameter.setInt64Param(value.asLong());
        } else if (value.isNumber()) {
            parameter.setDoubleParam(value.asDouble());
        } else {
            parameter.setStringParam(value.isTextual() ? value.asText() : value.toString());
        }
        return parameter.build();
    }
}
