package gradereach.intake;

import gradereach.counts.Counts;
import gradereach.desk.IncomingMessage;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceInput;
import gradereach.desk.ModelCatalog;
import gradereach.loop.DecisionLoop;
import gradereach.message.FinalAnswer;
import gradereach.message.InvalidMessageException;
import gradereach.oip.InferenceJsonConverter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * The steps that all client-facing servers share for a message that they have read: authenticating its customer, looking
 * up its model and handing it to the decision thread. A server only translates between its protocol and this class.
 * Thread-safe.
 */
public final class Intake {
    private static final ThreadLocal<MessageDigest> SHA256 = ThreadLocal.withInitial(() -> {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    });

    private final KeyRing keys;
    private final List<List<WebhookKey>> answerKeys;
    private final ModelCatalog catalog;
    private final DecisionLoop decisionLoop;
    private final DoubleSupplier clock;
    private final DoubleSupplier earliestArrival;
    private final LongSupplier unixMillis;
    private final double shedRetryAfterMillis;
    private final InputFormats inputFormats;
    private final LongAdder messageCount;
    private final Counts counts;
    private volatile boolean stopping;

    /**
     * @param answerKeys keys that answers to a customer are signed with, by customer index
     * @param earliestArrival the earliest time at which data that is read now may have arrived; monotonic time
     * @param shedRetryAfterMillis how long clients are asked to wait if their message is shed on admission
     */
    public Intake(KeyRing keys, List<List<WebhookKey>> answerKeys, ModelCatalog catalog, DecisionLoop decisionLoop,
            DoubleSupplier clock, DoubleSupplier earliestArrival, LongSupplier unixMillis, double shedRetryAfterMillis,
            InputFormats inputFormats, Counts counts) {
        this.keys = keys;
        this.answerKeys = answerKeys;
        this.catalog = catalog;
        this.decisionLoop = decisionLoop;
        this.clock = clock;
        this.earliestArrival = earliestArrival;
        this.unixMillis = unixMillis;
        this.shedRetryAfterMillis = shedRetryAfterMillis;
        this.inputFormats = inputFormats;
        this.counts = counts;
        messageCount = counts.counter("messages");
    }

    /**
     * Finds the customer whose key signed a message that has been read completely, and counts the message.
     *
     * @param likelyCustomer index of the customer to try first, -1 for none
     */
    public KeyRing.VerificationResult authenticate(String id, String timestamp, String signature, byte[] signedContent,
            int likelyCustomer) {
        messageCount.increment();
        return keys.verify(id, timestamp, signature, signedContent, unixMillis.getAsLong() / 1000, likelyCustomer);
    }

    /** Looks up a model by name; null if it is not in this deployment. */
    public ModelCatalog.Entry findModel(String name) {
        return catalog.find(name);
    }

    /** Whether executors of this deployment accept inference requests as JSON, and as serialized protobuf messages. */
    public record InputFormats(boolean acceptsJson, boolean acceptsProtobuf) { }

    /** Converts the input of a webhook message to the formats that the executors take. */
    public InferenceInput toInput(byte[] json, String model) throws InvalidMessageException {
        return new InferenceInput(inputFormats.acceptsJson ? json : null,
                inputFormats.acceptsProtobuf ? InferenceJsonConverter.requestBytesFromJson(json, model) : null);
    }

    /** Converts the request of a gRPC call; the conversion to JSON, if executors take that, also validates it. */
    public InferenceInput toInput(ModelInferRequest request) throws InvalidMessageException {
        return new InferenceInput(inputFormats.acceptsJson ? InferenceJsonConverter.requestToJson(request) : null,
                inputFormats.acceptsProtobuf ? request.toByteArray() : null);
    }

    /** The SHA-256 digest of the bytes. */
    public static byte[] digest(byte[] bytes) {
        return SHA256.get().digest(bytes);
    }

    /** The eight bytes of a digest that start at {@code offset}, as a big-endian long. */
    public static long longAt(byte[] digest, int offset) {
        long value = 0;
        for (int i = offset; i < offset + 8; i++) {
            value = value << 8 | digest[i] & 0xff;
        }
        return value;
    }

    /**
     * Hands a message to the decision thread. Returns false if it was shed instead, in which case the client has been answered.
     */
    public boolean admit(IncomingMessage message, WaitingClient client) {
        if (stopping) {
            client.onFinalAnswer(FinalAnswer.shed(message.id(), "this front end is stopping", shedRetryAfterMillis));
            return false;
        }
        boolean admitted = decisionLoop.offer(coordinator -> {
            coordinator.onMessage(message);
            client.notifyIfDisconnected(coordinator);
        });
        if (!admitted) {
            client.onFinalAnswer(FinalAnswer.shed(message.id(), "too many messages wait at the door", shedRetryAfterMillis));
        }
        return admitted;
    }

    /** Records that a final answer, decided at that monotonic time, has been handed to its socket. */
    public void recordAnswerWritten(double decidedAt) {
        double now = clock.getAsDouble();
        decisionLoop.answerDelay().recordWriteDelay(now - decidedAt, now);
    }

    /** Counts a rejected message by the error code that its client gets. */
    public void countRejectedMessage(String errorCode) {
        counts.counter("refused_" + errorCode.replace('-', '_')).increment();
    }

    /** Hands an event that is never rejected to the decision thread. */
    void submit(Consumer<InferenceCoordinator> event) {
        decisionLoop.post(event);
    }

    /** The value of {@code webhook-signature} for an answer to that customer. */
    public String signature(int customer, String answerId, long timestamp, byte[] body) {
        return KeyRing.signatureHeader(answerKeys.get(customer), answerId, timestamp, body);
    }

    public long unixSeconds() {
        return unixMillis.getAsLong() / 1000;
    }

    /** The current monotonic time. */
    public double now() {
        return clock.getAsDouble();
    }

    public DoubleSupplier clock() {
        return clock;
    }

    /** The earliest monotonic time at which data that is read now may have arrived. */
    public DoubleSupplier earliestArrival() {
        return earliestArrival;
    }

    /** Stops accepting messages. Those already accepted are still answered. */
    public void stop() {
        stopping = true;
    }

    public boolean isStopping() {
        return stopping;
    }
}
