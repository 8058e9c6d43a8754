package gradereach.front;

import io.netty.buffer.ByteBufHolder;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * HTTP/1.1 answers in the order of asking (RFC 9112, 9.3.2), and an inference's answer comes when it comes: so one message
 * of a connection is let through at a time. It stands right behind the codec, before anything that may refuse a message: a
 * refusal of a later message, and its interim response, wait for the earlier answers as well. Reading goes on meanwhile, or a
 * client that leaves would not be noticed; beyond a bound we stop reading, and the sender waits.
 */
final class HttpPipeliningHandler extends ChannelDuplexHandler {
    /** Whole messages held; as many as HTTP/2 advises to allow at once (RFC 9113, 6.5.2). */
    private static final int MOST_HELD = 100;

    private final MessageClock messageClock;
    private final int mostHeldBytes;
    /** Parts of messages in the order in which they came, and {@link MessageClock#TOO_SLOW} in its place. */
    private final Queue<Object> held = new ArrayDeque<>();
    /** When the first byte of each whole message came that was not let through to its end. */
    private final Queue<Double> arrivals = new ArrayDeque<>();
    private int heldBytes;
    private double arrivedAt = Double.NaN;
    /** A whole message was let through and is not answered. */
    private boolean busy;
    /** What comes now can have no answer: the refusal of a slow sender is held, or the last answer is on its way. */
    private boolean discards;
    private boolean ended;
    private boolean paused;

    /** @param mostHeldBytes content of messages that wait for their turn, beyond which we stop reading */
    HttpPipeliningHandler(MessageClock messageClock, int mostHeldBytes) {
        this.messageClock = messageClock;
        this.mostHeldBytes = mostHeldBytes;
    }

    /** When the first byte of the message came that was let through last, in module time. */
    double arrivedAt() {
        return arrivedAt;
    }

    /** Whether a message that came whole waits for its turn. */
    boolean holdsMessage() {
        return !arrivals.isEmpty();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        if (discards) {
            ReferenceCountUtil.release(part);
            return;
        }
        if (part instanceof HttpRequest request) {
            messageClock.begin(ctx);
            if (HttpUtil.is100ContinueExpected(request)) {
                messageClock.suspend(); // its sender waits for the leave to go on, which comes in its turn
            }
        }
        if (part instanceof LastHttpContent) {
            arrivals.add(messageClock.whole());
        }
        hold(part);
        letThrough(ctx);
        pauseOrResume(ctx);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event != MessageClock.TOO_SLOW) {
            ctx.fireUserEventTriggered(event);
        } else if (!discards) {
            discards = true;
            hold(event);
            letThrough(ctx);
        }
    }

    private void hold(Object part) {
        held.add(part);
        heldBytes += size(part);
    }

    private static int size(Object part) {
        return part instanceof ByteBufHolder content ? content.content().readableBytes() : 0;
    }

    /** Lets through what is held, up to the end of the next message. */
    private void letThrough(ChannelHandlerContext ctx) {
        while (!busy && !held.isEmpty()) {
            Object part = held.remove();
            heldBytes -= size(part);
            if (part == MessageClock.TOO_SLOW) {
                ctx.fireUserEventTriggered(part);
                continue;
            }
            if (part instanceof LastHttpContent) {
                busy = true;
                arrivedAt = arrivals.remove();
            }
            if (part instanceof HttpRequest && arrivals.isEmpty()) {
                messageClock.restart(ctx); // it is the one under way
            }
            ctx.fireChannelRead(part);
        }
    }

    private void pauseOrResume(ChannelHandlerContext ctx) {
        boolean full = !discards && (arrivals.size() >= MOST_HELD || heldBytes >= mostHeldBytes);
        if (full == paused) {
            return;
        }
        paused = full;
        if (full) {
            messageClock.pause();
        } else {
            messageClock.resume(ctx);
        }
        ctx.channel().config().setAutoRead(!full);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        boolean isFinal = msg instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        if (isFinal && !HttpUtil.isKeepAlive((HttpResponse) msg)) {
            end();
        }
        ctx.write(msg, promise);
        if (isFinal && !ended) {
            // Not from within a write: the answer to the one before must be on its way first.
            ctx.executor().execute(() -> next(ctx));
        }
    }

    /** The answer that is written now ends the connection (RFC 9112, 9.6). */
    private void end() {
        ended = true;
        discards = true;
        busy = true;
        release();
    }

    private void next(ChannelHandlerContext ctx) {
        if (ended || !ctx.channel().isActive()) {
            return;
        }
        busy = false;
        letThrough(ctx);
        pauseOrResume(ctx);
    }

    private void release() {
        held.forEach(ReferenceCountUtil::release);
        held.clear();
        arrivals.clear();
        heldBytes = 0;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end();
        ctx.fireChannelInactive();
    }
}
