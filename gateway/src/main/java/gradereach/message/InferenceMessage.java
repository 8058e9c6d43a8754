package gradereach.message;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import java.io.IOException;
import java.util.Arrays;

/**
 * The body of a signed inference, by the Standard Webhooks specification's {@code type}, {@code timestamp},
 * {@code data}. {@code data.model} names the model, {@code data.input} is an inference request object of the Open
 * Inference Protocol and goes on untouched, {@code data.budget_ms} is the client's own time in milliseconds, 0 for
 * none.
 */
public record InferenceMessage(String model, byte[] input, double budgetMillis) {
    public static final String TYPE = "inference.requested";
    /** Deep enough for nested tensors, too flat for a stack to grow. */
    private static final int MAX_NESTING_DEPTH = 64;
    private static final int MAX_MODEL_NAME_LENGTH = 256;

    private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build()).build();

    /** @throws BadMessage naming the member that is wrong; never quotes the input */
    public static InferenceMessage parse(byte[] body) throws InvalidMessageException {
        String type = null;
        boolean timestamped = false;
        InferenceMessage message = null;
        try (JsonParser in = JSON.createParser(body)) {
            require(in.nextToken() == JsonToken.START_OBJECT, "body: no JSON object");
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                switch (name) {
                    case "type" -> type = readString(in, value, "type");
                    case "timestamp" -> timestamped = !readString(in, value, "timestamp").isEmpty();
                    case "data" -> {
                        require(value == JsonToken.START_OBJECT, "data: no object");
                        require(message == null, "data: twice");
                        message = parseData(in, body);
                    }
                    default -> in.skipChildren();
                }
            }
            require(in.currentToken() == JsonToken.END_OBJECT && in.nextToken() == null, "body: goes on after its object");
        } catch (StreamConstraintsException e) {
            throw new InvalidMessageException("body: nested deeper than " + MAX_NESTING_DEPTH);
        } catch (IOException e) {
            throw new InvalidMessageException("body: no proper JSON");
        }
        require(type != null, "type: missing");
        require(type.equals(TYPE), "type: not " + TYPE);
        require(timestamped, "timestamp: missing");
        require(message != null, "data: missing");
        return message;
    }

    private static InferenceMessage parseData(JsonParser in, byte[] body) throws IOException, InvalidMessageException {
        String model = null;
        byte[] input = null;
        double budget = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            JsonToken value = in.nextToken();
            switch (name) {
                case "model" -> model = readString(in, value, "data.model");
                case "input" -> {
                    require(value == JsonToken.START_OBJECT, "data.input: no object");
                    int from = (int) in.currentTokenLocation().getByteOffset();
                    in.skipChildren();
                    input = Arrays.copyOfRange(body, from, (int) in.currentLocation().getByteOffset());
                }
                case "budget_ms" -> {
                    require(value.isNumeric(), "data.budget_ms: no number");
                    budget = in.getDoubleValue();
                    require(budget > 0 && budget < Double.MAX_VALUE, "data.budget_ms: not above 0");
                }
                default -> in.skipChildren();
            }
        }
        require(model != null, "data.model: missing");
        require(!model.isEmpty() && model.length() <= MAX_MODEL_NAME_LENGTH, "data.model: not 1 to " + MAX_MODEL_NAME_LENGTH + " long");
        require(input != null, "data.input: missing");
        return new InferenceMessage(model, input, budget);
    }

    private static String readString(JsonParser in, JsonToken value, String place) throws IOException, InvalidMessageException {
        require(value == JsonToken.VALUE_STRING, place + ": no string");
        return in.getText();
    }

    private static void require(boolean holds, String otherwise) throws InvalidMessageException {
        if (!holds) {
            throw new InvalidMessageException(otherwise);
        }
    }
}
