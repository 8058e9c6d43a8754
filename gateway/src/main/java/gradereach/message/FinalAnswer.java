package gradereach.message;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/**
 * The one final answer of an inference: the same bytes to whoever asks again. Returned ones hold the executor's
 * answer as it came; shed and failed ones are problem details (RFC 9457).
 *
 * @param status HTTP status (RFC 9110): 200, 503 shed, 502 or 504 failed
 * @param pause milliseconds that the client should wait before a repeat, 0 for no advice
 * @param repeatHarmless whether the client may send the same message again
 */
public record FinalAnswer(Kind kind, int status, byte[] body, double retryAfterMillis, boolean repeatHarmless) {
    /** The three ways in which an inference ends. */
    public enum Kind { RETURNED, SHED, FAILED }

    /**
     * The {@code webhook-id} under which this answer to a message goes out. One that says that a repeat is harmless is no end
     * of its message, which may come again and be answered otherwise: it has an id of its own, so that receivers do not take
     * the later answer for a repeat.
     */
    public String webhookId(String id) {
        return kind == Kind.RETURNED || !repeatHarmless ? id + ".answer"
                : id + "." + kind.name().toLowerCase() + "-" + Integer.toHexString(java.util.Arrays.hashCode(body));
    }

    /** The message's id from that of its answer. */
    public static String inferenceId(String messageId) {
        return messageId.replaceFirst("\\.(answer|(shed|failed)-[0-9a-f]{1,8})$", "");
    }

    public static FinalAnswer returned(String id, String model, byte[] output, Instant at) {
        byte[] head = ("{\"type\":\"inference.returned\",\"timestamp\":\"" + at + "\",\"data\":{\"id\":" + quoted(id)
                + ",\"model\":" + quoted(model) + ",\"output\":").getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream body = new ByteArrayOutputStream(head.length + output.length + 2);
        body.writeBytes(head);
        body.writeBytes(output);
        body.write('}');
        body.write('}');
        return new FinalAnswer(Kind.RETURNED, 200, body.toByteArray(), 0, true);
    }

    /** {@code why} is a plain sentence without quotes. */
    public static FinalAnswer shed(String id, String why, double pause) {
        return new FinalAnswer(Kind.SHED, 503, problem("shed", 503, "Inference shed", id, why, true, pause), pause,
                true);
    }

    /** {@code status} 504 where time ran out, 502 where an executor's end was no answer. */
    public static FinalAnswer failed(String id, int status, String why, boolean repeatHarmless) {
        return new FinalAnswer(Kind.FAILED, status,
                problem("failed", status, "Inference failed", id, why, repeatHarmless, 0), 0, repeatHarmless);
    }

    /** A problem of the message itself: it was never an inference. */
    public static byte[] refusal(int status, String word, String why) {
        return problem(word, status, "Message refused", null, why, false, 0);
    }

    private static byte[] problem(String word, int status, String title, String id, String why, boolean harmless,
            double pause) {
        return ("{\"type\":\"urn:gradereach:" + word + "\",\"title\":\"" + title + "\",\"status\":" + status
                + ",\"detail\":" + quoted(why) + (id == null ? "" : ",\"id\":" + quoted(id))
                + ",\"outcome\":\"" + word + "\",\"repeat_harmless\":" + harmless
                + (pause > 0 ? ",\"retry_after_ms\":" + Math.round(pause) : "") + "}").getBytes(StandardCharsets.UTF_8);
    }

    private static String quoted(String text) {
        return '"' + String.valueOf(com.fasterxml.jackson.core.io.JsonStringEncoder.getInstance().quoteAsString(text))
                + '"';
    }
}
