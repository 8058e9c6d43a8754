package gradereach.front;

import gradereach.delivery.Outbox;
import gradereach.desk.Arrival;
import gradereach.desk.Catalogue;
import gradereach.desk.Input;
import gradereach.desk.Life;
import gradereach.intake.Intake;
import gradereach.intake.Waiter;
import gradereach.loop.UnreadBytes;
import gradereach.message.BadMessage;
import gradereach.message.FinalAnswer;
import gradereach.message.InferenceMessage;
import gradereach.webhook.KeyRing;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;

/**
 * One connection (HTTP/1.1) or stream (HTTP/2) of the webhook front: a whole HTTP request becomes an
 * {@link Arrival}, its final answer a signed HTTP response. What cannot be an inference is refused here with a 4xx
 * status, before anything reaches the decisions.
 */
final class MessageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    static final String PATH = "/v1/inferences";
    /** The customer whose key fitted last on this connection; tried first for its next message. */
    static final AttributeKey<Integer> LIKELY = AttributeKey.valueOf("likely-customer");
    /** Bad signatures on this connection: each costs a check with every key, so few are borne. */
    private static final AttributeKey<Integer> FORGED = AttributeKey.valueOf("forged");
    private static final int MOST_FORGED = 16;

    private final Intake intake;
    private final Outbox outbox;
    private final MessageClock messageClock;
    /** Null on an HTTP/2 stream, which has one message. */
    private final HttpPipeliningHandler pipelining;
    private Waiting waiting;

    MessageHandler(Intake intake, Outbox outbox, MessageClock messageClock, HttpPipeliningHandler pipelining) {
        this.intake = intake;
        this.outbox = outbox;
        this.messageClock = messageClock;
        this.pipelining = pipelining;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        double arrivedAt = pipelining == null ? messageClock.whole() : pipelining.arrivedAt();
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        if (!request.decoderResult().isSuccess()) {
            boolean long_ = String.valueOf(request.decoderResult().cause()).contains("TooLong");
            refuseUnread(ctx, long_ ? 431 : 400, long_ ? "head-too-large" : "bad-http",
                    long_ ? "the head is larger than allowed" : "no proper HTTP");
            return;
        }
        String path = request.uri();
        int query = path.indexOf('?');
        if (!(query < 0 ? path : path.substring(0, query)).equals(PATH)) {
            refuse(ctx, 404, "no-such-path", "inferences go to " + PATH, keepAlive);
            return;
        }
        if (!request.method().equals(HttpMethod.POST)) {
            refuse(ctx, 405, "not-post", "inferences are posted", keepAlive);
            return;
        }
        String type = request.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        if (!type.regionMatches(true, 0, "application/json", 0, 16)) {
            refuse(ctx, 415, "wrong-type", "content-type is not application/json", keepAlive);
            return;
        }
        message(ctx, request, arrivedAt, keepAlive);
    }

    private void message(ChannelHandlerContext ctx, FullHttpRequest request, double arrivedAt, boolean keepAlive) {
        byte[] body = ByteBufUtil.getBytes(request.content());
        String id = request.headers().get("webhook-id");
        Channel connection = connection(ctx);
        Integer likely = connection.attr(LIKELY).get();
        KeyRing.Verdict verdict = intake.whose(id, request.headers().get("webhook-timestamp"),
                request.headers().get("webhook-signature"), body, likely == null ? -1 : likely);
        if (verdict.refusal() != null) {
            boolean forged = verdict.refusal() == gradereach.webhook.Refusal.NOT_SIGNED;
            refuse(ctx, forged ? 401 : 400, verdict.refusal().name().toLowerCase().replace('_', '-'),
                    verdict.refusal().word, keepAlive && !(forged && forgedTooOften(connection)));
            return;
        }
        connection.attr(LIKELY).set(verdict.customer());
        InferenceMessage message;
        try {
            message = InferenceMessage.parse(body);
        } catch (BadMessage e) {
            refuse(ctx, 400, "bad-message", e.getMessage(), keepAlive);
            return;
        }
        Catalogue.Entry model = intake.model(message.model());
        if (model == null) {
            refuse(ctx, 404, "unknown-model", "data.model: not in this deployment", keepAlive);
            return;
        }
        boolean async = request.headers().getAll("prefer").stream().anyMatch(p -> p.contains("respond-async"))
                && outbox.hasEndpoint(verdict.customer());
        Input input;
        try {
            input = intake.input(message.input(), model.name());
        } catch (BadMessage e) {
            refuse(ctx, 400, "bad-message", e.getMessage(), keepAlive);
            return;
        }
        byte[] digest = Intake.digest(body);
        Waiting asker = new Waiting(ctx, id, verdict.customer(), keepAlive, async);
        Arrival arrival = new Arrival(verdict.customer(), id, Intake.half(digest, 0), Intake.half(digest, 8), model,
                input, message.budget(), arrivedAt,
                Long.parseLong(request.headers().get("webhook-timestamp")),
                new Arrival.Signed(request.headers().get("webhook-signature"), body),
                async ? outbox.asker(verdict.customer(), id, asker) : asker);
        waiting = async ? null : asker;
        if (!intake.admit(arrival, asker)) {
            waiting = null;
        }
    }

    private static Channel connection(ChannelHandlerContext ctx) {
        return ctx.channel().parent() != null && ctx.channel() instanceof io.netty.handler.codec.http2.Http2StreamChannel
                ? ctx.channel().parent() : ctx.channel();
    }

    private static boolean forgedTooOften(Channel connection) {
        Integer before = connection.attr(FORGED).get();
        int count = before == null ? 1 : before + 1;
        connection.attr(FORGED).set(count);
        return count >= MOST_FORGED;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == MessageClock.TOO_SLOW) {
            refuseUnread(ctx, 408, "too-slow", "the message did not come whole in time");
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    /** The client closed, or reset its stream: it has left. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        Waiting gone = waiting;
        waiting = null;
        if (gone != null) {
            gone.leave();
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof io.netty.handler.codec.TooLongFrameException) {
            refuseUnread(ctx, 413, "body-too-large", "the body is larger than allowed");
        } else {
            ctx.close();
        }
    }

    private void refuse(ChannelHandlerContext ctx, int status, String word, String why, boolean keepAlive) {
        intake.refused(word);
        FullHttpResponse response = response(status, FinalAnswer.refusal(status, word, why),
                "application/problem+json");
        send(ctx, response, keepAlive);
    }

    /** Of a message that was not read to its end: its client may go on writing, and no other message follows. */
    private void refuseUnread(ChannelHandlerContext ctx, int status, String word, String why) {
        intake.refused(word);
        FullHttpResponse response = response(status, FinalAnswer.refusal(status, word, why), "application/problem+json");
        messageClock.answered();
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        messageClock.stop();
        ctx.writeAndFlush(response).addListener(write -> {
            if (write.isSuccess()) {
                LingeringClose.close(ctx.channel());
            } else {
                ctx.close();
            }
        });
    }

    static FullHttpResponse response(int status, byte[] body, String type) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    private void send(ChannelHandlerContext ctx, FullHttpResponse response, boolean keepAlive) {
        boolean open = keepAlive && (!intake.stopping() || anotherWaits(ctx));
        messageClock.answered();
        if (!open) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            messageClock.stop();
        }
        ctx.writeAndFlush(response).addListener(write -> {
            if (!open || !write.isSuccess()) {
                ctx.close();
            }
        });
    }

    /** Whether the client's next message has come whole: it gets an answer of its own before the connection ends. */
    private boolean anotherWaits(ChannelHandlerContext ctx) {
        if (pipelining == null) {
            return false;
        }
        UnreadBytes.read(ctx.channel());
        return pipelining.holdsMessage();
    }

    /** A connection that waits for one answer. */
    private final class Waiting extends Waiter {
        private final ChannelHandlerContext ctx;
        private final String id;
        private final int customer;
        private final boolean keepAlive;
        private final boolean async;

        Waiting(ChannelHandlerContext ctx, String id, int customer, boolean keepAlive, boolean async) {
            super(intake);
            this.ctx = ctx;
            this.id = id;
            this.customer = customer;
            this.keepAlive = keepAlive;
            this.async = async;
        }

        @Override
        public void taken(Life taken) {
            super.taken(taken);
            if (async) {
                // RFC 7240, 4.1: the preference was honoured; the answer goes to the registered endpoint.
                ctx.executor().execute(() -> {
                    FullHttpResponse response = response(202, new byte[0], "application/json");
                    response.headers().set("preference-applied", "respond-async");
                    send(ctx, response, keepAlive);
                });
            }
        }

        @Override
        public void answer(FinalAnswer answer) {
            double decidedAt = intake.now();
            ctx.executor().execute(() -> {
                waiting = null;
                FullHttpResponse response = response(answer.status(), answer.body(),
                        answer.kind() == FinalAnswer.Kind.RETURNED ? "application/json" : "application/problem+json");
                if (answer.pause() > 0) {
                    // Whole seconds (RFC 9110, 10.2.3), rounded up; the body has it to the millisecond.
                    response.headers().set(HttpHeaderNames.RETRY_AFTER, (long) Math.ceil(answer.pause() / 1000));
                }
                String answerId = answer.messageId(id);
                long at = intake.unixSeconds();
                response.headers().set("webhook-id", answerId);
                response.headers().set("webhook-timestamp", at);
                response.headers().set("webhook-signature",
                        intake.signature(customer, answerId, at, answer.body()));
                send(ctx, response, keepAlive);
                intake.answerWritten(decidedAt);
            });
        }

        @Override
        public void refuse(int status, String word, String why) {
            ctx.executor().execute(() -> {
                waiting = null;
                MessageHandler.this.refuse(ctx, status, word, why, keepAlive);
            });
        }
    }
}
