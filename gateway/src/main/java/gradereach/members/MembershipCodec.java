package gradereach.members;

import gradereach.membership.Member;
import gradereach.membership.Message;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Encodes membership messages: a type byte, then the fields; strings as Java's modified UTF-8 with two bytes of length. A
 * member's state is its ordinal, so the order of {@link Member.State} is part of the format.
 */
final class MembershipCodec {
    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int SYNC = 4;
    private static final int SEAT_REQUEST = 5;
    private static final int SEAT_RESPONSE = 6;

    /**
     * A holder's request for seats.
     *
     * @param holderName name of the holder, unique to one run of a front end
     * @param holderAddress where the response is sent
     * @param rate its traffic in inferences a second
     */
    record SeatRequest(String holderName, String holderAddress, long round, double rate, BitSet wanted, BitSet released) { }

    /**
     * A grantor's response.
     *
     * @param grantorAddress the grantor, as listed in the configuration of every front end
     * @param totalRate sum of the rates of all holders with recent requests
     * @param holderCount number of these holders
     */
    record SeatResponse(String grantorAddress, long round, double totalRate, int holderCount, BitSet granted, BitSet available) { }

    private MembershipCodec() { }

    /** Encodes a {@link Message}, a {@link SeatRequest} or a {@link SeatResponse}. */
    static byte[] encode(Object message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            if (message instanceof Message.Ping ping) {
                out.writeByte(PING);
                writeHeader(out, ping);
                out.writeUTF(ping.senderAddress());
                out.writeLong(ping.sequenceNumber());
            } else if (message instanceof Message.Ack ack) {
                out.writeByte(ACK);
                writeHeader(out, ack);
                out.writeLong(ack.sequenceNumber());
            } else if (message instanceof Message.PingRequest pingRequest) {
                out.writeByte(PING_REQUEST);
                writeHeader(out, pingRequest);
                out.writeUTF(pingRequest.senderAddress());
                out.writeLong(pingRequest.sequenceNumber());
                out.writeUTF(pingRequest.target());
                out.writeUTF(pingRequest.targetAddress());
            } else if (message instanceof Message.Sync sync) {
                out.writeByte(SYNC);
                writeHeader(out, sync);
                out.writeUTF(sync.senderAddress());
                out.writeBoolean(sync.replyRequested());
            } else if (message instanceof SeatRequest request) {
                out.writeByte(SEAT_REQUEST);
                out.writeUTF(request.holderName);
                out.writeUTF(request.holderAddress);
                out.writeLong(request.round);
                out.writeDouble(request.rate);
                writeBits(out, request.wanted);
                writeBits(out, request.released);
            } else if (message instanceof SeatResponse response) {
                out.writeByte(SEAT_RESPONSE);
                out.writeUTF(response.grantorAddress);
                out.writeLong(response.round);
                out.writeDouble(response.totalRate);
                out.writeInt(response.holderCount);
                writeBits(out, response.granted);
                writeBits(out, response.available);
            } else {
                throw new IllegalArgumentException(String.valueOf(message));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeHeader(DataOutputStream out, Message message) throws IOException {
        out.writeUTF(message.senderName());
        out.writeShort(message.gossip().size());
        for (Member update : message.gossip()) {
            out.writeUTF(update.name());
            out.writeUTF(update.address());
            out.writeLong(update.incarnation());
            out.writeByte(update.state().ordinal());
        }
    }

    private static void writeBits(DataOutputStream out, BitSet bits) throws IOException {
        byte[] bytes = bits.toByteArray();
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are no valid message of this version
     */
    static Object decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int type = in.readUnsignedByte();
        String sender = in.readUTF(); // a name, and in a SeatResponse the grantor's address
        Object message = switch (type) {
            case PING -> {
                List<Member> gossip = readGossip(in);
                yield new Message.Ping(sender, in.readUTF(), in.readLong(), gossip);
            }
            case ACK -> {
                List<Member> gossip = readGossip(in);
                yield new Message.Ack(sender, in.readLong(), gossip);
            }
            case PING_REQUEST -> {
                List<Member> gossip = readGossip(in);
                yield new Message.PingRequest(sender, in.readUTF(), in.readLong(), in.readUTF(), in.readUTF(), gossip);
            }
            case SYNC -> {
                List<Member> gossip = readGossip(in);
                yield new Message.Sync(sender, in.readUTF(), in.readBoolean(), gossip);
            }
            case SEAT_REQUEST -> new SeatRequest(sender, in.readUTF(), in.readLong(), in.readDouble(), readBits(in),
                    readBits(in));
            case SEAT_RESPONSE -> new SeatResponse(sender, in.readLong(), in.readDouble(), in.readInt(), readBits(in),
                    readBits(in));
            default -> throw new IOException("unknown message type " + type);
        };
        if (in.available() > 0) {
            throw new IOException("trailing bytes after the message");
        }
        return message;
    }

    private static List<Member> readGossip(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        List<Member> updates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = in.readUTF();
            String address = in.readUTF();
            long incarnation = in.readLong();
            int stateOrdinal = in.readUnsignedByte();
            if (stateOrdinal >= Member.State.values().length) {
                throw new IOException("unknown member state " + stateOrdinal);
            }
            updates.add(new Member(name, address, incarnation, Member.State.values()[stateOrdinal]));
        }
        return updates;
    }

    private static BitSet readBits(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readUnsignedShort()];
        in.readFully(bytes);
        return BitSet.valueOf(bytes);
    }
}
