package gradereach.serve;

import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceState;
import gradereach.message.FinalAnswer;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs one line for each inference that ends and one for each failure of the router. Logs no secrets and no payloads. */
final class InferenceLog implements InferenceCoordinator.InferenceListener {
    private static final Logger INFERENCE_LOG = LoggerFactory.getLogger("gradereach.inferences");
    private static final Logger MODULE_LOG = LoggerFactory.getLogger("gradereach.module");

    private final List<String> customers;

    InferenceLog(List<String> customers) {
        this.customers = customers;
    }

    @Override
    public void onInferenceEnded(InferenceState life, double now) {
        if (!INFERENCE_LOG.isInfoEnabled()) {
            return;
        }
        FinalAnswer answer = life.answer();
        double first = life.firstForwardSentAt();
        INFERENCE_LOG.atInfo().addKeyValue("id", life.messageId()).addKeyValue("customer", customers.get(life.customer()))
                .addKeyValue("model", life.modelName()).addKeyValue("forwards", life.forwardCount())
                .addKeyValue("executor", life.lastExecutorAddress())
                .addKeyValue("outcome", answer == null ? "left" : answer.kind().name().toLowerCase())
                .addKeyValue("held_ms", round(Double.isNaN(first) ? now - life.acceptedAt() : first - life.acceptedAt()))
                .addKeyValue("took_ms", round(now - life.acceptedAt())).log("inference");
    }

    private static double round(double millis) {
        return Math.round(millis * 100) / 100.0;
    }

    @Override
    public void onRouterFailed(RuntimeException why, String during, int inferences) {
        MODULE_LOG.atError().setCause(why).addKeyValue("event", during).addKeyValue("ended_inferences", inferences)
                .log("the module failed; a fresh one goes on");
    }

    @Override
    public void onLogLine(String line) {
        MODULE_LOG.info(line);
    }
}
