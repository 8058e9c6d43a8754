package gradereach.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts instances and hands them their events, batch by batch. */
final class InstanceHost {
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

    private final Map<Integer, HostedInstance> instances = new HashMap<>();
    private final List<HostedInstance> instancesInBatch = new ArrayList<>();
    private final ReplyWriter reply = new ReplyWriter();

    void run(FrameReader in, OutputStream out) throws IOException {
        while (in.nextFrame()) {
            for (int i = 0; i < in.recordCount; i++) {
                in.nextRecord();
                if (in.recordCode <= ORDER_ENDED) {
                    handleRecord(in);
                }
            }
            in.endFrame();
            for (HostedInstance seat : instancesInBatch) {
                seat.inBatch = false;
                if (instances.get(seat.instanceId) == seat) {
                    runGuarded(seat, seat::endBatch);
                }
            }
            instancesInBatch.clear();
            reply.flush(out);
        }
    }

    private void handleRecord(FrameReader in) throws InvalidInputException {
        int number = (int) in.u32();
        if (in.recordCode == INSTANCE_STARTED) {
            long seed = in.u64();
            byte[] settings = in.bytes(in.u32());
            HostedInstance seat = new HostedInstance(number, seed, settings, reply);
            instances.put(number, seat);
            addToBatch(seat, in.clock);
            return;
        }
        HostedInstance seat = instances.get(number);
        if (in.recordCode == INSTANCE_STOPPED) {
            instances.put(number, null);
            return;
        }
        if (seat == null) {
            if (instances.containsKey(number)) {
                return;
            }
            throw new InvalidInputException("event for instance " + number + ", which never began, at byte " + (in.position() - 4));
        }
        addToBatch(seat, in.clock);
        if (seat.failed) {
            return;
        }
        try {
            seat.handleEvent(in);
        } catch (RuntimeException e) {
            reportFailure(seat, e);
        }
    }

    private void addToBatch(HostedInstance seat, double clock) {
        if (!seat.inBatch) {
            seat.inBatch = true;
            instancesInBatch.add(seat);
            seat.beginBatch(clock);
        }
    }

    private void runGuarded(HostedInstance seat, Runnable work) {
        if (seat.failed) {
            return;
        }
        try {
            work.run();
        } catch (RuntimeException e) {
            reportFailure(seat, e);
        }
    }

    private void reportFailure(HostedInstance seat, RuntimeException e) {
        seat.failed = true;
        StackTraceElement[] trace = e.getStackTrace();
        reply.writeText(ReplyWriter.FAULT, seat.instanceId, e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
