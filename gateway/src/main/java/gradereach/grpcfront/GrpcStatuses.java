package gradereach.grpcfront;

import com.google.protobuf.Any;
import com.google.rpc.RetryInfo;
import gradereach.message.FinalAnswer;
import gradereach.oip.AnswerBodyReader;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.StatusProto;

/**
 * Maps final answers and rejections to gRPC status codes and trailers (docs/grpc.md). gRPC clients retry {@code UNAVAILABLE}
 * automatically, so it is used only for inferences that have not run at all.
 */
final class GrpcStatuses {
    /** Milliseconds after which a shed inference may be sent again (gRFC A6, "Pushback"). */
    static final Metadata.Key<String> PUSHBACK = Metadata.Key.of("grpc-retry-pushback-ms", Metadata.ASCII_STRING_MARSHALLER);
    /** Kind of the final answer: {@code shed} or {@code failed}. */
    static final Metadata.Key<String> OUTCOME = Metadata.Key.of("gradereach-outcome", Metadata.ASCII_STRING_MARSHALLER);
    /** {@code true} if a repeat is harmless: nothing ran, or the inference may run again. */
    static final Metadata.Key<String> REPEAT_HARMLESS = Metadata.Key.of("gradereach-repeat-harmless",
            Metadata.ASCII_STRING_MARSHALLER);

    /** Set when this front end shuts down and another one should be used, like {@code connection: close} over HTTP/1.1. */
    static final Metadata.Key<String> STOPPING = Metadata.Key.of("gradereach-stopping", Metadata.ASCII_STRING_MARSHALLER);

    private GrpcStatuses() { }

    /** Returns the status code of a final answer. */
    static Status.Code code(FinalAnswer answer) {
        return switch (answer.kind()) {
            case RETURNED -> Status.Code.OK;
            case SHED -> Status.Code.UNAVAILABLE;
            // ABORTED if a repeat is harmless (nothing ran, or it may run again); otherwise what ended the inference.
            case FAILED -> answer.repeatHarmless() ? Status.Code.ABORTED
                    : answer.status() == 502 ? Status.Code.UNKNOWN : Status.Code.DEADLINE_EXCEEDED;
        };
    }

    /** Returns an exception with the status and the trailers of a shed or failed answer. */
    static StatusRuntimeException toException(FinalAnswer answer) {
        com.google.rpc.Status.Builder status = com.google.rpc.Status.newBuilder().setCode(code(answer).value())
                .setMessage(AnswerBodyReader.detail(answer.body()));
        Metadata trailers = new Metadata();
        trailers.put(OUTCOME, answer.kind().name().toLowerCase());
        trailers.put(REPEAT_HARMLESS, Boolean.toString(answer.repeatHarmless()));
        if (answer.kind() == FinalAnswer.Kind.SHED && answer.retryAfterMillis() > 0) {
            long millis = Math.round(answer.retryAfterMillis());
            trailers.put(PUSHBACK, Long.toString(millis));
            status.addDetails(Any.pack(RetryInfo.newBuilder().setRetryDelay(com.google.protobuf.Duration.newBuilder()
                    .setSeconds(millis / 1000).setNanos((int) (millis % 1000) * 1_000_000)).build()));
        }
        return StatusProto.toStatusRuntimeException(status.build(), trailers);
    }

    /**
     * Returns an exception with the status and the trailers of a shed or failed answer.
     *
     * @param stopping whether this front end shuts down, which adds the trailer {@link #STOPPING}
     */
    static StatusRuntimeException toException(FinalAnswer answer, boolean stopping) {
        StatusRuntimeException status = toException(answer);
        if (stopping) {
            status.getTrailers().put(STOPPING, "true");
        }
        return status;
    }

    /** Returns the status of a rejected request, given the HTTP status that the webhook server uses for the same rejection. */
    static Status rejection(int httpStatus, String errorCode, String detail) {
        Status status = switch (httpStatus) {
            case 401 -> Status.UNAUTHENTICATED;
            case 404 -> Status.NOT_FOUND;
            case 409 -> Status.ALREADY_EXISTS;
            case 413, 429 -> Status.RESOURCE_EXHAUSTED;
            default -> Status.INVALID_ARGUMENT;
        };
        return status.withDescription(errorCode + ": " + detail);
    }
}
