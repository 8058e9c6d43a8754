package gradereach.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts instances of the policy and passes them their events. Each frame is one event batch for the instances that it names. */
final class InstanceHost {
    // Record codes of the protocol. Records with other codes are ignored.
    static final int INSTANCE_STARTED = 0;
    static final int ROSTER_UPDATE = 1;
    static final int INFERENCE_ACCEPTED = 2;
    static final int ANSWER_STARTED = 3;
    static final int FORWARD_ENDED = 4;
    static final int INFERENCE_CANCELLED = 5;
    static final int TIMER_FIRED = 6;
    static final int PROBE_ENDED = 7;
    static final int PEER_MESSAGE = 8;
    static final int INSTANCE_STOPPED = 9;
    static final int ORDER_ENDED = 10;

    /** By instance id; null for a stopped instance, whose late events are ignored. */
    private final Map<Integer, HostedInstance> instances = new HashMap<>();
    private final List<HostedInstance> instancesInBatch = new ArrayList<>();
    private final ReplyWriter reply = new ReplyWriter();

    void run(FrameReader in, OutputStream out) throws IOException {
        while (in.readNextFrame()) {
            for (int i = 0; i < in.recordCount; i++) {
                in.readNextRecord();
                if (in.recordCode <= ORDER_ENDED) {
                    handleRecord(in);
                }
            }
            in.checkFrameEnd();
            for (HostedInstance instance : instancesInBatch) {
                instance.inBatch = false;
                if (instances.get(instance.instanceId) == instance) {
                    runGuarded(instance, instance::endBatch);
                }
            }
            instancesInBatch.clear();
            reply.flush(out);
        }
    }

    private void handleRecord(FrameReader in) throws InvalidInputException {
        int instanceId = (int) in.readU32();
        if (in.recordCode == INSTANCE_STARTED) {
            long seed = in.readU64();
            byte[] settings = in.readBytes(in.readU32());
            HostedInstance instance = new HostedInstance(instanceId, seed, settings, reply);
            instances.put(instanceId, instance);
            addToBatch(instance, in.frameTime);
            return;
        }
        HostedInstance instance = instances.get(instanceId);
        if (in.recordCode == INSTANCE_STOPPED) {
            instances.put(instanceId, null);
            return;
        }
        if (instance == null) {
            if (instances.containsKey(instanceId)) {
                return;
            }
            throw new InvalidInputException("event for instance " + instanceId + ", which never began, at byte "
                    + (in.position() - 4));
        }
        addToBatch(instance, in.frameTime);
        if (instance.failed) {
            return;
        }
        try {
            instance.handleEvent(in);
        } catch (RuntimeException e) {
            reportFailure(instance, e);
        }
    }

    private void addToBatch(HostedInstance instance, double clock) {
        if (!instance.inBatch) {
            instance.inBatch = true;
            instancesInBatch.add(instance);
            instance.beginBatch(clock);
        }
    }

    private void runGuarded(HostedInstance instance, Runnable work) {
        if (instance.failed) {
            return;
        }
        try {
            work.run();
        } catch (RuntimeException e) {
            reportFailure(instance, e);
        }
    }

    /** Excludes the instance from further events, and reports its exception to the simulator. */
    private void reportFailure(HostedInstance instance, RuntimeException e) {
        instance.failed = true;
        StackTraceElement[] trace = e.getStackTrace();
        reply.writeText(ReplyWriter.FAULT, instance.instanceId, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
