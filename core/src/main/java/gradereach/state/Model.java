package gradereach.state;

import gradereach.api.ModelGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** A model that an inference has named: lives as long as the instance. */
public final class Model {
    public final long id;
    public double memory;
    public int lanes = 1;
    /** Usual load time, 0 where untold. */
    public double loadTime;
    public ModelGroup group;
    /** Its group's answer times. */
    public Pace groupPace;
    public final Pace pace = new Pace();

    public final TreeSet<Inference> held = new TreeSet<>(Inference.QUEUE);
    /** The executors that the roster named, nearest first. */
    public final List<Executor> homes = new ArrayList<>();
    /** Of which fleet, by the module's count of its changes. */
    public int homesOf;
    /** With the executors dealt with so far, in the order in which that began. */
    public final List<Copies> copies = new ArrayList<>();
    /** Inferences taken: in all, and lately. */
    public long count;
    public final Fading lately = new Fading();
    /** Our own forwards of it. */
    public int inFlight;
    /** Those of them whose answers have started. */
    public int flowing;
    public int holdsOut;
    public int asksOut;
    public double askedAt = Double.NEGATIVE_INFINITY;
    /** Loads that failed in a row, since one of it was last known to stand; and when the last did. */
    public int failedLoads;
    public double failedAt = Double.NEGATIVE_INFINITY;

    public Model(long id) {
        this.id = id;
    }

    public Copies on(Executor ex) {
        for (Copies c : copies) {
            if (c.executor == ex) {
                return c;
            }
        }
        Copies c = new Copies(this, ex);
        copies.add(c);
        ex.copies.add(c);
        return c;
    }

    /** Nothing is out, ordered, asked or held, and nothing is believed to stand. */
    public boolean quiet() {
        return held.isEmpty() && inFlight == 0 && holdsOut == 0 && asksOut == 0 && !anyWarm();
    }

    public boolean anyWarm() {
        for (Copies c : copies) {
            if (c.warm > 0) {
                return true;
            }
        }
        return false;
    }
}
