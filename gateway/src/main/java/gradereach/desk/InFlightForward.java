package gradereach.desk;

import gradereach.ledger.Recipient;
import gradereach.state.Forward;
import java.util.List;

/** One forward on its way: the module's object and what the sockets need. */
public final class InFlightForward {
    final InferenceState inferenceState;
    final Forward forward;
    final double deadline;
    private final double leaseEndsAt;
    /** The start of the process that it is meant for, as discovery told it. */
    private final double targetProcessStart;
    long timer;
    boolean ended;
    /** Handed to the links; before that its intent waits to be durable. */
    boolean sent;
    boolean intentRecorded;
    /** The process that it was intended for; null where no intention is recorded. */
    Recipient recipient;
    /** Its answer has started and is read by a client. */
    boolean answerStarted;
    public final ExecutorEndpoint endpoint;
    /** The link's own, guarded by it. */
    public Object stream;
    /** Set by the deciding thread when it no longer waits: a link that has not sent it yet need not. */
    public volatile boolean cancelled;

    /** @param leaseEndsAt when its executor's lease ends by what was known as it was decided, module time */
    InFlightForward(InferenceState life, Forward forward, ExecutorEndpoint place, double stopAt, double leaseEndsAt) {
        this.leaseEndsAt = leaseEndsAt;
        targetProcessStart = place.listedStart();
        this.inferenceState = life;
        this.forward = forward;
        this.endpoint = place;
        this.deadline = stopAt;
    }

    public InferenceInput input() {
        return inferenceState.input;
    }

    /** The message's id, as its client gave it. */
    public String messageId() {
        return inferenceState.entry.id;
    }

    public String groupName() {
        return inferenceState.inference.group.name();
    }

    /** Whether anybody waits for its end: not after its client has left, nor once it is answered or given up. */
    public boolean isAwaited() {
        return !ended && !cancelled && !inferenceState.inference.done;
    }

    /** Whether the process that it is meant for is still the one that discovery has there. */
    public boolean targetsCurrentProcess() {
        return Double.compare(targetProcessStart, endpoint.listedStart()) == 0;
    }

    /** When it is given up, module time. */
    public double deadline() {
        return deadline;
    }

    /** From when on it must not be written any more: its time is up, or its executor may drain unheard; module time. */
    public double sendDeadline() {
        return Math.min(deadline, leaseEndsAt);
    }

    /** The forwards of the same inference, this one included. */
    public List<InFlightForward> forwardsOfInference() {
        return inferenceState.forwards;
    }

    public String modelName() {
        return inferenceState.model.name();
    }

    /** Whether whoever asks takes the answer in parts, and the model group answers so. */
    public boolean acceptsStreaming() {
        return inferenceState.model.group().streaming() && inferenceState.entry.observers.stream().anyMatch(AnswerObserver::acceptsStreaming);
    }

    /** By which executors know a repeat: the customer and the message, not the forward. */
    public String dedupKey() {
        return inferenceState.dedupKey;
    }

    /** Names this one forward in logs and transcripts. */
    public String forwardId() {
        return inferenceState.dedupKey + "#" + inferenceState.frontEnd + "-" + inferenceState.inference.id + "-" + forward.number;
    }
}
