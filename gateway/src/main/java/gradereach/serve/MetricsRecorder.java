package gradereach.serve;

import gradereach.api.ModelGroup;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceState;
import gradereach.desk.ModelCatalog;
import gradereach.measures.ServiceMetrics;
import gradereach.message.FinalAnswer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Passes the end of each inference on to another listener, then records it in the metrics. Runs on the decision thread. */
final class MetricsRecorder implements InferenceCoordinator.InferenceListener {
    private final InferenceCoordinator.InferenceListener delegate;
    private final ServiceMetrics metrics;
    private final Map<ModelGroup, Integer> groupIndexes = new HashMap<>();
    private final List<String> customerNames;
    private final long[] customerHashes;
    private final double overQuotaValue;

    MetricsRecorder(InferenceCoordinator.InferenceListener delegate, ServiceMetrics metrics, List<ModelGroup> groups,
            List<String> customerNames, double overQuotaValue) {
        this.delegate = delegate;
        this.metrics = metrics;
        this.customerNames = customerNames;
        this.overQuotaValue = overQuotaValue;
        groups.forEach(group -> groupIndexes.put(group, groupIndexes.size()));
        customerHashes = customerNames.stream().mapToLong(ModelCatalog::hash).map(MetricsRecorder::mixBits).toArray();
    }

    /** Mixes the bits of an FNV hash: its low bits alone would cluster in a hash table. */
    private static long mixBits(long hash) {
        long mixed = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
        return mixed ^ mixed >>> 32;
    }

    @Override
    public void onInferenceEnded(InferenceState inference, double now) {
        delegate.onInferenceEnded(inference, now);
        ModelGroup group = inference.modelGroup();
        FinalAnswer answer = inference.answer();
        ServiceMetrics.EndReason endReason = answer == null ? ServiceMetrics.EndReason.LEFT : switch (answer.kind()) {
            case RETURNED -> ServiceMetrics.EndReason.RETURNED;
            case SHED -> ServiceMetrics.EndReason.SHED;
            case FAILED -> ServiceMetrics.EndReason.FAILED;
        };
        double value = group.value() * (inference.isOverQuota() ? overQuotaValue : 1);
        // A streamed answer is in time if it started in time.
        double elapsed = (Double.isNaN(inference.answerStartedAt()) ? now : inference.answerStartedAt()) - inference.receivedAt();
        boolean inSlo = elapsed <= group.sloTime();
        double returnedValue = endReason != ServiceMetrics.EndReason.RETURNED ? 0 : inSlo ? value : value * group.lateValueFraction();
        metrics.recordInference(groupIndexes.get(group), customerNames.get(inference.customer()),
                customerHashes[inference.customer()],
                inference.modelName(), mixBits(inference.modelId()), endReason, value, returnedValue, inSlo, elapsed,
                inference.firstForwardSentAt() - inference.receivedAt(), inference.forwardCount());
    }

    @Override
    public void onRouterFailed(RuntimeException cause, String event, int endedInferences) {
        delegate.onRouterFailed(cause, event, endedInferences);
    }

    @Override
    public void onLogLine(String line) {
        delegate.onLogLine(line);
    }
}
