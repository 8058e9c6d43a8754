package gradereach.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class InferenceMessageTest {
    private static final String MESSAGE_PREFIX = "{\"type\":\"inference.requested\",\"timestamp\":\"t\",\"data\":";

    private static InferenceMessage parse(String text) throws InvalidMessageException {
        return InferenceMessage.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void inputIsKeptByteForByte() throws InvalidMessageException {
        String input = "{ \"inputs\" : [ {\"n\":\"\u00fc\ud83d\ude00\"} ] , \"x\":1e400 }";
        InferenceMessage message = parse("{\"data\":{\"z\":[{}],\"input\":" + input
                + ",\"model\":\"m\",\"budget_ms\":1.5},\"extra\":{\"a\":[1]},\"timestamp\":\"t\",\"type\":\"inference.requested\"}");
        assertEquals(input, new String(message.input(), StandardCharsets.UTF_8));
        assertEquals("m", message.model());
        assertEquals(1.5, message.budgetMillis());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "[] | body: no JSON object", "{ | body: no proper JSON", "{} | type: missing",
        "{\"type\":\"x\"} | type: not inference.requested", "{\"type\":1} | type: no string",
        "{\"type\":\"inference.requested\"} | timestamp: missing",
        "HEAD 1} | data: no object", "HEAD {}} | data.model: missing", "HEAD {\"model\":\"\"}} | data.model: not 1 to 256 long",
        "HEAD {\"model\":\"m\"}} | data.input: missing", "HEAD {\"model\":\"m\",\"input\":[]}} | data.input: no object",
        "HEAD {\"model\":\"m\",\"input\":{},\"budget_ms\":-1}} | data.budget_ms: not above 0",
        "HEAD {\"model\":\"m\",\"input\":{},\"budget_ms\":\"1\"}} | data.budget_ms: no number",
        "HEAD {\"model\":\"m\",\"input\":{}}} x | body: no proper JSON",
        "HEAD {\"model\":\"m\",\"input\":{}}}{} | body: goes on after its object",
        "HEAD {\"model\":\"m\",\"input\":DEEP}} | body: nested deeper than 64",
        "HEAD {\"model\":\"m\",\"input\":{}},\"data\":{}} | data: twice",
    })
    void errorNamesTheInvalidMember(String text, String expected) {
        String body = text.replace("HEAD ", MESSAGE_PREFIX).replace("DEEP", "{\"a\":".repeat(99) + "1" + "}".repeat(99));
        assertEquals(expected, assertThrows(InvalidMessageException.class, () -> parse(body)).getMessage());
    }

    /**
     * Guards against one webhook-id for several answers of a message: receivers drop all but the first as duplicates. An answer
     * that allows a repeat may be followed by another answer, so it needs an id of its own.
     */
    @ParameterizedTest
    @CsvSource({"shed, true, m.shed-", "failed, true, m.failed-", "failed, false, m.answer"})
    void repeatableAnswerHasItsOwnWebhookId(String kind, boolean repeatHarmless, String expectedIdPrefix) {
        FinalAnswer one = kind.equals("shed") ? FinalAnswer.shed("m", "one", 0) : FinalAnswer.failed("m", 504, "one", repeatHarmless);
        FinalAnswer other = kind.equals("shed") ? FinalAnswer.shed("m", "two", 0) : FinalAnswer.failed("m", 504, "two", repeatHarmless);
        assertEquals(expectedIdPrefix, one.webhookId("m").substring(0, expectedIdPrefix.length()));
        assertEquals(repeatHarmless, !one.webhookId("m").equals(other.webhookId("m")));
        assertEquals("m", FinalAnswer.messageIdFromWebhookId(one.webhookId("m")));
    }

    @Test
    void answersAreValidJson() throws Exception {
        ObjectMapper json = new ObjectMapper();
        String special = "a\"\\\u0001";
        byte[] returned = FinalAnswer.returned(special, special, "{\"o\":1}".getBytes(StandardCharsets.UTF_8), Instant.EPOCH).body();
        assertEquals(special, json.readTree(returned).at("/data/id").asText());
        assertEquals(1, json.readTree(returned).at("/data/output/o").asInt());
        FinalAnswer shed = FinalAnswer.shed(special, "why", 750);
        assertEquals(750, json.readTree(shed.body()).at("/retry_after_ms").asInt());
        assertEquals("shed", json.readTree(shed.body()).at("/outcome").asText());
        assertEquals(false, json.readTree(FinalAnswer.failed(special, 504, "w", false).body()).at("/repeat_harmless").asBoolean());
    }
}
