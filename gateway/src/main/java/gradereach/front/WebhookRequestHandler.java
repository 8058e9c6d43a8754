package gradereach.front;

import gradereach.delivery.Outbox;
import gradereach.desk.IncomingMessage;
import gradereach.desk.InferenceInput;
import gradereach.desk.InferenceState;
import gradereach.desk.ModelCatalog;
import gradereach.intake.Intake;
import gradereach.intake.WaitingClient;
import gradereach.loop.UnreadBytes;
import gradereach.message.FinalAnswer;
import gradereach.message.InferenceMessage;
import gradereach.message.InvalidMessageException;
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
 * Handles one connection (HTTP/1.1) or stream (HTTP/2) of the webhook server: converts each HTTP request to an
 * {@link IncomingMessage} and its final answer to a signed HTTP response. Requests that are not valid inferences are rejected
 * here with a 4xx status and never reach the decision thread.
 */
final class WebhookRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    static final String PATH = "/v1/inferences";
    /** The customer whose key verified the last message of this connection; its keys are tried first for the next one. */
    static final AttributeKey<Integer> LIKELY_CUSTOMER = AttributeKey.valueOf("likely-customer");
    /** Number of bad signatures on this connection. Each costs a check with every key, so only a few are tolerated. */
    private static final AttributeKey<Integer> BAD_SIGNATURES = AttributeKey.valueOf("forged");
    private static final int MAX_BAD_SIGNATURES = 16;

    private final Intake intake;
    private final Outbox outbox;
    private final MessageTimeoutHandler timeoutHandler;
    /** Null on an HTTP/2 stream, which carries a single message. */
    private final HttpPipeliningHandler pipelining;
    private WaitingConnection waitingClient;

    WebhookRequestHandler(Intake intake, Outbox outbox, MessageTimeoutHandler timeoutHandler, HttpPipeliningHandler pipelining) {
        this.intake = intake;
        this.outbox = outbox;
        this.timeoutHandler = timeoutHandler;
        this.pipelining = pipelining;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        double arrivedAt = pipelining == null ? timeoutHandler.endMessage() : pipelining.arrivedAt();
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        if (!request.decoderResult().isSuccess()) {
            boolean headerTooLong = String.valueOf(request.decoderResult().cause()).contains("TooLong");
            rejectAndClose(ctx, headerTooLong ? 431 : 400, headerTooLong ? "head-too-large" : "bad-http",
                    headerTooLong ? "the head is larger than allowed" : "no proper HTTP");
            return;
        }
        String path = request.uri();
        int queryStart = path.indexOf('?');
        if (!(queryStart < 0 ? path : path.substring(0, queryStart)).equals(PATH)) {
            reject(ctx, 404, "no-such-path", "inferences go to " + PATH, keepAlive);
            return;
        }
        if (!request.method().equals(HttpMethod.POST)) {
            reject(ctx, 405, "not-post", "inferences are posted", keepAlive);
            return;
        }
        String contentType = request.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        if (!contentType.regionMatches(true, 0, "application/json", 0, 16)) {
            reject(ctx, 415, "wrong-type", "content-type is not application/json", keepAlive);
            return;
        }
        handleMessage(ctx, request, arrivedAt, keepAlive);
    }

    private void handleMessage(ChannelHandlerContext ctx, FullHttpRequest request, double arrivedAt, boolean keepAlive) {
        byte[] body = ByteBufUtil.getBytes(request.content());
        String id = request.headers().get("webhook-id");
        Channel connection = connection(ctx);
        Integer likelyCustomer = connection.attr(LIKELY_CUSTOMER).get();
        KeyRing.VerificationResult verification = intake.authenticate(id, request.headers().get("webhook-timestamp"),
                request.headers().get("webhook-signature"), body, likelyCustomer == null ? -1 : likelyCustomer);
        if (verification.rejection() != null) {
            boolean badSignature = verification.rejection() == gradereach.webhook.SignatureRejection.NOT_SIGNED;
            reject(ctx, badSignature ? 401 : 400, verification.rejection().name().toLowerCase().replace('_', '-'),
                    verification.rejection().detail, keepAlive && !(badSignature && recordBadSignature(connection)));
            return;
        }
        connection.attr(LIKELY_CUSTOMER).set(verification.customer());
        InferenceMessage message;
        try {
            message = InferenceMessage.parse(body);
        } catch (InvalidMessageException e) {
            reject(ctx, 400, "bad-message", e.getMessage(), keepAlive);
            return;
        }
        ModelCatalog.Entry model = intake.findModel(message.model());
        if (model == null) {
            reject(ctx, 404, "unknown-model", "data.model: not in this deployment", keepAlive);
            return;
        }
        boolean async = request.headers().getAll("prefer").stream().anyMatch(preference -> preference.contains("respond-async"))
                && outbox.hasEndpoint(verification.customer());
        InferenceInput input;
        try {
            input = intake.toInput(message.input(), model.name());
        } catch (InvalidMessageException e) {
            reject(ctx, 400, "bad-message", e.getMessage(), keepAlive);
            return;
        }
        byte[] digest = Intake.digest(body);
        WaitingConnection client = new WaitingConnection(ctx, id, verification.customer(), keepAlive, async);
        IncomingMessage incoming = new IncomingMessage(verification.customer(), id, Intake.longAt(digest, 0),
                Intake.longAt(digest, 8), model, input, message.budgetMillis(), arrivedAt,
                Long.parseLong(request.headers().get("webhook-timestamp")),
                new IncomingMessage.SignedBody(request.headers().get("webhook-signature"), body),
                async ? outbox.webhookObserver(verification.customer(), id, client) : client);
        waitingClient = async ? null : client;
        if (!intake.admit(incoming, client)) {
            waitingClient = null;
        }
    }

    /** Returns the channel of the TCP connection, which is the parent of an HTTP/2 stream. */
    private static Channel connection(ChannelHandlerContext ctx) {
        return ctx.channel().parent() != null && ctx.channel() instanceof io.netty.handler.codec.http2.Http2StreamChannel
                ? ctx.channel().parent() : ctx.channel();
    }

    /** Counts a bad signature and returns whether the connection has now had too many. */
    private static boolean recordBadSignature(Channel connection) {
        Integer previous = connection.attr(BAD_SIGNATURES).get();
        int count = previous == null ? 1 : previous + 1;
        connection.attr(BAD_SIGNATURES).set(count);
        return count >= MAX_BAD_SIGNATURES;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == MessageTimeoutHandler.TIMEOUT_EVENT) {
            rejectAndClose(ctx, 408, "too-slow", "the message did not come whole in time");
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    /** The client closed the connection or reset the stream, which cancels its inference. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        WaitingConnection client = waitingClient;
        waitingClient = null;
        if (client != null) {
            client.onDisconnected();
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof io.netty.handler.codec.TooLongFrameException) {
            rejectAndClose(ctx, 413, "body-too-large", "the body is larger than allowed");
        } else {
            ctx.close();
        }
    }

    private void reject(ChannelHandlerContext ctx, int status, String errorCode, String detail, boolean keepAlive) {
        intake.countRejectedMessage(errorCode);
        FullHttpResponse response = response(status, FinalAnswer.rejectionBody(status, errorCode, detail),
                "application/problem+json");
        send(ctx, response, keepAlive);
    }

    /** Rejects a message that was not received completely: its client may still be sending, so no further message is read. */
    private void rejectAndClose(ChannelHandlerContext ctx, int status, String errorCode, String detail) {
        intake.countRejectedMessage(errorCode);
        FullHttpResponse response = response(status, FinalAnswer.rejectionBody(status, errorCode, detail), "application/problem+json");
        timeoutHandler.recordAnswer();
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        timeoutHandler.stop();
        ctx.writeAndFlush(response).addListener(write -> {
            if (write.isSuccess()) {
                LingeringClose.close(ctx.channel());
            } else {
                ctx.close();
            }
        });
    }

    static FullHttpResponse response(int status, byte[] body, String contentType) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    private void send(ChannelHandlerContext ctx, FullHttpResponse response, boolean keepAlive) {
        boolean keepOpen = keepAlive && (!intake.isStopping() || hasQueuedMessage(ctx));
        timeoutHandler.recordAnswer();
        if (!keepOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            timeoutHandler.stop();
        }
        ctx.writeAndFlush(response).addListener(write -> {
            if (!keepOpen || !write.isSuccess()) {
                ctx.close();
            }
        });
    }

    /** Returns whether the client's next message is complete: it is answered before the connection is closed. */
    private boolean hasQueuedMessage(ChannelHandlerContext ctx) {
        if (pipelining == null) {
            return false;
        }
        UnreadBytes.read(ctx.channel());
        return pipelining.hasQueuedMessage();
    }

    /** A connection or stream that waits for one answer. */
    private final class WaitingConnection extends WaitingClient {
        private final ChannelHandlerContext ctx;
        private final String id;
        private final int customer;
        private final boolean keepAlive;
        private final boolean async;

        WaitingConnection(ChannelHandlerContext ctx, String id, int customer, boolean keepAlive, boolean async) {
            super(intake);
            this.ctx = ctx;
            this.id = id;
            this.customer = customer;
            this.keepAlive = keepAlive;
            this.async = async;
        }

        @Override
        public void onAccepted(InferenceState inference) {
            super.onAccepted(inference);
            if (async) {
                // RFC 7240, 4.1: the preference is honoured; the answer will be delivered to the registered endpoint.
                ctx.executor().execute(() -> {
                    FullHttpResponse response = response(202, new byte[0], "application/json");
                    response.headers().set("preference-applied", "respond-async");
                    send(ctx, response, keepAlive);
                });
            }
        }

        @Override
        public void onFinalAnswer(FinalAnswer answer) {
            double decidedAt = intake.now();
            ctx.executor().execute(() -> {
                waitingClient = null;
                FullHttpResponse response = response(answer.status(), answer.body(),
                        answer.kind() == FinalAnswer.Kind.RETURNED ? "application/json" : "application/problem+json");
                if (answer.retryAfterMillis() > 0) {
                    // Whole seconds (RFC 9110, 10.2.3), rounded up; the body has the exact milliseconds.
                    response.headers().set(HttpHeaderNames.RETRY_AFTER, (long) Math.ceil(answer.retryAfterMillis() / 1000));
                }
                String answerId = answer.webhookId(id);
                long timestamp = intake.unixSeconds();
                response.headers().set("webhook-id", answerId);
                response.headers().set("webhook-timestamp", timestamp);
                response.headers().set("webhook-signature",
                        intake.signature(customer, answerId, timestamp, answer.body()));
                send(ctx, response, keepAlive);
                intake.recordAnswerWritten(decidedAt);
            });
        }

        @Override
        public void onRejected(int status, String errorCode, String detail) {
            ctx.executor().execute(() -> {
                waitingClient = null;
                WebhookRequestHandler.this.reject(ctx, status, errorCode, detail, keepAlive);
            });
        }
    }
}
