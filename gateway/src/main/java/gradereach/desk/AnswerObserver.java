package gradereach.desk;

import gradereach.flow.AnswerStream;
import gradereach.message.FinalAnswer;

/** Receives the answer of a message: a client's connection, or the outbox. Called on the decision thread; must not block. */
public interface AnswerObserver {
    /** The message has its final answer. */
    void onFinalAnswer(FinalAnswer answer);

    /**
     * The message cannot become an inference here.
     *
     * @param status an HTTP status of the 4xx class, or 500
     * @param errorCode a short identifier, for instance {@code too-old}
     * @param detail a sentence for the client
     */
    void onRejected(int status, String errorCode, String detail);

    /** Whether the client disconnected before its message was accepted; the coordinator is not notified of that. */
    default boolean isDisconnected() {
        return false;
    }

    /** Whether it accepts a streamed answer. */
    default boolean acceptsStreaming() {
        return false;
    }

    /** A streamed answer has started; {@link #onFinalAnswer} reports its end. */
    default void onStreamStarted(AnswerStream<?> stream) {
        stream.discard();
    }

    /** The message was accepted, or joined an inference in progress; a final answer follows. */
    default void onAccepted(InferenceState state) { }
}
