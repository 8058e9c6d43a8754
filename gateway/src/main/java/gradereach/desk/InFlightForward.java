package gradereach.desk;

import gradereach.ledger.Recipient;
import gradereach.state.Forward;
import java.util.List;

/** One forward from the router's decision until its end, with what the transport needs to send it. */
public final class InFlightForward {
    final InferenceState inferenceState;
    final Forward forward;
    final double deadline;
    private final double leaseEndsAt;
    /** The start time of the target process, as listed in the roster when this was created; Unix milliseconds. */
    private final double targetProcessStart;
    long timerId;
    boolean ended;
    /** Handed to the transport; false while its intent is not yet durable. */
    boolean sent;
    /** Its intent was appended to the ledger, but need not be durable yet. */
    boolean intentRecorded;
    /** The process it was intended for; null where no intent is recorded. */
    Recipient recipient;
    /** Its streamed answer has started. */
    boolean answerStarted;
    public final ExecutorEndpoint endpoint;
    /** The transport's handle of the request, guarded by the transport. */
    public Object requestHandle;
    /** Set by the decision thread when it no longer waits for the end; the transport need not send it any more. */
    public volatile boolean cancelled;

    /** @param leaseEndsAt when its executor's lease ends, as known at the time of the decision; monotonic time */
    InFlightForward(InferenceState inferenceState, Forward forward, ExecutorEndpoint endpoint, double deadline, double leaseEndsAt) {
        this.leaseEndsAt = leaseEndsAt;
        targetProcessStart = endpoint.listedStart();
        this.inferenceState = inferenceState;
        this.forward = forward;
        this.endpoint = endpoint;
        this.deadline = deadline;
    }

    /** What is sent to the executor. */
    public InferenceInput input() {
        return inferenceState.input;
    }

    /** The message's id, as given by its client. */
    public String messageId() {
        return inferenceState.entry.id;
    }

    public String groupName() {
        return inferenceState.inference.group.name();
    }

    /** Whether its end is still waited for: false once it has ended or is cancelled, or its inference is done. */
    public boolean isAwaited() {
        return !ended && !cancelled && !inferenceState.inference.done;
    }

    /** Whether the roster still lists the process that this was meant for at the endpoint. */
    public boolean targetsCurrentProcess() {
        return Double.compare(targetProcessStart, endpoint.listedStart()) == 0;
    }

    /** When it times out, monotonic time. */
    public double deadline() {
        return deadline;
    }

    /** When it must no longer be written, monotonic time: it has timed out, or its executor may drain unnoticed. */
    public double sendDeadline() {
        return Math.min(deadline, leaseEndsAt);
    }

    /** All forwards of the same inference, including this one. */
    public List<InFlightForward> forwardsOfInference() {
        return inferenceState.forwards;
    }

    public String modelName() {
        return inferenceState.model.name();
    }

    /** Whether the answer can be streamed: the model group streams, and an observer accepts it. */
    public boolean acceptsStreaming() {
        return inferenceState.model.group().streamsAnswers()
                && inferenceState.entry.observers.stream().anyMatch(AnswerObserver::acceptsStreaming);
    }

    /** The key by which executors detect a repeat. It identifies the customer and the message, not the forward. */
    public String dedupKey() {
        return inferenceState.dedupKey;
    }

    /** Identifies this forward in logs, transcripts and outcome inquiries. */
    public String forwardId() {
        return inferenceState.dedupKey + "#" + inferenceState.frontEnd + "-" + inferenceState.inference.id + "-" + forward.number;
    }
}
