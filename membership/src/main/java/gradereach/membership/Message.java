package gradereach.membership;

import java.util.List;

/** A message between members. Every message carries member updates as {@code gossip}. */
public sealed interface Message {
    /** Name of the member that sends the message. */
    String senderName();

    /** Member updates that are piggybacked on the message. */
    List<Member> gossip();

    /** Asks the receiver for an {@link Ack}, to be sent to {@code senderAddress}. */
    record Ping(String senderName, String senderAddress, long sequenceNumber, List<Member> gossip) implements Message { }

    /** Acknowledges the ping with that sequence number. */
    record Ack(String senderName, long sequenceNumber, List<Member> gossip) implements Message { }

    /** Asks the receiver to ping the target and to pass on its ack (SWIM's ping-req). */
    record PingRequest(String senderName, String senderAddress, long sequenceNumber, String target, String targetAddress,
            List<Member> gossip) implements Message { }

    /** The sender's full member list; with {@code replyRequested} it asks for the receiver's list in return. */
    record Sync(String senderName, String senderAddress, boolean replyRequested, List<Member> gossip) implements Message { }
}
