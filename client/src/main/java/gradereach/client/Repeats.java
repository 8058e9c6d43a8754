package gradereach.client;

import gradereach.client.GradereachClient.Effect;
import java.util.Random;

/**
 * Whether and when an inference is asked again, under the same id: state and decisions, no I/O. It is asked again only
 * where that is harmless, within its deadline, not before the pause that a front end asked for which stays, and within the
 * client's {@link Purse}.
 */
final class Repeats {
    private static final double FIRST_WAIT = 50; // a front end's own second choice takes some ten milliseconds
    private static final double LONGEST_WAIT = 5_000; // longer than most deadlines: only patient ones ever wait so long
    /** A try with less time than this is not worth a front end's work. */
    private static final double SHORTEST_TRY = 20;

    private final Effect effect;
    private final double deadline;
    private final Random chance;
    private final Purse purse;
    private int tries;

    /** @param deadline in the time of {@link #after} */
    Repeats(Effect effect, double deadline, Random chance, Purse purse) {
        this.effect = effect;
        this.deadline = deadline;
        this.chance = chance;
        this.purse = purse;
        purse.firstTry();
    }

    /** When it is asked again, NaN where its end is final. */
    double after(End end, double now) {
        boolean harmless = switch (end.kind()) {
            case RETURNED, REFUSED -> false;
            case SHED, NEVER_SENT -> true;
            case FAILED -> end.harmless();
            case LOST -> effect != Effect.ONCE;
        };
        if (!harmless) {
            return Double.NaN;
        }
        // Full jitter: waits of clients that failed together spread over the whole of it.
        double wait = chance.nextDouble() * Math.min(LONGEST_WAIT, FIRST_WAIT * Math.pow(2, Math.min(20, tries++)));
        if (!end.leaving()) {
            // What all were asked to wait is stretched, or all would come back together.
            wait += end.pause() * (1 + chance.nextDouble() / 4);
        } // else it was asked for by a front end that is not asked again
        if (now + wait + SHORTEST_TRY > deadline) {
            return Double.NaN;
        }
        // A try that never left, or met a front end that is stopping, cost nobody any work.
        return end.leaving() || purse.repeat() ? now + wait : Double.NaN;
    }
}
