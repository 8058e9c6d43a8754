package gradereach.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose client may still be sending (RFC 9112, 9.6): shuts down the output, then discards input until the
 * client closes its side or the linger time is over. Closing at once with unread bytes would reset the connection, and the
 * client might never see the answer that was written before.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** Long enough for a client to read an answer and stop sending; after it the connection is reset. */
    private static final long MAX_LINGER_MILLIS = 2000;

    private LingeringClose() { }

    /** Must be called on the connection's event loop, after its last answer has been written. */
    static void close(Channel connection) {
        if (!(connection instanceof DuplexChannel duplex)) {
            connection.close(); // an HTTP/2 stream, which has no socket of its own
            return;
        }
        connection.pipeline().addFirst(new LingeringClose());
        duplex.shutdownOutput();
        connection.config().setAutoRead(true);
        connection.eventLoop().schedule(() -> connection.close(), MAX_LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        ReferenceCountUtil.release(bytes);
    }
}
