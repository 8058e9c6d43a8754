package gradereach.message;

import java.time.Instant;

/** Creates the final answers in the form that the clients of one kind of server get. */
public interface AnswerFormat {
    /** The answer of an executor. */
    FinalAnswer returned(String id, String model, byte[] output, Instant timestamp);

    /** An inference that was not run; its client may repeat it after {@code retryAfterMillis}. */
    FinalAnswer shed(String id, String detail, double retryAfterMillis);

    /** An inference that may have run without a known result. */
    FinalAnswer failed(String id, int status, String detail, boolean repeatHarmless);

    /** The form of webhook answers, which gRPC answers are derived from as well. */
    AnswerFormat WEBHOOK = new AnswerFormat() {
        @Override
        public FinalAnswer returned(String id, String model, byte[] output, Instant timestamp) {
            return FinalAnswer.returned(id, model, output, timestamp);
        }

        @Override
        public FinalAnswer shed(String id, String detail, double retryAfterMillis) {
            return FinalAnswer.shed(id, detail, retryAfterMillis);
        }

        @Override
        public FinalAnswer failed(String id, int status, String detail, boolean repeatHarmless) {
            return FinalAnswer.failed(id, status, detail, repeatHarmless);
        }
    };
}
