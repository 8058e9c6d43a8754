package gradereach.intake;

import gradereach.counts.Counts;
import gradereach.desk.IncomingMessage;
import gradereach.desk.ModelCatalog;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceInput;
import gradereach.loop.DecisionLoop;
import gradereach.message.InvalidMessageException;
import gradereach.message.FinalAnswer;
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
 * What every front does with a message that it has read: whose it is, whether its model is known, and its way to the
 * deciding thread. A front translates its protocol to this and the answer back, and nothing more. Any thread.
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
    private final ModelCatalog catalogue;
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
     * @param arrivals the earliest time at which what is read now may have come; module time
     * @param doorPause milliseconds that clients are asked to wait when shed at the door
     */
    public Intake(KeyRing keys, List<List<WebhookKey>> answerKeys, ModelCatalog catalogue, DecisionLoop loop,
            DoubleSupplier clock, DoubleSupplier arrivals, LongSupplier unixMillis, double doorPause, InputFormats forms, Counts counts) {
        this.keys = keys;
        this.answerKeys = answerKeys;
        this.catalogue = catalogue;
        this.decisionLoop = loop;
        this.clock = clock;
        this.earliestArrival = arrivals;
        this.unixMillis = unixMillis;
        this.shedRetryAfterMillis = doorPause;
        this.inputFormats = forms;
        this.counts = counts;
        messageCount = counts.counter("messages");
    }

    /** A message has come whole; {@code likely} is the customer to try first, -1 for none. */
    public KeyRing.VerificationResult authenticate(String id, String timestamp, String signature, byte[] signed, int likely) {
        messageCount.increment();
        return keys.verify(id, timestamp, signature, signed, unixMillis.getAsLong() / 1000, likely);
    }

    /** Null for a model that is not in this deployment. */
    public ModelCatalog.Entry findModel(String name) {
        return catalogue.find(name);
    }

    /** Which forms of an inference the executors of this deployment take. */
    public record InputFormats(boolean json, boolean message) { }

    /** From a webhook. */
    public InferenceInput toInput(byte[] json, String model) throws InvalidMessageException {
        return new InferenceInput(inputFormats.json ? json : null, inputFormats.message ? InferenceJsonConverter.requestBytesFromJson(json, model) : null);
    }

    /** From a gRPC call; checked on the way where it goes to executors as JSON. */
    public InferenceInput toInput(ModelInferRequest bare) throws InvalidMessageException {
        return new InferenceInput(inputFormats.json ? InferenceJsonConverter.requestToJson(bare) : null, inputFormats.message ? bare.toByteArray() : null);
    }

    /** SHA-256 in the thread's own instance. */
    public static byte[] digest(byte[] bytes) {
        return SHA256.get().digest(bytes);
    }

    /** Eight bytes of a digest from {@code from} on. */
    public static long longAt(byte[] digest, int from) {
        long half = 0;
        for (int i = from; i < from + 8; i++) {
            half = half << 8 | digest[i] & 0xff;
        }
        return half;
    }

    /** To the deciding thread, or shed at the door, where it was told at once; false then. */
    public boolean admit(IncomingMessage arrival, WaitingClient waiter) {
        if (stopping) {
            waiter.onFinalAnswer(FinalAnswer.shed(arrival.id(), "this front end is stopping", shedRetryAfterMillis));
            return false;
        }
        boolean admitted = decisionLoop.offer(desk -> {
            desk.onMessage(arrival);
            waiter.notifyIfCancelled(desk);
        });
        if (!admitted) {
            waiter.onFinalAnswer(FinalAnswer.shed(arrival.id(), "too many messages wait at the door", shedRetryAfterMillis));
        }
        return admitted;
    }

    /** A final answer that was decided at that module time has been handed to its socket. */
    public void recordAnswerWritten(double decidedAt) {
        double now = clock.getAsDouble();
        decisionLoop.answerDelay().recordWriteDelay(now - decidedAt, now);
    }

    /** Counts a message turned away at the door, by the word that the client gets. */
    public void countRefusal(String word) {
        counts.counter("refused_" + word.replace('-', '_')).increment();
    }

    void submit(Consumer<InferenceCoordinator> event) {
        decisionLoop.post(event);
    }

    /** The value of {@code webhook-signature} for an answer to that customer. */
    public String signature(int customer, String answerId, long at, byte[] body) {
        return KeyRing.signatureHeader(answerKeys.get(customer), answerId, at, body);
    }

    public long unixSeconds() {
        return unixMillis.getAsLong() / 1000;
    }

    /** Module time. */
    public double now() {
        return clock.getAsDouble();
    }

    public DoubleSupplier clock() {
        return clock;
    }

    /** The earliest time at which what is read now may have come. */
    public DoubleSupplier earliestArrival() {
        return earliestArrival;
    }

    /** From now on no message is taken; what was taken is answered. */
    public void stop() {
        stopping = true;
    }

    public boolean stopping() {
        return stopping;
    }
}
