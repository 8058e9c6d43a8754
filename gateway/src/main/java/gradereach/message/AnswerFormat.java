package gradereach.message;

import java.time.Instant;

/** How final answers are worded for whoever asks: each front has its own form. */
public interface AnswerFormat {
    FinalAnswer returned(String id, String model, byte[] output, Instant at);

    FinalAnswer shed(String id, String why, double pause);

    FinalAnswer failed(String id, int status, String why, boolean repeatHarmless);

    /** Webhooks, which gRPC answers are made from as well. */
    AnswerFormat WEBHOOK = new AnswerFormat() {
        @Override
        public FinalAnswer returned(String id, String model, byte[] output, Instant at) {
            return FinalAnswer.returned(id, model, output, at);
        }

        @Override
        public FinalAnswer shed(String id, String why, double pause) {
            return FinalAnswer.shed(id, why, pause);
        }

        @Override
        public FinalAnswer failed(String id, int status, String why, boolean repeatHarmless) {
            return FinalAnswer.failed(id, status, why, repeatHarmless);
        }
    };
}
