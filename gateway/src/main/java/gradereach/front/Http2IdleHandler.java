package gradereach.front;

import gradereach.loop.UnreadBytes;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.Http2FrameCodec;
import java.util.concurrent.TimeUnit;

/** Closes an HTTP/2 connection that had no open stream at two consecutive checks. */
final class Http2IdleHandler extends ChannelInboundHandlerAdapter {
    private final long checkIntervalMillis;
    private boolean hadStreamsAtLastCheck = true;

    /** @param checkIntervalMillis time between two checks */
    Http2IdleHandler(long checkIntervalMillis) {
        this.checkIntervalMillis = checkIntervalMillis;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        ctx.executor().schedule(() -> {
            if (ctx.channel().isActive() && !closeIfIdle(ctx)) {
                handlerAdded(ctx);
            }
        }, checkIntervalMillis, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection if it is idle and returns whether it did. A stream whose frames are still unread counts as open. */
    boolean closeIfIdle(ChannelHandlerContext ctx) {
        UnreadBytes.read(ctx.channel());
        boolean hasStreams = ctx.pipeline().get(Http2FrameCodec.class).connection().numActiveStreams() > 0;
        boolean idle = !hasStreams && !hadStreamsAtLastCheck;
        hadStreamsAtLastCheck = hasStreams;
        if (idle) {
            ctx.close();
        }
        return idle;
    }
}
