package gradereach.message;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/**
 * The final answer of an inference. Repeats of the message get the same bytes. An {@link AnswerFormat} determines the body;
 * the methods here create webhook answers, where a returned one holds the executor's output unchanged and a shed or failed
 * one is a problem details object (RFC 9457).
 *
 * @param status HTTP status (RFC 9110): 200, 503 shed, 502 or 504 failed
 * @param retryAfterMillis how long the client should wait before a repeat, 0 for no advice
 * @param repeatHarmless whether the client may send the same message again
 */
public record FinalAnswer(Kind kind, int status, byte[] body, double retryAfterMillis, boolean repeatHarmless) {
    /** How an inference ended. */
    public enum Kind { RETURNED, SHED, FAILED }

    /**
     * The {@code webhook-id} of this answer. After a shed or harmless failed answer the message may be sent again and get
     * another answer, so the id of such an answer also depends on its body: receivers would otherwise drop the later answer
     * as a duplicate.
     *
     * @param messageId the {@code webhook-id} of the message
     */
    public String webhookId(String messageId) {
        return kind == Kind.RETURNED || !repeatHarmless ? messageId + ".answer"
                : messageId + "." + kind.name().toLowerCase() + "-" + Integer.toHexString(java.util.Arrays.hashCode(body));
    }

    /** The id of the message, given the {@code webhook-id} of its answer. */
    public static String messageIdFromWebhookId(String answerId) {
        return answerId.replaceFirst("\\.(answer|(shed|failed)-[0-9a-f]{1,8})$", "");
    }

    /** An answer with the output of an executor. */
    public static FinalAnswer returned(String id, String model, byte[] output, Instant timestamp) {
        byte[] head = ("{\"type\":\"inference.returned\",\"timestamp\":\"" + timestamp + "\",\"data\":{\"id\":" + quoted(id)
                + ",\"model\":" + quoted(model) + ",\"output\":").getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream body = new ByteArrayOutputStream(head.length + output.length + 2);
        body.writeBytes(head);
        body.writeBytes(output);
        body.write('}');
        body.write('}');
        return new FinalAnswer(Kind.RETURNED, 200, body.toByteArray(), 0, true);
    }

    /** An inference that was not run. {@code detail} is a plain sentence for the client. */
    public static FinalAnswer shed(String id, String detail, double retryAfterMillis) {
        return new FinalAnswer(Kind.SHED, 503, problem("shed", 503, "Inference shed", id, detail, true, retryAfterMillis),
                retryAfterMillis, true);
    }

    /**
     * A failed inference: status 502 if an executor ended it without a usable answer, 504 otherwise, such as when its time ran
     * out.
     */
    public static FinalAnswer failed(String id, int status, String detail, boolean repeatHarmless) {
        return new FinalAnswer(Kind.FAILED, status,
                problem("failed", status, "Inference failed", id, detail, repeatHarmless, 0), 0, repeatHarmless);
    }

    /** The body of the response to a message that is rejected before it becomes an inference. */
    public static byte[] rejectionBody(int status, String errorCode, String detail) {
        return problem(errorCode, status, "Message refused", null, detail, false, 0);
    }

    private static byte[] problem(String errorCode, int status, String title, String id, String detail, boolean repeatHarmless,
            double retryAfterMillis) {
        return ("{\"type\":\"urn:gradereach:" + errorCode + "\",\"title\":\"" + title + "\",\"status\":" + status
                + ",\"detail\":" + quoted(detail) + (id == null ? "" : ",\"id\":" + quoted(id))
                + ",\"outcome\":\"" + errorCode + "\",\"repeat_harmless\":" + repeatHarmless
                + (retryAfterMillis > 0 ? ",\"retry_after_ms\":" + Math.round(retryAfterMillis) : "") + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String quoted(String text) {
        return '"' + String.valueOf(com.fasterxml.jackson.core.io.JsonStringEncoder.getInstance().quoteAsString(text))
                + '"';
    }
}
