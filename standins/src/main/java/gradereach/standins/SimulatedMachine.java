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
    /** Capacity and limits of a machine; memory in MB, times in milliseconds. */
    record MachineConfig(double cores, double memoryMb, int maxQueuedJobs, int maxConcurrentLoads, double idleTimeoutMillis,
            double startFraction, double warmUpMillis, double overloadMultiple, double overloadWindowMillis) { }

    /** Properties of a model; memory in MB, times in milliseconds. */
    record ModelSpec(String name, String group, String retrySafety, double memoryMb, int lanes, double loadMillis, double workMillis) { }

    /** Receives the end of a job; {@code loadStatus} is the value of the protocol's {@code model-warmth} header. */
    interface JobListener {
        void onCompleted(String loadStatus, int concurrency);

        void onModelUnavailable(boolean loadFailed);

        void onQueueFull();
    }

    /** One inference; {@code work} and {@code remainingWork} are milliseconds on an unshared core. */
    final class Job {
        final JobListener listener;
        final double work;
        final HostedModel model;
        final int concurrency;
        String loadStatus = "loaded";
        double remainingWork;
        boolean running;

        Job(JobListener listener, double work, HostedModel model, int concurrency) {
            this.listener = listener;
            this.work = work;
            this.remainingWork = work;
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

    /** A load order that waits until {@code copies} copies are loaded or a load fails. */
    private record PendingLoadOrder(int copies, BiConsumer<Integer, Integer> answer) { }

    private final EventLoop loop;
    private final MachineConfig config;
    private final SimulatedModelStore modelStore;
    private final Consumer<String> eventSink;
    private final Map<String, HostedModel> hostedModels = new LinkedHashMap<>();
    private final List<Job> runningJobs = new ArrayList<>();
    private final ArrayDeque<HostedModel> loadQueue = new ArrayDeque<>();
    /** Arrival time and usual work of each inference within the overload window. */
    private final ArrayDeque<double[]> recentWork = new ArrayDeque<>();
    private double recentWorkSum;
    private int activeLoads;
    private double advancedAt;
    private ScheduledFuture<?> nextCompletion;
    private final double startedAt;
    double slowdown = 1;
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

    static double now() {
        return System.nanoTime() / 1e6;
    }

    private double capacityFraction(double at) {
        return config.warmUpMillis <= 0 ? 1
                : Math.min(1, config.startFraction + (1 - config.startFraction) * (at - startedAt) / config.warmUpMillis);
    }

    // ---- work --------------------------------------------------------------------------------------------

    /** Adds the usual work of the model to the recent load of a cold machine, even if the inference is rejected later. */
    private void recordRecentWork(ModelSpec spec) {
        double now = now();
        if (capacityFraction(now) >= 1) {
            return;
        }
        recentWork.add(new double[] {now, spec.workMillis});
        recentWorkSum += spec.workMillis;
        while (recentWork.peek()[0] < now - config.overloadWindowMillis) {
            recentWorkSum -= recentWork.poll()[1];
        }
        if (config.overloadMultiple > 0
                && recentWorkSum > config.overloadMultiple * capacityFraction(now) * config.cores * config.overloadWindowMillis) {
            overloaded = true;
            eventSink.accept("fell");
        }
    }

    void submit(ModelSpec spec, double work, JobListener listener) {
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
        Job job = new Job(listener, work, hosted, hosted.runningJobs + hosted.queue.size());
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

    private double workRate(double at) {
        if (runningJobs.isEmpty() || at < stalledUntil) {
            return 0;
        }
        return Math.min(1, config.cores * capacityFraction(at) / runningJobs.size()) / slowdown;
    }

    private void advance() {
        double now = now();
        double from = Math.max(advancedAt, Math.min(now, stalledUntil));
        double done = (now - from) * workRate(now);
        for (Job job : runningJobs) {
            job.remainingWork -= done;
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
        double leastRemaining = Double.POSITIVE_INFINITY;
        for (Job job : runningJobs) {
            leastRemaining = Math.min(leastRemaining, job.remainingWork);
        }
        double now = now();
        double rate = workRate(now);
        // The rate changes during a stall or a warm-up, so check again within 20 ms then.
        double delayMillis = rate == 0 ? 20 : leastRemaining / rate;
        delayMillis = capacityFraction(now) < 1 ? Math.min(20, delayMillis) : delayMillis;
        nextCompletion = loop.schedule(this::completeFinishedJobs, (long) (Math.max(0.05, delayMillis) * 1000), TimeUnit.MICROSECONDS);
    }

    void completeFinishedJobs() {
        advance();
        List<Job> finished = new ArrayList<>();
        for (Job job : runningJobs) {
            if (job.remainingWork <= 1e-6) {
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
            if (loadQueue.size() >= 2 * config.maxConcurrentLoads || !makeRoom(spec.memoryMb())) {
                answer.accept(503, hosted.copies);
                return;
            }
            hosted.loadingCopies++;
            loadQueue.add(hosted);
        }
        hosted.pendingLoadOrders.add(new PendingLoadOrder(copies, answer));
        startQueuedLoads();
    }

    private boolean makeRoom(double requiredMb) {
        while (usedMemory() + requiredMb > config.memoryMb) {
            HostedModel oldest = null;
            for (HostedModel hosted : hostedModels.values()) {
                boolean idle = hosted.copies > 0 && hosted.runningJobs < hosted.copies * hosted.spec.lanes() && hosted.runningJobs == 0;
                if (idle && (oldest == null || hosted.lastUsedAt < oldest.lastUsedAt)) {
                    oldest = hosted;
                }
            }
            if (oldest == null) {
                return false;
            }
            oldest.copies--;
        }
        return true;
    }

    private double usedMemory() {
        double sum = 0;
        for (HostedModel hosted : hostedModels.values()) {
            sum += (hosted.copies + hosted.loadingCopies) * hosted.spec.memoryMb();
        }
        return sum;
    }

    private void startQueuedLoads() {
        while (activeLoads < config.maxConcurrentLoads && !loadQueue.isEmpty()) {
            HostedModel hosted = loadQueue.poll();
            // Half of the load time is the fetch from the store, half the start of the copy.
            double fetch = modelStore.startFetch(hosted.spec.loadMillis() / 2);
            if (fetch < 0) {
                loadFinished(hosted, false);
                continue;
            }
            activeLoads++;
            loop.schedule(() -> {
                modelStore.endFetch();
                loop.schedule(() -> {
                    activeLoads--;
                    loadFinished(hosted, true);
                    startQueuedLoads();
                }, (long) (hosted.spec.loadMillis() / 2 * slowdown), TimeUnit.MILLISECONDS);
            }, (long) fetch, TimeUnit.MILLISECONDS);
        }
    }

    private void loadFinished(HostedModel hosted, boolean ok) {
        hosted.loadingCopies = Math.max(0, hosted.loadingCopies - 1);
        hosted.copies += ok ? 1 : 0;
        hosted.lastUsedAt = now();
        for (PendingLoadOrder order : List.copyOf(hosted.pendingLoadOrders)) {
            boolean ready = hosted.copies >= order.copies;
            if (ready || hosted.copies + hosted.loadingCopies < order.copies) {
                hosted.pendingLoadOrders.remove(order);
                order.answer.accept(ready ? 200 : 500, hosted.copies);
            }
        }
        if (hosted.copies + hosted.loadingCopies == 0) {
            for (Job job; (job = hosted.queue.poll()) != null;) {
                job.listener.onModelUnavailable(true);
            }
        }
        startQueuedJobs(hosted);
    }

    void unloadIdle(String model) {
        HostedModel hosted = hostedModels.get(model);
        if (hosted != null) {
            hosted.copies = Math.min(hosted.copies, (int) Math.ceil((double) hosted.runningJobs / hosted.spec.lanes()));
        }
    }

    /** Unloads the idle copies of a fraction of the models, like a new release of these models. */
    void unloadIdleFraction(double fraction) {
        int n = 0;
        for (HostedModel hosted : hostedModels.values()) {
            if (n++ < hostedModels.size() * fraction) {
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
