package gradereach.benchlink;

import gradereach.api.ForwardResult;
import gradereach.api.ExecutorListing;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RouterActions;
import gradereach.api.ExecutorReport;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.ExecutorState;
import gradereach.api.LoadStatus;
import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** One hosted instance: turns the wire's ids into objects, and actions back into records. */
final class HostedInstance implements RouterActions {
    private static final Outcome[] OUTCOMES = {null, Outcome.RETURNED, Outcome.ERROR, Outcome.FULL,
        Outcome.TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.CANCELLED, Outcome.NEVER_SENT,
        Outcome.MISS};
    private static final long ALL_PEERS = 0xffffffffL;
    private static final int WORK_HINT_VALID = 1;
    private static final int CLIENT_RETRY = 2;

    final int instanceId;
    private final ReplyWriter reply;
    private final List<ModelGroup> groups;
    private final List<String> reportColumns;
    private final Router router;
    private final LongMap<Inference> inferences = new LongMap<>();
    private final LongMap<Executor> executors = new LongMap<>();
    private final LongMap<Model> models = new LongMap<>();
    private double now;
    boolean inBatch;
    boolean failed;

    HostedInstance(int number, long seed, byte[] settings, ReplyWriter reply) throws InvalidInputException {
        this.instanceId = number;
        this.reply = reply;
        InstanceSettings start = new InstanceSettings(settings);
        groups = start.groups;
        reportColumns = start.reportColumns;
        router = start.createRouter(this, seed);
    }

    void beginBatch(double clock) {
        now = clock;
        router.beginBatch(clock);
    }

    void handleEvent(FrameReader in) throws InvalidInputException {
        switch (in.recordCode) {
            case InstanceHost.ROSTER_UPDATE -> handleRosterUpdate(in);
            case InstanceHost.INFERENCE_ACCEPTED -> handleInferenceAccepted(in);
            case InstanceHost.ANSWER_STARTED -> {
                Inference inf = inferences.get(in.u32());
                double took = in.f64();
                in.address();
                Forward fwd = findForward(inf, in.u8());
                if (fwd != null) {
                    router.onAnswerStarted(fwd, took);
                }
            }
            case InstanceHost.FORWARD_ENDED -> handleForwardEnded(in);
            case InstanceHost.INFERENCE_CANCELLED -> {
                Inference inf = inferences.get(in.u32());
                if (inf != null) {
                    inf.done = true;
                    router.onInferenceCancelled(inf);
                    forgetIfEnded(inf);
                }
            }
            case InstanceHost.TIMER_FIRED -> router.onTimer(in.u64());
            case InstanceHost.PROBE_ENDED -> {
                Executor ex = findOrCreateExecutor(in.address());
                Outcome outcome = readOutcome(in);
                router.onProbeEnded(ex, outcome, in.f64(), readReport(in));
            }
            case InstanceHost.PEER_MESSAGE -> {
                int from = in.u16();
                router.onPeerMessage(from, in.bytes(in.u16()));
            }
            case InstanceHost.ORDER_ENDED -> {
                Executor ex = findOrCreateExecutor(in.address());
                Model mdl = findOrCreateModel(in.u64());
                Outcome outcome = readOutcome(in);
                double took = in.f64();
                router.onOrderEnded(ex, mdl, outcome, took, in.u8());
            }
            default -> { }
        }
    }

    void endBatch() {
        router.endBatch();
    }

    private Executor findOrCreateExecutor(long address) {
        Executor ex = executors.get(address);
        if (ex == null) {
            ex = new Executor(address);
            executors.put(address, ex);
        }
        return ex;
    }

    private Model findOrCreateModel(long id) {
        Model mdl = models.get(id);
        if (mdl == null) {
            mdl = new Model(id);
            models.put(id, mdl);
        }
        return mdl;
    }

    private static Forward findForward(Inference inf, int number) {
        return inf == null || number >= inf.forwards.size() ? null : inf.forwards.get(number);
    }

    private static Outcome readOutcome(FrameReader in) throws InvalidInputException {
        int code = in.u8();
        if (code < 1 || code >= OUTCOMES.length) {
            throw new InvalidInputException("unknown outcome " + code + " at byte " + (in.position() - 1));
        }
        return OUTCOMES[code];
    }

    private ExecutorReport readReport(FrameReader in) throws InvalidInputException {
        int n = in.hasRemaining(1) ? in.u8() : 0;
        if (n == 0) {
            return null;
        }
        double[] values = new double[n];
        for (int i = 0; i < n; i++) {
            values[i] = in.f32();
        }
        return InstanceSettings.report(reportColumns, values);
    }

    private void handleRosterUpdate(FrameReader in) throws InvalidInputException {
        in.u64();
        int form = in.u8();
        RosterUpdateKind kind = switch (form) {
            case 1 -> RosterUpdateKind.CACHED;
            case 2 -> RosterUpdateKind.FAILED;
            case 3 -> RosterUpdateKind.FULL;
            case 4 -> RosterUpdateKind.CHANGES;
            default -> throw new InvalidInputException("unknown list form " + form + " at byte " + (in.position() - 1));
        };
        long count = in.u32();
        List<ExecutorListing> listings = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            double size = in.f32();
            double since = in.f64();
            int state = in.u8();
            ExecutorState standing = state == 1 ? ExecutorState.READY : state == 2 ? ExecutorState.DRAINING : ExecutorState.REMOVED;
            int location = in.u16();
            int machine = in.u8();
            int cell = in.u16();
            listings.add(new ExecutorListing(findOrCreateExecutor(in.address()), size, since, standing, location, machine, cell));
        }
        router.onRosterUpdate(kind, listings);
    }

    private void handleInferenceAccepted(FrameReader in) throws InvalidInputException {
        long id = in.u32();
        int group = in.u16();
        if (group >= groups.size()) {
            throw new InvalidInputException("unknown class " + group + " at byte " + (in.position() - 2));
        }
        int customer = (int) in.u32();
        Model mdl = findOrCreateModel(in.u64());
        double left = in.f64();
        double work = in.hasRemaining(8) ? in.f64() : 0;
        double memory = in.hasRemaining(4) ? in.f32() : 0;
        double lanes = in.hasRemaining(4) ? in.f32() : 0;
        double loadTime = in.hasRemaining(4) ? in.f32() : 0;
        int options = in.hasRemaining(1) ? in.u8() : 0;
        mdl.memory = memory;
        mdl.lanes = Math.max(1, (int) lanes);
        mdl.loadTime = loadTime;
        boolean hinted = (options & WORK_HINT_VALID) != 0;
        Inference inf = new Inference(id, groups.get(group), customer, mdl, now, now + left,
                hinted ? work : Double.NaN, (options & CLIENT_RETRY) != 0);
        inferences.put(id, inf);
        router.onInferenceAccepted(inf);
    }

    private void handleForwardEnded(FrameReader in) throws InvalidInputException {
        Inference inf = inferences.get(in.u32());
        long note = in.u32();
        double took = in.f64();
        boolean done = in.u8() != 0;
        Outcome outcome = readOutcome(in);
        Forward fwd = findForward(inf, in.u8());
        in.address();
        if (fwd == null || fwd.outcome != null) {
            return;
        }
        LoadStatus warmth = switch ((int) (note & 7)) {
            case 1 -> LoadStatus.ALREADY_LOADED;
            case 2 -> LoadStatus.STARTED_LOAD;
            case 3 -> LoadStatus.WAITED_FOR_LOAD;
            case 4 -> LoadStatus.LOAD_FAILED;
            default -> LoadStatus.UNKNOWN;
        };
        boolean tellsCrowd = outcome == Outcome.FULL || outcome == Outcome.RETURNED;
        int crowd = note > 0 && tellsCrowd ? (int) (note >> 3) : -1;
        fwd.outcome = outcome;
        inf.done |= done;
        router.onForwardEnded(fwd, new ForwardResult(outcome, warmth, crowd, took, done, readReport(in)));
        forgetIfEnded(inf);
    }

    private void forgetIfEnded(Inference inf) {
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
    public Forward sendForward(Inference inf, Executor ex, double stopAt) {
        ByteBuffer to = reply.startRecord(ReplyWriter.FORWARD, 22).putInt(instanceId).putInt((int) inf.id).putDouble(stopAt);
        ReplyWriter.putAddress(to, ex.id);
        Forward fwd = new Forward(inf, ex, inf.forwards.size(), now);
        inf.forwards.add(fwd);
        return fwd;
    }

    @Override
    public void cancelForward(Forward fwd) {
        reply.startRecord(ReplyWriter.CANCEL, 9).putInt(instanceId).putInt((int) fwd.inference.id).put((byte) fwd.number);
    }

    @Override
    public void shed(Inference inf, double pause) {
        reply.startRecord(ReplyWriter.SHED, 16).putInt(instanceId).putInt((int) inf.id).putDouble(pause);
        inf.done = true;
        forgetIfEnded(inf);
    }

    @Override
    public void fail(Inference inf) {
        reply.startRecord(ReplyWriter.FAIL, 8).putInt(instanceId).putInt((int) inf.id);
        inf.done = true;
        forgetIfEnded(inf);
    }

    @Override
    public void sendOrder(Executor ex, Model mdl, int copies) {
        ByteBuffer to = reply.startRecord(ReplyWriter.ORDER, 19).putInt(instanceId).put((byte) copies).putLong(mdl.id);
        ReplyWriter.putAddress(to, ex.id);
    }

    @Override
    public void unloadIdle(Executor ex, Model mdl) {
        ByteBuffer to = reply.startRecord(ReplyWriter.UNLOAD_IDLE, 18).putInt(instanceId).putLong(mdl.id);
        ReplyWriter.putAddress(to, ex.id);
    }

    @Override
    public void sendProbe(Executor ex) {
        ReplyWriter.putAddress(reply.startRecord(ReplyWriter.PROBE, 10).putInt(instanceId), ex.id);
    }

    @Override
    public void scheduleTimer(double in, long tag) {
        reply.startRecord(ReplyWriter.SCHEDULE_TIMER, 20).putInt(instanceId).putDouble(in).putLong(tag);
    }

    @Override
    public void requestRoster() {
        reply.startRecord(ReplyWriter.REQUEST_ROSTER, 4).putInt(instanceId);
    }

    @Override
    public void setRosterSubscription(boolean on) {
        reply.startRecord(ReplyWriter.ROSTER_SUBSCRIPTION, 5).putInt(instanceId).put((byte) (on ? 1 : 0));
    }

    @Override
    public void closeConnections(Executor ex) {
        ReplyWriter.putAddress(reply.startRecord(ReplyWriter.CLOSE_CONNECTIONS, 10).putInt(instanceId), ex.id);
    }

    @Override
    public void sendPeerMessage(int to, byte[] words) {
        reply.startRecord(ReplyWriter.PEER_MESSAGE, 10 + words.length).putInt(instanceId)
                .putInt(to < 0 ? (int) ALL_PEERS : to).putShort((short) words.length).put(words);
    }

    @Override
    public void log(String line) {
        reply.writeText(ReplyWriter.LOG, instanceId, line);
    }
}
