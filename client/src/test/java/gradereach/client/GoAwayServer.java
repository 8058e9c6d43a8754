package gradereach.client;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP/2 server that closes its listener at the first call and answers only with a GOAWAY that excludes the call. */
final class GoAwayServer implements AutoCloseable {
    private static final int PREFACE_BYTES = 24;
    private static final int HEADERS = 1;
    private static final int SETTINGS = 4;
    private static final int GOAWAY = 7;
    private static final int GOAWAY_BYTES = 8;

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final AtomicInteger callsReceived = new AtomicInteger();
    private volatile Socket connection;

    GoAwayServer() throws IOException {
        Thread thread = new Thread(this::serve, "going-away");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Calls received so far. */
    int callsReceived() {
        return callsReceived.get();
    }

    private void serve() {
        try {
            connection = listener.accept();
            DataInputStream in = new DataInputStream(connection.getInputStream());
            DataOutputStream out = new DataOutputStream(connection.getOutputStream());
            in.skipNBytes(PREFACE_BYTES);
            writeFrameHeader(out, 0, SETTINGS);
            out.flush();
            while (readFrameType(in) != HEADERS) {
                continue;
            }
            listener.close();
            callsReceived.incrementAndGet();
            writeFrameHeader(out, GOAWAY_BYTES, GOAWAY);
            out.writeInt(0); // the last stream that was or may be processed
            out.writeInt(0); // no error
            out.flush();
        } catch (IOException e) {
            // the client or the test has closed the connection
        }
    }

    /** Writes a frame header without flags, for stream 0. */
    private static void writeFrameHeader(DataOutputStream out, int length, int type) throws IOException {
        out.writeByte(0);
        out.writeShort(length);
        out.writeByte(type);
        out.writeByte(0);
        out.writeInt(0);
    }

    /** Reads the next frame and returns its type. */
    private static int readFrameType(DataInputStream in) throws IOException {
        int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
        int type = in.readUnsignedByte();
        in.skipNBytes(1 + Integer.BYTES + length); // flags, stream id and payload
        return type;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        if (connection != null) {
            connection.close();
        }
    }
}
