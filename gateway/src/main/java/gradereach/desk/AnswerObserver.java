package gradereach.desk;

import gradereach.flow.AnswerStream;
import gradereach.message.FinalAnswer;

/** Whoever waits for a message's answer: a connection, or the outbox. Called by the deciding thread; must not block. */
public interface AnswerObserver {
    void onFinalAnswer(FinalAnswer answer);

    /** The message cannot be an inference here: an HTTP status of the 4xx class or 500, a word and a sentence. */
    void onRejected(int status, String word, String why);

    /** Whoever waited has left, and nobody has told the desk: its message was not taken yet. */
    default boolean isDisconnected() {
        return false;
    }

    /** Whether it takes an answer in parts. */
    default boolean acceptsStreaming() {
        return false;
    }

    /** The answer has started: its parts are in {@code flow}; {@link #answer} tells its end. */
    default void onStreamStarted(AnswerStream<?> flow) {
        flow.discard();
    }

    /** The message was taken, or joined one that was; a final answer follows. */
    default void onAccepted(InferenceState life) { }
}
