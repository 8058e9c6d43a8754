package gradereach.loop;

import gradereach.counts.Counts;
import gradereach.delay.AnswerDelay;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.Timers;
import java.lang.invoke.VarHandle;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import org.agrona.DeadlineTimerWheel;
import org.agrona.collections.Long2ObjectHashMap;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscUnboundedArrayQueue;

/**
 * The decision thread: the one thread that owns an {@link InferenceCoordinator} and its router. All events that are handled in
 * one iteration form one event batch and have the same time.
 *
 * <p>Other threads pass events to it through two queues. New messages go through a bounded queue, which rejects them when it is
 * full. All other events go through an unbounded queue, for instance disconnects of clients, roster updates and results of
 * requests that the coordinator sent. It never holds more such results than there are forwards, load orders and probes in flight.
 */
public final class DecisionLoop implements Timers, AutoCloseable {
    /** About 2 ms of work, so that timers stay on time under any load. */
    private static final int MAX_EVENTS_PER_BATCH = 512;
    /** A quarter of the shortest router tick in use, so that timers fire within one such tick. */
    private static final long WHEEL_TICK_MICROS = 256;
    private static final int WHEEL_TICKS = 8192; // one revolution takes two seconds, and most timers end within it
    /** Also the length of every sleep while many timers are set, since the wheel does not know which of them fires next. */
    private static final long MIN_SLEEP_NANOS = 500_000;
    private static final long MAX_SLEEP_NANOS = 50_000_000;
    /** Number of timers up to which they are scanned for the next one before a sleep; an idle front end has a handful. */
    private static final int MAX_TIMERS_TO_SCAN = 32;
    /** Checks of the queues before a sleep: about ten microseconds, less than waking a thread costs. */
    private static final int SPINS_BEFORE_SLEEP = 200;
    private static final double SLOW_BATCH_MILLIS = 10; // a few of the router's ticks

    private final MonotonicClock clock;
    private final MpscArrayQueue<Consumer<InferenceCoordinator>> messageQueue;
    private final MpscUnboundedArrayQueue<Consumer<InferenceCoordinator>> postedEvents = new MpscUnboundedArrayQueue<>(4096);
    private final Counts.Limit messageQueueLimit;
    private final LongAdder batches;
    private final LongAdder slowBatches;
    private final LongAdder wakeUps;
    private final LongAdder eventsHandled;
    private final DeadlineTimerWheel wheel;
    /** Set timers by their id in the wheel. */
    private final Long2ObjectHashMap<Timer> timers = new Long2ObjectHashMap<>();
    private final List<Timer> dueTimers = new ArrayList<>();
    private final InferenceCoordinator coordinator;
    private final Thread thread;
    /** The thread sleeps or is about to, so that whoever queues an event has to wake it. */
    private volatile boolean asleep;
    private volatile boolean stopping;
    private volatile Throwable fatalError;
    private volatile Consumer<Throwable> failureListener = failure -> { };
    private final LongAdder eventFailures;

    /** A timer that fires for {@code target} at {@code dueAt}, monotonic time in milliseconds. */
    private record Timer(double dueAt, Object target) { }

    /**
     * Creates the loop and its coordinator; {@link #start} starts the thread.
     *
     * @param name suffix of the thread's name
     * @param messageCapacity how many messages may wait in the bounded queue
     * @param coordinatorFactory creates the coordinator with this loop's timers
     */
    public DecisionLoop(String name, MonotonicClock clock, int messageCapacity, Counts counts,
            Function<Timers, InferenceCoordinator> coordinatorFactory) {
        this.clock = clock;
        messageQueue = new MpscArrayQueue<>(Math.max(4, messageCapacity));
        messageQueueLimit = counts.limit("messages_at_the_door", messageQueue.capacity());
        batches = counts.counter("decision_turns");
        slowBatches = counts.counter("decision_turns_slow");
        wakeUps = counts.counter("decision_wake_ups");
        eventsHandled = counts.counter("decision_events");
        eventFailures = counts.counter("event_failures");
        wheel = new DeadlineTimerWheel(TimeUnit.MICROSECONDS, toMicros(clock.now()), WHEEL_TICK_MICROS, WHEEL_TICKS);
        this.coordinator = coordinatorFactory.apply(this);
        thread = new Thread(this::run, "decisions-" + name);
        thread.setDaemon(true);
    }

    /** Runs {@code work} on the coordinator before the thread is started; messages may already be queued. */
    public void runBeforeStart(Consumer<InferenceCoordinator> work) {
        if (thread.isAlive()) {
            throw new IllegalStateException("the decision thread has been started");
        }
        work.accept(coordinator);
    }

    /** Starts the decision thread. */
    public void start() {
        thread.start();
    }

    /** Queues a new message. Returns false if the queue is full; the message was not accepted then and must be shed. */
    public boolean offer(Consumer<InferenceCoordinator> event) {
        if (!messageQueue.offer(event)) {
            messageQueueLimit.recordRejection();
            return false;
        }
        wakeUp();
        return true;
    }

    /** Queues any other event, such as the result of a request that the coordinator sent or a roster update; never rejected. */
    public void post(Consumer<InferenceCoordinator> event) {
        postedEvents.offer(event);
        wakeUp();
    }

    private void wakeUp() {
        // The queued event must be visible before the flag is read, or the thread could go to sleep without having seen it.
        VarHandle.fullFence();
        if (asleep) {
            LockSupport.unpark(thread);
        }
    }

    /** The recent delay of answers, to which other threads report what they measure. May be called from any thread. */
    public AnswerDelay answerDelay() {
        return coordinator.answerDelay();
    }

    /** Sets the listener for exceptions thrown by events; an exception ends only the event that threw it. */
    public void setFailureListener(Consumer<Throwable> listener) {
        failureListener = listener;
    }

    private void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            eventFailures.increment();
            failureListener.accept(e);
        }
    }

    /** The error that ended the thread; null while it runs or after a regular end. */
    public Throwable fatalError() {
        return fatalError;
    }

    private void run() {
        try {
            while (!stopping) {
                if (!runBatch()) {
                    awaitEvents();
                }
            }
        } catch (Throwable t) {
            fatalError = t;
        }
    }

    /** Handles one event batch; returns false if there was nothing to handle. */
    private boolean runBatch() {
        double now = clock.now();
        long micros = toMicros(now);
        // A poll advances the wheel by one tick at most.
        do {
            wheel.poll(micros, (unit, deadline, id) -> {
                dueTimers.add(timers.remove(id));
                return true;
            }, MAX_EVENTS_PER_BATCH);
        } while (wheel.currentTickTime() <= micros && dueTimers.size() < MAX_EVENTS_PER_BATCH);
        if (dueTimers.isEmpty() && postedEvents.isEmpty() && messageQueue.isEmpty() && !coordinator.hasDeferredEvents()) {
            return false;
        }
        runGuarded(() -> coordinator.beginBatch(now));
        int count = dueTimers.size();
        double firstDueAt = now;
        for (Timer timer : dueTimers) {
            firstDueAt = Math.min(firstDueAt, timer.dueAt);
            runGuarded(() -> coordinator.onTimer(timer.target));
        }
        boolean hadTimers = !dueTimers.isEmpty();
        dueTimers.clear();
        // Posted events first: they free lanes, which new messages need.
        for (Consumer<InferenceCoordinator> event; count < MAX_EVENTS_PER_BATCH && (event = postedEvents.relaxedPoll()) != null; count++) {
            handle(event);
        }
        for (Consumer<InferenceCoordinator> event; count < MAX_EVENTS_PER_BATCH && (event = messageQueue.relaxedPoll()) != null; count++) {
            handle(event);
        }
        runGuarded(coordinator::endBatch);
        batches.increment();
        eventsHandled.add(count);
        messageQueueLimit.setInUse(messageQueue.size());
        double end = clock.now();
        if (end - now > SLOW_BATCH_MILLIS) {
            slowBatches.increment();
        }
        if (hadTimers) {
            coordinator.answerDelay().recordDecisionDelay(end - firstDueAt, end);
        }
        return true;
    }

    private void handle(Consumer<InferenceCoordinator> event) {
        runGuarded(() -> event.accept(coordinator));
    }

    private void awaitEvents() {
        for (int i = 0; i < SPINS_BEFORE_SLEEP; i++) {
            if (!postedEvents.isEmpty() || !messageQueue.isEmpty()) {
                return;
            }
            Thread.onSpinWait();
        }
        asleep = true;
        VarHandle.fullFence();
        if (postedEvents.isEmpty() && messageQueue.isEmpty() && !stopping) {
            LockSupport.parkNanos(this, sleepNanos());
            wakeUps.increment();
        }
        asleep = false;
    }

    private long sleepNanos() {
        if (timers.size() > MAX_TIMERS_TO_SCAN) {
            return MIN_SLEEP_NANOS;
        }
        double nextDueAt = Double.POSITIVE_INFINITY;
        for (Timer timer : timers.values()) {
            nextDueAt = Math.min(nextDueAt, timer.dueAt);
        }
        double millis = Math.max(0, nextDueAt - clock.now());
        return Math.min(MAX_SLEEP_NANOS, Math.max(MIN_SLEEP_NANOS, (long) (millis * 1_000_000)));
    }

    private static long toMicros(double millis) {
        return (long) (millis * 1000);
    }

    @Override
    public long schedule(double dueAt, Object target) {
        long deadlineMicros = Math.max(wheel.currentTickTime(), toMicros(dueAt));
        long id = wheel.scheduleTimer(deadlineMicros);
        timers.put(id, new Timer(deadlineMicros / 1000.0, target));
        return id;
    }

    @Override
    public void cancel(long id, Object target) {
        // The wheel reuses the id of a timer that fired.
        Timer timer = timers.get(id);
        if (timer != null && timer.target == target) {
            wheel.cancelTimer(id);
            timers.remove(id);
        }
    }

    /** Ends the thread. Open inferences get no answer, so call this only when there are none or the process ends. */
    @Override
    public void close() {
        stopping = true;
        LockSupport.unpark(thread);
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
