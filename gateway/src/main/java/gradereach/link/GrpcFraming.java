package gradereach.link;

import gradereach.oip.InferenceJsonConverter;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;

/** gRPC's message framing ("gRPC over HTTP2", Length-Prefixed-Message): a compression flag, the length and the message. */
final class GrpcFraming {
    /** Trailer that holds the status of a call. */
    static final String STATUS_TRAILER = "grpc-status";
    /** One byte for the compression flag, four for the length. */
    private static final int HEADER_BYTES = 5;

    private GrpcFraming() { }

    /** Returns the message with its prefix, uncompressed. */
    static byte[] frame(byte[] message) {
        return ByteBuffer.allocate(HEADER_BYTES + message.length).put((byte) 0).putInt(message.length).put(message).array();
    }

    /** Decodes the messages of a body that arrives in pieces. Not thread-safe. */
    static final class MessageDecoder {
        private final int maxMessageBytes;
        private byte[] header = new byte[HEADER_BYTES];
        private int headerBytesRead;
        private byte[] message;
        private int messageBytesRead;

        MessageDecoder(int maxMessageBytes) {
            this.maxMessageBytes = maxMessageBytes;
        }

        /** Returns the next complete message, or null if more bytes are needed. */
        byte[] next(ByteBuf data) throws IOException {
            while (message == null) {
                int count = Math.min(HEADER_BYTES - headerBytesRead, data.readableBytes());
                data.readBytes(header, headerBytesRead, count);
                headerBytesRead += count;
                if (headerBytesRead < HEADER_BYTES) {
                    return null;
                }
                int length = ByteBuffer.wrap(header).getInt(1);
                if (header[0] != 0) {
                    throw new IOException("message is compressed, which was not requested");
                }
                if (length < 0 || length > maxMessageBytes) {
                    throw new IOException("message is longer than " + maxMessageBytes);
                }
                message = new byte[length];
                messageBytesRead = 0;
            }
            int count = Math.min(message.length - messageBytesRead, data.readableBytes());
            data.readBytes(message, messageBytesRead, count);
            messageBytesRead += count;
            if (messageBytesRead < message.length) {
                return null;
            }
            byte[] complete = message;
            message = null;
            headerBytesRead = 0;
            return complete;
        }

        /** Whether all bytes so far belong to complete messages. */
        boolean isAtMessageBoundary() {
            return headerBytesRead == 0;
        }
    }

    /** Converts one framed {@code ModelInferResponse} to the JSON response object. */
    static byte[] decodeResponse(byte[] framed) throws IOException {
        if (framed.length < HEADER_BYTES) {
            throw new IOException("body has no message prefix");
        }
        if (framed[0] != 0) {
            throw new IOException("message is compressed, which was not requested");
        }
        int length = ByteBuffer.wrap(framed).getInt(1);
        if (length != framed.length - HEADER_BYTES) {
            throw new IOException("body is not exactly one message");
        }
        return InferenceJsonConverter.responseToJson(framed, HEADER_BYTES, length);
    }
}
