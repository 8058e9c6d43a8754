package gradereach.standins;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Simulates how an executor hosts models and runs inferences: the lanes of all copies share the cores, copies are loaded
 * through the model store and evicted when idle, and a cold machine crashes when it is overloaded. Independent of the
 * protocol; used by one event loop only.
 */
final class SimulatedMachine {
    /**
     * Capacity and limits of a machine; memory in MB, times in milliseconds.
     *
     * @param maxQueuedJobs inferences that may wait for the lanes of one model
     * @param idleTimeoutMillis time without use after which a copy is evicted
     * @param startFraction fraction of its capacity that a cold machine has at its start
     * @param warmUpMillis time until a cold machine has its full capacity; 0 if it has it from the start
     * @param overloadMultiple multiple of the current capacity at which a cold machine crashes; 0 for never
     * @param overloadWindowMillis window within which the arriving work is compared with the capacity
     */
    record MachineConfig(double cores, double memoryMb, int maxQueuedJobs, int maxConcurrentLoads, double idleTimeoutMillis,
            double startFraction, double warmUpMillis, double overloadMultiple, double overloadWindowMillis) { }

    /** Properties of a model; memory in MB, times in milliseconds. */
    record ModelSpec(String name, String group, String retrySafety, double memoryMb, int lanes, double loadMillis, double workMillis) { }

    /** Receives the end of a job. */
    interface JobListener {
        /**
         * @param loadStatus value of the protocol's {@code model-warmth} header
         * @param concurrency number of other inferences of the model when this one arrived
         */
        void onCompleted(String loadStatus, int concurrency);

        void onModelUnavailable(boolean loadFailed);

        void onQueueFull();
    }

    /** One inference; its work is measured in milliseconds on an unshared core. */
    final class Job {
        final JobListener listener;
        final double workMillis;
        final HostedModel model;
        final int concurrency;
        String loadStatus = "loaded";
        double remainingWorkMillis;
        boolean running;

        Job(JobListener listener, double workMillis, HostedModel model, int concurrency) {
            this.listener = listener;
            this.workMillis = workMillis;
            this.remainingWorkMillis = workMillis;
            this.model = model;
            this.concurrency = concurrency;
        }
    }

    /** The copies, jobs and pending load orders of one model. */
    private static final class HostedModel {
        final ModelSpec spec;
        int copies;
        int loadingCopies;
        int runningJobs;
        double lastUsedAt;
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        final List<PendingLoadOrder> pendingLoadOrders = new ArrayList<>();

        HostedModel(ModelSpec spec) {
            this.spec = spec;
        }
    }

    /** A load order that waits until {@code requiredCopies} copies are loaded or a load fails. */
    private record PendingLoadOrder(int requiredCopies, BiConsumer<Integer, Integer> answer) { }

    private final EventLoop loop;
    private final MachineConfig config;
    private final SimulatedModelStore modelStore;
    /** Receives the transcript event of a crash. */
    private final Consumer<String> eventSink;
    private final Map<String, HostedModel> hostedModels = new LinkedHashMap<>();
    private final List<Job> runningJobs = new ArrayList<>();
    private final ArrayDeque<HostedModel> loadQueue = new ArrayDeque<>();
    /** Arrival time and usual work, both in milliseconds, of each inference within the overload window. */
    private final ArrayDeque<double[]> recentWork = new ArrayDeque<>();
    private double recentWorkMillis;
    private int activeLoads;
    /** Time up to which the work of the running jobs has been counted. */
    private double advancedAt;
    private ScheduledFuture<?> nextCompletion;
    private final double startedAt;
    /** Factor by which work and loads take longer than usual. */
    double slowdown = 1;
    /** Time of {@link #now} until which no work is done. */
    double stalledUntil;
    boolean overloaded;

    /** @param cold whether the machine has just started; false for one that has been running for long */
    SimulatedMachine(EventLoop loop, MachineConfig config, SimulatedModelStore modelStore, boolean cold, Consumer<String> eventSink) {
        this.loop = loop;
        this.config = config;
        this.modelStore = modelStore;
        this.eventSink = eventSink;
        advancedAt = now();
        startedAt = cold ? advancedAt : advancedAt - config.warmUpMillis - 1;
        loop.scheduleWithFixedDelay(this::evictIdleCopies, 200, 200, TimeUnit.MILLISECONDS);
    }

    /** Milliseconds of the monotonic clock. */
    static double now() {
        return System.nanoTime() / 1e6;
    }

    private double capacityFraction(double time) {
        return config.warmUpMillis <= 0 ? 1
                : Math.min(1, config.startFraction + (1 - config.startFraction) * (time - startedAt) / config.warmUpMillis);
    }

    // ---- work --------------------------------------------------------------------------------------------

    /** Adds the usual work of the model to the recent load of a cold machine, even if the inference is rejected later. */
    private void recordRecentWork(ModelSpec spec) {
        double now = now();
        if (capacityFraction(now) >= 1) {
            return;
        }
        recentWork.add(new double[] {now, spec.workMillis});
        recentWorkMillis += spec.workMillis;
        while (recentWork.peek()[0] < now - config.overloadWindowMillis) {
            recentWorkMillis -= recentWork.poll()[1];
        }
        if (config.overloadMultiple > 0
                && recentWorkMillis > config.overloadMultiple * capacityFraction(now) * config.cores
                * config.overloadWindowMillis) {
            overloaded = true;
            eventSink.accept("fell");
        }
    }

    void submit(ModelSpec spec, double workMillis, JobListener listener) {
        recordRecentWork(spec);
        HostedModel hosted = hostedModels.get(spec.name());
        if (hosted == null || hosted.copies + hosted.loadingCopies == 0) {
            listener.onModelUnavailable(false);
            return;
        }
        if (hosted.queue.size() >= config.maxQueuedJobs) {
            listener.onQueueFull();
            return;
        }
        Job job = new Job(listener, workMillis, hosted, hosted.runningJobs + hosted.queue.size());
        job.loadStatus = hosted.copies > 0 ? "loaded" : "waited-for-load";
        hosted.queue.add(job);
        startQueuedJobs(hosted);
    }

    private void startQueuedJobs(HostedModel hosted) {
        advance();
        while (!hosted.queue.isEmpty() && hosted.runningJobs < hosted.copies * hosted.spec.lanes()) {
            Job job = hosted.queue.poll();
            job.running = true;
            hosted.runningJobs++;
            hosted.lastUsedAt = now();
            runningJobs.add(job);
        }
        scheduleNextCompletion();
    }

    /** Work done for each running job, in milliseconds of work per millisecond. */
    private double workRate(double time) {
        if (runningJobs.isEmpty() || time < stalledUntil) {
            return 0;
        }
        return Math.min(1, config.cores * capacityFraction(time) / runningJobs.size()) / slowdown;
    }

    /** Subtracts the work done since the last call from the remaining work of the running jobs. */
    private void advance() {
        double now = now();
        double runningSince = Math.max(advancedAt, Math.min(now, stalledUntil));
        double doneMillis = (now - runningSince) * workRate(now);
        for (Job job : runningJobs) {
            job.remainingWorkMillis -= doneMillis;
        }
        advancedAt = now;
    }

    private void scheduleNextCompletion() {
        if (nextCompletion != null) {
            nextCompletion.cancel(false);
            nextCompletion = null;
        }
        if (runningJobs.isEmpty()) {
            return;
        }
        double leastRemainingMillis = Double.POSITIVE_INFINITY;
        for (Job job : runningJobs) {
            leastRemainingMillis = Math.min(leastRemainingMillis, job.remainingWorkMillis);
        }
        double now = now();
        double rate = workRate(now);
        // The rate changes during a stall or a warm-up, so check again within 20 ms then.
        double delayMillis = rate == 0 ? 20 : leastRemainingMillis / rate;
        delayMillis = capacityFraction(now) < 1 ? Math.min(20, delayMillis) : delayMillis;
        nextCompletion = loop.schedule(this::completeFinishedJobs, (long) (Math.max(0.05, delayMillis) * 1000), TimeUnit.MICROSECONDS);
    }

    void completeFinishedJobs() {
        advance();
        List<Job> finished = new ArrayList<>();
        for (Job job : runningJobs) {
            if (job.remainingWorkMillis <= 1e-6) {
                finished.add(job);
            }
        }
        runningJobs.removeAll(finished);
        for (Job job : finished) {
            job.model.runningJobs--;
            job.model.lastUsedAt = now();
            job.listener.onCompleted(job.loadStatus, job.concurrency);
        }
        for (Job job : finished) {
            startQueuedJobs(job.model);
        }
        scheduleNextCompletion();
    }

    // ---- copies ------------------------------------------------------------------------------------------

    /** Loads missing copies; {@code answer} receives an HTTP status and the number of loaded copies. */
    void ensureLoaded(ModelSpec spec, int copies, BiConsumer<Integer, Integer> answer) {
        HostedModel hosted = hostedModels.computeIfAbsent(spec.name(), n -> new HostedModel(spec));
        if (copies == 0) {
            answer.accept(200, hosted.copies);
            return;
        }
        hosted.lastUsedAt = now();
        if (hosted.copies >= copies) {
            answer.accept(200, hosted.copies);
            return;
        }
        while (hosted.copies + hosted.loadingCopies < copies) {
            if (loadQueue.size() >= 2 * config.maxConcurrentLoads || !evictUntilFree(spec.memoryMb())) {
                answer.accept(503, hosted.copies);
                return;
            }
            hosted.loadingCopies++;
            loadQueue.add(hosted);
        }
        hosted.pendingLoadOrders.add(new PendingLoadOrder(copies, answer));
        startQueuedLoads();
    }

    /** Evicts the least recently used idle copies until the required memory is free; returns false if that is impossible. */
    private boolean evictUntilFree(double requiredMb) {
        while (usedMemoryMb() + requiredMb > config.memoryMb) {
            HostedModel leastRecentlyUsed = null;
            for (HostedModel hosted : hostedModels.values()) {
                boolean idle = hosted.copies > 0 && hosted.runningJobs < hosted.copies * hosted.spec.lanes() && hosted.runningJobs == 0;
                if (idle && (leastRecentlyUsed == null || hosted.lastUsedAt < leastRecentlyUsed.lastUsedAt)) {
                    leastRecentlyUsed = hosted;
                }
            }
            if (leastRecentlyUsed == null) {
                return false;
            }
            leastRecentlyUsed.copies--;
        }
        return true;
    }

    private double usedMemoryMb() {
        double usedMb = 0;
        for (HostedModel hosted : hostedModels.values()) {
            usedMb += (hosted.copies + hosted.loadingCopies) * hosted.spec.memoryMb();
        }
        return usedMb;
    }

    private void startQueuedLoads() {
        while (activeLoads < config.maxConcurrentLoads && !loadQueue.isEmpty()) {
            HostedModel hosted = loadQueue.poll();
            // Half of the load time is the fetch from the store, half the start of the copy.
            double fetchMillis = modelStore.startFetch(hosted.spec.loadMillis() / 2);
            if (fetchMillis < 0) {
                finishLoad(hosted, false);
                continue;
            }
            activeLoads++;
            loop.schedule(() -> {
                modelStore.endFetch();
                loop.schedule(() -> {
                    activeLoads--;
                    finishLoad(hosted, true);
                    startQueuedLoads();
                }, (long) (hosted.spec.loadMillis() / 2 * slowdown), TimeUnit.MILLISECONDS);
            }, (long) fetchMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void finishLoad(HostedModel hosted, boolean succeeded) {
        hosted.loadingCopies = Math.max(0, hosted.loadingCopies - 1);
        hosted.copies += succeeded ? 1 : 0;
        hosted.lastUsedAt = now();
        for (PendingLoadOrder order : List.copyOf(hosted.pendingLoadOrders)) {
            boolean sufficient = hosted.copies >= order.requiredCopies;
            if (sufficient || hosted.copies + hosted.loadingCopies < order.requiredCopies) {
                hosted.pendingLoadOrders.remove(order);
                order.answer.accept(sufficient ? 200 : 500, hosted.copies);
            }
        }
        if (hosted.copies + hosted.loadingCopies == 0) {
            for (Job job; (job = hosted.queue.poll()) != null;) {
                job.listener.onModelUnavailable(true);
            }
        }
        startQueuedJobs(hosted);
    }

    /** Unloads the copies of a model that its running jobs do not need. */
    void unloadIdle(String model) {
        HostedModel hosted = hostedModels.get(model);
        if (hosted != null) {
            hosted.copies = Math.min(hosted.copies, (int) Math.ceil((double) hosted.runningJobs / hosted.spec.lanes()));
        }
    }

    /** Unloads the idle copies of a fraction of the models, like a new release of these models. */
    void unloadIdleFraction(double fraction) {
        int index = 0;
        for (HostedModel hosted : hostedModels.values()) {
            if (index++ < hostedModels.size() * fraction) {
                unloadIdle(hosted.spec.name());
            }
        }
    }

    private void evictIdleCopies() {
        double now = now();
        for (HostedModel hosted : hostedModels.values()) {
            if (hosted.copies > 0 && hosted.runningJobs == 0 && hosted.queue.isEmpty()
                    && now - hosted.lastUsedAt >= config.idleTimeoutMillis) {
                hosted.copies--;
            }
        }
    }

    // ---- reports -----------------------------------------------------------------------------------------

    /** Load report in the text format of ORCA. */
    String loadReport() {
        int queued = 0;
        for (HostedModel hosted : hostedModels.values()) {
            queued += hosted.queue.size();
        }
        return "TEXT cpu_utilization=" + Math.min(1, runningJobs.size() / config.cores) + ",named_metrics.in_flight="
                + (runningJobs.size() + queued) + ",named_metrics.queued=" + queued + ",named_metrics.loads="
                + (activeLoads + loadQueue.size());
    }
}
