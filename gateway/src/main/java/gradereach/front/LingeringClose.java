package gradereach.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Ends a connection whose client may still be writing (RFC 9112, 9.6): our side is shut, and what still comes is dropped
 * until the client closes its own, or for a while. Closed at once, with bytes unread, the connection would be reset, and
 * the client might never see the answer that was written before.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** Enough to read an answer and stop; a client that goes on for longer is reset. */
    private static final long MAX_LINGER_MILLIS = 2000;

    private LingeringClose() { }

    /** On the connection's event loop, once its last answer has been written. */
    static void close(Channel connection) {
        if (!(connection instanceof DuplexChannel duplex)) {
            connection.close(); // a stream of HTTP/2: nothing of it is read by the system
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
