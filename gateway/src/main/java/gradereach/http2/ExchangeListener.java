package gradereach.http2;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http2.Http2Headers;
import java.io.IOException;

/** Receives the result of one request to a peer: {@link #onEnd} is called exactly once, on the pool's event loop. */
public interface ExchangeListener {
    /** How an exchange ended, as seen on the connection. */
    enum ExchangeResult {
        /** A complete response was received. */
        ANSWERED,
        /** No connection could be established within the connect timeout, or at all. */
        NOT_CONNECTED,
        /** No stream is available and the queue of waiting requests is full; nothing was written. */
        NO_STREAM,
        /**
         * Nothing was written, because the request was cancelled or the connection closed before; or the request was withdrawn
         * before its last frame was written.
         */
        NOT_WRITTEN,
        /** RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7): the peer has not processed the request. */
        REFUSED,
        /** The stream id is above the last one of a GOAWAY (RFC 9113, 6.8): the peer has not processed the request. */
        ABOVE_GOAWAY,
        /** RST_STREAM with any other code; the peer may have processed the request. */
        RESET,
        /** The connection was lost or a write failed, after writing had begun. */
        LOST,
        /** The response was longer than allowed, or a {@link StreamingListener} could not read it. */
        TOO_LONG,
        /** Cancelled by the caller after writing had begun. */
        GIVEN_UP
    }

    /**
     * Reads the response body as it arrives, no faster than {@link Http2ConnectionPool.Request#readMore} requests it. Called on the
     * pool's event loop.
     */
    interface StreamingListener extends ExchangeListener {
        /**
         * Receives the next bytes of the response body; {@link #onEnd} then gets an empty one.
         *
         * @return whether to read more at once
         * @throws IOException if the bytes cannot be used; the exchange then ends as TOO_LONG
         */
        boolean onData(ByteBuf data) throws IOException;
    }

    /**
     * The exchange has ended.
     *
     * @param status HTTP status of an ANSWERED request, -1 for a response without a valid one; 0 for other results
     * @param headers response headers and trailers; null unless the result is ANSWERED
     * @param body response body; null unless the result is ANSWERED
     */
    void onEnd(ExchangeResult result, int status, Http2Headers headers, byte[] body);
}
