package gradereach.serve;

import gradereach.api.ModelGroup;
import gradereach.desk.ModelCatalog;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceState;
import gradereach.measures.ServiceMetrics;
import gradereach.message.FinalAnswer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Passes the end of each inference on to another listener, then records it in the metrics. Runs on the decision thread. */
final class MetricsRecorder implements InferenceCoordinator.InferenceListener {
    private final InferenceCoordinator.InferenceListener delegate;
    private final ServiceMetrics service;
    private final Map<ModelGroup, Integer> groups = new HashMap<>();
    private final List<String> customers;
    private final long[] customerHashes;
    private final double surplusValue;

    MetricsRecorder(InferenceCoordinator.InferenceListener log, ServiceMetrics service, List<ModelGroup> groups, List<String> customers, double surplusValue) {
        this.delegate = log;
        this.service = service;
        this.customers = customers;
        this.surplusValue = surplusValue;
        groups.forEach(group -> this.groups.put(group, this.groups.size()));
        customerHashes = customers.stream().mapToLong(ModelCatalog::hash).map(MetricsRecorder::mixBits).toArray();
    }

    /** Mixes the bits of an FNV hash: its low bits alone would cluster in a hash table. */
    private static long mixBits(long hash) {
        long h = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
        return h ^ h >>> 32;
    }

    @Override
    public void onInferenceEnded(InferenceState life, double now) {
        delegate.onInferenceEnded(life, now);
        ModelGroup group = life.modelGroup();
        FinalAnswer answer = life.answer();
        ServiceMetrics.EndReason end = answer == null ? ServiceMetrics.EndReason.LEFT : switch (answer.kind()) {
            case RETURNED -> ServiceMetrics.EndReason.RETURNED;
            case SHED -> ServiceMetrics.EndReason.SHED;
            case FAILED -> ServiceMetrics.EndReason.FAILED;
        };
        double value = group.value() * (life.overQuota() ? surplusValue : 1);
        // A streamed answer is in time if it started in time.
        double took = (Double.isNaN(life.answerStartedAt()) ? now : life.answerStartedAt()) - life.acceptedAt();
        boolean inSlo = took <= group.sloTime();
        double worth = end != ServiceMetrics.EndReason.RETURNED ? 0 : inSlo ? value : value * group.lateValueFraction();
        service.recordInference(groups.get(group), customers.get(life.customer()), customerHashes[life.customer()], life.modelName(),
                mixBits(life.modelId()), end, value, worth, inSlo, took, life.firstForwardSentAt() - life.acceptedAt(), life.forwardCount());
    }

    @Override
    public void onRouterFailed(RuntimeException why, String during, int inferences) {
        delegate.onRouterFailed(why, during, inferences);
    }

    @Override
    public void onLogLine(String line) {
        delegate.onLogLine(line);
    }
}
