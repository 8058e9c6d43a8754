package gradereach.link;

import gradereach.api.Outcome;
import gradereach.http2.ExchangeListener.ExchangeResult;

/**
 * What an end on the socket proves, for rule 2: the table of docs/proofs.md. Where in doubt, it may have run.
 */
public final class ExchangeOutcomes {
    /** An executor's mark that it has not begun, in an answer's head; without it no status proves anything. */
    public static final String INFERENCE_BEGUN_HEADER = "inference-begun";

    private ExchangeOutcomes() { }

    /** How a forward ended. {@code begun} is the {@link #BEGUN} header, null without one. */
    public static Outcome ofForward(ExchangeResult end, int status, CharSequence begun) {
        return switch (end) {
            case ANSWERED -> answered(status, begun != null && "no".contentEquals(begun));
            case NOT_CONNECTED -> Outcome.CONNECT_FAILED;
            case NO_STREAM, REFUSED -> Outcome.FULL;
            case NOT_WRITTEN, ABOVE_GOAWAY -> Outcome.NEVER_SENT;
            case RESET, LOST -> Outcome.RESET;
            case TOO_LONG -> Outcome.ERROR;
            case GIVEN_UP -> Outcome.CANCELLED;
        };
    }

    private static Outcome answered(int status, boolean notBegun) {
        if (status >= 200 && status < 300) {
            return Outcome.RETURNED;
        }
        if (notBegun && (status == 429 || status == 503)) {
            return Outcome.FULL;
        }
        if (notBegun && (status == 404 || status == 409)) {
            return Outcome.MISS;
        }
        return Outcome.ERROR;
    }

    /**
     * How a forward by gRPC ended. {@code grpcStatus} is the number in the trailers, null without one: then the stream
     * ended without its end being told, as a connection that broke. gRPC's statuses are words of whoever was in between
     * as well, so that none proves anything without {@link #BEGUN}.
     */
    public static Outcome ofGrpcForward(ExchangeResult end, CharSequence grpcStatus, CharSequence begun) {
        if (end != ExchangeResult.ANSWERED) {
            return ofForward(end, 0, null);
        }
        if (grpcStatus == null) {
            return Outcome.RESET;
        }
        boolean notBegun = begun != null && "no".contentEquals(begun);
        return switch (grpcStatus.toString()) {
            case "0" -> Outcome.RETURNED;
            case "8", "14" -> notBegun ? Outcome.FULL : Outcome.ERROR; // RESOURCE_EXHAUSTED, UNAVAILABLE
            case "5", "9" -> notBegun ? Outcome.MISS : Outcome.ERROR; // NOT_FOUND, FAILED_PRECONDITION
            default -> Outcome.ERROR;
        };
    }

    /** How a load order or a probe ended: a status is the executor's word on it, no proof is asked for. */
    public static Outcome ofLoadOrderOrProbe(ExchangeResult end, int status) {
        return switch (end) {
            case ANSWERED -> status >= 200 && status < 300 ? Outcome.RETURNED
                    : status == 429 || status == 503 ? Outcome.FULL : Outcome.ERROR;
            default -> ofForward(end, status, null);
        };
    }
}
