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

/** Encodes membership messages: a type byte, then the fields; strings as Java's modified UTF-8 with two bytes of length. */
final class MembershipCodec {
    /**
     * A holder's request for seats.
     *
     * @param rate its traffic in inferences a second
     */
    record SeatRequest(String holderName, String holderAddress, long round, double rate, BitSet wanted, BitSet released) { }

    /**
     * A grantor's response.
     *
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
            if (message instanceof Message.Ping m) {
                out.writeByte(1);
                writeHeader(out, m);
                out.writeUTF(m.senderAddress());
                out.writeLong(m.sequenceNumber());
            } else if (message instanceof Message.Ack m) {
                out.writeByte(2);
                writeHeader(out, m);
                out.writeLong(m.sequenceNumber());
            } else if (message instanceof Message.PingRequest m) {
                out.writeByte(3);
                writeHeader(out, m);
                out.writeUTF(m.senderAddress());
                out.writeLong(m.sequenceNumber());
                out.writeUTF(m.target());
                out.writeUTF(m.targetAddress());
            } else if (message instanceof Message.Sync m) {
                out.writeByte(4);
                writeHeader(out, m);
                out.writeUTF(m.senderAddress());
                out.writeBoolean(m.replyRequested());
            } else if (message instanceof SeatRequest m) {
                out.writeByte(5);
                out.writeUTF(m.holderName);
                out.writeUTF(m.holderAddress);
                out.writeLong(m.round);
                out.writeDouble(m.rate);
                writeBits(out, m.wanted);
                writeBits(out, m.released);
            } else if (message instanceof SeatResponse m) {
                out.writeByte(6);
                out.writeUTF(m.grantorAddress);
                out.writeLong(m.round);
                out.writeDouble(m.totalRate);
                out.writeInt(m.holderCount);
                writeBits(out, m.granted);
                writeBits(out, m.available);
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
        String from = in.readUTF();
        Object message = switch (type) {
            case 1 -> {
                List<Member> gossip = readGossip(in);
                yield new Message.Ping(from, in.readUTF(), in.readLong(), gossip);
            }
            case 2 -> {
                List<Member> gossip = readGossip(in);
                yield new Message.Ack(from, in.readLong(), gossip);
            }
            case 3 -> {
                List<Member> gossip = readGossip(in);
                yield new Message.PingRequest(from, in.readUTF(), in.readLong(), in.readUTF(), in.readUTF(), gossip);
            }
            case 4 -> {
                List<Member> gossip = readGossip(in);
                yield new Message.Sync(from, in.readUTF(), in.readBoolean(), gossip);
            }
            case 5 -> new SeatRequest(from, in.readUTF(), in.readLong(), in.readDouble(), readBits(in), readBits(in));
            case 6 -> new SeatResponse(from, in.readLong(), in.readDouble(), in.readInt(), readBits(in), readBits(in));
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
            int state = in.readUnsignedByte();
            if (state >= Member.State.values().length) {
                throw new IOException("unknown member state " + state);
            }
            updates.add(new Member(name, address, incarnation, Member.State.values()[state]));
        }
        return updates;
    }

    private static BitSet readBits(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readUnsignedShort()];
        in.readFully(bytes);
        return BitSet.valueOf(bytes);
    }
}
