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
    private static final int MAX_QUEUED_MESSAGES = 100;

    private final MessageTimeoutHandler timeoutHandler;
    private final int maxQueuedBytes;
    /** Parts of messages in the order in which they came, and {@link MessageClock#TOO_SLOW} in its place. */
    private final Queue<Object> queue = new ArrayDeque<>();
    /** When the first byte of each whole message came that was not let through to its end. */
    private final Queue<Double> queuedArrivals = new ArrayDeque<>();
    private int queuedBytes;
    private double arrivedAt = Double.NaN;
    /** A whole message was let through and is not answered. */
    private boolean awaitingAnswer;
    /** What comes now can have no answer: the refusal of a slow sender is held, or the last answer is on its way. */
    private boolean discarding;
    private boolean lastAnswerWritten;
    private boolean readingPaused;

    /** @param mostHeldBytes content of messages that wait for their turn, beyond which we stop reading */
    HttpPipeliningHandler(MessageTimeoutHandler messageClock, int mostHeldBytes) {
        this.timeoutHandler = messageClock;
        this.maxQueuedBytes = mostHeldBytes;
    }

    /** When the first byte of the message came that was let through last, in module time. */
    double arrivedAt() {
        return arrivedAt;
    }

    /** Whether a message that came whole waits for its turn. */
    boolean hasQueuedMessage() {
        return !queuedArrivals.isEmpty();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        if (discarding) {
            ReferenceCountUtil.release(part);
            return;
        }
        if (part instanceof HttpRequest request) {
            timeoutHandler.beginMessage(ctx);
            if (HttpUtil.is100ContinueExpected(request)) {
                timeoutHandler.suspendTimer(); // its sender waits for the leave to go on, which comes in its turn
            }
        }
        if (part instanceof LastHttpContent) {
            queuedArrivals.add(timeoutHandler.endMessage());
        }
        enqueue(part);
        dispatch(ctx);
        updateAutoRead(ctx);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event != MessageTimeoutHandler.TIMEOUT_EVENT) {
            ctx.fireUserEventTriggered(event);
        } else if (!discarding) {
            discarding = true;
            enqueue(event);
            dispatch(ctx);
        }
    }

    private void enqueue(Object part) {
        queue.add(part);
        queuedBytes += contentBytes(part);
    }

    private static int contentBytes(Object part) {
        return part instanceof ByteBufHolder content ? content.content().readableBytes() : 0;
    }

    /** Lets through what is held, up to the end of the next message. */
    private void dispatch(ChannelHandlerContext ctx) {
        while (!awaitingAnswer && !queue.isEmpty()) {
            Object part = queue.remove();
            queuedBytes -= contentBytes(part);
            if (part == MessageTimeoutHandler.TIMEOUT_EVENT) {
                ctx.fireUserEventTriggered(part);
                continue;
            }
            if (part instanceof LastHttpContent) {
                awaitingAnswer = true;
                arrivedAt = queuedArrivals.remove();
            }
            if (part instanceof HttpRequest && queuedArrivals.isEmpty()) {
                timeoutHandler.restartTimer(ctx); // it is the one under way
            }
            ctx.fireChannelRead(part);
        }
    }

    private void updateAutoRead(ChannelHandlerContext ctx) {
        boolean full = !discarding && (queuedArrivals.size() >= MAX_QUEUED_MESSAGES || queuedBytes >= maxQueuedBytes);
        if (full == readingPaused) {
            return;
        }
        readingPaused = full;
        if (full) {
            timeoutHandler.pauseReading();
        } else {
            timeoutHandler.resumeReading(ctx);
        }
        ctx.channel().config().setAutoRead(!full);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        boolean isFinal = msg instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        if (isFinal && !HttpUtil.isKeepAlive((HttpResponse) msg)) {
            endConnection();
        }
        ctx.write(msg, promise);
        if (isFinal && !lastAnswerWritten) {
            // Not from within a write: the answer to the one before must be on its way first.
            ctx.executor().execute(() -> dispatchNextMessage(ctx));
        }
    }

    /** The answer that is written now ends the connection (RFC 9112, 9.6). */
    private void endConnection() {
        lastAnswerWritten = true;
        discarding = true;
        awaitingAnswer = true;
        releaseQueue();
    }

    private void dispatchNextMessage(ChannelHandlerContext ctx) {
        if (lastAnswerWritten || !ctx.channel().isActive()) {
            return;
        }
        awaitingAnswer = false;
        dispatch(ctx);
        updateAutoRead(ctx);
    }

    private void releaseQueue() {
        queue.forEach(ReferenceCountUtil::release);
        queue.clear();
        queuedArrivals.clear();
        queuedBytes = 0;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endConnection();
        ctx.fireChannelInactive();
    }
}
