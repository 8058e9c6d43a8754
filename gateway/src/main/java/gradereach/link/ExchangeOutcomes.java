package gradereach.link;

import gradereach.api.Outcome;
import gradereach.http2.ExchangeListener.ExchangeResult;

/**
 * Maps the result of an exchange to the {@link Outcome} that it proves, as in the table of docs/proofs.md (rule 2). If in doubt,
 * the forward may have run.
 */
public final class ExchangeOutcomes {
    /** With {@code no}, the executor states that it has not begun the inference; without it no status proves that. */
    public static final String INFERENCE_BEGUN_HEADER = "inference-begun";

    private ExchangeOutcomes() { }

    /** Outcome of a forward by HTTP/REST. {@code begun} is the {@link #INFERENCE_BEGUN_HEADER}, or null if it is missing. */
    public static Outcome forwardOutcome(ExchangeResult result, int status, CharSequence begun) {
        return switch (result) {
            case ANSWERED -> answeredForwardOutcome(status, begun != null && "no".contentEquals(begun));
            case NOT_CONNECTED -> Outcome.CONNECT_FAILED;
            case NO_STREAM, REFUSED -> Outcome.FULL;
            case NOT_WRITTEN, ABOVE_GOAWAY -> Outcome.NEVER_SENT;
            case RESET, LOST -> Outcome.RESET;
            case TOO_LONG -> Outcome.ERROR;
            case GIVEN_UP -> Outcome.CANCELLED;
        };
    }

    private static Outcome answeredForwardOutcome(int status, boolean notBegun) {
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
     * Outcome of a forward by gRPC. {@code grpcStatus} is the number in the trailers; null means that the stream ended without
     * a status, as when a connection breaks. Intermediaries set gRPC statuses too, so none proves anything without
     * {@link #INFERENCE_BEGUN_HEADER}.
     */
    public static Outcome grpcForwardOutcome(ExchangeResult result, CharSequence grpcStatus, CharSequence begun) {
        if (result != ExchangeResult.ANSWERED) {
            return forwardOutcome(result, 0, null);
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

    /** Outcome of a load order or a probe. The executor's status is enough here; no {@link #INFERENCE_BEGUN_HEADER} is required. */
    public static Outcome loadOrderOrProbeOutcome(ExchangeResult result, int status) {
        return switch (result) {
            case ANSWERED -> status >= 200 && status < 300 ? Outcome.RETURNED
                    : status == 429 || status == 503 ? Outcome.FULL : Outcome.ERROR;
            default -> forwardOutcome(result, status, null);
        };
    }
}
