package gradereach.loop;

import gradereach.counts.Counts;
import gradereach.delay.AnswerDelay;
import gradereach.desk.Desk;
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
    private static final int BATCH = 512;
    /** A wheel's tick: a quarter of the shortest module tick in use, so alarms come within it. */
    private static final long TICK_MICROS = 256;
    private static final int TICKS = 8192; // two seconds a round: most timers end within one
    /** Longest sleep while many timers are set: the wheel cannot say which is next. */
    private static final long NAP_NANOS = 500_000;
    private static final long SLEEP_NANOS = 50_000_000;
    /** So many are looked through for the next one before a sleep; an idle front end has a handful. */
    private static final int FEW_TIMERS = 32;
    /** Looks at the queues before it sleeps; some ten microseconds, less than a wake-up of a thread costs. */
    private static final int SPINS = 200;
    private static final double SLOW_TURN = 10; // milliseconds; a few of the module's ticks

    private final Clock clock;
    private final MpscArrayQueue<Consumer<Desk>> door;
    private final MpscUnboundedArrayQueue<Consumer<Desk>> ends = new MpscUnboundedArrayQueue<>(4096);
    private final Counts.Limit doorLimit;
    private final LongAdder turns;
    private final LongAdder slowTurns;
    private final LongAdder wakeUps;
    private final LongAdder events;
    private final DeadlineTimerWheel wheel;
    private final Long2ObjectHashMap<Timer> timers = new Long2ObjectHashMap<>();
    private final List<Timer> due = new ArrayList<>();
    private final Desk desk;
    private final Thread thread;
    private volatile boolean asleep;
    private volatile boolean stopping;
    private volatile Throwable death;
    private volatile Consumer<Throwable> failures = failure -> { };
    private final LongAdder failed;

    /** Who is to be told at {@code at}, module time. */
    private record Timer(double at, Object whom) { }

    /** @param doorRoom messages that may wait to be looked at */
    public DecisionLoop(String name, Clock clock, int doorRoom, Counts counts, Function<Timers, Desk> desk) {
        this.clock = clock;
        door = new MpscArrayQueue<>(Math.max(4, doorRoom));
        doorLimit = counts.limit("messages_at_the_door", door.capacity());
        turns = counts.counter("decision_turns");
        slowTurns = counts.counter("decision_turns_slow");
        wakeUps = counts.counter("decision_wake_ups");
        events = counts.counter("decision_events");
        failed = counts.counter("event_failures");
        wheel = new DeadlineTimerWheel(TimeUnit.MICROSECONDS, micros(clock.now()), TICK_MICROS, TICKS);
        this.desk = desk.apply(this);
        thread = new Thread(this::run, "decisions-" + name);
        thread.setDaemon(true);
    }

    /** Work on the desk before the loop begins; messages may already wait at the door. */
    public void before(Consumer<Desk> work) {
        if (thread.isAlive()) {
            throw new IllegalStateException("the loop has begun");
        }
        work.accept(desk);
    }

    public void start() {
        thread.start();
    }

    /** For a new message: false where too many wait already; it must then be shed, nothing of it was taken. */
    public boolean offer(Consumer<Desk> event) {
        if (!door.offer(event)) {
            doorLimit.refuse();
            return false;
        }
        rouse();
        return true;
    }

    /** For the end of something that the desk sent out, a leaving client, the roster: never refused. */
    public void pass(Consumer<Desk> event) {
        ends.offer(event);
        rouse();
    }

    private void rouse() {
        // The offer must be seen before we look whether the loop sleeps, or it might sleep over it.
        VarHandle.fullFence();
        if (asleep) {
            LockSupport.unpark(thread);
        }
    }

    /** How late answers are, told by those who see it. Any thread. */
    public AnswerDelay answerDelay() {
        return desk.answerDelay();
    }

    /** Whom exceptions are told that events let out; each costs that event alone. */
    public void onFailure(Consumer<Throwable> listener) {
        failures = listener;
    }

    private void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            failed.increment();
            failures.accept(e);
        }
    }

    /** What ended the loop, null while it runs or after an orderly end. */
    public Throwable death() {
        return death;
    }

    private void run() {
        try {
            while (!stopping) {
                if (!turn()) {
                    idle();
                }
            }
        } catch (Throwable t) {
            death = t;
        }
    }

    /** One moment; false where nothing was there. */
    private boolean turn() {
        double now = clock.now();
        long micros = micros(now);
        // A poll moves the wheel by one tick at most.
        do {
            wheel.poll(micros, (unit, at, id) -> {
                due.add(timers.remove(id));
                return true;
            }, BATCH);
        } while (wheel.currentTickTime() <= micros && due.size() < BATCH);
        if (due.isEmpty() && ends.isEmpty() && door.isEmpty() && !desk.hasMore()) {
            return false;
        }
        guarded(() -> desk.begin(now));
        int count = due.size();
        double firstDue = now;
        for (Timer timer : due) {
            firstDue = Math.min(firstDue, timer.at);
            guarded(() -> desk.due(timer.whom));
        }
        boolean timed = !due.isEmpty();
        due.clear();
        // Ends first: they free lanes and owe nobody anything more.
        for (Consumer<Desk> event; count < BATCH && (event = ends.relaxedPoll()) != null; count++) {
            accept(event);
        }
        for (Consumer<Desk> event; count < BATCH && (event = door.relaxedPoll()) != null; count++) {
            accept(event);
        }
        guarded(desk::settle);
        turns.increment();
        events.add(count);
        doorLimit.present(door.size());
        double end = clock.now();
        if (end - now > SLOW_TURN) {
            slowTurns.increment();
        }
        if (timed) {
            desk.answerDelay().decided(end - firstDue, end);
        }
        return true;
    }

    private void accept(Consumer<Desk> event) {
        guarded(() -> event.accept(desk));
    }

    private void idle() {
        for (int i = 0; i < SPINS; i++) {
            if (!ends.isEmpty() || !door.isEmpty()) {
                return;
            }
            Thread.onSpinWait();
        }
        asleep = true;
        VarHandle.fullFence();
        if (ends.isEmpty() && door.isEmpty() && !stopping) {
            LockSupport.parkNanos(this, sleepNanos());
            wakeUps.increment();
        }
        asleep = false;
    }

    private long sleepNanos() {
        if (timers.size() > FEW_TIMERS) {
            return NAP_NANOS;
        }
        double next = Double.POSITIVE_INFINITY;
        for (Timer timer : timers.values()) {
            next = Math.min(next, timer.at);
        }
        double millis = Math.max(0, next - clock.now());
        return Math.min(SLEEP_NANOS, Math.max(NAP_NANOS, (long) (millis * 1_000_000)));
    }

    private static long micros(double millis) {
        return (long) (millis * 1000);
    }

    @Override
    public long set(double at, Object whom) {
        long from = Math.max(wheel.currentTickTime(), micros(at));
        long id = wheel.scheduleTimer(from);
        timers.put(id, new Timer(from / 1000.0, whom));
        return id;
    }

    @Override
    public void cancel(long timer, Object whom) {
        // The wheel gives the number of a timer that fired to a later one.
        Timer set = timers.get(timer);
        if (set != null && set.whom == whom) {
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
