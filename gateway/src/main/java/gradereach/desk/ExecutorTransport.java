package gradereach.desk;

import gradereach.inquiry.InquiryScheduler;
import java.util.function.DoubleConsumer;

/** Sends requests to executors. Called on the decision thread; methods must not block, and must not call back before they return. */
public interface ExecutorTransport {
    /**
     * Sends a forward. Its end is reported to {@link InferenceCoordinator#onForwardEnded}, where only the first report counts;
     * the start of a streamed answer is reported to {@link InferenceCoordinator#onAnswerStarted} before.
     */
    void forward(InFlightForward forward);

    /** Cancels a forward whose answer is no longer waited for; the executor is notified. */
    void cancel(InFlightForward forward);

    /** Sends a load order or status query; its end is reported to {@link InferenceCoordinator#onLoadOrderEnded}. */
    void sendLoadOrder(LoadOrder order);

    /** Asks an executor to unload the idle copies of a model; no reply is awaited. */
    void unloadIdle(ExecutorEndpoint endpoint, String model);

    /** Sends a probe; its end is reported to {@link InferenceCoordinator#onProbeEnded}. */
    void sendProbe(Probe probe);

    /** Receives an executor's reply to an outcome inquiry. */
    interface InquiryCallback {
        /**
         * @param processNumber the number that identifies the process that replied, NaN where it reports none
         * @param output the answer of a finished forward
         */
        void onReply(InquiryScheduler.OutcomeReply reply, double processNumber, byte[] output);
    }

    /** Asks an executor for the outcome of a forward; the callback runs on the decision thread. */
    void inquire(ExecutorEndpoint endpoint, String forwardId, InquiryCallback callback);

    /** Asks an executor for its process number, NaN where it reports none; the callback runs on the decision thread. */
    void requestProcessNumber(ExecutorEndpoint endpoint, DoubleConsumer callback);

    /** Closes idle connections at once, and the others when they become idle. */
    void closeWhenIdle(ExecutorEndpoint endpoint);
}
