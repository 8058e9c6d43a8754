package gradereach.front;

import gradereach.loop.UnreadBytes;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.Http2FrameCodec;
import java.util.concurrent.TimeUnit;

/** Closes an HTTP/2 connection on which no stream has been open for long. */
final class IdleStreams extends ChannelInboundHandlerAdapter {
    private final long idle;
    private boolean streamsBefore = true;

    /** @param idle milliseconds between two looks; a connection without a stream at both is closed */
    IdleStreams(long idle) {
        this.idle = idle;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        ctx.executor().schedule(() -> {
            if (ctx.channel().isActive() && !closeIfIdle(ctx)) {
                handlerAdded(ctx);
            }
        }, idle, TimeUnit.MILLISECONDS);
    }

    /** Whether it was closed: a stream that lies unread is open. */
    boolean closeIfIdle(ChannelHandlerContext ctx) {
        UnreadBytes.read(ctx.channel());
        boolean streams = ctx.pipeline().get(Http2FrameCodec.class).connection().numActiveStreams() > 0;
        boolean idleSinceLastLook = !streams && !streamsBefore;
        streamsBefore = streams;
        if (idleSinceLastLook) {
            ctx.close();
        }
        return idleSinceLastLook;
    }
}
