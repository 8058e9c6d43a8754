package gradereach.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * What an executor does with models and work: copies with lanes that share cores, loads through the store, idle
 * copies that lapse, a cold start that falls over when pushed. Of one event loop; knows no protocol.
 */
final class SimulatedMachine {
    /** One kind of machine; memory in MB, times in milliseconds. */
    record MachineConfig(double cores, double memoryMb, int maxQueuedJobs, int maxConcurrentLoads, double idleTimeoutMillis, double startFraction,
            double warmUpMillis, double overloadMultiple, double overloadWindowMillis) { }

    /** What is to be known of a model. */
    record ModelSpec(String name, String group, String retrySafety, double memoryMb, int lanes, double loadMillis, double workMillis) { }

    /** How a job ended; {@code warmth} as the protocol has it. */
    interface JobListener {
        void onCompleted(String warmth, int crowd);

        void onModelUnavailable(boolean loadFailed);

        void onQueueFull();
    }

    final class Job {
        final JobListener listener;
        final double work;
        final HostedModel model;
        final int concurrency;
        String loadStatus = "loaded";
        double remainingWork;
        boolean running;

        Job(JobListener end, double work, HostedModel held, int crowd) {
            this.listener = end;
            this.work = work;
            this.remainingWork = work;
            this.model = held;
            this.concurrency = crowd;
        }
    }

    /** One model here. */
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

    private record PendingLoadOrder(int copies, BiConsumer<Integer, Integer> answer) { }

    private final EventLoop loop;
    private final MachineConfig kind;
    private final SimulatedModelStore store;
    private final Consumer<String> eventSink;
    private final Map<String, HostedModel> hostedModels = new LinkedHashMap<>();
    private final List<Job> runningJobs = new ArrayList<>();
    private final ArrayDeque<HostedModel> loadQueue = new ArrayDeque<>();
    private final ArrayDeque<double[]> recentWork = new ArrayDeque<>();
    private double recentWorkSum;
    private int activeLoads;
    private double advancedAt;
    private ScheduledFuture<?> nextCompletion;
    private final double startedAt;
    double slowdown = 1;
    double stalledUntil;
    boolean overloaded;

    /** {@code cold} false for one that has run for long. */
    SimulatedMachine(EventLoop loop, MachineConfig kind, SimulatedModelStore store, boolean cold, Consumer<String> tells) {
        this.loop = loop;
        this.kind = kind;
        this.store = store;
        this.eventSink = tells;
        advancedAt = now();
        startedAt = cold ? advancedAt : advancedAt - kind.warmUpMillis - 1;
        loop.scheduleWithFixedDelay(this::evictIdleCopies, 200, 200, TimeUnit.MILLISECONDS);
    }

    static double now() {
        return System.nanoTime() / 1e6;
    }

    private double capacityFraction(double at) {
        return kind.warmUpMillis <= 0 ? 1
                : Math.min(1, kind.startFraction + (1 - kind.startFraction) * (at - startedAt) / kind.warmUpMillis);
    }

    // ---- work --------------------------------------------------------------------------------------------

    /** The work that the model's inferences usually take counts against a cold machine, whatever becomes of them. */
    private void recordRecentWork(ModelSpec spec) {
        double now = now();
        if (capacityFraction(now) >= 1) {
            return;
        }
        recentWork.add(new double[] {now, spec.workMillis});
        recentWorkSum += spec.workMillis;
        while (recentWork.peek()[0] < now - kind.overloadWindowMillis) {
            recentWorkSum -= recentWork.poll()[1];
        }
        if (kind.overloadMultiple > 0 && recentWorkSum > kind.overloadMultiple * capacityFraction(now) * kind.cores * kind.overloadWindowMillis) {
            overloaded = true;
            eventSink.accept("fell");
        }
    }

    void submit(ModelSpec spec, double work, JobListener end) {
        recordRecentWork(spec);
        HostedModel h = hostedModels.get(spec.name());
        if (h == null || h.copies + h.loadingCopies == 0) {
            end.onModelUnavailable(false);
            return;
        }
        if (h.queue.size() >= kind.maxQueuedJobs) {
            end.onQueueFull();
            return;
        }
        Job job = new Job(end, work, h, h.runningJobs + h.queue.size());
        job.loadStatus = h.copies > 0 ? "loaded" : "waited-for-load";
        h.queue.add(job);
        startQueuedJobs(h);
    }

    private void startQueuedJobs(HostedModel h) {
        advance();
        while (!h.queue.isEmpty() && h.runningJobs < h.copies * h.spec.lanes()) {
            Job job = h.queue.poll();
            job.running = true;
            h.runningJobs++;
            h.lastUsedAt = now();
            runningJobs.add(job);
        }
        scheduleNextCompletion();
    }

    private double workRate(double at) {
        if (runningJobs.isEmpty() || at < stalledUntil) {
            return 0;
        }
        return Math.min(1, kind.cores * capacityFraction(at) / runningJobs.size()) / slowdown;
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
        double least = Double.POSITIVE_INFINITY;
        for (Job job : runningJobs) {
            least = Math.min(least, job.remainingWork);
        }
        double now = now();
        double rate = workRate(now);
        // A stall or a warming machine changes the pace: looked at again in 20 ms at the latest then.
        double in = rate == 0 ? 20 : least / rate;
        in = capacityFraction(now) < 1 ? Math.min(20, in) : in;
        nextCompletion = loop.schedule(this::completeFinishedJobs, (long) (Math.max(0.05, in) * 1000), TimeUnit.MICROSECONDS);
    }

    void completeFinishedJobs() {
        advance();
        List<Job> ended = new ArrayList<>();
        for (Job job : runningJobs) {
            if (job.remainingWork <= 1e-6) {
                ended.add(job);
            }
        }
        runningJobs.removeAll(ended);
        for (Job job : ended) {
            job.model.runningJobs--;
            job.model.lastUsedAt = now();
            job.listener.onCompleted(job.loadStatus, job.concurrency);
        }
        for (Job job : ended) {
            startQueuedJobs(job.model);
        }
        scheduleNextCompletion();
    }

    // ---- copies ------------------------------------------------------------------------------------------

    /** {@code answer} gets an HTTP status and the copies that stand. */
    void ensureLoaded(ModelSpec spec, int copies, BiConsumer<Integer, Integer> answer) {
        HostedModel h = hostedModels.computeIfAbsent(spec.name(), n -> new HostedModel(spec));
        if (copies == 0) {
            answer.accept(200, h.copies);
            return;
        }
        h.lastUsedAt = now();
        if (h.copies >= copies) {
            answer.accept(200, h.copies);
            return;
        }
        while (h.copies + h.loadingCopies < copies) {
            if (loadQueue.size() >= 2 * kind.maxConcurrentLoads || !makeRoom(spec.memoryMb())) {
                answer.accept(503, h.copies);
                return;
            }
            h.loadingCopies++;
            loadQueue.add(h);
        }
        h.pendingLoadOrders.add(new PendingLoadOrder(copies, answer));
        startQueuedLoads();
    }

    private boolean makeRoom(double memory) {
        while (usedMemory() + memory > kind.memoryMb) {
            HostedModel oldest = null;
            for (HostedModel h : hostedModels.values()) {
                boolean idle = h.copies > 0 && h.runningJobs < h.copies * h.spec.lanes() && h.runningJobs == 0;
                if (idle && (oldest == null || h.lastUsedAt < oldest.lastUsedAt)) {
                    oldest = h;
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
        for (HostedModel h : hostedModels.values()) {
            sum += (h.copies + h.loadingCopies) * h.spec.memoryMb();
        }
        return sum;
    }

    private void startQueuedLoads() {
        while (activeLoads < kind.maxConcurrentLoads && !loadQueue.isEmpty()) {
            HostedModel h = loadQueue.poll();
            // Half of a load is the fetch from the store, half the start.
            double fetch = store.startFetch(h.spec.loadMillis() / 2);
            if (fetch < 0) {
                loadFinished(h, false);
                continue;
            }
            activeLoads++;
            loop.schedule(() -> {
                store.endFetch();
                loop.schedule(() -> {
                    activeLoads--;
                    loadFinished(h, true);
                    startQueuedLoads();
                }, (long) (h.spec.loadMillis() / 2 * slowdown), TimeUnit.MILLISECONDS);
            }, (long) fetch, TimeUnit.MILLISECONDS);
        }
    }

    private void loadFinished(HostedModel h, boolean ok) {
        h.loadingCopies = Math.max(0, h.loadingCopies - 1);
        h.copies += ok ? 1 : 0;
        h.lastUsedAt = now();
        for (PendingLoadOrder wish : List.copyOf(h.pendingLoadOrders)) {
            boolean stands = h.copies >= wish.copies;
            if (stands || h.copies + h.loadingCopies < wish.copies) {
                h.pendingLoadOrders.remove(wish);
                wish.answer.accept(stands ? 200 : 500, h.copies);
            }
        }
        if (h.copies + h.loadingCopies == 0) {
            for (Job job; (job = h.queue.poll()) != null;) {
                job.listener.onModelUnavailable(true);
            }
        }
        startQueuedJobs(h);
    }

    void unloadIdle(String model) {
        HostedModel h = hostedModels.get(model);
        if (h != null) {
            h.copies = Math.min(h.copies, (int) Math.ceil((double) h.runningJobs / h.spec.lanes()));
        }
    }

    /** A new release: idle copies of a share of the models are void. */
    void flush(double part) {
        int n = 0;
        for (HostedModel h : hostedModels.values()) {
            if (n++ < hostedModels.size() * part) {
                unloadIdle(h.spec.name());
            }
        }
    }

    private void evictIdleCopies() {
        double now = now();
        for (HostedModel h : hostedModels.values()) {
            if (h.copies > 0 && h.runningJobs == 0 && h.queue.isEmpty() && now - h.lastUsedAt >= kind.idleTimeoutMillis) {
                h.copies--;
            }
        }
    }

    // ---- reports -----------------------------------------------------------------------------------------

    String loadReport() {
        int queued = 0;
        for (HostedModel h : hostedModels.values()) {
            queued += h.queue.size();
        }
        return "TEXT cpu_utilization=" + Math.min(1, runningJobs.size() / kind.cores) + ",named_metrics.in_flight="
                + (runningJobs.size() + queued) + ",named_metrics.queued=" + queued + ",named_metrics.loads="
                + (activeLoads + loadQueue.size());
    }
}
