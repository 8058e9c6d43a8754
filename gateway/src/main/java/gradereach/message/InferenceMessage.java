package gradereach.message;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import java.io.IOException;
import java.util.Arrays;

/**
 * The body of a signed inference message, with the members {@code type}, {@code timestamp} and {@code data} of the
 * Standard Webhooks specification.
 *
 * @param model {@code data.model}, the name of the model
 * @param input {@code data.input}, an inference request object of the Open Inference Protocol, forwarded unchanged
 * @param budgetMillis {@code data.budget_ms}, the time that the client waits for an answer, 0 if not given
 */
public record InferenceMessage(String model, byte[] input, double budgetMillis) {
    /** The only {@code type} that is accepted. */
    public static final String TYPE = "inference.requested";
    /** Enough for nested tensors, without the risk of a stack overflow. */
    private static final int MAX_NESTING_DEPTH = 64;
    private static final int MAX_MODEL_NAME_LENGTH = 256;

    private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build()).build();

    /**
     * Parses a message.
     *
     * @throws InvalidMessageException with the name of the invalid member; never quotes the input
     */
    public static InferenceMessage parse(byte[] body) throws InvalidMessageException {
        String type = null;
        boolean timestamped = false;
        InferenceMessage message = null;
        try (JsonParser parser = JSON.createParser(body)) {
            require(parser.nextToken() == JsonToken.START_OBJECT, "body: no JSON object");
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken token = parser.nextToken();
                switch (name) {
                    case "type" -> type = readString(parser, token, "type");
                    case "timestamp" -> timestamped = !readString(parser, token, "timestamp").isEmpty();
                    case "data" -> {
                        require(token == JsonToken.START_OBJECT, "data: no object");
                        require(message == null, "data: twice");
                        message = parseData(parser, body);
                    }
                    default -> parser.skipChildren();
                }
            }
            require(parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null,
                    "body: goes on after its object");
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

    private static InferenceMessage parseData(JsonParser parser, byte[] body) throws IOException, InvalidMessageException {
        String model = null;
        byte[] input = null;
        double budgetMillis = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken token = parser.nextToken();
            switch (name) {
                case "model" -> model = readString(parser, token, "data.model");
                case "input" -> {
                    require(token == JsonToken.START_OBJECT, "data.input: no object");
                    int inputStart = (int) parser.currentTokenLocation().getByteOffset();
                    parser.skipChildren();
                    input = Arrays.copyOfRange(body, inputStart, (int) parser.currentLocation().getByteOffset());
                }
                case "budget_ms" -> {
                    require(token.isNumeric(), "data.budget_ms: no number");
                    budgetMillis = parser.getDoubleValue();
                    require(budgetMillis > 0 && budgetMillis < Double.MAX_VALUE, "data.budget_ms: not above 0");
                }
                default -> parser.skipChildren();
            }
        }
        require(model != null, "data.model: missing");
        require(!model.isEmpty() && model.length() <= MAX_MODEL_NAME_LENGTH,
                "data.model: not 1 to " + MAX_MODEL_NAME_LENGTH + " long");
        require(input != null, "data.input: missing");
        return new InferenceMessage(model, input, budgetMillis);
    }

    private static String readString(JsonParser parser, JsonToken token, String path) throws IOException, InvalidMessageException {
        require(token == JsonToken.VALUE_STRING, path + ": no string");
        return parser.getText();
    }

    private static void require(boolean condition, String error) throws InvalidMessageException {
        if (!condition) {
            throw new InvalidMessageException(error);
        }
    }
}
