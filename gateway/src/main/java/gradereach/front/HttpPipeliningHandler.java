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
 * Handles pipelined HTTP/1.1 requests. Responses must be sent in the order of the requests (RFC 9112, 9.3.2), but inferences
 * may end in any order, so only one message of a connection is dispatched at a time and later ones are queued.
 *
 * <p>The handler is placed directly behind the codec, before any handler that may reject a message. Rejections of later messages
 * and interim responses to them therefore also wait for the earlier answers.
 *
 * <p>Reading continues meanwhile, since a disconnect of the client would otherwise go unnoticed. Once the queue is full,
 * auto-read is turned off, which blocks the sender.
 */
final class HttpPipeliningHandler extends ChannelDuplexHandler {
    /** The number of concurrent streams that HTTP/2 recommends as a minimum (RFC 9113, 6.5.2). */
    private static final int MAX_QUEUED_MESSAGES = 100;

    private final MessageTimeoutHandler timeoutHandler;
    private final int maxQueuedBytes;
    /** Parts of messages in order of arrival; {@link MessageTimeoutHandler#TIMEOUT_EVENT} is queued at its position among them. */
    private final Queue<Object> queue = new ArrayDeque<>();
    /** Arrival time of the first byte of each complete message whose last part has not been dispatched. */
    private final Queue<Double> queuedArrivals = new ArrayDeque<>();
    private int queuedBytes;
    private double arrivedAt = Double.NaN;
    /** A complete message has been dispatched and is not answered yet. */
    private boolean awaitingAnswer;
    /** Further input is discarded: a message timeout is queued, or the last answer of the connection has been written. */
    private boolean discarding;
    private boolean lastAnswerWritten;
    private boolean readingPaused;

    /** @param maxQueuedBytes content bytes of queued messages from which on reading is paused */
    HttpPipeliningHandler(MessageTimeoutHandler timeoutHandler, int maxQueuedBytes) {
        this.timeoutHandler = timeoutHandler;
        this.maxQueuedBytes = maxQueuedBytes;
    }

    /** Returns the arrival time of the first byte of the message dispatched last, in monotonic milliseconds. */
    double arrivedAt() {
        return arrivedAt;
    }

    /** Returns whether a complete message is queued. */
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
                timeoutHandler.suspendTimer(); // its sender waits for 100 Continue, which is sent after the earlier answers
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

    /** Dispatches queued parts up to the end of the next message. */
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
                timeoutHandler.restartTimer(ctx); // the rest of this message is still being received
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
            // Deferred: the next message may be answered at once, and this answer must be written first.
            ctx.executor().execute(() -> dispatchNextMessage(ctx));
        }
    }

    /** Marks the answer being written as the last one of the connection (RFC 9112, 9.6) and drops the queue. */
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
