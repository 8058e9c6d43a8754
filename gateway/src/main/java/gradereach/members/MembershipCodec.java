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

/** Messages of members as bytes: a kind, then its fields; names and addresses as Java's modified UTF-8 with two bytes of length. */
final class MembershipCodec {
    /** A round of a holder of seats; {@code rate} is what it takes, inferences a second. */
    record SeatRequest(String from, String fromAddress, long round, double rate, BitSet wanted, BitSet released) { }

    /** A keeper's answer; {@code rates} is the sum over the holders that it has heard lately, {@code holders} their number. */
    record SeatResponse(String from, long round, double totalRate, int holderCount, BitSet granted, BitSet available) { }

    private MembershipCodec() { }

    static byte[] encode(Object what) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            if (what instanceof Message.Ping m) {
                out.writeByte(1);
                writeHeader(out, m);
                out.writeUTF(m.fromAddress());
                out.writeLong(m.sequenceNumber());
            } else if (what instanceof Message.Ack m) {
                out.writeByte(2);
                writeHeader(out, m);
                out.writeLong(m.sequenceNumber());
            } else if (what instanceof Message.PingRequest m) {
                out.writeByte(3);
                writeHeader(out, m);
                out.writeUTF(m.fromAddress());
                out.writeLong(m.sequenceNumber());
                out.writeUTF(m.target());
                out.writeUTF(m.targetAddress());
            } else if (what instanceof Message.Sync m) {
                out.writeByte(4);
                writeHeader(out, m);
                out.writeUTF(m.fromAddress());
                out.writeBoolean(m.replyRequested());
            } else if (what instanceof SeatRequest m) {
                out.writeByte(5);
                out.writeUTF(m.from);
                out.writeUTF(m.fromAddress);
                out.writeLong(m.round);
                out.writeDouble(m.rate);
                bits(out, m.wanted);
                bits(out, m.released);
            } else if (what instanceof SeatResponse m) {
                out.writeByte(6);
                out.writeUTF(m.from);
                out.writeLong(m.round);
                out.writeDouble(m.totalRate);
                out.writeInt(m.holderCount);
                bits(out, m.granted);
                bits(out, m.available);
            } else {
                throw new IllegalArgumentException(String.valueOf(what));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeHeader(DataOutputStream out, Message message) throws IOException {
        out.writeUTF(message.from());
        out.writeShort(message.gossip().size());
        for (Member word : message.gossip()) {
            out.writeUTF(word.name());
            out.writeUTF(word.address());
            out.writeLong(word.incarnation());
            out.writeByte(word.state().ordinal());
        }
    }

    private static void bits(DataOutputStream out, BitSet bits) throws IOException {
        byte[] bytes = bits.toByteArray();
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    /** @throws IOException where the bytes are no message: of another version, or broken */
    static Object decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int kind = in.readUnsignedByte();
        String from = in.readUTF();
        Object read = switch (kind) {
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
            case 5 -> new SeatRequest(from, in.readUTF(), in.readLong(), in.readDouble(), bits(in), bits(in));
            case 6 -> new SeatResponse(from, in.readLong(), in.readDouble(), in.readInt(), bits(in), bits(in));
            default -> throw new IOException("no such message: " + kind);
        };
        if (in.available() > 0) {
            throw new IOException("goes on after its end");
        }
        return read;
    }

    private static List<Member> readGossip(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        List<Member> words = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = in.readUTF();
            String address = in.readUTF();
            long incarnation = in.readLong();
            int state = in.readUnsignedByte();
            if (state >= Member.State.values().length) {
                throw new IOException("no such state: " + state);
            }
            words.add(new Member(name, address, incarnation, Member.State.values()[state]));
        }
        return words;
    }

    private static BitSet bits(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readUnsignedShort()];
        in.readFully(bytes);
        return BitSet.valueOf(bytes);
    }
}
