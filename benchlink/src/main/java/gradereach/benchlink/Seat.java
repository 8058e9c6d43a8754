package gradereach.benchlink;

import gradereach.api.Answer;
import gradereach.api.Listing;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.Outlet;
import gradereach.api.Report;
import gradereach.api.RosterForm;
import gradereach.api.Router;
import gradereach.api.Standing;
import gradereach.api.Warmth;
import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** One hosted instance: turns the wire's ids into objects, and actions back into records. */
final class Seat implements Outlet {
    private static final Outcome[] OUTCOMES = {null, Outcome.RETURNED, Outcome.ERROR, Outcome.FULL,
        Outcome.TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.CANCELLED, Outcome.NEVER_SENT,
        Outcome.MISS};
    private static final long ALL_PEERS = 0xffffffffL;
    private static final int HINT_VALID = 1;
    private static final int REPEATED = 2;

    final int number;
    private final ReplyWriter reply;
    private final List<ModelGroup> groups;
    private final List<String> columns;
    private final Router router;
    private final LongMap<Inference> inferences = new LongMap<>();
    private final LongMap<Executor> executors = new LongMap<>();
    private final LongMap<Model> models = new LongMap<>();
    private double now;
    boolean touched;
    boolean broken;

    Seat(int number, long seed, byte[] settings, ReplyWriter reply) throws BadInput {
        this.number = number;
        this.reply = reply;
        StartMessage start = new StartMessage(settings);
        groups = start.groups;
        columns = start.reportColumns;
        router = start.router(this, seed);
    }

    void moment(double clock) {
        now = clock;
        router.moment(clock);
    }

    void event(FrameReader in) throws BadInput {
        switch (in.code) {
            case Host.ROSTER -> roster(in);
            case Host.TAKEN -> taken(in);
            case Host.STREAMING -> {
                Inference inf = inferences.get(in.u32());
                double took = in.f64();
                in.address();
                Forward fwd = forward(inf, in.u8());
                if (fwd != null) {
                    router.started(fwd, took);
                }
            }
            case Host.ENDED -> ended(in);
            case Host.LEFT -> {
                Inference inf = inferences.get(in.u32());
                if (inf != null) {
                    inf.done = true;
                    router.left(inf);
                    forget(inf);
                }
            }
            case Host.WOKEN -> router.woken(in.u64());
            case Host.PROBED -> {
                Executor ex = executor(in.address());
                Outcome outcome = outcome(in);
                router.probed(ex, outcome, in.f64(), report(in));
            }
            case Host.HEARD -> {
                int from = in.u16();
                router.heard(from, in.bytes(in.u16()));
            }
            case Host.ORDERED -> {
                Executor ex = executor(in.address());
                Model mdl = model(in.u64());
                Outcome outcome = outcome(in);
                double took = in.f64();
                router.ordered(ex, mdl, outcome, took, in.u8());
            }
            default -> { }
        }
    }

    void settle() {
        router.settle();
    }

    private Executor executor(long address) {
        Executor ex = executors.get(address);
        if (ex == null) {
            ex = new Executor(address);
            executors.put(address, ex);
        }
        return ex;
    }

    private Model model(long id) {
        Model mdl = models.get(id);
        if (mdl == null) {
            mdl = new Model(id);
            models.put(id, mdl);
        }
        return mdl;
    }

    private static Forward forward(Inference inf, int number) {
        return inf == null || number >= inf.forwards.size() ? null : inf.forwards.get(number);
    }

    private static Outcome outcome(FrameReader in) throws BadInput {
        int code = in.u8();
        if (code < 1 || code >= OUTCOMES.length) {
            throw new BadInput("unknown outcome " + code + " at byte " + (in.at() - 1));
        }
        return OUTCOMES[code];
    }

    private Report report(FrameReader in) throws BadInput {
        int n = in.has(1) ? in.u8() : 0;
        if (n == 0) {
            return null;
        }
        double[] values = new double[n];
        for (int i = 0; i < n; i++) {
            values[i] = in.f32();
        }
        return StartMessage.report(columns, values);
    }

    private void roster(FrameReader in) throws BadInput {
        in.u64();
        int form = in.u8();
        RosterForm kind = switch (form) {
            case 1 -> RosterForm.CACHED;
            case 2 -> RosterForm.FAILED;
            case 3 -> RosterForm.FULL;
            case 4 -> RosterForm.CHANGES;
            default -> throw new BadInput("unknown list form " + form + " at byte " + (in.at() - 1));
        };
        long count = in.u32();
        List<Listing> listings = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            double size = in.f32();
            double since = in.f64();
            int state = in.u8();
            Standing standing = state == 1 ? Standing.READY : state == 2 ? Standing.DRAINING : Standing.GONE;
            int location = in.u16();
            int machine = in.u8();
            int cell = in.u16();
            listings.add(new Listing(executor(in.address()), size, since, standing, location, machine, cell));
        }
        router.roster(kind, listings);
    }

    private void taken(FrameReader in) throws BadInput {
        long id = in.u32();
        int group = in.u16();
        if (group >= groups.size()) {
            throw new BadInput("unknown class " + group + " at byte " + (in.at() - 2));
        }
        int customer = (int) in.u32();
        Model mdl = model(in.u64());
        double left = in.f64();
        double work = in.has(8) ? in.f64() : 0;
        double memory = in.has(4) ? in.f32() : 0;
        double lanes = in.has(4) ? in.f32() : 0;
        double loadTime = in.has(4) ? in.f32() : 0;
        int options = in.has(1) ? in.u8() : 0;
        mdl.memory = memory;
        mdl.lanes = Math.max(1, (int) lanes);
        mdl.loadTime = loadTime;
        boolean hinted = (options & HINT_VALID) != 0;
        Inference inf = new Inference(id, groups.get(group), customer, mdl, now, now + left,
                hinted ? work : Double.NaN, (options & REPEATED) != 0);
        inferences.put(id, inf);
        router.taken(inf);
    }

    private void ended(FrameReader in) throws BadInput {
        Inference inf = inferences.get(in.u32());
        long note = in.u32();
        double took = in.f64();
        boolean done = in.u8() != 0;
        Outcome outcome = outcome(in);
        Forward fwd = forward(inf, in.u8());
        in.address();
        if (fwd == null || fwd.outcome != null) {
            return;
        }
        Warmth warmth = switch ((int) (note & 7)) {
            case 1 -> Warmth.FOUND_LOADED;
            case 2 -> Warmth.BEGAN_LOAD;
            case 3 -> Warmth.WAITED_FOR_LOAD;
            case 4 -> Warmth.LOAD_FAILED;
            default -> Warmth.UNTOLD;
        };
        boolean tellsCrowd = outcome == Outcome.FULL || outcome == Outcome.RETURNED;
        int crowd = note > 0 && tellsCrowd ? (int) (note >> 3) : -1;
        fwd.outcome = outcome;
        inf.done |= done;
        router.ended(fwd, new Answer(outcome, warmth, crowd, took, done, report(in)));
        forget(inf);
    }

    private void forget(Inference inf) {
        if (!inf.done) {
            return;
        }
        for (Forward fwd : inf.forwards) {
            if (fwd.outcome == null) {
                return;
            }
        }
        inferences.remove(inf.id);
    }

    @Override
    public Forward forward(Inference inf, Executor ex, double stopAt) {
        ByteBuffer to = reply.record(ReplyWriter.FORWARD, 22).putInt(number).putInt((int) inf.id).putDouble(stopAt);
        ReplyWriter.address(to, ex.id);
        Forward fwd = new Forward(inf, ex, inf.forwards.size(), now);
        inf.forwards.add(fwd);
        return fwd;
    }

    @Override
    public void cancel(Forward fwd) {
        reply.record(ReplyWriter.CANCEL, 9).putInt(number).putInt((int) fwd.inference.id).put((byte) fwd.number);
    }

    @Override
    public void shed(Inference inf, double pause) {
        reply.record(ReplyWriter.SHED, 16).putInt(number).putInt((int) inf.id).putDouble(pause);
        inf.done = true;
        forget(inf);
    }

    @Override
    public void fail(Inference inf) {
        reply.record(ReplyWriter.FAIL, 8).putInt(number).putInt((int) inf.id);
        inf.done = true;
        forget(inf);
    }

    @Override
    public void order(Executor ex, Model mdl, int copies) {
        ByteBuffer to = reply.record(ReplyWriter.ORDER, 19).putInt(number).put((byte) copies).putLong(mdl.id);
        ReplyWriter.address(to, ex.id);
    }

    @Override
    public void unloadIdle(Executor ex, Model mdl) {
        ByteBuffer to = reply.record(ReplyWriter.UNLOAD_IDLE, 18).putInt(number).putLong(mdl.id);
        ReplyWriter.address(to, ex.id);
    }

    @Override
    public void probe(Executor ex) {
        ReplyWriter.address(reply.record(ReplyWriter.PROBE, 10).putInt(number), ex.id);
    }

    @Override
    public void wake(double in, long tag) {
        reply.record(ReplyWriter.WAKE, 20).putInt(number).putDouble(in).putLong(tag);
    }

    @Override
    public void askRoster() {
        reply.record(ReplyWriter.ASK_ROSTER, 4).putInt(number);
    }

    @Override
    public void followRoster(boolean on) {
        reply.record(ReplyWriter.FOLLOW_ROSTER, 5).putInt(number).put((byte) (on ? 1 : 0));
    }

    @Override
    public void hangUp(Executor ex) {
        ReplyWriter.address(reply.record(ReplyWriter.HANG_UP, 10).putInt(number), ex.id);
    }

    @Override
    public void tell(int to, byte[] words) {
        reply.record(ReplyWriter.TELL, 10 + words.length).putInt(number)
                .putInt(to < 0 ? (int) ALL_PEERS : to).putShort((short) words.length).put(words);
    }

    @Override
    public void log(String line) {
        reply.text(ReplyWriter.LOG, number, line);
    }
}
