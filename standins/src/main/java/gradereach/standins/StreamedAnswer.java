package gradereach.standins;

import com.google.protobuf.ByteString;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelStreamInferResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Sends a streamed answer part by part at a fixed interval, waiting while the channel is not writable. */
final class StreamedAnswer {
    /** The executor process that gives the answer; {@code isAlive} is false once the process was killed. */
    record AnswerSource(String address, String forwardId, SimulatedMachine machine, BooleanSupplier isAlive) { }

    private static final int GRPC_INTERNAL = 13; // gRPC status code
    /** Compression flag and length before each gRPC message. */
    private static final int GRPC_PREFIX_BYTES = 5;

    private final ModelInferRequest request;
    private final int partCount;
    private final int partBytes;
    private final int intervalMillis;
    private final EventLoop loop;
    private final StandInExecutor.Faults faults;
    private final Transcript transcript;
    /** Null before {@link #start}. */
    private AnswerSource source;
    private int partsSent;
    private boolean waitingForWritable;
    private boolean finished;

    StreamedAnswer(ModelInferRequest request, int partCount, int partBytes, int intervalMillis, EventLoop loop,
            StandInExecutor.Faults faults, Transcript transcript) {
        this.request = request;
        this.partCount = partCount;
        this.partBytes = partBytes;
        this.intervalMillis = intervalMillis;
        this.loop = loop;
        this.faults = faults;
        this.transcript = transcript;
    }

    /** Sends the head of the answer and starts to send its parts. */
    void start(ChannelHandlerContext ctx, AnswerSource answerSource, String loadStatus, int concurrency) {
        source = answerSource;
        DefaultHttpResponse responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        responseHead.headers().set("content-type", "application/grpc").set("model-warmth", loadStatus).set("model-crowd", concurrency);
        ctx.writeAndFlush(responseHead);
        if ("head".equals(faults.resetPoint)) {
            finished = true;
            reset(ctx, transcript, source.address(), source.forwardId());
            return;
        }
        sendNextPart(ctx);
    }

    private void sendNextPart(ChannelHandlerContext ctx) {
        if (finished || !source.isAlive().getAsBoolean()) {
            return;
        }
        if (partsSent == partCount) {
            finished = true;
            DefaultLastHttpContent end = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
            end.trailingHeaders().set("grpc-status", "status".equals(faults.resetPoint) ? GRPC_INTERNAL : 0)
                    .set("endpoint-load-metrics", source.machine().loadReport());
            transcript.write("stream-ended", "ex", source.address(), "fwd", source.forwardId(), "parts", partsSent);
            ctx.writeAndFlush(end);
            return;
        }
        ModelStreamInferResponse.Builder part = ModelStreamInferResponse.newBuilder();
        part.getInferResponseBuilder().setModelName(request.getModelName()).addOutputsBuilder().setName("out")
                .setDatatype("BYTES").addShape(1).getContentsBuilder()
                .addBytesContents(ByteString.copyFromUtf8("x".repeat(partBytes)));
        byte[] message = part.build().toByteArray();
        ByteBuf framedMessage = Unpooled.buffer(GRPC_PREFIX_BYTES + message.length).writeByte(0).writeInt(message.length)
                .writeBytes(message);
        if ("part".equals(faults.resetPoint) && partsSent > 0) {
            finished = true;
            ctx.writeAndFlush(new DefaultHttpContent(framedMessage.slice(0, GRPC_PREFIX_BYTES + message.length / 2)));
            reset(ctx, transcript, source.address(), source.forwardId());
            return;
        }
        partsSent++;
        ctx.writeAndFlush(new DefaultHttpContent(framedMessage));
        if (intervalMillis > 0) {
            loop.schedule(() -> continueIfWritable(ctx), intervalMillis, TimeUnit.MILLISECONDS);
        } else {
            loop.execute(() -> continueIfWritable(ctx));
        }
    }

    private void continueIfWritable(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable()) {
            sendNextPart(ctx);
        } else {
            waitingForWritable = true;
        }
    }

    /** Continues once the channel is writable again. */
    void writabilityChanged(ChannelHandlerContext ctx) {
        if (waitingForWritable && ctx.channel().isWritable()) {
            waitingForWritable = false;
            sendNextPart(ctx);
        }
    }

    /** Ends an unfinished answer after its connection was closed. */
    void connectionClosed() {
        if (source != null && !finished) {
            finished = true;
            transcript.write("stream-left", "ex", source.address(), "fwd", source.forwardId(), "parts", partsSent);
        }
    }

    /** Resets the stream of a forward. */
    static void reset(ChannelHandlerContext ctx, Transcript transcript, String address, String forwardId) {
        transcript.write("reset", "ex", address, "fwd", forwardId);
        ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.INTERNAL_ERROR));
    }
}
