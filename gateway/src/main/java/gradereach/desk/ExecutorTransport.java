package gradereach.desk;

import gradereach.inquiry.InquiryScheduler;
import java.util.function.DoubleConsumer;

/** The way to the executors. Called by the deciding thread; nothing here may block or call back at once. */
public interface ExecutorTransport {
    /** Its end comes to {@link Desk#ended}, exactly one that counts; one that is read in parts to {@link Desk#started} before. */
    void forward(InFlightForward flight);

    /** Nobody waits for the answer any more; the executor is told. */
    void cancel(InFlightForward flight);

    /** Its end comes to {@link Desk#ordered}. */
    void sendLoadOrder(LoadOrder order);

    void unloadIdle(ExecutorEndpoint place, String model);

    /** Its end comes to {@link Desk#probed}. */
    void sendProbe(Probe probe);

    /** What an executor says of a forward that was sent to it. */
    interface InquiryCallback {
        /**
         * {@code process} is the number by which its process tells itself from any other, NaN where untold; {@code output}
         * its answer if finished.
         */
        void onReply(InquiryScheduler.OutcomeReply what, double process, byte[] output);
    }

    /** Asks what became of a forward; told on the deciding thread. */
    void inquire(ExecutorEndpoint place, String forward, InquiryCallback then);

    /** Asks an executor which process it is: the number that it tells, NaN where it tells none; on the deciding thread. */
    void requestProcessId(ExecutorEndpoint place, DoubleConsumer then);

    /** Closes idle connections. */
    void closeWhenIdle(ExecutorEndpoint place);
}
