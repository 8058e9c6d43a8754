package gradereach.serve;

import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceState;
import gradereach.message.FinalAnswer;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each inference that ends, each failure of the router and the router's own log lines. Logs no secrets and no payloads. */
final class InferenceLog implements InferenceCoordinator.InferenceListener {
    private static final Logger INFERENCE_LOG = LoggerFactory.getLogger("gradereach.inferences");
    private static final Logger MODULE_LOG = LoggerFactory.getLogger("gradereach.module");

    private final List<String> customerNames;

    InferenceLog(List<String> customerNames) {
        this.customerNames = customerNames;
    }

    @Override
    public void onInferenceEnded(InferenceState inference, double now) {
        if (!INFERENCE_LOG.isInfoEnabled()) {
            return;
        }
        FinalAnswer answer = inference.answer();
        double firstForwardAt = inference.firstForwardSentAt();
        INFERENCE_LOG.atInfo().addKeyValue("id", inference.messageId())
                .addKeyValue("customer", customerNames.get(inference.customer()))
                .addKeyValue("model", inference.modelName()).addKeyValue("forwards", inference.forwardCount())
                .addKeyValue("executor", inference.lastExecutorAddress())
                .addKeyValue("outcome", answer == null ? "left" : answer.kind().name().toLowerCase())
                .addKeyValue("held_ms", round(Double.isNaN(firstForwardAt) ? now - inference.receivedAt()
                        : firstForwardAt - inference.receivedAt()))
                .addKeyValue("took_ms", round(now - inference.receivedAt())).log("inference");
    }

    /** Rounds to hundredths of a millisecond. */
    private static double round(double millis) {
        return Math.round(millis * 100) / 100.0;
    }

    @Override
    public void onRouterFailed(RuntimeException cause, String event, int endedInferences) {
        MODULE_LOG.atError().setCause(cause).addKeyValue("event", event).addKeyValue("ended_inferences", endedInferences)
                .log("the router failed; a new one continues");
    }

    @Override
    public void onLogLine(String line) {
        MODULE_LOG.info(line);
    }
}
