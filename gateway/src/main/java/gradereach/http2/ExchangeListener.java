package gradereach.http2;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http2.Http2Headers;
import java.io.IOException;

/** One request to a peer and how it ended; {@link #ended} comes exactly once, on the pool's event loop. */
public interface ExchangeListener {
    /** All ways in which it can end, as the socket saw it. */
    enum ExchangeResult {
        /** A whole answer. */
        ANSWERED,
        /** No connection could be made, within the connect time-out or at all. */
        NOT_CONNECTED,
        /** All connections and waiting places are taken; nothing was written. */
        NO_STREAM,
        /** Given up or closed before anything was written. */
        NOT_WRITTEN,
        /** RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7): the peer has not processed it. */
        REFUSED,
        /** A stream above the last id of a GOAWAY (RFC 9113, 6.8): the peer has not processed it. */
        ABOVE_GOAWAY,
        /** RST_STREAM with any other code. */
        RESET,
        /** The connection ended, or writing failed part way. */
        LOST,
        /** The answer was longer than allowed. */
        TOO_LONG,
        /** Given up by us after writing began. */
        GIVEN_UP
    }

    /** One whose answer is read as it comes, no faster than {@link Http2Pool.Request#more} asks. On the pool's event loop. */
    interface StreamingListener extends ExchangeListener {
        /**
         * Bytes of the answer's body; the stream ends as TOO_LONG where they are no good. {@link #ended} gets no body.
         *
         * @return whether to read on at once
         */
        boolean onData(ByteBuf some) throws IOException;
    }

    /** {@code headers}, trailers among them, and {@code body} are null but for ANSWERED. */
    void onEnd(ExchangeResult end, int status, Http2Headers headers, byte[] body);
}
