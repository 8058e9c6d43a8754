package gradereach.link;

import gradereach.oip.InferenceJsonConverter;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;

/** One unary message in gRPC's framing ("gRPC over HTTP2", Length-Prefixed-Message): a flag, a length, the message. */
final class GrpcFraming {
    /** Where the trailers say how it ended. */
    static final String STATUS_TRAILER = "grpc-status";
    private static final int HEADER_BYTES = 5;

    private GrpcFraming() { }

    static byte[] frame(byte[] message) {
        return ByteBuffer.allocate(HEADER_BYTES + message.length).put((byte) 0).putInt(message.length).put(message).array();
    }

    /** Takes messages out of a body that comes in pieces. Of one thread. */
    static final class MessageDecoder {
        private final int maxMessageBytes;
        private byte[] header = new byte[HEADER_BYTES];
        private int headerBytesRead;
        private byte[] message;
        private int messageBytesRead;

        MessageDecoder(int longest) {
            this.maxMessageBytes = longest;
        }

        /** The next whole message, null where more bytes are needed for it. */
        byte[] next(ByteBuf from) throws IOException {
            while (message == null) {
                int some = Math.min(HEADER_BYTES - headerBytesRead, from.readableBytes());
                from.readBytes(header, headerBytesRead, some);
                headerBytesRead += some;
                if (headerBytesRead < HEADER_BYTES) {
                    return null;
                }
                int length = ByteBuffer.wrap(header).getInt(1);
                if (header[0] != 0) {
                    throw new IOException("compressed, which was not asked for");
                }
                if (length < 0 || length > maxMessageBytes) {
                    throw new IOException("a part longer than " + maxMessageBytes);
                }
                message = new byte[length];
                messageBytesRead = 0;
            }
            int some = Math.min(message.length - messageBytesRead, from.readableBytes());
            from.readBytes(message, messageBytesRead, some);
            messageBytesRead += some;
            if (messageBytesRead < message.length) {
                return null;
            }
            byte[] whole = message;
            message = null;
            headerBytesRead = 0;
            return whole;
        }

        /** Whether the bytes so far end with a whole message. */
        boolean atMessageBoundary() {
            return headerBytesRead == 0;
        }
    }

    /** The JSON response object of one framed {@code ModelInferResponse}. */
    static byte[] decodeResponse(byte[] framed) throws IOException {
        if (framed.length < HEADER_BYTES) {
            throw new IOException("no message");
        }
        if (framed[0] != 0) {
            throw new IOException("compressed, which was not asked for");
        }
        int length = ByteBuffer.wrap(framed).getInt(1);
        if (length != framed.length - HEADER_BYTES) {
            throw new IOException("not one whole message");
        }
        return InferenceJsonConverter.responseToJson(framed, HEADER_BYTES, length);
    }
}
