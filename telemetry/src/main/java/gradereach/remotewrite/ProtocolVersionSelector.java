package gradereach.remotewrite;

/**
 * Which version of the protocol the receiver is spoken to in: 2.0 until it says {@code 415}, then 1.0 for an hour (specification
 * 2.0, "Content-Type and Content-Encoding": a sender may fall back). No I/O, no clock.
 */
final class ProtocolVersionSelector {
    private static final double FALLBACK_MILLIS = 3_600_000; // receivers are updated now and then, not by the minute

    private final boolean onlyVersion1;
    private double fallbackUntil = Double.NEGATIVE_INFINITY;

    ProtocolVersionSelector(boolean onlyOne) {
        this.onlyVersion1 = onlyOne;
    }

    boolean useVersion2(double now) {
        return !onlyVersion1 && now >= fallbackUntil;
    }

    /** {@code 415} was the answer; true where the same batch may go in the other version. */
    boolean onUnsupportedMediaType(boolean two, double now) {
        if (two) {
            fallbackUntil = now + FALLBACK_MILLIS;
        }
        return two;
    }
}
