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
 * The one thread that owns a desk and its module. Others pass it events: new messages through a bounded queue that
 * says no, and ends of what the desk itself sent out through one that need not, since there are never more of them
 * than there are forwards, orders and probes out. What is there at a turn is one moment of the module.
 */
public final class DecisionLoop implements Timers, AutoCloseable {
    /** Events of one moment at most: some 2 ms of work, so that timers stay on time under any load. */
    private static final int MAX_EVENTS_PER_BATCH = 512;
    /** A wheel's tick: a quarter of the shortest module tick in use, so alarms come within it. */
    private static final long WHEEL_TICK_MICROS = 256;
    private static final int WHEEL_TICKS = 8192; // two seconds a round: most timers end within one
    /** Longest sleep while many timers are set: the wheel cannot say which is next. */
    private static final long MIN_SLEEP_NANOS = 500_000;
    private static final long MAX_SLEEP_NANOS = 50_000_000;
    /** So many are looked through for the next one before a sleep; an idle front end has a handful. */
    private static final int MAX_TIMERS_TO_SCAN = 32;
    /** Looks at the queues before it sleeps; some ten microseconds, less than a wake-up of a thread costs. */
    private static final int SPINS_BEFORE_SLEEP = 200;
    private static final double SLOW_BATCH_MILLIS = 10; // milliseconds; a few of the module's ticks

    private final MonotonicClock clock;
    private final MpscArrayQueue<Consumer<InferenceCoordinator>> messageQueue;
    private final MpscUnboundedArrayQueue<Consumer<InferenceCoordinator>> postedEvents = new MpscUnboundedArrayQueue<>(4096);
    private final Counts.Limit messageQueueLimit;
    private final LongAdder batches;
    private final LongAdder slowBatches;
    private final LongAdder wakeUps;
    private final LongAdder eventsHandled;
    private final DeadlineTimerWheel wheel;
    private final Long2ObjectHashMap<Timer> timers = new Long2ObjectHashMap<>();
    private final List<Timer> dueTimers = new ArrayList<>();
    private final InferenceCoordinator coordinator;
    private final Thread thread;
    private volatile boolean asleep;
    private volatile boolean stopping;
    private volatile Throwable fatalError;
    private volatile Consumer<Throwable> failureListener = failure -> { };
    private final LongAdder eventFailures;

    /** Who is to be told at {@code at}, module time. */
    private record Timer(double dueAt, Object target) { }

    /** @param doorRoom messages that may wait to be looked at */
    public DecisionLoop(String name, MonotonicClock clock, int doorRoom, Counts counts, Function<Timers, InferenceCoordinator> desk) {
        this.clock = clock;
        messageQueue = new MpscArrayQueue<>(Math.max(4, doorRoom));
        messageQueueLimit = counts.limit("messages_at_the_door", messageQueue.capacity());
        batches = counts.counter("decision_turns");
        slowBatches = counts.counter("decision_turns_slow");
        wakeUps = counts.counter("decision_wake_ups");
        eventsHandled = counts.counter("decision_events");
        eventFailures = counts.counter("event_failures");
        wheel = new DeadlineTimerWheel(TimeUnit.MICROSECONDS, toMicros(clock.now()), WHEEL_TICK_MICROS, WHEEL_TICKS);
        this.coordinator = desk.apply(this);
        thread = new Thread(this::run, "decisions-" + name);
        thread.setDaemon(true);
    }

    /** Work on the desk before the loop begins; messages may already wait at the door. */
    public void runBeforeStart(Consumer<InferenceCoordinator> work) {
        if (thread.isAlive()) {
            throw new IllegalStateException("the loop has begun");
        }
        work.accept(coordinator);
    }

    public void start() {
        thread.start();
    }

    /** For a new message: false where too many wait already; it must then be shed, nothing of it was taken. */
    public boolean offer(Consumer<InferenceCoordinator> event) {
        if (!messageQueue.offer(event)) {
            messageQueueLimit.recordRejection();
            return false;
        }
        wakeUp();
        return true;
    }

    /** For the end of something that the desk sent out, a leaving client, the roster: never refused. */
    public void post(Consumer<InferenceCoordinator> event) {
        postedEvents.offer(event);
        wakeUp();
    }

    private void wakeUp() {
        // The offer must be seen before we look whether the loop sleeps, or it might sleep over it.
        VarHandle.fullFence();
        if (asleep) {
            LockSupport.unpark(thread);
        }
    }

    /** How late answers are, told by those who see it. Any thread. */
    public AnswerDelay answerDelay() {
        return coordinator.answerDelay();
    }

    /** Whom exceptions are told that events let out; each costs that event alone. */
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

    /** What ended the loop, null while it runs or after an orderly end. */
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

    /** One moment; false where nothing was there. */
    private boolean runBatch() {
        double now = clock.now();
        long micros = toMicros(now);
        // A poll moves the wheel by one tick at most.
        do {
            wheel.poll(micros, (unit, at, id) -> {
                dueTimers.add(timers.remove(id));
                return true;
            }, MAX_EVENTS_PER_BATCH);
        } while (wheel.currentTickTime() <= micros && dueTimers.size() < MAX_EVENTS_PER_BATCH);
        if (dueTimers.isEmpty() && postedEvents.isEmpty() && messageQueue.isEmpty() && !coordinator.hasDeferredEvents()) {
            return false;
        }
        runGuarded(() -> coordinator.beginBatch(now));
        int count = dueTimers.size();
        double firstDue = now;
        for (Timer timer : dueTimers) {
            firstDue = Math.min(firstDue, timer.dueAt);
            runGuarded(() -> coordinator.onTimer(timer.target));
        }
        boolean timed = !dueTimers.isEmpty();
        dueTimers.clear();
        // Ends first: they free lanes and owe nobody anything more.
        for (Consumer<InferenceCoordinator> event; count < MAX_EVENTS_PER_BATCH && (event = postedEvents.relaxedPoll()) != null; count++) {
            handle(event);
        }
        for (Consumer<InferenceCoordinator> event; count < MAX_EVENTS_PER_BATCH && (event = messageQueue.relaxedPoll()) != null; count++) {
            handle(event);
        }
        runGuarded(coordinator::endBatch);
        batches.increment();
        eventsHandled.add(count);
        messageQueueLimit.inUse(messageQueue.size());
        double end = clock.now();
        if (end - now > SLOW_BATCH_MILLIS) {
            slowBatches.increment();
        }
        if (timed) {
            coordinator.answerDelay().recordDecisionDelay(end - firstDue, end);
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
        double next = Double.POSITIVE_INFINITY;
        for (Timer timer : timers.values()) {
            next = Math.min(next, timer.dueAt);
        }
        double millis = Math.max(0, next - clock.now());
        return Math.min(MAX_SLEEP_NANOS, Math.max(MIN_SLEEP_NANOS, (long) (millis * 1_000_000)));
    }

    private static long toMicros(double millis) {
        return (long) (millis * 1000);
    }

    @Override
    public long schedule(double at, Object whom) {
        long from = Math.max(wheel.currentTickTime(), toMicros(at));
        long id = wheel.scheduleTimer(from);
        timers.put(id, new Timer(from / 1000.0, whom));
        return id;
    }

    @Override
    public void cancel(long timer, Object whom) {
        // The wheel gives the number of a timer that fired to a later one.
        Timer set = timers.get(timer);
        if (set != null && set.target == whom) {
            wheel.cancelTimer(timer);
            timers.remove(timer);
        }
    }

    /** Ends the thread; what it still owed stays owed, so close only when nothing is, or at the very end. */
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
