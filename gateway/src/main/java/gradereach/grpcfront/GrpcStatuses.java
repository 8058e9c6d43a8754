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
 * The one table of how an inference ends in gRPC's words (docs/grpc.md). Clients repeat on {@code UNAVAILABLE} by
 * themselves, so it is said only where nothing of the inference ran.
 */
final class GrpcStatuses {
    /** gRFC A6, "Pushback". */
    static final Metadata.Key<String> PUSHBACK = Metadata.Key.of("grpc-retry-pushback-ms", Metadata.ASCII_STRING_MARSHALLER);
    static final Metadata.Key<String> OUTCOME = Metadata.Key.of("gradereach-outcome", Metadata.ASCII_STRING_MARSHALLER);
    static final Metadata.Key<String> REPEAT_HARMLESS = Metadata.Key.of("gradereach-repeat-harmless",
            Metadata.ASCII_STRING_MARSHALLER);

    /** The front end takes nothing more: another one may. As {@code connection: close} of the webhook front. */
    static final Metadata.Key<String> STOPPING = Metadata.Key.of("gradereach-stopping", Metadata.ASCII_STRING_MARSHALLER);

    private GrpcStatuses() { }

    /** Of an answer that is not a returned one. */
    static Status.Code code(FinalAnswer answer) {
        return switch (answer.kind()) {
            case RETURNED -> Status.Code.OK;
            case SHED -> Status.Code.UNAVAILABLE;
            // Nothing of it ran, or it may run again: the caller's own logic may ask again. Else by what ended it.
            case FAILED -> answer.repeatHarmless() ? Status.Code.ABORTED
                    : answer.status() == 502 ? Status.Code.UNKNOWN : Status.Code.DEADLINE_EXCEEDED;
        };
    }

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

    /** The same from a front end that may be {@code stopping}. */
    static StatusRuntimeException toException(FinalAnswer answer, boolean stopping) {
        StatusRuntimeException status = toException(answer);
        if (stopping) {
            status.getTrailers().put(STOPPING, "true");
        }
        return status;
    }

    /** Of what is no inference, by the HTTP status that the webhook front has for it. */
    static Status rejection(int status, String word, String why) {
        Status base = switch (status) {
            case 401 -> Status.UNAUTHENTICATED;
            case 404 -> Status.NOT_FOUND;
            case 409 -> Status.ALREADY_EXISTS;
            case 413, 429 -> Status.RESOURCE_EXHAUSTED;
            default -> Status.INVALID_ARGUMENT;
        };
        return base.withDescription(word + ": " + why);
    }
}
