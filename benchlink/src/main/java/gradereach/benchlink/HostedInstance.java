package gradereach.benchlink;

import gradereach.api.ExecutorListing;
import gradereach.api.ExecutorReport;
import gradereach.api.ExecutorState;
import gradereach.api.ForwardResult;
import gradereach.api.LoadStatus;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.RouterActions;
import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One hosted instance of the policy. Maps the ids in event records to objects, and the actions of the policy to reply records.
 * Fields of a record that the policy does not need are read and ignored.
 */
final class HostedInstance implements RouterActions {
    /** By their codes in the protocol. */
    private static final Outcome[] OUTCOMES = {null, Outcome.RETURNED, Outcome.ERROR, Outcome.FULL,
        Outcome.TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.CANCELLED, Outcome.NEVER_SENT,
        Outcome.MISS};
    private static final long ALL_PEERS = 0xffffffffL;
    // Bits in the options of an accepted inference.
    private static final int WORK_HINT_VALID = 1;
    private static final int CLIENT_RETRY = 2;
    // Parts of the load status field of an ended forward: a status code, and the model's inferences in flight on the executor.
    private static final int LOAD_STATUS_MASK = 7;
    private static final int MODEL_IN_FLIGHT_SHIFT = 3;

    final int instanceId;
    private final ReplyWriter reply;
    private final List<ModelGroup> groups;
    private final List<String> reportColumns;
    private final Router router;
    private final LongMap<Inference> inferences = new LongMap<>();
    private final LongMap<Executor> executors = new LongMap<>();
    private final LongMap<Model> models = new LongMap<>();
    /** Time of the current batch, in milliseconds. */
    private double now;
    /** Whether the current batch has begun for this instance. */
    boolean inBatch;
    /** Whether the policy threw an exception; the instance gets no more events then. */
    boolean failed;

    HostedInstance(int instanceId, long seed, byte[] settings, ReplyWriter reply) throws InvalidInputException {
        this.instanceId = instanceId;
        this.reply = reply;
        InstanceSettings instanceSettings = new InstanceSettings(settings);
        groups = instanceSettings.groups;
        reportColumns = instanceSettings.reportColumns;
        router = instanceSettings.createRouter(this, seed);
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
                Inference inference = inferences.get(in.readU32());
                double elapsed = in.readF64();
                in.readAddress();
                Forward forward = findForward(inference, in.readU8());
                if (forward != null) {
                    router.onAnswerStarted(forward, elapsed);
                }
            }
            case InstanceHost.FORWARD_ENDED -> handleForwardEnded(in);
            case InstanceHost.INFERENCE_CANCELLED -> {
                Inference inference = inferences.get(in.readU32());
                if (inference != null) {
                    inference.done = true;
                    router.onInferenceCancelled(inference);
                    forgetIfEnded(inference);
                }
            }
            case InstanceHost.TIMER_FIRED -> router.onTimer(in.readU64());
            case InstanceHost.PROBE_ENDED -> {
                Executor executor = findOrCreateExecutor(in.readAddress());
                Outcome outcome = readOutcome(in);
                router.onProbeEnded(executor, outcome, in.readF64(), readReport(in));
            }
            case InstanceHost.PEER_MESSAGE -> {
                int sender = in.readU16();
                router.onPeerMessage(sender, in.readBytes(in.readU16()));
            }
            case InstanceHost.ORDER_ENDED -> {
                Executor executor = findOrCreateExecutor(in.readAddress());
                Model model = findOrCreateModel(in.readU64());
                Outcome outcome = readOutcome(in);
                double elapsed = in.readF64();
                router.onOrderEnded(executor, model, outcome, elapsed, in.readU8());
            }
            default -> { }
        }
    }

    void endBatch() {
        router.endBatch();
    }

    private Executor findOrCreateExecutor(long address) {
        Executor executor = executors.get(address);
        if (executor == null) {
            executor = new Executor(address);
            executors.put(address, executor);
        }
        return executor;
    }

    private Model findOrCreateModel(long id) {
        Model model = models.get(id);
        if (model == null) {
            model = new Model(id);
            models.put(id, model);
        }
        return model;
    }

    private static Forward findForward(Inference inference, int number) {
        return inference == null || number >= inference.forwards.size() ? null : inference.forwards.get(number);
    }

    private static Outcome readOutcome(FrameReader in) throws InvalidInputException {
        int code = in.readU8();
        if (code < 1 || code >= OUTCOMES.length) {
            throw new InvalidInputException("unknown outcome " + code + " at byte " + (in.position() - 1));
        }
        return OUTCOMES[code];
    }

    /** Returns null if the record has no load report. */
    private ExecutorReport readReport(FrameReader in) throws InvalidInputException {
        int valueCount = in.hasRemaining(1) ? in.readU8() : 0;
        if (valueCount == 0) {
            return null;
        }
        double[] values = new double[valueCount];
        for (int i = 0; i < valueCount; i++) {
            values[i] = in.readF32();
        }
        return InstanceSettings.createReport(reportColumns, values);
    }

    private void handleRosterUpdate(FrameReader in) throws InvalidInputException {
        in.readU64();
        int kindCode = in.readU8();
        RosterUpdateKind kind = switch (kindCode) {
            case 1 -> RosterUpdateKind.CACHED;
            case 2 -> RosterUpdateKind.FAILED;
            case 3 -> RosterUpdateKind.FULL;
            case 4 -> RosterUpdateKind.CHANGES;
            default -> throw new InvalidInputException("unknown roster update kind " + kindCode + " at byte "
                    + (in.position() - 1));
        };
        long count = in.readU32();
        List<ExecutorListing> listings = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            double capacity = in.readF32();
            double startedAt = in.readF64();
            int stateCode = in.readU8();
            ExecutorState state = stateCode == 1 ? ExecutorState.READY
                    : stateCode == 2 ? ExecutorState.DRAINING : ExecutorState.REMOVED;
            int location = in.readU16();
            int machineKind = in.readU8();
            int cell = in.readU16();
            listings.add(new ExecutorListing(findOrCreateExecutor(in.readAddress()), capacity, startedAt, state, location,
                    machineKind, cell));
        }
        router.onRosterUpdate(kind, listings);
    }

    private void handleInferenceAccepted(FrameReader in) throws InvalidInputException {
        long id = in.readU32();
        int groupIndex = in.readU16();
        if (groupIndex >= groups.size()) {
            throw new InvalidInputException("unknown model group " + groupIndex + " at byte " + (in.position() - 2));
        }
        int customerIndex = (int) in.readU32();
        Model model = findOrCreateModel(in.readU64());
        double timeLeft = in.readF64();
        double expectedWork = in.hasRemaining(8) ? in.readF64() : 0;
        double memoryMegabytes = in.hasRemaining(4) ? in.readF32() : 0;
        double lanes = in.hasRemaining(4) ? in.readF32() : 0;
        double loadTime = in.hasRemaining(4) ? in.readF32() : 0;
        int options = in.hasRemaining(1) ? in.readU8() : 0;
        model.memoryMegabytes = memoryMegabytes;
        model.lanes = Math.max(1, (int) lanes);
        model.loadTime = loadTime;
        boolean workKnown = (options & WORK_HINT_VALID) != 0;
        Inference inference = new Inference(id, groups.get(groupIndex), customerIndex, model, now, now + timeLeft,
                workKnown ? expectedWork : Double.NaN, (options & CLIENT_RETRY) != 0);
        inferences.put(id, inference);
        router.onInferenceAccepted(inference);
    }

    private void handleForwardEnded(FrameReader in) throws InvalidInputException {
        Inference inference = inferences.get(in.readU32());
        long loadField = in.readU32();
        double elapsed = in.readF64();
        boolean inferenceDone = in.readU8() != 0;
        Outcome outcome = readOutcome(in);
        Forward forward = findForward(inference, in.readU8());
        in.readAddress();
        if (forward == null || forward.outcome != null) {
            return;
        }
        LoadStatus loadStatus = switch ((int) (loadField & LOAD_STATUS_MASK)) {
            case 1 -> LoadStatus.ALREADY_LOADED;
            case 2 -> LoadStatus.STARTED_LOAD;
            case 3 -> LoadStatus.WAITED_FOR_LOAD;
            case 4 -> LoadStatus.LOAD_FAILED;
            default -> LoadStatus.UNKNOWN;
        };
        boolean hasModelInFlight = outcome == Outcome.FULL || outcome == Outcome.RETURNED;
        int modelInFlight = loadField > 0 && hasModelInFlight ? (int) (loadField >> MODEL_IN_FLIGHT_SHIFT) : -1;
        forward.outcome = outcome;
        inference.done |= inferenceDone;
        router.onForwardEnded(forward,
                new ForwardResult(outcome, loadStatus, modelInFlight, elapsed, inferenceDone, readReport(in)));
        forgetIfEnded(inference);
    }

    /** Forgets the inference once it has its final answer and none of its forwards is in flight. */
    private void forgetIfEnded(Inference inference) {
        if (!inference.done) {
            return;
        }
        for (Forward forward : inference.forwards) {
            if (forward.outcome == null) {
                return;
            }
        }
        inferences.remove(inference.id);
    }

    @Override
    public Forward sendForward(Inference inference, Executor executor, double deadline) {
        ByteBuffer record = reply.startRecord(ReplyWriter.FORWARD, 22).putInt(instanceId).putInt((int) inference.id)
                .putDouble(deadline);
        ReplyWriter.putAddress(record, executor.id);
        Forward forward = new Forward(inference, executor, inference.forwards.size(), now);
        inference.forwards.add(forward);
        return forward;
    }

    @Override
    public void cancelForward(Forward forward) {
        reply.startRecord(ReplyWriter.CANCEL, 9).putInt(instanceId).putInt((int) forward.inference.id).put((byte) forward.number);
    }

    @Override
    public void shed(Inference inference, double retryAfter) {
        reply.startRecord(ReplyWriter.SHED, 16).putInt(instanceId).putInt((int) inference.id).putDouble(retryAfter);
        inference.done = true;
        forgetIfEnded(inference);
    }

    @Override
    public void fail(Inference inference) {
        reply.startRecord(ReplyWriter.FAIL, 8).putInt(instanceId).putInt((int) inference.id);
        inference.done = true;
        forgetIfEnded(inference);
    }

    @Override
    public void sendOrder(Executor executor, Model model, int copies) {
        ByteBuffer record = reply.startRecord(ReplyWriter.ORDER, 19).putInt(instanceId).put((byte) copies).putLong(model.id);
        ReplyWriter.putAddress(record, executor.id);
    }

    @Override
    public void unloadIdle(Executor executor, Model model) {
        ByteBuffer record = reply.startRecord(ReplyWriter.UNLOAD_IDLE, 18).putInt(instanceId).putLong(model.id);
        ReplyWriter.putAddress(record, executor.id);
    }

    @Override
    public void sendProbe(Executor executor) {
        ReplyWriter.putAddress(reply.startRecord(ReplyWriter.PROBE, 10).putInt(instanceId), executor.id);
    }

    @Override
    public void scheduleTimer(double delay, long tag) {
        reply.startRecord(ReplyWriter.SCHEDULE_TIMER, 20).putInt(instanceId).putDouble(delay).putLong(tag);
    }

    @Override
    public void requestRoster() {
        reply.startRecord(ReplyWriter.REQUEST_ROSTER, 4).putInt(instanceId);
    }

    @Override
    public void setRosterSubscription(boolean subscribed) {
        reply.startRecord(ReplyWriter.ROSTER_SUBSCRIPTION, 5).putInt(instanceId).put((byte) (subscribed ? 1 : 0));
    }

    @Override
    public void closeConnections(Executor executor) {
        ReplyWriter.putAddress(reply.startRecord(ReplyWriter.CLOSE_CONNECTIONS, 10).putInt(instanceId), executor.id);
    }

    @Override
    public void sendPeerMessage(int receiver, byte[] message) {
        reply.startRecord(ReplyWriter.PEER_MESSAGE, 10 + message.length).putInt(instanceId)
                .putInt(receiver < 0 ? (int) ALL_PEERS : receiver).putShort((short) message.length).put(message);
    }

    @Override
    public void log(String line) {
        reply.writeText(ReplyWriter.LOG, instanceId, line);
    }
}
