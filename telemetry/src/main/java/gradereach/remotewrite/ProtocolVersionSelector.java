package gradereach.remotewrite;

/**
 * Selects the version of the remote write protocol for the next request: 2.0 until the receiver answers {@code 415}, then 1.0
 * for an hour (specification 2.0, "Content-Type and Content-Encoding": a sender may fall back). No I/O, no clock.
 */
final class ProtocolVersionSelector {
    private static final double FALLBACK_MILLIS = 3_600_000; // receivers are upgraded rarely, so 2.0 is tried once an hour

    private final boolean onlyVersion1;
    private double fallbackUntil = Double.NEGATIVE_INFINITY;

    ProtocolVersionSelector(boolean onlyVersion1) {
        this.onlyVersion1 = onlyVersion1;
    }

    boolean shouldUseVersion2(double now) {
        return !onlyVersion1 && now >= fallbackUntil;
    }

    /** Handles {@code 415} in response to a request in version 2.0 or 1.0; true if the same batch may be sent in version 1.0. */
    boolean onUnsupportedMediaType(boolean sentVersion2, double now) {
        if (sentVersion2) {
            fallbackUntil = now + FALLBACK_MILLIS;
        }
        return sentVersion2;
    }
}
