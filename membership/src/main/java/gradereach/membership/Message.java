package gradereach.membership;

import java.util.List;

/** What members send each other. {@code gossip} rides on whatever is sent. */
public sealed interface Message {
    /** The sender's name. */
    String from();

    List<Member> gossip();

    /** Are you there? {@code fromAddress} is where the answer goes. */
    record Ping(String from, String fromAddress, long sequenceNumber, List<Member> gossip) implements Message { }

    /** {@code number} of the ping. */
    record Ack(String from, long sequenceNumber, List<Member> gossip) implements Message { }

    /** Ask that one for me; its answer is passed on. */
    record PingRequest(String from, String fromAddress, long sequenceNumber, String target, String targetAddress, List<Member> gossip)
            implements Message { }

    /** All that I know; {@code asks} for the same in return. */
    record Sync(String from, String fromAddress, boolean replyRequested, List<Member> gossip) implements Message { }
}
